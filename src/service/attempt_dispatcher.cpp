#include "service/attempt_dispatcher.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace tealcart {
namespace {

// This fraction of the idempotency window is reserved for the transfer to the data node.
constexpr Nanos window_margin_divisor = 50;

Nanos usable_window(const QueryClassConfig& query_class) {
    if (query_class.effect != Effect::idempotent_with_key) return 0;
    return query_class.idempotency_window - query_class.idempotency_window / window_margin_divisor;
}

}  // namespace

AttemptDispatcher::AttemptDispatcher(EventClock& clock, QueryTable& queries, EventQueue& events,
                                     const StartupConfig& startup)
    : clock_(clock), queries_(queries), events_(events),
      max_requests_per_call_(static_cast<std::size_t>(startup.connection_config.max_requests_per_call)) {
    for (const QueryClassConfig& query_class : startup.config.query_classes) {
        with_key_.push_back(query_class.effect == Effect::idempotent_with_key);
        idempotency_window_.push_back(usable_window(query_class));
    }
}

Handle AttemptDispatcher::add(const QueryTable::ShardRequestPosition& position, std::uint32_t node,
                              Nanos wait) {
    Query& query = *queries_.find(position.query);
    ShardRequest& shard_request = query.shard_requests[position.index];
    const Nanos now = events_.round_began_at();
    const Handle handle = attempts_.emplace();
    Attempt& attempt = *attempts_.find(handle);
    attempt.query = position.query;
    attempt.shard_request = position.index;
    attempt.node = node;
    attempt.number = static_cast<std::uint8_t>(shard_request.attempts.size());
    attempt.sent_at = now;
    attempt.deadline = wait > 0 ? std::min(query.deadline_at, now + wait) : query.deadline_at;
    if (shard_request.attempts.empty()) shard_request.first_sent_at = now;
    shard_request.attempts.push_back(handle);
    ++query.in_flight;
    return handle;
}

void AttemptDispatcher::queue(Handle handle, char frame_type) {
    attempts_.find(handle)->frame_type = frame_type;
    queued_.push_back(handle);
}

void AttemptDispatcher::send_queued(const NodeTable& nodes, Nanos attempts_until) {
    for (std::size_t i = 0; i < queued_.size(); ++i) {
        const Attempt* first = attempts_.find(queued_[i]);
        if (!is_queued(first)) continue;  // it has ended, or was sent in an earlier frame
        const std::uint32_t node = first->node;
        Batch batch = gather_batch(i, attempts_until);
        std::vector<Handle> sent;
        for (const AttemptMessage& message : batch.messages) sent.push_back(message.attempt);
        const Handle connection =
            sender_->send(node, nodes.address(node), std::move(batch.messages), batch.avoid);
        for (const Handle handle : sent) {
            Attempt* attempt = attempts_.find(handle);
            if (attempt == nullptr) continue;
            attempt->connection = connection;
            queries_.find(attempt->query)
                ->shard_requests[attempt->shard_request]
                .connections.push_back(connection);
        }
    }
    queued_.clear();
}

// Returns the queued attempt at index `first` together with later ones that may share its frame.
AttemptDispatcher::Batch AttemptDispatcher::gather_batch(std::size_t first, Nanos attempts_until) {
    Batch batch;
    const std::uint32_t node = attempts_.find(queued_[first])->node;
    for (std::size_t i = first; i < queued_.size() && batch.messages.size() < max_requests_per_call_; ++i) {
        Attempt* attempt = attempts_.find(queued_[i]);
        if (!is_queued(attempt) || attempt->node != node) continue;
        if (!batch.messages.empty() && batch.messages.front().frame_type != attempt->frame_type) continue;
        batch.messages.push_back(make_message(queued_[i], *attempt, attempts_until));
        const Query& query = *queries_.find(attempt->query);
        const auto& used = query.shard_requests[attempt->shard_request].connections;
        batch.avoid.insert(batch.avoid.end(), used.begin(), used.end());
        attempt->timeout = clock_.timers.add(attempt->deadline, *this, queued_[i]);
    }
    return batch;
}

AttemptMessage AttemptDispatcher::make_message(Handle handle, const Attempt& attempt,
                                               Nanos attempts_until) const {
    const Query& query = *queries_.find(attempt.query);
    const ShardRequest& shard_request = query.shard_requests[attempt.shard_request];
    AttemptMessage message{handle, query.text, shard_request.shard, attempt.deadline,
                           send_by(query, shard_request, attempt, attempts_until)};
    if (attempt.frame_type == 'R') return message;
    message.frame_type = attempt.frame_type;
    message.leg = shard_request.leg;
    message.rows = static_cast<std::uint16_t>(query.two_phase->criteria.rows);
    message.wants_filter = query.two_phase->machine.config().cache_filters;
    return message;
}

// Returns the latest time to write an attempt. A retry with an idempotency key must not wait for a connection
// until after the idempotency window, since it would then run as a new request. The window starts when the
// first attempt is sent.
Nanos AttemptDispatcher::send_by(const Query& query, const ShardRequest& shard_request,
                                 const Attempt& attempt, Nanos attempts_until) const {
    if (!with_key_[query.query_class] || attempt.number == 0) return attempts_until;
    return std::min(attempts_until, shard_request.first_sent_at + idempotency_window_[query.query_class]);
}

Handle AttemptDispatcher::find_in_flight(const ShardRequest& shard_request, Handle connection) const {
    for (const Handle handle : shard_request.attempts)
        if (const Attempt* attempt = attempts_.find(handle);
            attempt != nullptr && attempt->connection == connection)
            return handle;
    return {};
}

void AttemptDispatcher::cancel(const QueryTable::ShardRequestPosition& position, std::uint8_t number) {
    const Query& query = *queries_.find(position.query);
    const ShardRequest& shard_request = query.shard_requests[position.index];
    if (number >= shard_request.attempts.size()) return;
    const Handle handle = shard_request.attempts[number];
    const Attempt* attempt = attempts_.find(handle);
    if (attempt == nullptr) return;
    if (is_queued(attempt) || sender_->withdraw(attempt->connection, handle))
        return end(handle, Outcome::not_sent);
    sender_->send_cancel(attempt->connection, *query.text, shard_request.shard, shard_request.leg);
    end(handle, Outcome::cancelled);
}

void AttemptDispatcher::on_timer_due(Handle handle, std::uint64_t) {
    Attempt& attempt = *attempts_.find(handle);
    attempt.timeout = TimerQueue::none;
    if (sender_->withdraw(attempt.connection, handle)) return end(handle, Outcome::not_sent);
    const Query& query = *queries_.find(attempt.query);
    const ShardRequest& shard_request = query.shard_requests[attempt.shard_request];
    sender_->send_cancel(attempt.connection, *query.text, shard_request.shard, shard_request.leg);
    end(handle, Outcome::timeout);
}

void AttemptDispatcher::withdraw_unsent(Query& query, std::size_t first) {
    for (std::size_t i = first; i < query.shard_requests.size(); ++i)
        for (const Handle handle : std::vector<Handle>(query.shard_requests[i].attempts)) {
            const Attempt* attempt = attempts_.find(handle);
            if (attempt == nullptr) continue;
            if (is_queued(attempt) || sender_->withdraw(attempt->connection, handle))
                end(handle, Outcome::not_sent);
        }
}

void AttemptDispatcher::end(Handle handle, Outcome outcome, std::string_view value) {
    Attempt* attempt = attempts_.find(handle);
    if (attempt == nullptr) return;
    clock_.timers.cancel(attempt->timeout);
    const Attempt ended = *attempt;
    attempts_.release(handle);
    sender_->complete(ended.connection, handle);
    if (outcomes_ != nullptr) outcomes_->on_attempt_end(ended.node, outcome);
    Query& query = *queries_.find(ended.query);
    ShardRequest& shard_request = query.shard_requests[ended.shard_request];
    if (outcome == Outcome::ok && !shard_request.answered && !query.ended &&
        !store_value(query, shard_request, value))
        outcome = Outcome::error;
    events_.push(
        AttemptResult{shard_request.id, ended.node, ended.number, outcome, clock_.now() - ended.sent_at});
    --query.in_flight;
    queries_.release_if_ended(ended.query);
}

// Stores the value of a shard request. Returns false if the response can't hold it, or there is no memory for
// it.
bool AttemptDispatcher::store_value(Query& query, ShardRequest& shard_request, std::string_view value) {
    if (query.value_bytes + value.size() > max_body_bytes) return false;
    if (!queries_.charge_value(query, value.size())) {
        log_query(LogLevel::warn, query.text->id,
                  "there is no memory for a value of %zu bytes: all queries hold %zu of %zu bytes",
                  value.size(), queries_.memory().used(), queries_.memory().limit());
        return false;
    }
    query.value_bytes += value.size();
    shard_request.value = value;
    shard_request.answered = true;
    if (query.two_phase && !shard_request.first_phase)
        query.two_phase->machine.on_rows_without_ranks(shard_request.section);
    return true;
}

}  // namespace tealcart
