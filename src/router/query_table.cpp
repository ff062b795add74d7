#include "router/query_table.hpp"

#include <algorithm>

namespace tealcart::router {

Query& QueryTable::add_query(const QueryArrival& arrival) {
    const QueryIndex index = query_index_.insert(arrival.correlation_id);
    if (index >= queries_.size()) queries_.resize(index + 1);
    Query& query = queries_[index];
    query = Query{};
    query.id = arrival.id;
    query.correlation_id = arrival.correlation_id;
    query.query_class = arrival.query_class;
    query.phase_deadline_at = arrival.phase_deadline_at;
    live_.push_back(index);
    return query;
}

ShardRequest* QueryTable::add_shard_request(const ShardRequestArrival& arrival) {
    const QueryIndex query = query_index_.find(arrival.correlation_id);
    if (query == IdIndex::none || queries_[query].ended) return nullptr;
    const ShardRequestIndex index = shard_request_index_.insert(arrival.id);
    if (index >= shard_requests_.size()) shard_requests_.resize(index + 1);
    ShardRequest& shard_request = shard_requests_[index];
    shard_request = ShardRequest{};
    shard_request.id = arrival.id;
    shard_request.query = query;
    shard_request.shard = arrival.shard;
    shard_request.weight = arrival.weight;
    shard_request.attempts_used = arrival.attempts_used;
    shard_request.answered = arrival.answered;
    queries_[query].needs_plan = true;
    queries_[query].shard_requests.push_back(index);
    return &shard_request;
}

Query* QueryTable::find_live_query(std::uint32_t id) {
    for (const QueryIndex index : live_)
        if (queries_[index].id == id && !queries_[index].ended) return &queries_[index];
    return nullptr;
}

void QueryTable::sort_by_weight(Query& query) {
    std::stable_sort(query.shard_requests.begin(), query.shard_requests.end(),
                     [this](ShardRequestIndex a, ShardRequestIndex b) {
                         return shard_requests_[a].weight > shard_requests_[b].weight;
                     });
}

bool QueryTable::any_in_flight(const Query& query) const {
    return std::any_of(query.shard_requests.begin(), query.shard_requests.end(),
                       [this](ShardRequestIndex index) { return shard_requests_[index].in_flight > 0; });
}

bool QueryTable::any_may_have_run(const Query& query) const {
    return any_of_both_steps(query, [](const ShardRequest& shard_request) {
        return std::any_of(shard_request.attempts.begin(), shard_request.attempts.end(),
                           [](const Attempt& attempt) { return attempt.may_have_run; });
    });
}

void QueryTable::retire_ended() {
    std::erase_if(live_, [this](QueryIndex index) {
        if (!queries_[index].ended) return false;
        queries_[index].is_live = false;
        forget_if_done(index);
        return true;
    });
}

void QueryTable::forget_if_done(QueryIndex index) {
    const Query& query = queries_[index];
    if (query.is_live) return;
    if (any_of_both_steps(query, [](const ShardRequest& request) { return request.in_flight > 0; })) return;
    for (const ShardRequestIndex request : query.first_step_requests)
        shard_request_index_.erase(shard_requests_[request].id);
    for (const ShardRequestIndex request : query.shard_requests)
        shard_request_index_.erase(shard_requests_[request].id);
    query_index_.erase(query.correlation_id);
}

template <typename Predicate>
bool QueryTable::any_of_both_steps(const Query& query, Predicate predicate) const {
    const auto holds = [&](ShardRequestIndex index) { return predicate(shard_requests_[index]); };
    return std::any_of(query.first_step_requests.begin(), query.first_step_requests.end(), holds) ||
           std::any_of(query.shard_requests.begin(), query.shard_requests.end(), holds);
}

}  // namespace tealcart::router
