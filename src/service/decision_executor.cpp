#include "service/decision_executor.hpp"

#include "log/log.hpp"
#include "wire/response_body.hpp"

namespace tealcart {

void DecisionExecutor::send_attempt(std::uint32_t id, std::uint32_t node, Nanos wait) {
    const auto* position = queries_.find_shard_request(id);
    if (position == nullptr)
        return log_line("the router sent an attempt of shard request %u, which is unknown", id);
    const Handle attempt = attempts_.add(*position, node, wait);
    const Query& query = *queries_.find(position->query);
    if (!query.two_phase) return attempts_.queue(attempt, 'R');
    const ShardRequest& shard_request = query.shard_requests[position->index];
    query.two_phase->machine.count_attempt(shard_request.section);
    const char frame_type = two_phase_.frame_type(shard_request, node);
    if (frame_type == 0) return attempts_.end(attempt, Outcome::not_sent);
    attempts_.queue(attempt, frame_type);
}

void DecisionExecutor::cancel(std::uint32_t id, std::uint8_t attempt) {
    if (const auto* position = queries_.find_shard_request(id)) attempts_.cancel(*position, attempt);
}

void DecisionExecutor::answer(std::uint32_t id, bool complete) {
    const Query* query = queries_.find_active(id);
    if (query == nullptr) return;
    if (query->two_phase) return two_phase_.end_leg(id, LegDecision::answer, 0);
    QueryResponseBody body(complete);
    for (const ShardRequest& shard_request : query->shard_requests)
        if (shard_request.answered) body.add(shard_request.shard, shard_request.value);
    completion_.respond_with_results(id, body.finish());
}

void DecisionExecutor::reject(std::uint32_t id, Nanos retry_after) {
    if (const Query* query = queries_.find_active(id); query != nullptr && query->two_phase)
        return two_phase_.end_leg(id, LegDecision::reject, retry_after);
    completion_.respond(id, {503, write_error("rejected"), retry_after});
}

void DecisionExecutor::fail_query(std::uint32_t id) {
    if (const Query* query = queries_.find_active(id); query != nullptr && query->two_phase)
        return two_phase_.end_leg(id, LegDecision::fail_query, 0);
    completion_.respond(id, {504, write_error("aborted"), 0});
}

void DecisionExecutor::set_timer(std::uint64_t cookie, Nanos wait) {
    clock_.timers.add(events_.round_began_at() + wait, *this, {}, cookie);
}

void DecisionExecutor::log(const std::string& line) { log_line("%s", line.c_str()); }

}  // namespace tealcart
