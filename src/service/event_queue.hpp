// What came in since the last round, kept in its order until the decision module hears of it.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "router/query_router.hpp"
#include "service/query_table.hpp"

namespace tealcart {

// The endpoint list, or a change of it, was applied.
struct EndpointsChanged {
    ListKind kind;
    std::vector<Endpoint> entries;
};
// A client has sent a query.
struct QueryArrived {
    Handle query;
};
// The client of a query has closed its connection.
struct ClientDisconnected {
    std::uint32_t query = 0;  // the module's id
};
// A timer that the decision module set has run out.
struct RouterTimerFired {
    std::uint64_t cookie = 0;
};
using RouterEvent =
    std::variant<EndpointsChanged, QueryArrived, AttemptResult, ClientDisconnected, RouterTimerFired>;

class EventQueue final : public RoundEvents {
  public:
    EventQueue(QueryTable& queries, Nanos round_interval)
        : queries_(queries), round_interval_(round_interval) {}

    void push(RouterEvent event) { pending_.push_back(std::move(event)); }
    bool empty() const { return pending_.empty(); }

    // Takes what is pending into the round that begins now; what comes in meanwhile is for the next one.
    void begin_round(Nanos now);
    Nanos round_began_at() const { return round_began_at_; }
    void play(RoundEventHandler& handler) override;

  private:
    void play_query(RoundEventHandler& handler, Handle handle);

    QueryTable& queries_;
    const Nanos round_interval_;
    Nanos round_began_at_ = 0;
    std::vector<RouterEvent> pending_, playing_;
};

}  // namespace tealcart
