// One query router as a process, with data nodes, discovery and a steady flow of ordinary queries in the
// test's own process. Tests add misbehaving clients and signals, and check answers, memory and attempts.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/bad_clients.hpp"
#include "testing/fleet.hpp"
#include "testing/rig.hpp"

namespace tealcart::testing {

struct ClientLoadOptions {
    std::string programs;  // directory of the built programs
    int memory_mb = 32, sockets = 1024;
    std::size_t nodes = 6;
    std::chrono::milliseconds query_interval{20}, query_deadline{480}, node_delay{20};
    std::uint64_t seed = 1;
    bool may_cancel = true;  // whether the settings allow attempts to be cancelled
    int most_held = 400;     // queries and shard requests in progress
};

// An ordinary query and its answer.
struct OrdinaryQuery {
    std::string id, bytes;
    TimePoint sent_at, answered_at;
    int status = 0;           // 0: no answer yet, or the connection ended without one
    bool sent_again = false;  // on a new connection, after an old one had ended without an answer
    bool exempt = false;      // nothing is owed: it was not taken on, or its router was killed
};

// The answers to ordinary queries.
struct AnswerCounts {
    std::size_t queries = 0, served = 0, refused = 0, failed = 0;
    std::size_t late = 0;                // after half a second over the query's time, or never
    std::chrono::milliseconds worst{0};  // the longest time from a query to its answer

    std::string text() const;
};

class ClientLoadRig {
  public:
    // Starts the router and waits until it is ready. Throws std::runtime_error if it does not get ready.
    ClientLoadRig(boost::asio::io_context& io, ClientLoadOptions options);
    ~ClientLoadRig();

    void run_for(std::chrono::milliseconds span);
    bool until(const std::function<bool()>& holds, std::chrono::milliseconds within);

    void start_router();
    Process& router() { return *router_; }
    // Sends SIGTERM, and SIGKILL once `kill_after` has gone by if the process has not ended by itself by
    // then. Clients open new connections for `arrivals`, and use open ones until the end. Returns whether the
    // process ended by itself, with status 0.
    bool terminate_router(std::chrono::milliseconds arrivals, std::chrono::milliseconds kill_after);
    // Ends the router with SIGKILL. Queries in flight may stay without an answer.
    void kill_router();
    std::uint16_t port() const { return port_; }
    // The largest resident memory that a router process has had, in bytes.
    std::size_t peak_memory_bytes();
    std::size_t memory_limit_bytes() const {
        return static_cast<std::size_t>(options_.memory_mb) * 1'000'000;
    }

    void start_queries();
    // Sends no further queries and waits until each one has its answer or is late.
    void finish_queries();
    AnswerCounts answers() const;
    // The longest time by which this process was late to serve its clients and data nodes.
    std::chrono::milliseconds worst_pause() const { return worst_pause_; }
    // Describes the queries that were answered late or never, one line each.
    std::vector<std::string> late_queries() const;

    // Data nodes receive calls, but answer none.
    void silence_nodes(bool silent) { nodes_are_silent_ = silent; }
    // Data nodes read nothing from their connections. They can't go on afterwards.
    void hang_nodes() { nodes_hang_ = true; }
    // Returns when attempts of this query arrived at data nodes.
    const std::vector<TimePoint>& attempts_of(const std::string& query_id) const;
    // Returns the attempts that began more than `allowed` after their client had left, one line each.
    std::vector<std::string> attempts_after(const std::vector<Departure>& departures,
                                            std::chrono::milliseconds allowed) const;
    EventLog event_log;

  private:
    struct QueryConnection {
        std::shared_ptr<Connection> connection;
        std::shared_ptr<ResponseReader> reader;
        std::size_t query = SIZE_MAX;  // in progress; SIZE_MAX for none
        bool used = false;
        TimePoint idle_since;
    };

    void write_config();
    bool serve_node_bytes(Connection& connection);
    void send_next_query();
    void send(std::size_t query, bool on_new_connection);
    std::shared_ptr<QueryConnection> open_connection();
    bool read_answers(QueryConnection& query_connection);
    void on_connection_end(QueryConnection& query_connection);
    bool is_open(const OrdinaryQuery& query) const;
    void sample_memory();
    void measure_pauses();

    boost::asio::io_context& io_;
    const ClientLoadOptions options_;
    TemporaryDirectory directory_;
    std::uint16_t port_ = 0;
    std::vector<std::unique_ptr<LoopbackListener>> nodes_;
    std::unique_ptr<Discovery> discovery_;
    std::string entries_;
    std::unique_ptr<Process> router_;
    boost::asio::steady_timer query_timer_, pause_timer_;
    std::size_t peak_memory_bytes_ = 0;
    std::chrono::milliseconds worst_pause_{0};
    TimePoint sample_memory_at_;
    bool opens_connections_ = true;
    bool sends_queries_ = false, nodes_are_silent_ = false, nodes_hang_ = false;
    std::vector<OrdinaryQuery> queries_;
    std::vector<std::shared_ptr<QueryConnection>> connections_;
    std::map<std::string, std::vector<TimePoint>> attempts_;  // by query id
    std::vector<std::shared_ptr<Connection>> hung_;           // connections that are not read any more
};

}  // namespace tealcart::testing
