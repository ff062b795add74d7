#include "router/admission.hpp"

#include <algorithm>

namespace tealcart::router {
namespace {

// Share of the remaining time that the expected latency of a query may take. It is lower for a query that is
// late or over its tenant's quota.
constexpr double usable_time_share = 0.65;
constexpr double low_priority_time_share = 0.35;
constexpr double no_backlog_latency = 4.0;  // multiple of the base latency at nodes without a backlog

// The time that is left in which an answer still earns weight.
Nanos time_left(const Query& query, const QueryClassConfig& config, Nanos now) {
    if (now < query.objective_at) return query.objective_at - now;
    if (config.late_weight <= 0) return 0;
    return std::min(query.answer_deadline_at - now, config.latency_objective);
}

}  // namespace

bool Admission::admit(const Query& query, const QueryClass& query_class, int width, QueryTable& queries,
                      Nanos now) const {
    const double max_latency = max_expected_latency(query, query_class.config, now);
    double in_time = 0;
    double selected = 0;
    for (const ShardRequestIndex index : query.shard_requests) {
        ShardRequest& shard_request = queries.shard_request(index);
        if (shard_request.selected) selected += shard_request.weight;
        if (shard_request.answered) in_time += shard_request.weight;
        if (!shard_request.may_be_sent()) continue;
        const ReplicaSelector::Best best = selector_.best_replica(shard_request.shard, now);
        if (best.node == no_node) continue;
        shard_request.expected_late = best.answer_in > max_latency;
        if (!shard_request.expected_late) in_time += shard_request.weight;
    }
    if (in_time < query_class.needed_weight(query.step) - weight_tolerance) return false;
    if (!query_class.allows_partial) return true;

    for (int i = width - 1; i >= 0; --i) {
        ShardRequest& shard_request =
            queries.shard_request(query.shard_requests[static_cast<std::size_t>(i)]);
        const double remaining = selected - shard_request.weight;
        if (!shard_request.expected_late || remaining < query_class.config.min_answer_weight) continue;
        shard_request.selected = false;
        selected = remaining;
    }
    return true;
}

// The lower bound keeps a query of full priority weight from being rejected while nodes are idle.
double Admission::max_expected_latency(const Query& query, const QueryClassConfig& config, Nanos now) const {
    const auto left = static_cast<double>(time_left(query, config, now));
    const bool is_low_priority = now >= query.objective_at || query.priority_weight < 1;
    if (is_low_priority) return low_priority_time_share * left;
    return std::max(usable_time_share * left, no_backlog_latency * latency_.base_latency());
}

}  // namespace tealcart::router
