// Queries, their shard requests and attempts, from arrival until the last attempt has ended. Holds no
// decisions.
#pragma once

#include <cstdint>
#include <vector>

#include "router/endpoint_table.hpp"
#include "router/id_index.hpp"
#include "router/round_events.hpp"

namespace tealcart::router {

using QueryIndex = std::uint32_t;
using ShardRequestIndex = std::uint32_t;

// One request sent to one node: a first attempt, a retry or a hedge.
struct Attempt {
    NodeIndex node = no_node;
    Nanos sent_at = 0;
    int in_flight_ahead = 0;  // attempts of ours at the node when it was sent
    bool in_flight = true;
    bool may_have_run = true;
};

// What a query wants of one shard, with all attempts of it.
struct ShardRequest {
    bool may_be_sent() const { return !answered && !abandoned; }

    std::uint32_t id = 0;
    QueryIndex query = IdIndex::none;
    std::uint32_t shard = 0;
    double weight = 0;
    double cost = 1;  // against the usual
    std::vector<Attempt> attempts;
    int in_flight = 0;      // attempts
    int attempts_used = 0;  // of earlier legs, which count toward the bound
    Nanos not_before = 0;   // turned away by an overloaded node: no retry sooner
    bool selected = false;  // to be sent
    bool answered = false;
    bool abandoned = false;  // no answer and no attempt to come
    bool overdue = false;    // was still out at the latency objective
    bool expected_late = false;
};

// A query from its arrival to the end of its last attempt.
struct Query {
    std::uint32_t id = 0, correlation_id = 0, query_class = 0;
    std::vector<ShardRequestIndex> shard_requests;       // of the current step, heaviest first once planned
    std::vector<ShardRequestIndex> first_step_requests;  // once that step is answered
    Nanos objective_at = 0;                              // when its latency objective ends
    Nanos answer_deadline_at = 0;                        // when its last answer must be out
    Nanos phase_deadline_at = 0;  // when a leg is answered with whatever is in; 0 for other queries
    double priority_weight =
        1;  // share of the class's priority weight: less where the tenant is over its quota
    int step = 1;
    int resets = 0;              // attempts that ended in a reset
    bool any_answered = false;   // a shard request of it has come back
    bool one_at_a_time = false;  // shard requests go out singly until one is answered
    bool needs_plan = true;      // shard requests came in
    bool first_step_complete = false;
    bool ended = false;
    bool is_live = true;  // not yet taken out of the live queries
    bool is_late_retry = false;
};

// Owns the queries and their shard requests; indices stay valid until the query is forgotten.
class QueryTable {
  public:
    // Adds a live query.
    Query& add_query(const QueryArrival& arrival);
    // Adds a shard request to its query; null where there is none, or it has ended.
    ShardRequest* add_shard_request(const ShardRequestArrival& arrival);

    // Index of the shard request of this id, or IdIndex::none.
    ShardRequestIndex find_shard_request(std::uint32_t id) const { return shard_request_index_.find(id); }
    // A live query of this id that has not ended, or null.
    Query* find_live_query(std::uint32_t id);

    Query& query(QueryIndex index) { return queries_[index]; }
    const Query& query(QueryIndex index) const { return queries_[index]; }
    ShardRequest& shard_request(ShardRequestIndex index) { return shard_requests_[index]; }
    const ShardRequest& shard_request(ShardRequestIndex index) const { return shard_requests_[index]; }
    // Live queries in the order in which they came.
    const std::vector<QueryIndex>& live() const { return live_; }

    void sort_by_weight(Query& query);
    // Whether attempts of the current step are in flight.
    bool any_in_flight(const Query& query) const;
    // Whether an attempt of the query, of either step, may have run.
    bool any_may_have_run(const Query& query) const;

    // Takes ended queries out of the live ones.
    void retire_ended();
    // Forgets an ended query that is not live, once its last attempt has ended.
    void forget_if_done(QueryIndex index);

  private:
    template <typename Predicate>
    bool any_of_both_steps(const Query& query, Predicate predicate) const;

    IdIndex query_index_;  // by correlation id
    IdIndex shard_request_index_;
    std::vector<Query> queries_;
    std::vector<ShardRequest> shard_requests_;
    std::vector<QueryIndex> live_;
};

}  // namespace tealcart::router
