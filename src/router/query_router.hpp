// The interface of the decision module: router_config.hpp has what it is told at start, round_events.hpp what
// comes in, decision_sink.hpp what goes out.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "router/decision_sink.hpp"
#include "router/nanos.hpp"
#include "router/round_events.hpp"
#include "router/router_config.hpp"

namespace tealcart {

// What the module makes of a ready data node, for those who share its view without its queries.
struct NodeCapacityShare {
    std::uint32_t node = 0;
    double share = 1;  // of a warm node's load that it may be given now, by all routers together
};

// How often a shard request of a query class may be sent once an attempt of it may have run, and for how long
// after the first time (nanoseconds); 0 for no bound of its own.
struct RetryLimits {
    int max_attempts = 1;
    Nanos window = 0;
};

// Decides for one incarnation of one query router. Not thread-safe; does no I/O and reads no clock. The same
// configuration, seed and rounds give the same decisions.
class QueryRouter {
  public:
    QueryRouter(const RouterConfig& config, std::uint64_t seed);
    ~QueryRouter();
    QueryRouter(QueryRouter&&) noexcept;

    // One round: plays what came in and writes all that follows from it. `now` never goes back.
    void round(Nanos now, RoundEvents& events, DecisionSink& sink);

    std::vector<NodeCapacityShare> capacity_shares(Nanos now);
    RetryLimits retry_limits(std::uint16_t query_class) const;

  private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace tealcart
