// A member's side of its lease: what it may do at which time, by its own steady clock alone. No I/O.
//
// The lease counts from when the renewal that was answered was *sent*, so it ends here before the fleet
// managers take it to have ended, as long as clocks run apart by less than the managers' `drift` in one
// lease.
#pragma once

#include <cstdint>

#include "config/member_config.hpp"

namespace tealcart {

// What its lease allows a router.
enum class ServingState : std::uint8_t {
    unregistered,   // no renewal has been answered yet
    leased,         // the lease holds
    lease_expired,  // it acts on what it last knew
    fenced          // that time is over too, or another process goes by its name: it sends no attempts
};

class MemberLease {
  public:
    MemberLease(const MemberConfig& config, Nanos started, std::uint64_t incarnation);

    // A renewal that was sent at `sent` was granted for `lease`.
    void renewed(Nanos sent, Nanos lease);
    // The managers know a later incarnation of this name. Of one that had a lease, another process has taken
    // the name, and it is fenced for good; else an earlier process had a clock that was ahead, and it takes a
    // later incarnation.
    void superseded(std::uint64_t last_incarnation);

    ServingState serving_state(Nanos now) const;
    // Whether a load balancer is to send it queries; whether it admits those that come.
    bool ready(Nanos now) const;
    bool admits(Nanos now) const;
    // No attempt is sent after this; INT64_MAX: no such time.
    Nanos attempts_until(Nanos now) const;
    // When the above may next change without a renewal; INT64_MAX: never.
    Nanos next_change(Nanos now) const;

    // For how long the managers may hold back the answer to the next renewal: not long while there is work in
    // flight that they wait for.
    Nanos long_poll_wait(bool in_flight) const;
    std::uint64_t incarnation() const { return incarnation_; }
    Nanos lease_until() const { return lease_until_; }  // 0: there was none yet

  private:
    // When it is fenced without a further renewal.
    Nanos grace_until() const;

    const Nanos started_, lease_grace_, startup_wait_;
    const bool stop_after_grace_;
    std::uint64_t incarnation_;
    Nanos lease_ = 0, lease_until_ = 0;  // 0: none yet
    bool superseded_ = false;
};

}  // namespace tealcart
