// The service's clock and deadlines. The clock counts from the Unix epoch, as lists of data nodes do, and
// only goes forward: it is read once from the system's clock and then follows the steady one.
#pragma once

#include <chrono>

#include "tables/timer_queue.hpp"

namespace tealcart {

class EventClock {
  public:
    EventClock()
        : base_(std::chrono::duration_cast<std::chrono::nanoseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          began_(std::chrono::steady_clock::now()) {}

    // A clock that someone else sets.
    explicit EventClock(const Nanos& given) : given_(&given) {}

    Nanos now() const {
        return given_ != nullptr ? *given_ : base_ + (std::chrono::steady_clock::now() - began_).count();
    }
    // The same for a time point of the steady clock, which is what a timer is set to.
    std::chrono::steady_clock::time_point steady(Nanos at) const {
        return began_ + std::chrono::nanoseconds(at - base_);
    }

    // The earliest at which what is read now may have come in: after a stall, when the stall began. Looked at
    // by the reader itself, since the first handler after a stall may be the one that reads.
    Nanos earliest() const {
        const Nanos n = now();
        return n - stalled_after > awake_by ? awake_by : n;
    }

    TimerQueue due;
    Nanos awake_by = TimerQueue::never;  // when the loop has asked to be woken at the latest

  private:
    // One shorter than the rules' slack on sockets is no stall.
    static constexpr Nanos stalled_after = 50'000'000;

    const Nanos* given_ = nullptr;
    Nanos base_ = 0;
    std::chrono::steady_clock::time_point began_;
};

}  // namespace tealcart
