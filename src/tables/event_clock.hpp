// The clock and the timers of an event loop.
#pragma once

#include <chrono>

#include "tables/timer_queue.hpp"

namespace tealcart {

// Counts nanoseconds since the Unix epoch, like the times in endpoint lists, and never goes backward: it
// reads the system clock once and advances with the steady clock from then on.
class EventClock {
  public:
    EventClock()
        : base_(std::chrono::duration_cast<std::chrono::nanoseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          started_(std::chrono::steady_clock::now()) {}

    // Reads the time from a variable that the caller sets; for tests.
    explicit EventClock(const Nanos& given) : given_(&given) {}

    Nanos now() const {
        return given_ != nullptr ? *given_ : base_ + (std::chrono::steady_clock::now() - started_).count();
    }
    // Converts a time of this clock to a time point of the steady clock, which asio's timers use.
    std::chrono::steady_clock::time_point steady(Nanos at) const {
        return started_ + std::chrono::nanoseconds(at - base_);
    }

    // The earliest time at which bytes that are read now may have arrived: after a stall of the process, the
    // time at which the stall began. Readers have to call it themselves, since the first handler to run after
    // a stall may be the one that reads.
    Nanos earliest_arrival() const {
        const Nanos current = now();
        return current - min_stall > wake_deadline ? wake_deadline : current;
    }

    TimerQueue timers;
    Nanos wake_deadline = TimerQueue::never;  // latest time at which the event loop asked to wake up

  private:
    // Shorter delays lie within the platform's scheduling tolerance for sockets and are not stalls.
    static constexpr Nanos min_stall = 50'000'000;

    const Nanos* given_ = nullptr;
    Nanos base_ = 0;
    std::chrono::steady_clock::time_point started_;
};

}  // namespace tealcart
