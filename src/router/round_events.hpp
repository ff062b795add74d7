// What comes in to a round of the decision module.
#pragma once

#include <cstdint>
#include <span>

#include "router/nanos.hpp"

namespace tealcart {

// Whether an endpoint may be sent new work, as the endpoint list states it.
enum class Lifecycle : std::uint8_t { removed = 0, ready = 1, draining = 2 };

// delta: changes of the list that stands. full, cached: the list anew, cached without a watch behind it.
// failed: no list could be had.
enum class ListKind : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };

// How an attempt ended.
enum class Outcome : std::uint8_t {
    error = 0,
    ok = 1,
    overloaded = 2,  // turned away by the node before it ran
    timeout = 3,
    connect_failed = 4,
    reset = 5,
    cancelled = 6,
    not_sent = 7
};

// One entry of the endpoint list.
struct Endpoint {
    std::uint32_t node = 0;
    std::uint32_t place = 0;
    Lifecycle lifecycle = Lifecycle::removed;
    Nanos started_at = 0;     // 0: long ago
    std::uint32_t group = 0;  // nodes of one zone and machine kind share a group
};

// A query that a client has sent, or one leg of it. Times are of the caller's clock, in nanoseconds.
struct QueryArrival {
    std::uint32_t id = 0;
    std::uint32_t correlation_id = 0;  // ties its shard requests to it
    std::uint16_t query_class = 0;
    std::uint32_t tenant = 0;
    Nanos deadline_at = 0;
    bool is_retry = false;  // marked by the client as a retry
    // Of a query in legs (docs/design-two-phase.md), each of which arrives as a query of its own:
    Nanos first_arrival_at = 0;  // a later leg: when the first arrived, from which its times count; 0 for now
    Nanos phase_deadline_at = 0;  // a leg that is answered at this time with whatever is in; 0 for none
};

// What a query wants of one shard.
struct ShardRequestArrival {
    std::uint32_t id = 0;
    std::uint32_t correlation_id = 0;
    std::uint32_t shard = 0;
    double weight = 0;
    Nanos cost_hint = 0;    // a guess of its cost, 0 for none
    int attempts_used = 0;  // attempts of earlier legs, which count toward max_attempts
    bool answered = false;  // an earlier leg has its answer
};

// The end of an attempt; `latency` in nanoseconds.
struct AttemptResult {
    std::uint32_t shard_request = 0;
    std::uint32_t node = 0;
    std::uint8_t attempt = 0;  // from 0, in the order of sending
    Outcome outcome = Outcome::not_sent;
    Nanos latency = 0;  // from the decision to send
};

// Called by `RoundEvents::deliver`, one call a record, in the order in which they came in.
class RoundEventHandler {
  public:
    virtual ~RoundEventHandler() = default;
    virtual void on_endpoints(ListKind kind, std::span<const Endpoint> entries) = 0;
    virtual void on_query(const QueryArrival& arrival) = 0;
    virtual void on_shard_request(const ShardRequestArrival& arrival) = 0;
    virtual void on_attempt_result(const AttemptResult& end) = 0;
    // A query that its client gave up, or the shard request by which it is known.
    virtual void on_query_dropped(std::uint32_t query) = 0;
    virtual void on_timer(std::uint64_t cookie) = 0;
};

// All that came in since the last round.
class RoundEvents {
  public:
    virtual ~RoundEvents() = default;
    virtual void deliver(RoundEventHandler& handler) = 0;
};

}  // namespace tealcart
