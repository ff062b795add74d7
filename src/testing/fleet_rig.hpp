// A fleet of processes: fleet managers and query routers. The data nodes, discovery and clients with steady
// traffic run in the test's own process, so that checks see which calls really reach the data nodes.
#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <random>

#include "testing/client.hpp"
#include "testing/fleet.hpp"
#include "testing/rig.hpp"

namespace tealcart::testing {

// The size and the settings of the fleet.
struct FleetRigOptions {
    std::string programs;  // directory of the built programs
    std::size_t managers = 3, routers = 6, nodes = 12;
    std::string lease = "2s", drift = "300ms", election = "300ms";
    std::string budgets;     // further blocks of the fleet managers' file
    std::string member;      // further attributes of the routers' `member` block
    bool membership = true;  // routers are members
    int gap_ms = 20;         // between two queries of a client; each router has one
};

// The platform's settings for this many routers, places and shards; each shard lies at `replicas` consecutive
// places.
nlohmann::json platform_settings(std::size_t routers, std::size_t places, int ranges, int replicas);

// A call that a data node received.
struct ReceivedCall {
    TimePoint at;
    std::size_t node = 0;
};

// Starts the processes and controls the faults between them.
class FleetRig {
  public:
    FleetRig(boost::asio::io_context& io, FleetRigOptions options);
    ~FleetRig();

    // Runs until `holds` returns true; returns false after `within`.
    bool until(const std::function<bool()>& holds,
               std::chrono::milliseconds within = std::chrono::seconds(20));
    void run_for(std::chrono::milliseconds span);

    // `wrapper_command` is a command that runs the program, such as one that limits its resources.
    void start_manager(std::size_t i, std::vector<std::string> further_arguments = {},
                       std::vector<std::string> wrapper_command = {});
    void start_router(std::size_t i);
    void stop_traffic() { traffic_ = false; }
    bool all_ready();

    // The state as one fleet manager has it, requested without a proxy; null if it does not answer.
    nlohmann::json status(std::size_t manager) const { return get_json(manager, "/fleet/status"); }
    nlohmann::json get_json(std::size_t manager, const std::string& path) const;
    // The address at which members and relays reach the fleet manager, through a proxy.
    std::string manager_address(std::size_t manager) const;
    std::size_t leader() const;            // index of the leader; the number of managers: none leads
    nlohmann::json leader_status() const;  // null: none leads
    nlohmann::json request_for(const std::string& node) const;  // in the leader's state; null: none is open
    // Starts an operator's command that tries these fleet managers in this order.
    std::unique_ptr<Process> command(std::vector<std::string> arguments, std::vector<std::size_t> through);

    // Drops the messages between this fleet manager and the others, in the given directions.
    void cut_off(std::size_t manager, bool inbound = true, bool outbound = true);
    // Drops the messages between a router or relay and all fleet managers: those to the fleet managers, those
    // from them, or both.
    void cut_off_member(std::size_t router, bool to_managers, bool from_managers) {
        cut_off_member("r" + std::to_string(router), to_managers, from_managers);
    }
    void cut_off_member(const std::string& name, bool to_managers, bool from_managers);
    void heal();

    boost::asio::io_context& io;
    const FleetRigOptions options;
    EventLog event_log;
    TemporaryDirectory directory;
    std::vector<std::unique_ptr<Process>> managers, routers;
    std::unique_ptr<Fleet> fleet;
    std::vector<ReceivedCall> calls;
    // Number of answers to clients by status; 0: the connection ended without an answer.
    std::map<int, std::uint64_t> answers;

  private:
    // A client of one router, which sends one query after the other.
    struct TrafficClient {
        std::unique_ptr<Client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t query_count = 0;
    };
    void send_query(std::size_t router);

    std::vector<std::uint16_t> raft_ports_, http_ports_, direct_http_ports_, router_ports_;
    std::vector<std::unique_ptr<FaultProxy>> raft_proxies_, http_proxies_;
    std::string fleet_file_;
    std::deque<TrafficClient> clients_;
    bool traffic_ = true;
};

}  // namespace tealcart::testing
