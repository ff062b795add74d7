// Hedging: when a second attempt of a shard request goes out beside the first.
//
// The node of the first must have been silent for long, or be no longer ready; the best replica must be
// expected back soon; most of the fleet must respond, and there must be no pressure; hedges are held to a
// share of the attempts in flight. The last few shard requests of a query that needs all of them are hedged
// under pressure too, and to a replica that is only expected back by the latency objective: all that the
// query has cost is lost with them. A hedge must also be allowed by RetryPolicy::may_retry, and takes from
// the retry budget (QueryRouter::State::send_retries).
#pragma once

#include "router/node_tracker.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

class Hedging {
  public:
    // `nodes` outlives the object.
    Hedging(const RouterConfig& config, const NodeTracker& nodes)
        : is_enabled_(config.may_hedge), nodes_(nodes) {}

    // What holds for all shard requests of a query in this round.
    struct Conditions {
        bool is_nearly_complete = false;  // of a query that needs every shard request
        double answer_within = 0;         // nanoseconds in which the replica must be expected to answer
    };
    Conditions conditions_for(const Query& query, const QueryClass& query_class, const QueryTable& queries,
                              Nanos now) const;

    // Whether the shard request is to be hedged now.
    bool is_due(const ShardRequest& shard_request, const Conditions& conditions, bool has_pressure,
                Nanos now) const;

    // An attempt went out, or ended, while others of its shard request were in flight.
    void record_hedge() { ++in_flight_; }
    void record_hedge_ended() { --in_flight_; }

  private:
    bool is_overdue(const Attempt& attempt, Nanos now) const;

    bool is_enabled_;
    const NodeTracker& nodes_;
    int in_flight_ = 0;  // hedges
};

}  // namespace tealcart::router
