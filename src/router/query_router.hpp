// The interface of the decision module. Its configuration is declared in router_config.hpp, its input in
// round_events.hpp and its output in decision_sink.hpp.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "router/decision_sink.hpp"
#include "router/nanos.hpp"
#include "router/round_events.hpp"
#include "router/router_config.hpp"

namespace tealcart {

// The module's view of the capacity of a ready data node, for components that send no queries through it.
struct NodeCapacityShare {
    std::uint32_t node = 0;
    double share = 1;  // share of a warm node's load that all routers together may send it now
};

// The bounds on attempts of a shard request once one of them may have run.
struct RetryLimits {
    int max_attempts = 1;
    Nanos window = 0;  // nanoseconds since the first attempt; 0 for no bound
};

// Makes the decisions of one incarnation of a query router. It is not thread-safe, does no I/O and reads no
// clock. The same configuration, seed and rounds always give the same decisions.
class QueryRouter {
  public:
    QueryRouter(const RouterConfig& config, std::uint64_t seed);
    ~QueryRouter();
    QueryRouter(QueryRouter&&) noexcept;

    // Runs a round: processes `events` and writes the resulting decisions to `sink`. `now` must not decrease.
    void round(Nanos now, RoundEvents& events, DecisionSink& sink);

    // Returns the capacity shares of all ready nodes.
    std::vector<NodeCapacityShare> capacity_shares(Nanos now);
    // Returns the bounds on attempts that hold for the query class.
    RetryLimits retry_limits(std::uint16_t query_class) const;

  private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace tealcart
