// A member's side of its lease: what it may do at which time, by its own steady clock alone. No I/O.
//
// The lease counts from when the renewal that was answered was *sent*, so it is over here before the managers
// take it to be over, as long as clocks run apart by less than the managers' `drift` in one lease.
#pragma once

#include <cstdint>

#include "config/member_config.hpp"

namespace tealcart {

enum class ServingState : std::uint8_t {
    unheard,  // no manager has spoken yet
    member,   // the lease holds
    alone,    // the lease is over; it goes on by what it last knew
    cut       // and that time is over too, or another process goes by its name
};

class MemberLease {
  public:
    MemberLease(const MemberConfig& config, Nanos started, std::uint64_t incarnation);

    // A renewal sent at `sent` was granted for `lease` by managers who had agreed on `generation`.
    void renewed(Nanos sent, Nanos lease);
    // The managers know a later incarnation of this name. One that was a member once has been followed by
    // another process, and is cut for good; else an earlier process had a clock that was ahead.
    void superseded(std::uint64_t last_incarnation);

    ServingState serving_state(Nanos now) const;
    // Whether a front is to send it queries; whether it takes what comes.
    bool ready(Nanos now) const;
    bool admits(Nanos now) const;
    // No leaf call is written after this; INT64_MAX: none such.
    Nanos attempts_until(Nanos now) const;
    // When what the above tell may change next without any word; INT64_MAX: never.
    Nanos next_change(Nanos now) const;

    // So long may the managers keep the next renewal waiting for news: with something in hand that they wait
    // for, it is told soon.
    Nanos wait(bool in_flight) const;
    std::uint64_t incarnation() const { return incarnation_; }
    Nanos lease_until() const { return lease_until_; }

  private:
    Nanos alone_until() const;

    const Nanos started_, serve_on_, startup_wait_;
    const bool then_stop_;
    std::uint64_t incarnation_;
    Nanos lease_ = 0, lease_until_ = 0;  // 0: none yet
    bool followed_ = false;
};

}  // namespace tealcart
