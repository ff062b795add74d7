// Detects a connection on which attempts were written but nothing was received for too long. Guards against a
// connection that is broken but stays open: all attempts on it would be lost although the node is healthy.
#pragma once

#include "router/query_router.hpp"

namespace tealcart {

// Times are nanoseconds of the caller's clock and must be above 0.
class SilenceDetector {
  public:
    // The state of the probe for the current silence: not sent yet, still within its timeout, or not answered
    // in time.
    enum class Probe : std::uint8_t { due, pending, unanswered };

    void on_attempts_sent(Nanos now) {
        if (silent_since_ == 0) silent_since_ = now;
    }
    void on_received(Nanos now) { silent_since_ = now; }
    // No attempt is in flight any more, so no answer is awaited.
    void on_idle() { silent_since_ = 0; }
    void on_probe_sent(Nanos now) { probe_sent_at_ = now; }

    // Returns whether attempts have been written since the connection was last idle.
    bool awaits_answer() const { return silent_since_ > 0; }
    Nanos silence(Nanos now) const { return now - silent_since_; }
    bool is_silent(Nanos now, Nanos timeout) const { return awaits_answer() && silence(now) > timeout; }
    // Returns the state of the probe; one probe is sent for each silence.
    Probe probe(Nanos now, Nanos timeout) const {
        if (probe_sent_at_ < silent_since_) return Probe::due;
        return now - probe_sent_at_ <= timeout ? Probe::pending : Probe::unanswered;
    }

  private:
    Nanos silent_since_ = 0;  // when the last bytes arrived or the first attempts were written; 0 while idle
    Nanos probe_sent_at_ = 0;
};

}  // namespace tealcart
