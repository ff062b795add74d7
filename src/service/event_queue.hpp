// Queues the events since the last round, in their order, until the QueryRouter processes them.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "router/query_router.hpp"
#include "service/query_table.hpp"

namespace tealcart {

// An endpoint list or a delta of it was applied.
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
    std::uint32_t query = 0;  // the query's id at the router
};
// A timer that the router has set is due.
struct RouterTimerFired {
    std::uint64_t cookie = 0;
};
// An event for the router.
using RouterEvent =
    std::variant<EndpointsChanged, QueryArrived, AttemptResult, ClientDisconnected, RouterTimerFired>;

// Delivers the events of a round to the router.
class EventQueue final : public RoundEvents {
  public:
    EventQueue(QueryTable& queries, Nanos round_interval)
        : queries_(queries), round_interval_(round_interval) {}

    void push(RouterEvent event) { pending_.push_back(std::move(event)); }
    bool empty() const { return pending_.empty(); }

    // Begins a round with the pending events. Events that arrive during the round are delivered in the next
    // one.
    void begin_round(Nanos now);
    Nanos round_began_at() const { return round_began_at_; }
    void deliver(RoundEventHandler& handler) override;

  private:
    void deliver_query(RoundEventHandler& handler, Handle handle);

    QueryTable& queries_;
    const Nanos round_interval_;
    Nanos round_began_at_ = 0;
    std::vector<RouterEvent> pending_, delivering_;
};

}  // namespace tealcart
