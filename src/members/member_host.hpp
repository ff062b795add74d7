// The interface of the router that membership reports on: the query dispatcher, or a fake in tests.
#pragma once

#include <functional>
#include <string>

#include "tables/timer_queue.hpp"
#include "wire/discovery_watch.hpp"

namespace tealcart {

// The lease that a serving state comes from: the one for agreed drains, or the one for the configuration.
enum class ServingStateSource : std::uint8_t { agreement, configuration };

// What the lease allows a member of the fleet; the platform's own limits apply as well.
struct MemberServingState {
    bool ready = true, admits = true;
    Nanos attempts_until = TimerQueue::never;
};

// Receives the outcomes of queries and attempts.
class OutcomeObserver {
  public:
    virtual ~OutcomeObserver() = default;
    virtual void on_query_end(int status) = 0;
    virtual void on_attempt_end(std::uint32_t node, Outcome outcome) = 0;
};

// Receives the endpoint list for the router's decisions and reports the router's work in progress.
class MemberHost : public EndpointListObserver {
  public:
    virtual void observe_outcomes(OutcomeObserver* observer) = 0;
    virtual void set_serving_state(ServingStateSource source, const MemberServingState& serving_state) = 0;
    // When the next round is due; TimerQueue::never while no events wait for one.
    virtual Nanos next_round() const = 0;
    virtual std::size_t unfinished_count() const = 0;  // queries and shard requests in progress
    // Whether an attempt is in flight to a node whose name `matches`.
    virtual bool any_attempt_to(const std::function<bool(const std::string& name)>& matches) const = 0;
    // The name of the node; empty if it was removed.
    virtual const std::string& node_name(std::uint32_t node) const = 0;
};

}  // namespace tealcart
