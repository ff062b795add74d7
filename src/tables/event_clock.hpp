// The clock of an event loop, with its timers.
#pragma once

#include <chrono>

#include "tables/timer_queue.hpp"

namespace tealcart {

// Counts nanoseconds from the Unix epoch, as endpoint lists do, and only goes forward: it is read once from
// the system's clock and then follows the steady one.
class EventClock {
  public:
    EventClock()
        : base_(std::chrono::duration_cast<std::chrono::nanoseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          started_(std::chrono::steady_clock::now()) {}

    // A clock that the caller sets, for tests.
    explicit EventClock(const Nanos& given) : given_(&given) {}

    Nanos now() const {
        return given_ != nullptr ? *given_ : base_ + (std::chrono::steady_clock::now() - started_).count();
    }
    // A time of this clock as a time point of the steady clock, to which asio's timers are set.
    std::chrono::steady_clock::time_point steady(Nanos at) const {
        return started_ + std::chrono::nanoseconds(at - base_);
    }

    // The earliest time at which what is read now may have come in: after a stall of the process, when that
    // began. To be called by the reader itself, since the first handler after a stall may be the one that
    // reads.
    Nanos earliest() const {
        const Nanos current = now();
        return current - min_stall > awake_by ? awake_by : current;
    }

    TimerQueue due;
    Nanos awake_by = TimerQueue::never;  // when the loop has asked to be woken at the latest

  private:
    // A delay shorter than the platform's slack on sockets is no stall.
    static constexpr Nanos min_stall = 50'000'000;

    const Nanos* given_ = nullptr;
    Nanos base_ = 0;
    std::chrono::steady_clock::time_point started_;
};

}  // namespace tealcart
