// Tells when a connection on which attempts were written has brought nothing for too long. Guards against a
// connection that stays open but is broken: all that is sent on it would be lost while its node is healthy.
#pragma once

#include "router/query_router.hpp"

namespace tealcart {

// Times in nanoseconds of the caller's clock, which is above 0.
class SilenceDetector {
  public:
    // How a probe of the current silence stands: to be sent, within its time, or without an answer in time.
    enum class Probe : std::uint8_t { due, pending, unanswered };

    void on_attempts_sent(Nanos now) {
        if (silent_since_ == 0) silent_since_ = now;
    }
    void on_received(Nanos now) { silent_since_ = now; }
    // No attempt is in flight any more, so nothing is awaited.
    void on_idle() { silent_since_ = 0; }
    void on_probe_sent(Nanos now) { probe_sent_at_ = now; }

    // Attempts have been written since the connection was last idle.
    bool awaits_answer() const { return silent_since_ > 0; }
    Nanos silence(Nanos now) const { return now - silent_since_; }
    bool is_silent(Nanos now, Nanos timeout) const { return awaits_answer() && silence(now) > timeout; }
    // One probe is sent for each silence.
    Probe probe(Nanos now, Nanos timeout) const {
        if (probe_sent_at_ < silent_since_) return Probe::due;
        return now - probe_sent_at_ <= timeout ? Probe::pending : Probe::unanswered;
    }

  private:
    Nanos silent_since_ = 0;  // when the last bytes came, or attempts were first written; 0 while idle
    Nanos probe_sent_at_ = 0;
};

}  // namespace tealcart
