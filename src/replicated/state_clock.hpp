// The time of a replicated state, as its commands state it. No replica reads a clock, so all have the same
// time.
#pragma once

#include <cstdint>
#include <optional>

namespace tealcart::replicated {

using Nanos = std::int64_t;

// Ends at the greatest time where the sum would wrap around: a span may mean for ever.
inline Nanos saturating_add(Nanos at, Nanos span) { return at > INT64_MAX - span ? INT64_MAX : at + span; }

// Never runs back: a new leader's clock may be behind the last one's, and then time stands until it has
// caught up.
class StateClock {
  public:
    // The latest time that a command has stated.
    Nanos now() const { return now_; }
    // After an interruption of the agreement members may not have been heard yet: nothing is to be concluded
    // from their silence before this time.
    Nanos hold_until() const { return hold_until_; }
    bool holding() const { return now_ < hold_until_; }

    // Goes on to a command's time. Nothing: time stands. Else for how long nothing was agreed, so that nobody
    // could renew a lease, where that was over a quarter of a lease; otherwise 0. All times in nanoseconds.
    std::optional<Nanos> advance(Nanos at, Nanos lease, Nanos drift) {
        const Nanos gap = at - now_;
        if (gap <= 0) return std::nullopt;
        const bool interrupted = now_ > 0 && gap > lease / 4;
        now_ = at;
        if (!interrupted) return 0;
        hold_until_ = saturating_add(at, lease + drift);
        return gap;
    }

    void restore(Nanos now, Nanos hold_until) {
        now_ = now;
        hold_until_ = hold_until;
    }

  private:
    Nanos now_ = 0;
    Nanos hold_until_ = 0;
};

}  // namespace tealcart::replicated
