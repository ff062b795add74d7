#include "wire/node_connection_pool.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "config/host_port.hpp"
#include "log/log.hpp"

namespace tealcart {
namespace {

using boost::system::error_code;

constexpr std::size_t max_queued_frames = 4096;
// A node whose queue is longer has read nothing for several rounds.
constexpr std::size_t long_queue_frames = 128;
constexpr std::size_t queued_frame_bytes = 256;  // of a cancellation with its entry in the queue, at most
constexpr int max_silent_connections = 2;        // per node: if two are silent, a third would be too
constexpr Nanos millisecond = 1'000'000;
constexpr char cancel_frame = 'A', probe_frame = 'G';

// Idle connections are closed before the data node closes them, with a margin of a tenth of its timeout.
Nanos own_idle_timeout(const ConnectionConfig& config) { return config.idle_close - config.idle_close / 10; }

}  // namespace

NodeConnectionPool::NodeConnectionPool(boost::asio::io_context& io, EventClock& clock,
                                       const ConnectionConfig& config, ConnectionObserver& observer,
                                       const NodeConnectionLimits& limits)
    : io_(io), clock_(clock), connect_timeout_(config.connect_timeout),
      idle_timeout_(own_idle_timeout(config)),
      max_frames_per_connection_(static_cast<std::size_t>(config.max_calls_per_connection)), limits_(limits),
      probing_(config.probing), observer_(observer),
      receiver_(observer, [this](std::uint32_t node) { close_silent(node); }) {}

Handle NodeConnectionPool::send(std::uint32_t node, const std::string& address,
                                std::vector<AttemptMessage> messages, std::span<const Handle> avoid) {
    const bool two_phase = messages.front().frame_type != 'R';
    Handle chosen = choose(node, two_phase, avoid);
    if (connections_.find(chosen) == nullptr) chosen = add_connection(node, address, two_phase);
    NodeConnection& connection = *connections_.find(chosen);
    if (connection.connected()) clock_.timers.cancel(connection.timer());  // it is no longer idle
    ++last_frame_;
    for (const AttemptMessage& message : messages) connection.add_in_flight(last_frame_, message);
    connection.queue().push_attempts(last_frame_, std::move(messages));
    write(chosen);
    const bool others_were_waiting = waiting_.size() > 1;
    open_waiting();
    if (!waiting_.empty() && !others_were_waiting)
        log_line("the limit of %zu open connections to data nodes is reached; attempts wait for a connection",
                 open_sockets_);
    return chosen;
}

// Returns a connection with capacity, preferably a connected one, otherwise one that is being opened. A
// silent connection is chosen only if a further connection would not help. Returns no handle if a new one is
// needed.
Handle NodeConnectionPool::choose(std::uint32_t node, bool two_phase, std::span<const Handle> avoid) {
    Handle chosen, silent_choice;
    int silent_connections = 0;
    for (const Handle handle : connections_of(node)) {
        const NodeConnection& connection = *connections_.find(handle);
        if (connection.two_phase() != two_phase) continue;
        const bool silent = is_silent(connection);
        silent_connections += silent;
        if (silent) probe_is_pending(handle);  // sends the probe if it is due
        if (!connection.has_capacity(max_frames_per_connection_)) continue;
        if (std::find(avoid.begin(), avoid.end(), handle) != avoid.end()) continue;
        (silent ? silent_choice : chosen) = handle;
        if (connection.connected() && !silent) break;
    }
    if (chosen == Handle{} && silent_connections >= max_silent_connections) return silent_choice;
    return chosen;
}

std::vector<Handle> NodeConnectionPool::connections_of(std::uint32_t node) const {
    const auto found = by_node_.find(node);
    return found == by_node_.end() ? std::vector<Handle>() : found->second;
}

bool NodeConnectionPool::is_silent(const NodeConnection& connection) const {
    return connection.silence().is_silent(clock_.now(), connect_timeout_);
}

// Sends a probe if one is due and the settings allow it. Returns true while its answer may still arrive.
// Guards against treating a connection as broken because its shard requests take long.
bool NodeConnectionPool::probe_is_pending(Handle handle) {
    if (!probing_) return false;
    SilenceDetector& silence = connections_.find(handle)->silence();
    const SilenceDetector::Probe probe = silence.probe(clock_.now(), connect_timeout_);
    if (probe != SilenceDetector::Probe::due) return probe == SilenceDetector::Probe::pending;
    silence.on_probe_sent(clock_.now());
    send_control(handle, probe_frame, {});
    return true;
}

// Closes the silent connections of a node that has just answered on another one. Their attempts are cancelled
// and can be retried.
void NodeConnectionPool::close_silent(std::uint32_t node) {
    for (const Handle handle : connections_of(node)) {
        const NodeConnection* connection = connections_.find(handle);
        if (connection == nullptr || !is_silent(*connection) || probe_is_pending(handle)) continue;
        log_line("data node %u answers, but one of its connections has been silent for %lld ms and is closed",
                 node, static_cast<long long>(connection->silence().silence(clock_.now()) / millisecond));
        close(handle, Outcome::cancelled);
    }
}

// Adds a connection that is opened once a file descriptor is free, in request order. Until then its frames
// wait as on a connection that is connecting. Guards against blaming nodes, and using up attempts, when the
// router itself has no free descriptors.
Handle NodeConnectionPool::add_connection(std::uint32_t node, const std::string& address, bool two_phase) {
    const Handle handle = connections_.emplace(io_, node, address, two_phase);
    by_node_[node].push_back(handle);
    waiting_.push_back(handle);
    return handle;
}

void NodeConnectionPool::open_waiting() {
    if (opening_suspended_) return;  // the loop below already uses descriptors that closing frees
    opening_suspended_ = true;
    while (!waiting_.empty()) {
        if (open_sockets_ >= limits_.sockets) close_one_idle();
        if (open_sockets_ >= limits_.sockets) break;
        const Handle handle = waiting_.front();
        waiting_.pop_front();
        if (!connect(handle)) close(handle, Outcome::connect_failed);
    }
    opening_suspended_ = false;
}

void NodeConnectionPool::close_one_idle() {
    Handle idle;
    connections_.for_each([&idle](Handle handle, const NodeConnection& connection) {
        if (connection.connected() && !connection.closed() && connection.in_flight().empty()) idle = handle;
    });
    close(idle, Outcome::reset);
}

bool NodeConnectionPool::connect(Handle handle) {
    NodeConnection& connection = *connections_.find(handle);
    const auto address = parse_host_port(connection.address());
    error_code failure;
    const auto host = boost::asio::ip::make_address(address ? address->host : "", failure);
    if (failure) return false;
    failure = connection.open(host);
    if (failure) {
        log_line("failed to open a socket for data node %u: %s", connection.node(),
                 failure.message().c_str());
        return false;
    }
    ++open_sockets_;
    clock_.timers.reschedule(connection.timer(), clock_.now() + connect_timeout_, *this, handle);
    connection.async_connect({host, address->port},
                             [this, handle](const error_code& result) { on_connected(handle, result); });
    return true;
}

void NodeConnectionPool::on_connected(Handle handle, const error_code& failure) {
    NodeConnection& connection = *connections_.find(handle);
    connection.operation_ended();
    if (connection.closed()) return release_if_ended(handle);
    clock_.timers.cancel(connection.timer());
    if (failure) return close(handle, Outcome::connect_failed);
    connection.set_connected();
    read(handle);
    write(handle);
    close_if_unused(handle);
}

void NodeConnectionPool::read(Handle handle) {
    connections_.find(handle)->async_read([this, handle](const error_code& failure, std::size_t size) {
        NodeConnection& connection = *connections_.find(handle);
        if (!connection.closed() && failure)
            close(handle, receiver_.two_phase_refused(connection) ? Outcome::not_sent : Outcome::reset);
        if (!connection.closed()) on_received(handle, connection, size);
        connection.operation_ended();  // only now, so that the connection is not released while it is in use
        if (connection.closed()) return release_if_ended(handle);
        read(handle);
    });
}

void NodeConnectionPool::on_received(Handle handle, NodeConnection& connection, std::size_t size) {
    connection.append_received(size);
    connection.silence().on_received(clock_.now());
    switch (receiver_.read_frames(handle, connection)) {
        case FrameReceiver::Result::ok:
            return watch_incomplete_frame(handle, connection);
        case FrameReceiver::Result::closed:
            return;
        case FrameReceiver::Result::malformed:
            return fail_malformed(handle, false);
        case FrameReceiver::Result::malformed_answer:
            return fail_malformed(handle, true);
        case FrameReceiver::Result::two_phase_refused:
            return close(handle, Outcome::not_sent);
    }
}

// Without an attempt in flight, an incomplete frame belongs to nothing that was sent. Otherwise the frame
// must be complete within the connect timeout.
void NodeConnectionPool::watch_incomplete_frame(Handle handle, NodeConnection& connection) {
    if (connection.in_flight().empty()) {
        if (connection.has_incomplete_frame()) fail_malformed(handle, false);
        return;
    }
    if (!connection.has_incomplete_frame())
        clock_.timers.cancel(connection.timer());
    else if (connection.timer() == TimerQueue::none)
        clock_.timers.reschedule(connection.timer(), clock_.now() + connect_timeout_, *this, handle);
}

template <typename Predicate>
void NodeConnectionPool::discard_unsent(NodeConnection& connection, Predicate matches) {
    for (const Handle attempt : connection.queue().remove_if(matches))
        observer_.on_attempt_lost(attempt, Outcome::not_sent);
}

void NodeConnectionPool::write(Handle handle) {
    NodeConnection& connection = *connections_.find(handle);
    if (!connection.connected() || connection.writing() || connection.closed()) return;
    const Nanos now = clock_.now();
    discard_unsent(connection, [now](const AttemptMessage& message) { return now > message.send_by; });
    if (connection.closed() || connection.queue().empty()) return;
    const auto buffers = connection.queue().begin_batch(now);
    if (connection.queue().batch_has_attempts()) connection.silence().on_attempts_sent(now);
    connection.async_write(buffers, [this, handle](const error_code& failure, std::size_t size) {
        on_written(handle, failure, size);
    });
}

void NodeConnectionPool::on_written(Handle handle, const error_code& failure, std::size_t size) {
    NodeConnection& connection = *connections_.find(handle);
    connection.operation_ended();
    connection.set_write_ended();
    if (connection.closed()) return release_if_ended(handle);
    if (failure) return close(handle, Outcome::reset, size);
    connection.queue().finish_batch();
    write(handle);
}

bool NodeConnectionPool::withdraw(Handle handle, Handle attempt) {
    NodeConnection* connection = connections_.find(handle);
    if (connection == nullptr || connection->closed()) return false;
    return connection->queue().withdraw(attempt);
}

void NodeConnectionPool::send_cancel(Handle handle, const QueryText& query, std::uint32_t shard,
                                     std::uint8_t leg) {
    const NodeConnection* connection = connections_.find(handle);
    if (connection == nullptr || connection->closed()) return;
    if (queue_is_too_long(*connection))
        return close(handle, Outcome::reset);  // the node has read nothing for a long time
    std::string id;
    if (connection->two_phase())
        write_phase_request_id(id, {query.id, shard, leg});
    else
        write_shard_request_id(id, query.id, shard);
    send_control(handle, connection->two_phase() ? phase_cancel_frame : cancel_frame, id);
}

bool NodeConnectionPool::queue_is_too_long(const NodeConnection& connection) const {
    const std::size_t frames = connection.queue().size();
    if (frames < long_queue_frames || frames >= max_queued_frames) return frames >= max_queued_frames;
    std::size_t all_frames = 0;
    connections_.for_each([&](Handle, const NodeConnection& each) { all_frames += each.queue().size(); });
    if (all_frames * queued_frame_bytes <= limits_.queue_bytes) return false;
    log_line(
        "data node %u has not read %zu frames, and its connection is closed: %zu frames wait for all nodes",
        connection.node(), frames, all_frames);
    return true;
}

void NodeConnectionPool::send_control(Handle handle, char type, std::string_view rest) {
    connections_.find(handle)->queue().push_control(type, rest);
    write(handle);
}

void NodeConnectionPool::complete(Handle handle, Handle attempt) {
    NodeConnection* connection = connections_.find(handle);
    if (connection == nullptr || connection->closed()) return;
    connection->complete(attempt);
    close_if_unused(handle);
}

// Closes a connection without attempts in flight, or starts its idle timeout if it can still be used.
void NodeConnectionPool::close_if_unused(Handle handle) {
    NodeConnection& connection = *connections_.find(handle);
    if (connection.closed() || !connection.in_flight().empty()) return;
    if (!connection.connected()) {
        const bool is_waiting = std::find(waiting_.begin(), waiting_.end(), handle) != waiting_.end();
        if (is_waiting) close(handle, Outcome::not_sent);
        return;
    }
    const bool finished = connection.retired() && !connection.writing() && connection.queue().empty();
    if (connection.has_incomplete_frame() || is_silent(connection) || finished)
        return close(handle, Outcome::reset);
    connection.silence().on_idle();
    const Nanos kept_for = connection.retired() ? 0 : idle_timeout_;
    clock_.timers.reschedule(connection.timer(), clock_.now() + kept_for, *this, handle);
    open_waiting();
}

void NodeConnectionPool::on_timer_due(Handle handle, std::uint64_t) {
    NodeConnection& connection = *connections_.find(handle);
    connection.timer() = TimerQueue::none;
    if (connection.has_incomplete_frame()) {
        FrameReceiver::log_malformed(connection.node());
        return fail_malformed(handle, false);
    }
    close(handle, Outcome::connect_failed);  // it was idle, or did not connect in time
}

void NodeConnectionPool::retire(std::uint32_t node, bool discard) {
    for (const Handle handle : connections_of(node)) {
        NodeConnection& connection = *connections_.find(handle);
        connection.retire();
        if (discard) discard_unsent(connection, [](const AttemptMessage&) { return true; });
        if (connections_.find(handle) == nullptr) continue;  // it was waiting for a descriptor and was closed
        if (connection.closed() || !connection.in_flight().empty()) continue;
        if (connection.connected())
            close_if_unused(handle);
        else
            close(handle, Outcome::not_sent);
    }
}

void NodeConnectionPool::close_all() {
    opening_suspended_ = true;
    connections_.for_each([this](Handle handle, NodeConnection&) { close(handle, Outcome::reset); });
}

// Closes a connection on which malformed data arrived. The data counts as the answer to one attempt: the
// oldest written one, unless an attempt has already been reported. The others are cancelled, since no more
// answers arrive here. Guards against blaming a node many times for one malformed answer.
void NodeConnectionPool::fail_malformed(Handle handle, bool attempt_reported) {
    const NodeConnection& connection = *connections_.find(handle);
    const auto& in_flight = connection.in_flight();
    const auto oldest = std::find_if(in_flight.begin(), in_flight.end(),
                                     [&](const auto& attempt) { return connection.was_written(attempt); });
    if (!attempt_reported && oldest != in_flight.end())
        observer_.on_attempt_lost(Handle(oldest->attempt), Outcome::error);
    close(handle, Outcome::cancelled);
}

// Closes a connection and ends all attempts in flight on it. Written attempts may have run and end with
// `outcome`; unwritten ones have not run.
void NodeConnectionPool::close(Handle handle, Outcome outcome, std::size_t bytes_written) {
    NodeConnection* connection = connections_.find(handle);
    if (connection == nullptr || connection->closed()) return;
    clock_.timers.cancel(connection->timer());
    open_sockets_ -= connection->is_open();
    connection->close();
    std::erase(waiting_, handle);
    if (const auto of_node = by_node_.find(connection->node());
        std::erase(of_node->second, handle) > 0 && of_node->second.empty())
        by_node_.erase(of_node);
    for (const NodeConnection::InFlightAttempt& attempt : connection->take_in_flight()) {
        const bool may_have_run = connection->was_written(attempt, bytes_written);
        observer_.on_attempt_lost(attempt.attempt, may_have_run ? outcome : Outcome::connect_failed);
    }
    connection->queue().clear();
    release_if_ended(handle);
    open_waiting();
}

void NodeConnectionPool::release_if_ended(Handle handle) {
    const NodeConnection* connection = connections_.find(handle);
    if (connection != nullptr && connection->may_be_released()) connections_.release(handle);
}

}  // namespace tealcart
