// A member's side of its lease: what it may do at a given time, by its own steady clock alone. No I/O.
//
// The lease starts when the renewal that was answered was *sent*. So it ends here before it ends for the
// fleet managers, as long as clocks differ by less than the fleet managers' `drift` within one lease.
#pragma once

#include <cstdint>

#include "config/member_config.hpp"

namespace tealcart {

// The state of a router's lease.
enum class ServingState : std::uint8_t {
    unregistered,   // no renewal has been answered yet
    leased,         // the lease is valid
    lease_expired,  // in the grace period: it acts on the state that it last knew
    fenced          // the grace period is over, or another process uses its name: it sends no attempts
};

// The lease of one member, and what it allows.
class MemberLease {
  public:
    MemberLease(const MemberConfig& config, Nanos started, std::uint64_t incarnation);

    // Records that a renewal sent at `sent` was granted for `lease`.
    void renewed(Nanos sent, Nanos lease);
    // Records that the fleet managers know a later incarnation of this name. If this member ever had a lease,
    // another process has taken over the name, and this one stays fenced. Otherwise an earlier process had a
    // clock that was ahead, and this member takes a later incarnation.
    void superseded(std::uint64_t last_incarnation);

    ServingState serving_state(Nanos now) const;
    // `ready`: whether a load balancer should send queries. `admits`: whether queries that arrive are
    // accepted.
    bool ready(Nanos now) const;
    bool admits(Nanos now) const;
    // The time after which no attempt is sent; INT64_MAX: unlimited.
    Nanos attempts_until(Nanos now) const;
    // When the values above change next without a renewal; INT64_MAX: never.
    Nanos next_change(Nanos now) const;

    // How long the fleet managers may delay the answer to the next renewal. It is short while work is in
    // flight, since a drain waits for the report that it has ended.
    Nanos long_poll_wait(bool in_flight) const;
    std::uint64_t incarnation() const { return incarnation_; }
    Nanos lease_until() const { return lease_until_; }  // 0: no lease yet

  private:
    // When the member is fenced unless the lease is renewed.
    Nanos grace_until() const;

    const Nanos started_, lease_grace_, startup_wait_;
    const bool stop_after_grace_;
    std::uint64_t incarnation_;
    Nanos lease_ = 0, lease_until_ = 0;  // 0: no lease yet
    bool superseded_ = false;
};

}  // namespace tealcart
