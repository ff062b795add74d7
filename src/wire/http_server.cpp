#include "wire/http_server.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "log/log.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Nanos millisecond = 1'000'000;
// The platform's protocol allows a connection without a request to be closed after 2 s. It requires that a
// client without a valid request gets an error or the end of the connection within 3 s of connecting; a
// quarter of a second of that is reserved for the network.
constexpr Nanos idle_timeout = 2000 * millisecond;
constexpr Nanos request_timeout = 2750 * millisecond;
constexpr Nanos linger_timeout = 1000 * millisecond;     // for the client to read its last response
constexpr Nanos accept_retry_pause = 100 * millisecond;  // after a failed accept
// Bytes of further requests while one is in progress.
constexpr std::size_t max_unread = max_head_bytes + max_body_bytes;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

boost::asio::const_buffer buffer_of(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& io, EventClock& clock, RequestHandler& handler,
                       std::size_t max_connections, Nanos write_timeout, std::size_t max_request_body)
    : io_(io), clock_(clock), handler_(handler), max_connections_(max_connections),
      write_timeout_(write_timeout), max_request_body_(max_request_body), acceptor_(io) {}

void HttpServer::listen(const std::string& host, std::uint16_t port) {
    const tcp::endpoint endpoint(boost::asio::ip::make_address(host), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
    accept();
}

void HttpServer::accept() {
    if (accept_pending_ || !acceptor_.is_open()) return;
    clock_.timers.cancel(accept_timer_);
    accept_pending_ = true;
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& failure) {
        accept_pending_ = false;
        if (!failure && acceptor_.is_open()) on_acceptable();
    });
}

// If the connection limit is reached and no connection can be evicted, clients wait in the backlog until one
// is released.
void HttpServer::on_acceptable() {
    if (connections_.size() >= max_connections_ && !evict_one()) return retry_accept_later();
    tcp::socket socket(io_);
    error_code failure;
    acceptor_.accept(socket, failure);
    if (!failure) {
        add_connection(std::move(socket));
    } else if (failure != boost::asio::error::connection_aborted &&
               failure != boost::asio::error::would_block) {
        log_line("failed to accept a client connection: %s", failure.message().c_str());
        evict_one();
        return retry_accept_later();
    }
    accept();
}

void HttpServer::retry_accept_later() {
    clock_.timers.reschedule(accept_timer_, clock_.now() + accept_retry_pause, *this, Handle{});
}

void HttpServer::add_connection(tcp::socket socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);  // needed for the last reads before it is closed
    const Handle handle = connections_.emplace(std::move(socket), max_request_body_);
    connections_.find(handle)->idle_since = clock_.earliest_arrival();  // it may have waited in the backlog
    await_request(handle);
    read(handle);
}

// Closes the least valuable connection to make room for a waiting client: first lingering connections, then
// idle ones, then those with an incomplete request, and the oldest of each kind first. A connection with
// unread bytes is kept. Guards against clients that open hundreds of connections and send little or nothing:
// other clients then need not wait for the timeouts of these connections.
bool HttpServer::evict_one() {
    enum Rank : std::uint8_t { lingering, idle, in_request, never };
    using Candidate = std::pair<Rank, Nanos>;
    Handle chosen;
    Candidate least(never, TimerQueue::never);
    connections_.for_each([&](Handle handle, const Connection& connection) {
        Candidate candidate(never, TimerQueue::never);
        if (connection.state == State::lingering)
            candidate = {lingering, connection.idle_since};
        else if (connection.state == State::reading)
            candidate = connection.reader.begun() ? Candidate(in_request, connection.request_began)
                                                  : Candidate(idle, connection.idle_since);
        if (candidate >= least) return;
        error_code ignored;
        if (candidate.first != lingering && connection.socket.available(ignored) > 0) return;
        chosen = handle;
        least = candidate;
    });
    if (connections_.find(chosen) == nullptr) return false;
    close(chosen);
    return true;
}

// Starts the idle timeout. Guards against clients that connect, or send one request, and then keep a silent
// connection open.
void HttpServer::await_request(Handle handle) {
    Connection& connection = *connections_.find(handle);
    clock_.timers.reschedule(connection.timer, connection.idle_since + idle_timeout, *this, handle);
}

// Returns whether no byte of a next request has arrived.
bool HttpServer::is_idle(const Connection& connection) const {
    error_code ignored;
    return connection.state == State::reading && !connection.reader.begun() &&
           connection.socket.available(ignored) == 0;
}

// Reads in every state, so that the server notices when a client disconnects.
void HttpServer::read(Handle handle) {
    Connection& connection = *connections_.find(handle);
    if (connection.read_pending || connection.peer_ended || connection.state == State::closed) return;
    connection.read_pending = true;
    connection.socket.async_read_some(
        boost::asio::buffer(connection.buffer),
        [this, handle](const error_code& failure, std::size_t size) { on_received(handle, failure, size); });
}

void HttpServer::on_received(Handle handle, const error_code& failure, std::size_t size) {
    Connection& connection = *connections_.find(handle);
    if (connection.state == State::closed) {
        connection.read_pending = false;
        return release_if_ended(handle);
    }
    connection.peer_ended = static_cast<bool>(failure);
    if (!failure && connection.unread.empty() && connection.state != State::reading)
        connection.next_request_began = clock_.now();
    keep_received(handle, connection, failure ? 0 : size);
    if (connection.state == State::reading) parse(handle);
    if (failure && connection.state == State::waiting) handler_.on_client_disconnected(handle);
    if (failure && connection.state != State::writing) close(handle);
    // Cleared only now, so that the connection is not released while it is in use.
    connection.read_pending = false;
    if (connection.state == State::closed) return release_if_ended(handle);
    read(handle);
}

// Keeps the bytes of this request and, up to a limit, of further ones. Bytes over the limit are discarded,
// and the pending response becomes the last one. Guards against working for a client that sent much at once
// and then disconnected: its disconnect is only seen after all bytes have been read.
void HttpServer::keep_received(Handle handle, Connection& connection, std::size_t size) {
    const bool in_progress = connection.state == State::waiting || connection.state == State::writing;
    if (in_progress && connection.unread.size() + size > max_unread)
        connection.is_last = true;
    else if (connection.state != State::lingering)
        connection.unread.append(connection.buffer.data(), size);
    if (connection.state != State::lingering) return;
    // Guards against reading an endless stream of unwanted bytes.
    connection.discarded += size;
    if (connection.discarded > max_unread) close(handle);
}

void HttpServer::parse(Handle handle) {
    Connection& connection = *connections_.find(handle);
    const bool had_begun = connection.reader.begun();
    const ParseStatus status = connection.reader.feed(connection.unread);
    if (!had_begun && connection.reader.begun()) note_request_began(handle, connection);
    if (connection.unread.empty()) connection.next_request_began = 0;
    if (status == ParseStatus::incomplete) {
        if (connection.reader.expects_continue() && !connection.write_pending) {
            connection.writes_continue = true;
            write(handle);
        }
        return;
    }
    clock_.timers.cancel(connection.timer);
    connection.state = State::waiting;
    if (status == ParseStatus::malformed) {
        connection.is_last = true;
        return answer(handle, {connection.reader.error_status(), {}, 0});
    }
    connection.is_last = !connection.reader.request().keep_alive;
    handler_.on_request(handle, connection.reader.request(), connection.request_began);
}

void HttpServer::note_request_began(Handle handle, Connection& connection) {
    // The request may have waited while this process stalled or while the previous request was in progress.
    connection.request_began = connection.next_request_began > 0
                                   ? connection.next_request_began
                                   : std::max(connection.idle_since, clock_.earliest_arrival());
    const Nanos counts_from = connection.served ? clock_.now() : connection.idle_since;
    clock_.timers.reschedule(connection.timer, counts_from + request_timeout, *this, handle);
}

void HttpServer::answer(Handle handle, Response answer) {
    Connection* connection = connections_.find(handle);
    if (connection == nullptr || connection->state != State::waiting) return;
    connection->state = State::writing;
    connection->is_last |= stopping_;
    connection->body = std::move(answer.body);
    connection->head =
        write_response_head({answer.status, connection->body.size(), answer.retry_after / millisecond,
                             connection->is_last, answer.allow});
    clock_.timers.reschedule(connection->timer, clock_.now() + write_timeout_, *this, handle);
    write(handle);
}

void HttpServer::write(Handle handle) {
    Connection& connection = *connections_.find(handle);
    if (connection.write_pending) return;
    connection.write_pending = true;
    const std::array<boost::asio::const_buffer, 2> buffers =
        connection.writes_continue ? std::array{buffer_of(continue_response), buffer_of({})}
                                   : std::array{buffer_of(connection.head), buffer_of(connection.body)};
    boost::asio::async_write(
        connection.socket, buffers,
        [this, handle](const error_code& failure, std::size_t) { on_written(handle, failure); });
}

void HttpServer::on_written(Handle handle, const error_code& failure) {
    Connection& connection = *connections_.find(handle);
    if (connection.state != State::closed && failure) {
        if (connection.state == State::waiting) handler_.on_client_disconnected(handle);
        close(handle);
    }
    connection.write_pending = false;
    if (connection.state == State::closed) return release_if_ended(handle);
    const bool wrote_continue = std::exchange(connection.writes_continue, false);
    if (connection.state != State::writing) return;
    if (wrote_continue) return write(handle);  // the handler has answered in the meantime
    on_response_written(handle);
}

void HttpServer::on_response_written(Handle handle) {
    Connection& connection = *connections_.find(handle);
    clock_.timers.cancel(connection.timer);
    connection.head.clear();
    connection.body.clear();
    if (connection.peer_ended) return close(handle);
    if (connection.is_last) return half_close(handle);
    connection.state = State::reading;
    connection.served = true;
    connection.reader.next();
    connection.idle_since = clock_.now();
    await_request(handle);
    if (!connection.unread.empty()) parse(handle);
    read(handle);
    if (connection.state == State::reading)
        accept();  // an idle connection can be evicted for a waiting client
}

// Performs a lingering close: shuts down the sending side now, and closes the connection once the client has
// closed its side or a timeout has passed. Received bytes are discarded until then; a client whose request
// crossed the shutdown sends it again. Closing with unread bytes would reset the connection and could destroy
// a response in transit.
void HttpServer::half_close(Handle handle) {
    Connection& connection = *connections_.find(handle);
    error_code failure;
    connection.socket.shutdown(tcp::socket::shutdown_send, failure);
    if (failure) return close(handle);
    connection.state = State::lingering;
    connection.unread.clear();
    clock_.timers.reschedule(connection.timer, clock_.now() + linger_timeout, *this, handle);
    read(handle);
}

void HttpServer::on_timer_due(Handle handle, std::uint64_t) {
    if (handle == Handle{}) {
        accept_timer_ = TimerQueue::none;
        return accept();
    }
    Connection& connection = *connections_.find(handle);
    connection.timer = TimerQueue::none;
    if (connection.state != State::reading) return close(handle);
    if (!connection.reader.begun()) {
        if (is_idle(connection))
            half_close(handle);  // otherwise a request is about to be read, which sets a timer
        return;
    }
    connection.state = State::waiting;  // the request was not complete in time
    connection.is_last = true;
    answer(handle, {408, {}, 0});
}

void HttpServer::begin_stop() {
    stopping_ = true;
    close_idle(clock_.now());
}

void HttpServer::close_idle(Nanos since) {
    connections_.for_each([this, since](Handle handle, Connection& connection) {
        if (connection.idle_since <= since && is_idle(connection)) half_close(handle);
    });
}

bool HttpServer::end_listening() {
    error_code failure;
    tcp::socket socket(io_);
    acceptor_.accept(socket, failure);
    if (!failure) {
        add_connection(std::move(socket));
        return false;
    }
    acceptor_.close(failure);
    return true;
}

void HttpServer::close_all() {
    error_code ignored;
    acceptor_.close(ignored);
    connections_.for_each([this](Handle handle, Connection&) { close(handle); });
}

void HttpServer::close(Handle handle) {
    Connection* connection = connections_.find(handle);
    if (connection == nullptr || connection->state == State::closed) return;
    connection->state = State::closed;
    clock_.timers.cancel(connection->timer);
    error_code failure;
    connection->socket.shutdown(tcp::socket::shutdown_send, failure);
    for (std::size_t left = max_unread;
         !failure && left > 0;)  // closing with unread bytes would send a reset
        left -=
            std::min(left, connection->socket.read_some(boost::asio::buffer(connection->buffer), failure));
    connection->socket.close(failure);
    release_if_ended(handle);
}

void HttpServer::release_if_ended(Handle handle) {
    const Connection* connection = connections_.find(handle);
    if (connection == nullptr || connection->state != State::closed) return;
    if (connection->read_pending || connection->write_pending) return;
    connections_.release(handle);
    accept();
}

}  // namespace tealcart
