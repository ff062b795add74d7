// Hedging: decides when a shard request gets a second attempt while the first is still in flight.
//
// A hedge requires that the node of the first attempt has been silent for long or is no longer ready, that
// the best replica is expected to answer soon, that most of the fleet responds and that there is no pressure.
// Hedges are limited to a share of the attempts in flight. If a query needs all of its shard requests, the
// last few are hedged under pressure too, and also to a replica that is expected to answer only by the
// latency objective, because all work done for the query is wasted without them. A hedge must also be allowed
// by RetryPolicy::may_retry, and it counts against the retry budget (QueryRouter::State::send_retries).
#pragma once

#include "router/node_tracker.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

// Decides on hedges and counts those in flight.
class Hedging {
  public:
    // `nodes` must outlive this object.
    Hedging(const RouterConfig& config, const NodeTracker& nodes)
        : is_enabled_(config.may_hedge), nodes_(nodes) {}

    // Conditions that are the same for all shard requests of a query in this round.
    struct Conditions {
        bool is_nearly_complete = false;  // the query needs all shard requests, and few are missing
        double answer_within = 0;         // longest expected latency of the replica, in nanoseconds
    };
    Conditions conditions_for(const Query& query, const QueryClass& query_class, const QueryTable& queries,
                              Nanos now) const;

    // Returns whether the shard request is to be hedged now.
    bool is_due(const ShardRequest& shard_request, const Conditions& conditions, bool has_pressure,
                Nanos now) const;

    // An attempt was sent, or ended, while another attempt of its shard request was in flight.
    void record_hedge() { ++in_flight_; }
    void record_hedge_ended() { --in_flight_; }

  private:
    bool is_overdue(const Attempt& attempt, Nanos now) const;

    bool is_enabled_;
    const NodeTracker& nodes_;
    int in_flight_ = 0;  // hedges
};

}  // namespace tealcart::router
