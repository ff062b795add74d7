// The clock of a replicated state. It advances only with the times that the commands carry: no replica reads
// its own clock, so all replicas have the same time.
#pragma once

#include <cstdint>
#include <optional>

namespace tealcart::replicated {

using Nanos = std::int64_t;

// The sum of a time and a span, or the greatest time if the sum would overflow: a span may mean "for ever".
inline Nanos saturating_add(Nanos at, Nanos span) { return at > INT64_MAX - span ? INT64_MAX : at + span; }

// A monotonic clock. A new leader's clock may be behind that of the last leader; the time then stands still
// until the new clock has caught up.
class StateClock {
  public:
    // The latest time that a command has carried.
    Nanos now() const { return now_; }
    // After an interruption of the consensus, members may not have been able to report yet. Until this time
    // nothing may be concluded from their silence.
    Nanos hold_until() const { return hold_until_; }
    bool holding() const { return now_ < hold_until_; }

    // Advances to a command's time. Returns nullopt if the time stands still. Otherwise returns how long no
    // command was committed, if that was more than a quarter of a lease (nobody could renew a lease in that
    // time), and 0 if it was less. All times are in nanoseconds.
    std::optional<Nanos> advance(Nanos at, Nanos lease, Nanos drift) {
        const Nanos gap = at - now_;
        if (gap <= 0) return std::nullopt;
        const bool interrupted = now_ > 0 && gap > lease / 4;
        now_ = at;
        if (!interrupted) return 0;
        hold_until_ = saturating_add(at, lease + drift);
        return gap;
    }

    // Restores the values of a snapshot.
    void restore(Nanos now, Nanos hold_until) {
        now_ = now;
        hold_until_ = hold_until;
    }

  private:
    Nanos now_ = 0;
    Nanos hold_until_ = 0;
};

}  // namespace tealcart::replicated
