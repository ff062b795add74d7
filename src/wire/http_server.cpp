#include "wire/http_server.hpp"

#include <boost/asio/write.hpp>

#include "log/log.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Nanos ms = 1'000'000;
// Of the platform's page: a connection with no request open may be closed after 2 s; whoever sends what is no
// request is owed an error or the end within 3 s of connecting, of which a quarter is left for the way.
constexpr Nanos idle_timeout = 2000 * ms;
constexpr Nanos request_timeout = 2750 * ms;
constexpr Nanos linger = 1000 * ms;       // for the far side to take an answer before its connection ends
constexpr Nanos accept_pause = 100 * ms;  // after a failed accept
constexpr std::size_t max_unread = max_head + max_body;  // of further requests, while one is out
constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& io, EventClock& time, RequestHandler& taker, std::size_t most,
                       Nanos stall, std::size_t longest)
    : io_(io), time_(time), taker_(taker), most_(most), stall_(stall), longest_(longest), acceptor_(io) {}

void HttpServer::listen(const std::string& host, std::uint16_t port) {
    const tcp::endpoint at(boost::asio::ip::make_address(host), port);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
    accept();
}

// Where no more connections may be held and none can be ended, clients wait in the backlog for one that is
// given back.
void HttpServer::accept() {
    if (accepting_ || !acceptor_.is_open()) return;
    time_.due.drop(accept_again_);
    accepting_ = true;
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& failed) {
        accepting_ = false;
        if (failed || !acceptor_.is_open()) return;
        const auto pause = [this] {
            time_.due.move(accept_again_, time_.now() + accept_pause, *this, Handle{});
        };
        if (clients_.used() >= most_ && !make_room()) return pause();
        tcp::socket socket(io_);
        error_code ec;
        acceptor_.accept(socket, ec);
        if (!ec) {
            take(std::move(socket));
        } else if (ec != boost::asio::error::connection_aborted && ec != boost::asio::error::would_block) {
            log_line("a connection can't be accepted: %s", ec.message().c_str());
            make_room();
            return pause();
        }
        accept();
    });
}

void HttpServer::take(tcp::socket socket) {
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    socket.non_blocking(true, ec);  // for the last reads before it is closed
    const Handle h = clients_.take(std::move(socket), longest_);
    clients_.find(h)->idle_since = time_.earliest();  // it may have waited in the backlog
    await_request(h);
    read(h);
}

// Guards against clients that connect, or ask once, and keep their connection without a word.
void HttpServer::await_request(Handle h) {
    Client& c = *clients_.find(h);
    time_.due.move(c.due, c.idle_since + idle_timeout, *this, h);
}

// Nothing of a next request has come in.
bool HttpServer::idle(const Client& c) const {
    error_code ec;
    return c.state == State::reading && !c.reader.begun() && c.socket.available(ec) == 0;
}

// Makes room for a client that waits: ends the connection that would be missed least, of those that only wait
// for their far side to close, then of idle ones, then of those in the middle of a request; the longest
// first. One from which more has come in is not ended. Guards against clients that connect by the hundreds
// and say nothing, or little: those that come to ask need not wait until the others' time is up.
bool HttpServer::make_room() {
    Handle least;
    auto rank = std::pair(3, TimerQueue::never);
    clients_.each([&](Handle h, const Client& c) {
        error_code ec;
        auto own = std::pair(3, TimerQueue::never);
        if (c.state == State::lingering)
            own = {0, c.idle_since};
        else if (c.state == State::reading)
            own = c.reader.begun() ? std::pair(2, c.began) : std::pair(1, c.idle_since);
        if (own < rank && (own.first == 0 || c.socket.available(ec) == 0)) least = h, rank = own;
    });
    if (clients_.find(least) == nullptr) return false;
    close(least);
    return true;
}

// Reads all the time, so that a client that leaves is seen. Of further requests it keeps so much; what goes
// beyond that is read and left, and the answer that is owed is the last. Guards against sending on for a
// client that sent much at once and went, whose end stands behind all that it sent.
void HttpServer::read(Handle h) {
    Client& client = *clients_.find(h);
    if (client.reads || client.ended || client.state == State::closed) return;
    client.reads = true;
    client.socket.async_read_some(
        boost::asio::buffer(client.buffer), [this, h](const error_code& ec, std::size_t n) {
            Client& c = *clients_.find(h);
            if (c.state == State::closed) {
                c.reads = false;
                return settle(h);
            }
            c.ended = static_cast<bool>(ec);
            if (!ec && c.in.empty() && c.state != State::reading) c.ahead_since = time_.now();
            const bool owing = c.state == State::asked || c.state == State::answering;
            if (owing && c.in.size() + n > max_unread)
                c.last = true;
            else if (!ec && c.state != State::lingering)
                c.in.append(c.buffer.data(), n);
            // Guards against reading at full speed what nobody wants.
            if (c.state == State::lingering && (c.unwanted += n) > max_unread) close(h);
            if (c.state == State::reading) advance(h);
            if (ec && c.state == State::asked) taker_.on_client_disconnected(h);
            if (ec && c.state != State::answering) close(h);
            c.reads = false;  // only now, so that the slot is kept while it is worked on
            if (c.state == State::closed) return settle(h);
            read(h);
        });
}

void HttpServer::advance(Handle h) {
    Client& c = *clients_.find(h);
    const bool begun = c.reader.begun();
    const Reading reading = c.reader.feed(c.in);
    if (!begun && c.reader.begun()) {
        // Its client may have waited through a stall, or while the request before it was out.
        c.began = c.ahead_since > 0 ? c.ahead_since : std::max(c.idle_since, time_.earliest());
        time_.due.move(c.due, (c.served ? time_.now() : c.idle_since) + request_timeout, *this, h);
    }
    if (c.in.empty()) c.ahead_since = 0;
    if (reading == Reading::more) {
        if (c.reader.owes_continue() && !c.writes) {
            c.continues = true;
            write(h);
        }
        return;
    }
    time_.due.drop(c.due);
    c.state = State::asked;
    if (reading == Reading::bad) {
        c.last = true;
        const int status = c.reader.error_status();
        return answer(h, {status, {}, 0});
    }
    c.last = !c.reader.request().keep_alive;
    taker_.on_request(h, c.reader.request(), c.began);
}

void HttpServer::answer(Handle h, Answer answer) {
    Client* c = clients_.find(h);
    if (c == nullptr || c->state != State::asked) return;
    c->state = State::answering;
    c->last |= stopping_;
    c->body = std::move(answer.body);
    c->head =
        write_answer_head({answer.status, c->body.size(), answer.retry_after / ms, c->last, answer.allow});
    time_.due.move(c->due, time_.now() + stall_, *this, h);
    write(h);
}

void HttpServer::write(Handle h) {
    Client& c = *clients_.find(h);
    if (c.writes) return;
    c.writes = true;
    const auto bytes = [](std::string_view text) {
        return boost::asio::const_buffer(text.data(), text.size());
    };
    const std::array<boost::asio::const_buffer, 2> buffers =
        c.continues ? std::array{bytes(go_on), bytes({})} : std::array{bytes(c.head), bytes(c.body)};
    boost::asio::async_write(c.socket, buffers, [this, h](const error_code& ec, std::size_t) {
        Client& client = *clients_.find(h);
        if (client.state != State::closed && ec) {
            if (client.state == State::asked) taker_.on_client_disconnected(h);
            close(h);
        }
        client.writes = false;
        if (client.state == State::closed) return settle(h);
        const bool continued = std::exchange(client.continues, false);
        if (client.state != State::answering) return;
        if (continued) return write(h);  // an answer came meanwhile
        flushed(h);
    });
}

void HttpServer::flushed(Handle h) {
    Client& c = *clients_.find(h);
    time_.due.drop(c.due);
    c.head.clear();
    c.body.clear();
    if (c.ended) return close(h);
    if (c.last) return half_close(h);
    c.state = State::reading;
    c.served = true;
    c.reader.next();
    c.idle_since = time_.now();
    await_request(h);
    if (!c.in.empty()) advance(h);
    read(h);
    if (c.state == State::reading) accept();  // an idle one can be closed for one that waits
}

// The lingering close: our side ends now, the connection once the client has ended its own, or some time
// later. What still comes is read and never sent on; a request that crossed the end its client sends again.
// Closing with bytes unread would reset the connection and could destroy an answer under way.
void HttpServer::half_close(Handle h) {
    Client& c = *clients_.find(h);
    error_code ec;
    c.socket.shutdown(tcp::socket::shutdown_send, ec);
    if (ec) return close(h);
    c.state = State::lingering;
    c.in.clear();
    time_.due.move(c.due, time_.now() + linger, *this, h);
    read(h);
}

void HttpServer::on_due(Handle h, std::uint64_t) {
    if (h == Handle{}) {
        accept_again_ = TimerQueue::none;
        return accept();
    }
    Client& c = *clients_.find(h);
    c.due = TimerQueue::none;
    if (c.state == State::reading && !c.reader.begun()) {
        if (idle(c)) half_close(h);  // else its request is about to be read, which sets a time for it
        return;
    }
    if (c.state == State::reading) {  // in the middle of a request
        c.state = State::asked;
        c.last = true;
        return answer(h, {408, {}, 0});
    }
    close(h);
}

void HttpServer::begin_stop() {
    stopping_ = true;
    close_idle(time_.now());
}

void HttpServer::close_idle(Nanos since) {
    clients_.each([this, since](Handle h, Client& c) {
        if (c.idle_since <= since && idle(c)) half_close(h);
    });
}

bool HttpServer::end_listening() {
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (!ec) {
        take(std::move(socket));
        return false;
    }
    acceptor_.close(ec);
    return true;
}

void HttpServer::close_all() {
    error_code ec;
    acceptor_.close(ec);
    clients_.each([this](Handle h, Client&) { close(h); });
}

void HttpServer::close(Handle h) {
    Client* c = clients_.find(h);
    if (c == nullptr || c->state == State::closed) return;
    c->state = State::closed;
    time_.due.drop(c->due);
    error_code ec;
    c->socket.shutdown(tcp::socket::shutdown_send, ec);
    for (std::size_t left = max_unread; !ec && left > 0;)  // unread bytes would make it a reset
        left -= std::min(left, c->socket.read_some(boost::asio::buffer(c->buffer), ec));
    c->socket.close(ec);
    settle(h);
}

void HttpServer::settle(Handle h) {
    Client* c = clients_.find(h);
    if (c == nullptr || c->state != State::closed || c->reads || c->writes) return;
    clients_.give_back(h);
    accept();
}

}  // namespace tealcart
