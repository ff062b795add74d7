// What membership needs of the router that it speaks for: the bridge, or a stand-in without queries.
#pragma once

#include <functional>
#include <string>

#include "tables/timer_queue.hpp"
#include "wire/discovery_watch.hpp"

namespace tealcart {

// What a member of a fleet may do now, beside what the platform allows.
enum class ServingStateSource : std::uint8_t { agreement, configuration };
struct MemberServingState {
    bool ready = true, admits = true;
    Nanos attempts_until = TimerQueue::never;
};

// Told how queries and leaf calls end.
class OutcomeObserver {
  public:
    virtual ~OutcomeObserver() = default;
    virtual void on_query_end(int status) = 0;
    virtual void on_attempt_end(std::uint32_t node, Outcome outcome) = 0;
};

// Takes the list as it is to reach the module.
class MemberHost : public ListTaker {
  public:
    virtual void observe_outcomes(OutcomeObserver* taker) = 0;
    virtual void set_serving_state(ServingStateSource by, const MemberServingState& serving_state) = 0;
    // When the next round is due; never while nothing has come in.
    virtual Nanos next_round() const = 0;
    virtual std::size_t held() const = 0;
    // Whether a leaf call is out to a node whose name is one of these.
    virtual bool any_attempt_to(const std::function<bool(const std::string& name)>& which) const = 0;
    // Empty for a node that is forgotten.
    virtual const std::string& node_name(std::uint32_t node) const = 0;
};

}  // namespace tealcart
