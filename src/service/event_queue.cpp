#include "service/event_queue.hpp"

#include <utility>

namespace tealcart {

void EventQueue::begin_round(Nanos now) {
    round_began_at_ = now;
    delivering_.clear();
    std::swap(delivering_, pending_);
}

void EventQueue::deliver(RoundEventHandler& handler) {
    for (const RouterEvent& event : delivering_) {
        if (const auto* endpoints = std::get_if<EndpointsChanged>(&event))
            handler.on_endpoints(endpoints->kind, endpoints->entries);
        else if (const auto* arrived = std::get_if<QueryArrived>(&event))
            deliver_query(handler, arrived->query);
        else if (const auto* result = std::get_if<AttemptResult>(&event))
            handler.on_attempt_result(*result);
        else if (const auto* disconnected = std::get_if<ClientDisconnected>(&event))
            handler.on_query_dropped(disconnected->query);
        else
            handler.on_timer(std::get<RouterTimerFired>(event).cookie);
    }
}

void EventQueue::deliver_query(RoundEventHandler& handler, Handle handle) {
    Query* query = queries_.find(handle);
    // The client may have disconnected before the router learned of the query.
    if (query == nullptr || query->ended) return;
    query->announced = true;
    constexpr std::uint32_t no_tenant = UINT32_MAX;
    QueryArrival arrival{
        query->id, query->id, query->query_class, no_tenant, query->deadline_at, query->is_retry, 0, 0};
    std::size_t first = 0;
    if (query->two_phase) {
        TwoPhaseQuery& two_phase = *query->two_phase;
        first = two_phase.leg_begins;
        arrival.first_arrival_at =
            std::exchange(two_phase.began, two_phase.began > 0 ? two_phase.began : round_began_at_);
        // The leg ends with a round, so it must be the last round before the first phase's end.
        if (two_phase.machine.state() == TwoPhaseStateMachine::State::summarizing)
            arrival.phase_deadline_at = two_phase.first_phase_until - round_interval_;
    }
    handler.on_query(arrival);
    for (std::size_t i = first; i < query->shard_requests.size(); ++i) {
        const ShardRequest& shard_request = query->shard_requests[i];
        handler.on_shard_request({shard_request.id, query->id, shard_request.shard, shard_request.weight,
                                  shard_request.cost_hint, shard_request.attempts_used,
                                  shard_request.answered_before});
    }
}

}  // namespace tealcart
