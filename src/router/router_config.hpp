// The configuration of the decision module, which is fixed when a query router starts.
#pragma once

#include <cstdint>
#include <vector>

#include "router/nanos.hpp"

namespace tealcart {

// Whether a request may be run twice.
enum class Effect : std::uint8_t { idempotent, idempotent_with_key, not_idempotent };

// How endpoint lists are received: pushed by a watch, or polled.
enum class Discovery : std::uint8_t { push, poll };

// The configuration of one query class.
struct QueryClassConfig {
    Effect effect = Effect::idempotent;
    Nanos latency_objective = 0;   // an answer within this time earns the full priority weight
    Nanos deadline = 0;            // how long a client waits over all of its tries
    Nanos idempotency_window = 0;  // idempotent_with_key: how long nodes recognise a repeated attempt
    double late_weight = 0;        // share of the priority weight after the latency objective
    double min_answer_weight = 1;  // least share of the shard requests' weight for an answer
    double complete_weight = 1;    // share from which an answer is complete
    int second_step_requests = 0;  // shard requests in a second step; 0 for no second step
};

// Settings that all query routers of a deployment share, and properties of the fleet that they send to.
struct RouterConfig {
    std::vector<QueryClassConfig> query_classes;
    std::vector<double> tenant_quotas;  // per tenant, queries per second over all query routers
    double over_quota_weight = 1;       // share of the priority weight that a query over its quota keeps
    int routers = 1;
    Nanos round_interval = 0;  // least time between rounds
    Discovery discovery = Discovery::push;
    int places = 1;              // size of the placement ring: shard s is held at places (s + j) mod this
    int replicas_per_shard = 1;  // number of places that hold a shard: j runs from 0 to below this
    int shards = 1;
    int max_attempts = 1;           // per shard request
    int max_requests_per_call = 1;  // shard requests of a round to one node that share a call
    Nanos call_overhead = 0;        // node time that a call takes besides its shard requests
    bool may_cancel = false;
    bool may_hedge = false;
    bool sends_retry_after = false;
    bool retries_marked = false;  // clients mark their retries
    Nanos max_retry_after = 0;
    Nanos drain_grace = 0;
    Nanos max_poll_interval = 0;
    double slow_start_min_fraction = 1;  // least share of its capacity at which a node starts
    Nanos slow_start_duration = 0;       // time after which a node is warm
    double overload_multiple = 1;        // multiple of a warming node's capacity that overloads it
    Nanos overload_window = 0;           // time over which that load is measured
    bool retry_budget_enabled = false;
    double retry_budget_base = 0;   // retries per window independent of arrivals
    double retry_budget_ratio = 0;  // further retries per query and shard request that arrived
    Nanos retry_budget_window = 0;
};

}  // namespace tealcart
