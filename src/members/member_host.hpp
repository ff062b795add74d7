// What membership needs of the router that it reports on: the query dispatcher, or a fake without queries.
#pragma once

#include <functional>
#include <string>

#include "tables/timer_queue.hpp"
#include "wire/discovery_watch.hpp"

namespace tealcart {

// Which lease a serving state comes from: that of the agreed drains, or that of the configuration.
enum class ServingStateSource : std::uint8_t { agreement, configuration };

// What a member of a fleet may do now, beside what the platform allows.
struct MemberServingState {
    bool ready = true, admits = true;
    Nanos attempts_until = TimerQueue::never;
};

// Notified of how queries and attempts end.
class OutcomeObserver {
  public:
    virtual ~OutcomeObserver() = default;
    virtual void on_query_end(int status) = 0;
    virtual void on_attempt_end(std::uint32_t node, Outcome outcome) = 0;
};

// Takes the endpoint list as it is to reach the module.
class MemberHost : public EndpointListObserver {
  public:
    virtual void observe_outcomes(OutcomeObserver* observer) = 0;
    virtual void set_serving_state(ServingStateSource source, const MemberServingState& serving_state) = 0;
    // When the next round is due; TimerQueue::never while there are no events for one.
    virtual Nanos next_round() const = 0;
    virtual std::size_t unfinished_count() const = 0;  // queries and shard requests that have not ended
    // Whether an attempt is in flight to a node whose name `matches`.
    virtual bool any_attempt_to(const std::function<bool(const std::string& name)>& matches) const = 0;
    // Empty for a node that was removed.
    virtual const std::string& node_name(std::uint32_t node) const = 0;
};

}  // namespace tealcart
