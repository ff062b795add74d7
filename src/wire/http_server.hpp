// The HTTP server for clients. Each connection has one request in progress at a time.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/http.hpp"
#include "wire/http_connection.hpp"
#include "wire/request_queue.hpp"

namespace tealcart {

// A response to a client.
struct Response {
    int status = 200;
    std::string body;
    Nanos retry_after = 0;        // 0 for no Retry-After header
    std::string_view allow = {};  // with 405: the allowed method
};

// Handles the requests of an HttpServer. It answers each request exactly once with ResponseWriter::answer, at
// once or later, unless the client disconnects first.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    // `began` is the time at which the first byte of the request arrived. The request may be moved from.
    virtual void on_request(Handle client, Request& request, Nanos began) = 0;
    // The client of an unanswered request has closed its side of the connection.
    virtual void on_client_disconnected(Handle client) = 0;
    // Returns how long the client of this request waits, counted from the request's first byte; 0 if that is
    // not known. A request that is not passed on within this time, because many others are ahead of it, gets
    // status 504.
    virtual Nanos time_to_live(const Request&) const { return 0; }
};

// Accepts the responses to requests.
class ResponseWriter {
  public:
    virtual ~ResponseWriter() = default;
    // Does nothing if the client has disconnected.
    virtual void answer(Handle client, Response answer) = 0;
    // Returns whether so many clients await their response that a further query is to be refused: the
    // connections that are left serve clients that would wait for one otherwise.
    virtual bool is_crowded() const { return false; }
};

// The limits of an HttpServer.
struct HttpServerLimits {
    std::size_t connections = 0;  // at a time
    Nanos write_timeout = 0;      // a client that does not read its response within this time is disconnected
    std::size_t request_body = max_body_bytes;
    // Sum of what all connections hold of requests and responses, but for the first 2 KiB of each. Beyond it
    // the clients that have made no progress for the longest time are given up.
    std::size_t buffer_bytes = SIZE_MAX;
};

// Why connections and requests ended other than by a response and the client's close; numbers since the
// start.
struct HttpServerCounters {
    std::uint64_t accepted = 0;
    std::uint64_t evicted = 0;             // connections closed for a waiting client
    std::uint64_t unread_evicted = 0;      // of these, with a response that was not read
    std::uint64_t incomplete_dropped = 0;  // incomplete requests given up for memory, with status 408
    std::uint64_t unread_dropped = 0;      // responses given up for memory
    std::uint64_t incomplete = 0;          // requests that were not complete in time: status 408
    std::uint64_t unread = 0;              // responses that were not read in time
    std::uint64_t expired = 0;             // requests whose turn did not come in time: status 504
    std::uint64_t shed = 0;                // large requests refused for waiting clients: status 504
    std::uint64_t read_ahead_dropped = 0;  // connections on which further requests were discarded
    std::uint64_t malformed = 0;           // heads and bodies that are not HTTP

    friend bool operator==(const HttpServerCounters&, const HttpServerCounters&) = default;
};

// Owns the connections. `release_if_ended` releases a connection once it is closed and no wait or write is in
// progress on it.
//
// Work is bounded for each turn of the event loop, which runs handlers first and then timers: a connection is
// read once, up to a limit, and one of its requests is served; of all complete requests as many are served as
// RequestQueue allows. What is left is continued by timers that are due at once.
class HttpServer final : public ResponseWriter, public TimerHandler {
  public:
    HttpServer(boost::asio::io_context& io, EventClock& clock, RequestHandler& handler,
               const HttpServerLimits& limits);

    // Throws boost::system::system_error if the address can't be bound.
    void listen(const std::string& host, std::uint16_t port);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void answer(Handle handle, Response answer) override;
    bool is_crowded() const override;

    // From now on each response closes its connection. Half-closes the idle connections.
    void begin_stop();
    // Half-closes connections that have been idle since then, except those that have received bytes of a next
    // request.
    void close_idle(Nanos since);
    // Accepts a client that waits in the backlog and returns false. If none waits, closes the listening
    // socket and returns true.
    bool end_listening();
    void close_all();

    // Returns the number of connections, including lingering ones.
    std::size_t open() const { return connections_.size(); }
    const HttpServerCounters& counters() const { return counters_; }
    MemoryBudget& memory() { return memory_; }
    void on_timer_due(Handle handle, std::uint64_t what) override;

  private:
    using Connection = HttpConnection;
    using State = HttpConnection::State;
    // What a timer is for. Timers of the server have no handle.
    enum Timer : std::uint64_t { timeout_timer, turn_timer, accept_timer, queue_timer };

    // Accepting.
    void accept();
    void on_acceptable();
    void on_full();
    void accept_later(Nanos pause);
    void add_connection(boost::asio::ip::tcp::socket socket);
    void evict_one();
    void evict(Handle handle);

    // Reading requests.
    void await_request(Handle handle);
    void await_bytes(Handle handle);
    void on_readable(Handle handle);
    void continue_in_next_turn(Handle handle, Nanos pause = 0);
    void on_turn(Handle handle);
    void process_received(Handle handle);
    bool receive(Handle handle, Connection& connection);
    std::size_t receivable(Handle handle, const Connection& connection);
    void keep_received(Handle handle, Connection& connection, std::size_t size);
    void parse(Handle handle, Connection& connection);
    void note_request_began(Handle handle, Connection& connection);
    bool is_idle(const Connection& connection) const;

    // Serving requests.
    void queue_request(Handle handle, Connection& connection);
    bool is_query(Connection& connection) const;
    void serve_queued();
    void serve(Handle handle);
    bool shed_queued();

    void set_state(Connection& connection, State state);

    // Memory.
    bool make_room(Handle handle, std::size_t bytes);
    void drop_for_memory(Handle handle);

    // Writing responses.
    void reject(Handle handle, int status);
    void write(Handle handle);
    void on_written(Handle handle, const boost::system::error_code& failure);
    void on_response_written(Handle handle);

    // Ending.
    void on_timeout(Handle handle);
    void half_close(Handle handle);
    void close(Handle handle);
    void release_if_ended(Handle handle);

    boost::asio::io_context& io_;
    EventClock& clock_;
    RequestHandler& handler_;
    const HttpServerLimits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    MemoryBudget memory_;
    SlotMap<Connection> connections_;
    std::size_t awaiting_response_ = 0;  // number of connections
    RequestQueue queue_;
    HttpServerCounters counters_;
    std::array<char, 16384> received_;  // by the read in progress
    bool accept_pending_ = false, stopping_ = false;
    Nanos full_since_ = 0, last_full_at_ = 0;  // clients have waited for a connection in between
    TimerQueue::TimerId accept_timer_ = TimerQueue::none, queue_timer_ = TimerQueue::none;
};

}  // namespace tealcart
