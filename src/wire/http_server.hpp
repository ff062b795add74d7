// The HTTP server for clients: requests in, responses out, one at a time on each connection.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/http.hpp"

namespace tealcart {

// What a client is answered.
struct Response {
    int status = 200;
    std::string body;
    Nanos retry_after = 0;        // in nanoseconds; 0 for none
    std::string_view allow = {};  // the method that would be accepted, with 405
};

// What the server hands requests to. Each request is answered exactly once by ResponseWriter::answer, at once
// or later, unless its client is disconnected before.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    // `began` is when the request began to come in. The request may be moved from.
    virtual void on_request(Handle client, Request& request, Nanos began) = 0;
    // The client of a request that is not answered yet has closed its side.
    virtual void on_client_disconnected(Handle client) = 0;
};

// Where responses go.
class ResponseWriter {
  public:
    virtual ~ResponseWriter() = default;
    // Does nothing for a client that is disconnected.
    virtual void answer(Handle client, Response answer) = 0;
};

// Owns the connections; each is released in `release_if_ended`, once it is closed and no read or write on it
// is under way.
class HttpServer final : public ResponseWriter, public DueHandler {
  public:
    // At most `max_connections` at a time; a client that does not take its response within `write_timeout` is
    // disconnected. Bodies of requests are accepted up to `max_request_body` bytes.
    HttpServer(boost::asio::io_context& io, EventClock& clock, RequestHandler& handler,
               std::size_t max_connections, Nanos write_timeout,
               std::size_t max_request_body = max_body_bytes);

    // Throws boost::system::system_error where the address can't be bound.
    void listen(const std::string& host, std::uint16_t port);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void answer(Handle handle, Response answer) override;

    // From now on responses close their connection, and idle ones are half-closed.
    void begin_stop();
    // Half-closes connections that have been idle since then, but for those whose next request has come in.
    void close_idle(Nanos since);
    // Closes the listening socket, if no client waits in its backlog; false if one did.
    bool end_listening();
    void close_all();

    // Connections, lingering ones included.
    std::size_t open() const { return connections_.size(); }
    void on_due(Handle handle, std::uint64_t what) override;

  private:
    // reading a request, waiting for the handler's response, writing it, or half-closed.
    enum class State : std::uint8_t { reading, waiting, writing, lingering, closed };
    struct Connection {
        Connection(boost::asio::ip::tcp::socket accepted, std::size_t max_request_body)
            : socket(std::move(accepted)), reader(max_request_body) {}

        boost::asio::ip::tcp::socket socket;
        State state = State::reading;
        bool is_last = false;  // no further request is served
        bool peer_ended = false;
        bool read_pending = false, write_pending = false;
        RequestReader reader;
        std::string unread;  // received, not yet taken by the reader
        std::array<char, 4096> buffer;
        std::string head, body;        // of the response, while it is written
        bool served = false;           // at least one request
        bool writes_continue = false;  // "100 Continue" is being written
        std::size_t discarded = 0;     // bytes, while lingering
        Nanos idle_since = 0;
        Nanos request_began = 0;
        Nanos next_request_began = 0;  // while one is in progress; 0 where nothing of a next one has come
        TimerQueue::Ticket timer = TimerQueue::none;
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
    TimerQueue::Ticket accept_timer_ = TimerQueue::none;
};

}  // namespace tealcart
