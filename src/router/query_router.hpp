// The interface of the decision module: what it is told at start, what comes in, what goes out.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace tealcart {

using Nanos = std::int64_t;  // a time of the caller's clock, or a span of it

enum class Effect : std::uint8_t { idempotent, idempotent_with_key, not_idempotent };
enum class Discovery : std::uint8_t { push, poll };
enum class Lifecycle : std::uint8_t { removed = 0, ready = 1, draining = 2 };
enum class ListKind : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };
enum class Outcome : std::uint8_t {
    error = 0,
    ok = 1,
    overloaded = 2,
    timeout = 3,
    connect_failed = 4,
    reset = 5,
    cancelled = 6,
    not_sent = 7
};

// One query class, as stated.
struct QueryClassConfig {
    Effect effect = Effect::idempotent;
    Nanos latency_objective = 0;   // an answer within this time earns its full utility
    Nanos deadline = 0;            // how long a client waits over all its tries
    Nanos idempotency_window = 0;  // idempotent_with_key: for how long retry_limits are dropped
    double late_weight = 0;        // share of the utility after the SLO time
    double min_answer_weight = 1;  // least share of the shard requests' weight for an answer
    double complete_weight = 1;    // share that makes a whole answer
    int second_step_requests = 0;  // shard requests of a second step; 0 for none
};

// What a deployment states when a query router starts.
struct RouterConfig {
    std::vector<QueryClassConfig> query_classes;
    std::vector<double> tenant_quotas;  // per tenant, queries a second over all query routers
    double over_quota_weight = 1;       // what a query over its tenant's share keeps
    int routers = 1;
    Nanos round_interval = 0;  // rounds come at most this often
    Discovery discovery = Discovery::push;
    int places = 1;              // shard s lies at places (s + j) mod this ...
    int replicas_per_shard = 1;  // ... for j below this
    int shards = 1;
    int max_attempts = 1;  // most leaf calls of a shard request
    int max_requests_per_call =
        1;  // what one round sends to one node travels as one call of so many shard requests at most ...
    Nanos call_overhead = 0;  // ... which costs the node this beside the work of its shard requests
    bool may_cancel = false;
    bool may_hedge = false;
    bool retry_after = false;
    bool retries_marked = false;  // clients mark a try that is not their first
    Nanos max_retry_after = 0;
    Nanos drain_grace = 0;
    Nanos max_poll_interval = 0;
    double slow_start_min_fraction = 1;  // a node starts at this share of its capacity or more ...
    Nanos slow_start_duration = 0;       // ... and is warm after this
    double overload_multiple = 1;
    Nanos overload_window = 0;
    bool retry_budget_enabled = false;
    double retry_budget_free = 0;
    double retry_budget_ratio = 0;
    Nanos retry_budget_window = 0;
};

struct Endpoint {
    std::uint32_t node = 0;
    std::uint32_t place = 0;
    Lifecycle lifecycle = Lifecycle::removed;
    Nanos started_at = 0;     // 0: long ago
    std::uint32_t group = 0;  // nodes of one zone and machine kind share a group
};

struct QueryArrival {
    std::uint32_t id = 0;
    std::uint32_t correlation_id = 0;  // ties its shard requests to it
    std::uint16_t query_class = 0;
    std::uint32_t tenant = 0;
    Nanos deadline_at = 0;
    bool is_retry = false;  // marked by the client as a repeat
    // Of a query in legs (docs/design-two-phase.md), each of which arrives as a query of its own:
    Nanos began_at = 0;   // a later leg: when the first arrived, from which its times count; 0 for now
    Nanos answer_by = 0;  // a leg that is answered at this time with whatever is in; 0 for none
};

struct ShardRequestArrival {
    std::uint32_t id = 0;
    std::uint32_t correlation_id = 0;
    std::uint32_t shard = 0;
    double weight = 0;
    Nanos cost_hint = 0;    // a guess of its cost, 0 for none
    int attempts_used = 0;  // leaf calls that earlier legs have used up of its cap
    bool answered = false;  // an earlier leg has brought it
};

struct AttemptResult {
    std::uint32_t shard_request = 0;
    std::uint32_t node = 0;
    std::uint8_t attempt = 0;
    Outcome outcome = Outcome::not_sent;
    Nanos latency = 0;
};

// Called by `RoundEvents::play`, one call a record, in the order in which they came in.
class RoundEventHandler {
  public:
    virtual ~RoundEventHandler() = default;
    virtual void on_nodes(ListKind kind, std::span<const Endpoint> entries) = 0;
    virtual void on_query(const QueryArrival& arrival) = 0;
    virtual void on_shard_request(const ShardRequestArrival& arrival) = 0;
    virtual void on_attempt_result(const AttemptResult& end) = 0;
    virtual void on_query_dropped(std::uint32_t query) = 0;
    virtual void on_timer(std::uint64_t cookie) = 0;
};

// All that came in since the last round.
class RoundEvents {
  public:
    virtual ~RoundEvents() = default;
    virtual void play(RoundEventHandler& handler) = 0;
};

// Where a round's decisions are written, in their order.
class DecisionSink {
  public:
    virtual ~DecisionSink() = default;
    virtual void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos patience) = 0;
    virtual void cancel(std::uint32_t shard_request, std::uint8_t attempt) = 0;
    virtual void answer(std::uint32_t query, bool whole) = 0;
    virtual void reject(std::uint32_t query, Nanos not_before) = 0;
    virtual void fail_query(std::uint32_t query) = 0;
    virtual void set_timer(std::uint64_t cookie, Nanos wait) = 0;
    virtual void watch_endpoints() = 0;
    virtual void log(const std::string& line) = 0;
};

// What the module makes of a ready data node, for those who share its judgement without its queries.
struct NodeCapacityShare {
    std::uint32_t node = 0;
    double share = 1;  // of a warm node's load that it may be given now, by all routers together
};

// How often a shard request of a query class may be sent, and for how long after the first time; 0 for no
// bound of its own.
struct RetryLimits {
    int max_attempts = 1;
    Nanos within = 0;
};

class QueryRouter {
  public:
    QueryRouter(const RouterConfig& config, std::uint64_t seed);
    ~QueryRouter();
    QueryRouter(QueryRouter&&) noexcept;

    // One round: plays what came in and writes all that follows from it.
    void round(Nanos now, RoundEvents& arrivals, DecisionSink& writer);

    std::vector<NodeCapacityShare> capacity_shares(Nanos now);
    RetryLimits retry_limits(std::uint16_t query_class) const;

  private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace tealcart
