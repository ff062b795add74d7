// What a deployment states when a query router starts.
#pragma once

#include <cstdint>
#include <vector>

#include "router/nanos.hpp"

namespace tealcart {

// What running an attempt twice does.
enum class Effect : std::uint8_t { idempotent, idempotent_with_key, not_idempotent };

// How endpoint lists come: pushed by a standing watch, or polled.
enum class Discovery : std::uint8_t { push, poll };

// One query class, as stated.
struct QueryClassConfig {
    Effect effect = Effect::idempotent;
    Nanos latency_objective = 0;   // an answer within this time earns its full priority weight
    Nanos deadline = 0;            // how long a client waits over all its tries
    Nanos idempotency_window = 0;  // idempotent_with_key: for how long a second attempt is recognised
    double late_weight = 0;        // share of the priority weight after the latency objective
    double min_answer_weight = 1;  // least share of the shard requests' weight for an answer
    double complete_weight = 1;    // share that makes a complete answer
    int second_step_requests = 0;  // shard requests of a second step; 0 for none
};

// Settings of all query routers of the deployment, and of the fleet that they send to.
struct RouterConfig {
    std::vector<QueryClassConfig> query_classes;
    std::vector<double> tenant_quotas;  // per tenant, queries a second over all query routers
    double over_quota_weight = 1;       // share of its priority weight that a query over its quota keeps
    int routers = 1;
    Nanos round_interval = 0;  // rounds come at most this often
    Discovery discovery = Discovery::push;
    int places = 1;              // shard s lies at places (s + j) mod this ...
    int replicas_per_shard = 1;  // ... for j below this
    int shards = 1;
    int max_attempts = 1;           // of a shard request
    int max_requests_per_call = 1;  // shard requests of a round to one node that travel as one call ...
    Nanos call_overhead = 0;        // ... which costs the node this beside the work of its shard requests
    bool may_cancel = false;
    bool may_hedge = false;
    bool sends_retry_after = false;
    bool retries_marked = false;  // clients mark a try that is not their first
    Nanos max_retry_after = 0;
    Nanos drain_grace = 0;
    Nanos max_poll_interval = 0;
    double slow_start_min_fraction = 1;  // a node starts at this share of its capacity or more ...
    Nanos slow_start_duration = 0;       // ... and is warm after this
    double overload_multiple = 1;        // times what a warming node carries in ...
    Nanos overload_window = 0;           // ... this time: what brings it down
    bool retry_budget_enabled = false;
    double retry_budget_base = 0;   // retries in a window whatever came in, and ...
    double retry_budget_ratio = 0;  // ... for each query and shard request that came in
    Nanos retry_budget_window = 0;
};

}  // namespace tealcart
