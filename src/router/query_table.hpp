// Stores queries, their shard requests and their attempts from arrival until the last attempt has ended. It
// makes no decisions.
#pragma once

#include <cstdint>
#include <vector>

#include "router/endpoint_table.hpp"
#include "router/id_index.hpp"
#include "router/round_events.hpp"

namespace tealcart::router {

using QueryIndex = std::uint32_t;
using ShardRequestIndex = std::uint32_t;

// One request to one node: a first attempt, a retry or a hedge.
struct Attempt {
    NodeIndex node = no_node;
    Nanos sent_at = 0;
    int in_flight_ahead = 0;  // this router's attempts at the node when it was sent
    bool in_flight = true;
    bool may_have_run = true;
};

// The request of a query to one shard, with all of its attempts.
struct ShardRequest {
    bool may_be_sent() const { return !answered && !abandoned; }

    std::uint32_t id = 0;
    QueryIndex query = IdIndex::none;
    std::uint32_t shard = 0;
    double weight = 0;
    double cost = 1;  // relative to the usual cost
    std::vector<Attempt> attempts;
    int in_flight = 0;      // number of attempts in flight
    int attempts_used = 0;  // attempts of earlier phases, which count toward the bound
    Nanos not_before = 0;   // no retry before this time, after a node was overloaded
    bool selected = false;  // whether it is to be sent
    bool answered = false;
    bool abandoned = false;  // no answer is expected and no attempt follows
    bool overdue = false;    // was unanswered at the latency objective
    bool expected_late = false;
};

// A query, from its arrival until its last attempt has ended.
struct Query {
    std::uint32_t id = 0, correlation_id = 0, query_class = 0;
    std::vector<ShardRequestIndex> shard_requests;       // of the current step; heaviest first once planned
    std::vector<ShardRequestIndex> first_step_requests;  // set once that step is answered
    Nanos objective_at = 0;                              // end of its latency objective
    Nanos answer_deadline_at = 0;  // latest time of its answer: the deadline less the margin
    Nanos phase_deadline_at = 0;   // when a phase ends with the answers that are in; 0 for none
    // Share of the query class's priority weight, which is lower if the tenant is over its quota.
    double priority_weight = 1;
    int step = 1;
    int resets = 0;              // attempts that ended in a reset
    bool any_answered = false;   // whether a shard request has been answered
    bool one_at_a_time = false;  // shard requests are sent singly until one is answered
    bool needs_plan = true;      // shard requests have arrived since the last plan
    bool first_step_complete = false;
    bool ended = false;
    bool is_live = true;  // not yet removed from the live queries
    bool is_late_retry = false;
};

// Owns queries and shard requests. Indices stay valid until the query is forgotten.
class QueryTable {
  public:
    // Adds a live query.
    Query& add_query(const QueryArrival& arrival);
    // Adds a shard request to its query. Returns null if the query is not known or has ended.
    ShardRequest* add_shard_request(const ShardRequestArrival& arrival);

    // Returns the index of the shard request with this id, or IdIndex::none.
    ShardRequestIndex find_shard_request(std::uint32_t id) const { return shard_request_index_.find(id); }
    // Returns a live query with this id that has not ended, or null.
    Query* find_live_query(std::uint32_t id);

    Query& query(QueryIndex index) { return queries_[index]; }
    const Query& query(QueryIndex index) const { return queries_[index]; }
    ShardRequest& shard_request(ShardRequestIndex index) { return shard_requests_[index]; }
    const ShardRequest& shard_request(ShardRequestIndex index) const { return shard_requests_[index]; }
    // The live queries in order of arrival.
    const std::vector<QueryIndex>& live() const { return live_; }

    void sort_by_weight(Query& query);
    // Whether attempts of the current step are in flight.
    bool any_in_flight(const Query& query) const;
    // Whether an attempt of either step of the query may have run.
    bool any_may_have_run(const Query& query) const;

    // Removes ended queries from the live ones.
    void retire_ended();
    // Forgets an ended query if it is no longer live and its last attempt has ended.
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
