#include "wire/http_server.hpp"

#include <poll.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "log/log.hpp"
#include "wire/connection_eviction.hpp"

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
constexpr Nanos full_retry_pause = 20 * millisecond;     // while no connection can be evicted
constexpr Nanos memory_retry_pause = 5 * millisecond;    // before a connection without memory is read again
constexpr Nanos min_queue_time = millisecond;            // for a request whose time was over when it was read
// Bytes of further requests while one is in progress.
constexpr std::size_t max_unread = max_head_bytes + max_body_bytes;
// Large requests are refused for clients that have waited for a connection for this long.
constexpr Nanos max_accept_delay = 100 * millisecond;
constexpr std::size_t max_shed_per_turn = 8;
// One in this many connections stays free of clients that await their response.
constexpr std::size_t spare_share = 8;
constexpr std::size_t max_written_at_once = 64UL * 1024;
// Work in one turn of the event loop.
constexpr std::size_t max_received_per_turn = 256UL * 1024;  // by one connection
constexpr std::size_t max_accepts_per_turn = 64;
// A request is served although more than this stands behind it, so that a client that sends without end gets
// an answer.
constexpr std::size_t max_dropped_before_serving = 1024UL * 1024;
// Where more than this was received behind a request, the rest of what its client sent may still be on its
// way from the client's system, which can send it only now.
constexpr std::size_t much_behind_request = 16UL * 1024;
constexpr Nanos arrival_pause = millisecond;
constexpr int bad_request_timeout = 408, gateway_timeout = 504;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

boost::asio::const_buffer buffer_of(std::string_view text) { return {text.data(), text.size()}; }

// Returns whether the peer has closed its side, also if received bytes that were not read yet stand before
// its end.
bool peer_has_ended(tcp::socket& socket) {
    pollfd polled{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Returns whether a client waits in the backlog.
bool client_waits(tcp::acceptor& acceptor) {
    pollfd polled{acceptor.native_handle(), POLLIN, 0};
    return ::poll(&polled, 1, 0) > 0;
}

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& io, EventClock& clock, RequestHandler& handler,
                       const HttpServerLimits& limits)
    : io_(io), clock_(clock), handler_(handler), limits_(limits), acceptor_(io),
      memory_(limits.buffer_bytes) {}

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

void HttpServer::on_acceptable() {
    std::vector<Handle> evictable;
    if (connections_.size() + max_accepts_per_turn > limits_.connections)
        evictable = choose_for_room(connections_, max_accepts_per_turn, clock_.now());
    auto next = evictable.begin();
    // Bytes may have arrived since they were chosen.
    const auto is_kept = [this](Handle handle) {
        const Connection* connection = connections_.find(handle);
        return connection == nullptr || !may_be_evicted(*connection, clock_.now());
    };
    for (std::size_t accepted = 0; accepted < max_accepts_per_turn; ++accepted) {
        const bool is_full = connections_.size() >= limits_.connections;
        if (is_full) next = std::find_if_not(next, evictable.end(), is_kept);
        if (is_full && next == evictable.end()) return on_full();
        tcp::socket socket(io_);
        error_code failure;
        acceptor_.accept(socket, failure);
        if (failure == boost::asio::error::would_block) return accept();
        if (failure && failure != boost::asio::error::connection_aborted) {
            log_line("failed to accept a client connection: %s", failure.message().c_str());
            evict_one();
            return accept_later(accept_retry_pause);
        }
        if (failure) continue;
        if (is_full) evict(*next++);
        add_connection(std::move(socket));
    }
    accept_later(0);
}

// Clients wait in the backlog until a connection is released or can be evicted. Large requests that hold
// connections while they wait for their turn are refused in the end.
void HttpServer::on_full() {
    if (!client_waits(acceptor_)) return accept();
    const Nanos now = clock_.now();
    if (now - last_full_at_ > max_accept_delay) full_since_ = now;
    last_full_at_ = now;
    const bool has_shed = now - full_since_ >= max_accept_delay && shed_queued();
    accept_later(has_shed ? 0 : full_retry_pause);
}

void HttpServer::accept_later(Nanos pause) {
    clock_.timers.reschedule(accept_timer_, clock_.now() + pause, *this, {}, Timer::accept_timer);
}

void HttpServer::add_connection(tcp::socket socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const Handle handle = connections_.emplace(std::move(socket), limits_.request_body, memory_);
    Connection& connection = *connections_.find(handle);
    connection.idle_since = clock_.earliest_arrival();  // it may have waited in the backlog
    connection.progress_at = clock_.now();
    ++counters_.accepted;
    await_request(handle);
    await_bytes(handle);
}

void HttpServer::evict_one() {
    for (const Handle handle : choose_for_room(connections_, 1, clock_.now())) evict(handle);
}

// Guards against clients that open hundreds of connections and send little or nothing: other clients then
// need not wait for the timeouts of these connections.
void HttpServer::evict(Handle handle) {
    ++counters_.evicted;
    counters_.unread_evicted += connections_.find(handle)->state == State::writing;
    close(handle);
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
    return connection.state == State::reading && !connection.reader.begun() && connection.unread.empty() &&
           connection.socket.available(ignored) == 0;
}

// Waits in every state, so that the server notices when a client disconnects.
void HttpServer::await_bytes(Handle handle) {
    Connection& connection = *connections_.find(handle);
    if (connection.wait_pending || connection.peer_ended || connection.state == State::closed) return;
    connection.wait_pending = true;
    connection.socket.async_wait(tcp::socket::wait_read,
                                 [this, handle](const error_code&) { on_readable(handle); });
}

void HttpServer::on_readable(Handle handle) {
    Connection& connection = *connections_.find(handle);
    if (connection.state != State::closed) process_received(handle);
    // Cleared only now, so that the connection is not released while it is in use.
    connection.wait_pending = false;
    if (connection.state == State::closed) release_if_ended(handle);
}

// Every connection goes on in the next turn, after the handlers that are ready and the timers that are due.
void HttpServer::continue_in_next_turn(Handle handle, Nanos pause) {
    Connection& connection = *connections_.find(handle);
    clock_.timers.reschedule(connection.turn_timer, clock_.now() + pause, *this, handle, Timer::turn_timer);
}

void HttpServer::on_turn(Handle handle) {
    Connection& connection = *connections_.find(handle);
    const bool has_request_begun = connection.state == State::reading && !connection.unread.empty();
    const bool awaits_end = connection.state == State::queued && !connection.in_queue;
    if (has_request_begun || awaits_end) {
        const bool was_pending = std::exchange(connection.wait_pending, true);  // not released while in use
        process_received(handle);
        connection.wait_pending = was_pending;
        if (connection.state == State::closed) return release_if_ended(handle);
    }
    await_bytes(handle);
}

// Reads before the next request is served, so that a client's disconnect behind it is noticed.
void HttpServer::process_received(Handle handle) {
    Connection& connection = *connections_.find(handle);
    if (connection.state == State::reading && !connection.unread.empty()) parse(handle, connection);
    const bool has_memory = receive(handle, connection);
    if (connection.state == State::closed) return;
    connection.update_charge();
    if (!connection.is_drained) connection.peer_ended |= peer_has_ended(connection.socket);
    if (!connection.peer_ended) {
        if (connection.state == State::queued) queue_request(handle, connection);
        const bool awaits_end = connection.state == State::queued && !connection.in_queue;
        return continue_in_next_turn(handle, !has_memory  ? memory_retry_pause
                                             : awaits_end ? arrival_pause
                                                          : 0);
    }
    // A client that has closed its side has left, and its query is not begun.
    if (connection.state == State::queued && !is_query(connection)) {
        if (std::exchange(connection.in_queue, false)) queue_.remove(handle);
        serve(handle);
    }
    if (connection.state == State::waiting) handler_.on_client_disconnected(handle);
    if (connection.state != State::writing) close(handle);
}

// Reads what has arrived, up to the limit of a turn. Returns false if there is no memory for more.
bool HttpServer::receive(Handle handle, Connection& connection) {
    connection.is_drained = false;
    std::size_t behind_request = 0;
    for (std::size_t left = max_received_per_turn; left > 0 && connection.state != State::closed;) {
        const std::size_t receivable_bytes = std::min(left, receivable(handle, connection));
        if (receivable_bytes == 0) return false;
        error_code failure;
        const std::size_t size =
            connection.socket.read_some(boost::asio::buffer(received_.data(), receivable_bytes), failure);
        connection.is_drained = failure && behind_request <= much_behind_request;
        connection.peer_ended = failure && failure != boost::asio::error::would_block &&
                                failure != boost::asio::error::interrupted;
        if (failure) return true;
        left -= size;
        behind_request += connection.state == State::queued ? size : 0;
        keep_received(handle, connection, size);
        if (connection.state == State::reading) parse(handle, connection);
    }
    return true;
}

// Returns how many bytes may be read at once. Beyond an ordinary request, an incomplete one needs memory of
// the budget; without it, its bytes wait in the socket.
std::size_t HttpServer::receivable(Handle handle, const Connection& connection) {
    if (connection.state != State::reading) return received_.size();
    if (connection.held_bytes() < Connection::uncharged_bytes) return Connection::uncharged_bytes;
    return make_room(handle, received_.size()) ? received_.size() : 0;
}

// Keeps the bytes of this request and, up to a limit, of further ones. Bytes over the limit are discarded,
// and the pending response becomes the last one. Guards against working for a client that sent much at once
// and then disconnected: its disconnect is only seen after all bytes have been read.
void HttpServer::keep_received(Handle handle, Connection& connection, std::size_t size) {
    if (connection.state == State::lingering) {
        // Guards against reading an endless stream of unwanted bytes.
        connection.discarded += size;
        if (connection.discarded > max_unread) close(handle);
        return;
    }
    if (connection.state != State::reading) {
        connection.dropped += size;  // unless it is kept below
        if (connection.is_last) return;
        if (connection.unread.empty()) connection.next_request_began = clock_.now();
        if (connection.unread.size() + size > max_unread || !make_room(handle, size)) {
            ++counters_.read_ahead_dropped;
            connection.is_last = true;
            connection.drop_unread();
            return;
        }
        connection.dropped -= size;
    }
    connection.progress_at = clock_.now();
    connection.unread.append(received_.data(), size);
    connection.update_charge();
}

void HttpServer::parse(Handle handle, Connection& connection) {
    const bool had_begun = connection.reader.begun();
    const ParseStatus status = connection.reader.feed(connection.unread);
    if (!had_begun && connection.reader.begun()) note_request_began(handle, connection);
    if (connection.unread.empty()) {
        connection.next_request_began = 0;
        connection.drop_unread();
    }
    connection.update_charge();
    if (status != ParseStatus::incomplete) {
        set_state(connection, State::queued);
        connection.malformed = status == ParseStatus::malformed;
        connection.is_last = connection.malformed || !connection.reader.request().keep_alive;
        connection.dropped = 0;
        return;
    }
    if (connection.reader.expects_continue() && !connection.write_pending) {
        connection.writes_continue = true;
        write(handle);
    }
}

void HttpServer::note_request_began(Handle handle, Connection& connection) {
    // The request may have waited while this process stalled or while the previous request was in progress.
    connection.request_began = connection.next_request_began > 0
                                   ? connection.next_request_began
                                   : std::max(connection.idle_since, clock_.earliest_arrival());
    const Nanos counts_from = connection.served ? clock_.now() : connection.idle_since;
    clock_.timers.reschedule(connection.timer, counts_from + request_timeout, *this, handle);
}

// A request waits for its turn once all that stands behind it has been read, up to a limit, since its
// client's end may stand there.
void HttpServer::queue_request(Handle handle, Connection& connection) {
    if (connection.in_queue) return;
    if (!connection.is_drained && connection.dropped < max_dropped_before_serving) return;
    const Request& request = connection.reader.request();
    const bool malformed = connection.malformed;
    const Nanos now = clock_.now();
    connection.in_queue = true;
    queue_.push(handle, malformed ? 0 : request.body.size());
    if (const Nanos time_to_live = malformed ? 0 : handler_.time_to_live(request); time_to_live > 0) {
        const Nanos expires_at = std::max(connection.request_began + time_to_live, now + min_queue_time);
        clock_.timers.reschedule(connection.timer, expires_at, *this, handle);
    }
    if (queue_timer_ == TimerQueue::none)
        queue_timer_ = clock_.timers.add(now, *this, {}, Timer::queue_timer);
}

void HttpServer::serve_queued() {
    for (const Handle handle : queue_.take_turn()) {
        Connection& connection = *connections_.find(handle);
        connection.in_queue = false;
        if (is_query(connection) && peer_has_ended(connection.socket))
            close(handle);  // the client has left since the last read
        else
            serve(handle);
    }
    if (!queue_.empty()) queue_timer_ = clock_.timers.add(clock_.now(), *this, {}, Timer::queue_timer);
}

// Returns whether the complete request is a query, which takes work after it was handed on.
bool HttpServer::is_query(Connection& connection) const {
    return !connection.malformed && handler_.time_to_live(connection.reader.request()) > 0;
}

void HttpServer::serve(Handle handle) {
    Connection& connection = *connections_.find(handle);
    clock_.timers.cancel(connection.timer);
    set_state(connection, State::waiting);
    if (connection.malformed) {
        ++counters_.malformed;
        return reject(handle, connection.reader.error_status());
    }
    handler_.on_request(handle, connection.reader.request(), connection.request_began);
    connection.reader.next();
    connection.update_charge();
}

void HttpServer::set_state(Connection& connection, State state) {
    awaiting_response_ -= connection.awaits_response();
    connection.state = state;
    awaiting_response_ += connection.awaits_response();
}

// The client that asks is counted already.
bool HttpServer::is_crowded() const {
    return awaiting_response_ > limits_.connections - limits_.connections / spare_share;
}

// Refuses the largest requests that wait for their turn. Returns false if there are none.
bool HttpServer::shed_queued() {
    const std::vector<Handle> largest = queue_.take_largest(max_shed_per_turn);
    for (const Handle handle : largest) {
        connections_.find(handle)->in_queue = false;
        ++counters_.shed;
        reject(handle, gateway_timeout);
    }
    return !largest.empty();
}

// Makes sure that this many bytes fit into the budget, at the expense of clients that make no progress.
// Returns false if there is no such client.
bool HttpServer::make_room(Handle handle, std::size_t bytes) {
    while (!memory_.fits(bytes)) {
        const Handle chosen = choose_for_memory(connections_, handle, clock_.now());
        if (connections_.find(chosen) == nullptr) return false;
        drop_for_memory(chosen);
    }
    return true;
}

void HttpServer::drop_for_memory(Handle handle) {
    const bool reads = connections_.find(handle)->state == State::reading;
    ++(reads ? counters_.incomplete_dropped : counters_.unread_dropped);
    if (reads)
        reject(handle, bad_request_timeout);
    else
        close(handle);
}

// Answers a request that is not passed on, and ends the connection.
void HttpServer::reject(Handle handle, int status) {
    Connection& connection = *connections_.find(handle);
    set_state(connection, State::waiting);
    connection.is_last = true;
    connection.drop_requests();
    answer(handle, {status, {}, 0});
}

void HttpServer::answer(Handle handle, Response answer) {
    Connection* connection = connections_.find(handle);
    if (connection == nullptr || connection->state != State::waiting) return;
    set_state(*connection, State::writing);
    connection->is_last |= stopping_;
    connection->body = std::move(answer.body);
    connection->head =
        write_response_head({answer.status, connection->body.size(), answer.retry_after / millisecond,
                             connection->is_last, answer.allow});
    connection->progress_at = clock_.now();
    connection->update_charge();
    clock_.timers.reschedule(connection->timer, clock_.now() + limits_.write_timeout, *this, handle);
    write(handle);
    if (connection->charge.bytes() > 0) make_room(handle, 0);
}

void HttpServer::write(Handle handle) {
    Connection& connection = *connections_.find(handle);
    if (connection.write_pending) return;
    connection.write_pending = true;
    const std::array<boost::asio::const_buffer, 2> buffers =
        connection.writes_continue ? std::array{buffer_of(continue_response), buffer_of({})}
                                   : std::array{buffer_of(connection.head), buffer_of(connection.body)};
    const auto note_progress = [this, handle](const error_code& failure, std::size_t) {
        connections_.find(handle)->progress_at = clock_.now();
        return failure ? 0 : max_written_at_once;
    };
    boost::asio::async_write(
        connection.socket, buffers, note_progress,
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
    connection.drop_response();
    connection.update_charge();
    if (connection.peer_ended) return close(handle);
    if (connection.is_last) return half_close(handle);
    set_state(connection, State::reading);
    connection.served = true;
    connection.idle_since = clock_.now();
    await_request(handle);
    continue_in_next_turn(handle);
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
    set_state(connection, State::lingering);
    connection.drop_requests();
    connection.update_charge();
    clock_.timers.reschedule(connection.timer, clock_.now() + linger_timeout, *this, handle);
    await_bytes(handle);
}

void HttpServer::on_timer_due(Handle handle, std::uint64_t what) {
    switch (static_cast<Timer>(what)) {
        case Timer::accept_timer:
            accept_timer_ = TimerQueue::none;
            return accept();
        case Timer::queue_timer:
            queue_timer_ = TimerQueue::none;
            return serve_queued();
        case Timer::turn_timer:
            connections_.find(handle)->turn_timer = TimerQueue::none;
            return on_turn(handle);
        case Timer::timeout_timer:
            connections_.find(handle)->timer = TimerQueue::none;
            return on_timeout(handle);
    }
}

void HttpServer::on_timeout(Handle handle) {
    Connection& connection = *connections_.find(handle);
    if (connection.state == State::queued) {
        ++counters_.expired;
        if (std::exchange(connection.in_queue, false)) queue_.remove(handle);
        return reject(handle, gateway_timeout);
    }
    if (connection.state == State::reading && connection.reader.begun()) {
        ++counters_.incomplete;
        return reject(handle, bad_request_timeout);
    }
    if (connection.state == State::reading) {
        if (is_idle(connection))
            half_close(handle);  // otherwise a request is about to be read, which sets a timer
        return;
    }
    counters_.unread += connection.state == State::writing;
    close(handle);
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
    if (connection->in_queue) queue_.remove(handle);
    set_state(*connection, State::closed);
    clock_.timers.cancel(connection->timer);
    clock_.timers.cancel(connection->turn_timer);
    connection->drop_requests();
    connection->charge.resize(0);
    error_code failure;
    connection->socket.shutdown(tcp::socket::shutdown_send, failure);
    std::array<char, 16384> dropped;
    for (std::size_t left = max_unread;
         !failure && left > 0;)  // closing with unread bytes would send a reset
        left -= std::min(left, connection->socket.read_some(boost::asio::buffer(dropped), failure));
    connection->socket.close(failure);
    release_if_ended(handle);
}

void HttpServer::release_if_ended(Handle handle) {
    const Connection* connection = connections_.find(handle);
    if (connection == nullptr || connection->state != State::closed) return;
    if (connection->wait_pending || connection->write_pending) return;
    connections_.release(handle);
    accept();
}

}  // namespace tealcart
