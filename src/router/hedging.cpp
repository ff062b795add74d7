#include "router/hedging.hpp"

#include <algorithm>

namespace tealcart::router {
namespace {

constexpr double max_hedge_share = 0.1;        // of all attempts in flight
constexpr double nearly_complete_share = 0.1;  // of a query's shard requests
constexpr double max_hedge_latency = 2.0;  // multiple of the base latency; an idle replica answers within it

}  // namespace

Hedging::Conditions Hedging::conditions_for(const Query& query, const QueryClass& query_class,
                                            const QueryTable& queries, Nanos now) const {
    const auto answered = static_cast<std::size_t>(
        std::count_if(query.shard_requests.begin(), query.shard_requests.end(),
                      [&](ShardRequestIndex index) { return queries.shard_request(index).answered; }));
    const std::size_t all = query.shard_requests.size();
    const std::size_t missing = all - answered;
    Conditions conditions;
    conditions.is_nearly_complete = !query_class.allows_partial && missing <= nearly_complete_share * all;
    const Nanos until_objective = conditions.is_nearly_complete ? query.objective_at - now : 0;
    conditions.answer_within =
        std::max(max_hedge_latency * nodes_.latency().base_latency(), static_cast<double>(until_objective));
    return conditions;
}

bool Hedging::is_due(const ShardRequest& shard_request, const Conditions& conditions, bool has_pressure,
                     Nanos now) const {
    if (!is_enabled_ || shard_request.in_flight != 1) return false;
    if (!nodes_.outliers().fleet_responds()) return false;
    if (has_pressure && !conditions.is_nearly_complete) return false;
    if (!is_overdue(shard_request.attempts.back(), now)) return false;
    if (in_flight_ >= max_hedge_share * nodes_.activity().total_in_flight() + 1) return false;
    return nodes_.selector().best_replica(shard_request.shard, now).answer_in < conditions.answer_within;
}

bool Hedging::is_overdue(const Attempt& attempt, Nanos now) const {
    if (!nodes_.endpoints().is_ready(attempt.node)) return true;
    const double usual = nodes_.latency().fleet_latency(now);
    return now - attempt.sent_at > suspicious_silence * usual &&
           nodes_.outliers().is_silent(attempt.node, suspicious_silence, now);
}

}  // namespace tealcart::router
