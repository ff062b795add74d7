#include "router/query_planner.hpp"

#include <vector>

namespace tealcart::router {

bool QueryPlanner::plan(Query& query, const QueryClass& query_class, Nanos now) {
    query.needs_plan = false;
    queries_.sort_by_weight(query);
    const int width = width_of(query, query_class);
    for (int i = 0; i < width; ++i)
        queries_.shard_request(query.shard_requests[static_cast<std::size_t>(i)]).selected = true;
    // A second step needs no admission, because its query has been admitted already.
    return query.step == 2 || admission_.admit(query, query_class, width, queries_, now);
}

// Returns how many shard requests to send, heaviest first; all of them if all are needed.
int QueryPlanner::width_of(const Query& query, const QueryClass& query_class) {
    if (query.step != 1 || !query_class.allows_partial || query.shard_requests.empty())
        return static_cast<int>(query.shard_requests.size());
    std::vector<double> weights;
    weights.reserve(query.shard_requests.size());
    for (const ShardRequestIndex index : query.shard_requests)
        weights.push_back(queries_.shard_request(index).weight);
    return fan_out_.select(query.query_class, weights, query_class.config.min_answer_weight);
}

}  // namespace tealcart::router
