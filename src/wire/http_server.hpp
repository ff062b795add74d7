// The HTTP server for clients. Each connection has one request in progress at a time.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/http.hpp"

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
};

// Accepts the responses to requests.
class ResponseWriter {
  public:
    virtual ~ResponseWriter() = default;
    // Does nothing if the client has disconnected.
    virtual void answer(Handle client, Response answer) = 0;
};

// Owns the connections. `release_if_ended` releases a connection once it is closed and no read or write is in
// progress on it.
class HttpServer final : public ResponseWriter, public TimerHandler {
  public:
    // Serves at most `max_connections` connections at a time and request bodies of up to `max_request_body`
    // bytes. A client that does not read its response within `write_timeout` is disconnected.
    HttpServer(boost::asio::io_context& io, EventClock& clock, RequestHandler& handler,
               std::size_t max_connections, Nanos write_timeout,
               std::size_t max_request_body = max_body_bytes);

    // Throws boost::system::system_error if the address can't be bound.
    void listen(const std::string& host, std::uint16_t port);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void answer(Handle handle, Response answer) override;

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
    void on_timer_due(Handle handle, std::uint64_t what) override;

  private:
    // A connection reads a request, waits for the handler's response, writes it, or lingers half-closed.
    enum class State : std::uint8_t { reading, waiting, writing, lingering, closed };
    struct Connection {
        Connection(boost::asio::ip::tcp::socket accepted, std::size_t max_request_body)
            : socket(std::move(accepted)), reader(max_request_body) {}

        boost::asio::ip::tcp::socket socket;
        State state = State::reading;
        bool is_last = false;  // no further request is served on it
        bool peer_ended = false;
        bool read_pending = false, write_pending = false;
        RequestReader reader;
        std::string unread;  // received, but not yet parsed
        std::array<char, 4096> buffer;
        std::string head, body;        // of the response that is being written
        bool served = false;           // at least one request was served
        bool writes_continue = false;  // "100 Continue" is being written
        std::size_t discarded = 0;     // bytes received while lingering
        Nanos idle_since = 0;
        Nanos request_began = 0;
        Nanos next_request_began = 0;  // while one is in progress; 0 if no byte of a next one has arrived
        TimerQueue::TimerId timer = TimerQueue::none;
    };

    // Accepting.
    void accept();
    void on_acceptable();
    void retry_accept_later();
    void add_connection(boost::asio::ip::tcp::socket socket);
    bool evict_one();

    // Reading requests.
    void await_request(Handle handle);
    void read(Handle handle);
    void on_received(Handle handle, const boost::system::error_code& failure, std::size_t size);
    void keep_received(Handle handle, Connection& connection, std::size_t size);
    void parse(Handle handle);
    void note_request_began(Handle handle, Connection& connection);
    bool is_idle(const Connection& connection) const;

    // Writing responses.
    void write(Handle handle);
    void on_written(Handle handle, const boost::system::error_code& failure);
    void on_response_written(Handle handle);

    // Ending.
    void half_close(Handle handle);
    void close(Handle handle);
    void release_if_ended(Handle handle);

    boost::asio::io_context& io_;
    EventClock& clock_;
    RequestHandler& handler_;
    const std::size_t max_connections_;
    const Nanos write_timeout_;
    const std::size_t max_request_body_;
    boost::asio::ip::tcp::acceptor acceptor_;
    SlotMap<Connection> connections_;
    bool accept_pending_ = false, stopping_ = false;
    TimerQueue::TimerId accept_timer_ = TimerQueue::none;
};

}  // namespace tealcart
