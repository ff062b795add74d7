// The input events of the decision module.
#pragma once

#include <cstdint>
#include <span>

#include "router/nanos.hpp"

namespace tealcart {

// The state of an endpoint in the endpoint list. Only a ready one is sent new attempts.
enum class Lifecycle : std::uint8_t { removed = 0, ready = 1, draining = 2 };

// A delta changes the current list; full and cached replace it. A cached list comes without a watch that
// would update it. failed means that the list could not be fetched.
enum class ListKind : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };

// How an attempt ended.
enum class Outcome : std::uint8_t {
    error = 0,
    ok = 1,
    overloaded = 2,  // rejected by the node before it ran
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
    Nanos started_at = 0;     // 0 if long ago
    std::uint32_t group = 0;  // nodes of one zone and machine kind share a group
};

// A query from a client, or one phase of a two-phase query. Times are those of the caller's clock, in
// nanoseconds.
struct QueryArrival {
    std::uint32_t id = 0;
    std::uint32_t correlation_id = 0;  // shard requests of the query carry the same value
    std::uint16_t query_class = 0;
    std::uint32_t tenant = 0;
    Nanos deadline_at = 0;
    bool is_retry = false;  // marked by the client as a retry
    // Set for phases of a two-phase query, each of which arrives as a query of its own.
    // In a later phase, the arrival of the first one, from which the latency objective counts; 0 for now.
    Nanos first_arrival_at = 0;
    // When the phase ends with the answers that are in; 0 for none.
    Nanos phase_deadline_at = 0;
};

// The request of a query to one shard.
struct ShardRequestArrival {
    std::uint32_t id = 0;
    std::uint32_t correlation_id = 0;
    std::uint32_t shard = 0;
    double weight = 0;
    Nanos cost_hint = 0;    // estimate of its cost; 0 for none
    int attempts_used = 0;  // attempts of earlier phases, which count toward max_attempts
    bool answered = false;  // an earlier phase got its answer
};

// The result of an attempt.
struct AttemptResult {
    std::uint32_t shard_request = 0;
    std::uint32_t node = 0;
    std::uint8_t attempt = 0;  // index among the shard request's attempts, in sending order
    Outcome outcome = Outcome::not_sent;
    Nanos latency = 0;  // nanoseconds since the decision to send it
};

// Receives the events of a round from RoundEvents::deliver, in order of arrival.
class RoundEventHandler {
  public:
    virtual ~RoundEventHandler() = default;
    virtual void on_endpoints(ListKind kind, std::span<const Endpoint> entries) = 0;
    virtual void on_query(const QueryArrival& arrival) = 0;
    virtual void on_shard_request(const ShardRequestArrival& arrival) = 0;
    virtual void on_attempt_result(const AttemptResult& end) = 0;
    // A client has abandoned its query. `query` is the id of the query or of one of its shard requests.
    virtual void on_query_dropped(std::uint32_t query) = 0;
    virtual void on_timer(std::uint64_t cookie) = 0;
};

// The events since the last round.
class RoundEvents {
  public:
    virtual ~RoundEvents() = default;
    // Calls the method of `handler` for each event, in order of arrival.
    virtual void deliver(RoundEventHandler& handler) = 0;
};

}  // namespace tealcart
