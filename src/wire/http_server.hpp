// Connections of clients: requests in, answers out, one at a time on each. Owns the sockets; a slot is given
// back in `settle`, once no operation on it is under way.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/http.hpp"

namespace tealcart {

struct Answer {
    int status = 200;
    std::string body;
    Nanos retry_after = 0;        // 0 for none
    std::string_view allow = {};  // the method that would be taken, with 405
};

// What stands behind the front. Each request is answered exactly once by HttpServer::answer, at once or
// later, unless its client has gone.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    virtual void on_request(Handle client, Request& request, Nanos began) = 0;
    virtual void on_client_disconnected(Handle client) = 0;
};

// Where answers go.
class ResponseWriter {
  public:
    virtual ~ResponseWriter() = default;
    virtual void answer(Handle client, Answer answer) = 0;
};

class HttpServer final : public ResponseWriter, public DueHandler {
  public:
    // At most so many connections; a client that does not take its answer is let go after `stall`. Bodies up
    // to `longest` are let in.
    HttpServer(boost::asio::io_context& io, EventClock& time, RequestHandler& taker, std::size_t most,
               Nanos stall, std::size_t longest = max_body);

    // Throws boost::system::system_error where the address can't be had.
    void listen(const std::string& host, std::uint16_t port);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void answer(Handle client, Answer answer) override;

    // From now on answers close their connection, and idle ones are half-closed.
    void begin_stop();
    // Half-closes connections that have been idle since then, but for those whose next request has come in.
    void close_idle(Nanos since);
    // Closes the listening socket, if no client waits in its backlog; false if one did.
    bool end_listening();
    void close_all();

    std::size_t open() const { return clients_.used(); }
    void on_due(Handle client, std::uint64_t what) override;

  private:
    enum class State : std::uint8_t { reading, asked, answering, lingering, closed };
    struct Client {
        Client(boost::asio::ip::tcp::socket s, std::size_t longest) : socket(std::move(s)), reader(longest) {}

        boost::asio::ip::tcp::socket socket;
        State state = State::reading;
        bool last = false, ended = false, reads = false, writes = false;  // last: no further request is taken
        RequestReader reader;
        std::string in;
        std::array<char, 4096> buffer;
        std::string head, body;    // being written
        bool served = false;       // at least one request
        bool continues = false;    // word to go on is being written
        std::size_t unwanted = 0;  // read in the lingering close
        Nanos idle_since = 0, began = 0;
        Nanos ahead_since = 0;  // when the next request began to come in while one was out; 0 for not
        TimerQueue::Ticket due = TimerQueue::none;
    };

    void accept();
    void take(boost::asio::ip::tcp::socket socket);
    void await_request(Handle h);
    void read(Handle h);
    void advance(Handle h);
    void write(Handle h);
    void flushed(Handle h);
    void half_close(Handle h);
    void close(Handle h);
    void settle(Handle h);
    bool idle(const Client& client) const;
    bool make_room();

    boost::asio::io_context& io_;
    EventClock& time_;
    RequestHandler& taker_;
    const std::size_t most_;
    const Nanos stall_;
    const std::size_t longest_;
    boost::asio::ip::tcp::acceptor acceptor_;
    SlotMap<Client> clients_;
    bool accepting_ = false, stopping_ = false;
    TimerQueue::Ticket accept_again_ = TimerQueue::none;
};

}  // namespace tealcart
