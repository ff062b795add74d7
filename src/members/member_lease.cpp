#include "members/member_lease.hpp"

#include <algorithm>

namespace tealcart {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos never = INT64_MAX;
constexpr Nanos first_wait = 200 * millisecond, in_flight_wait = 20 * millisecond;
constexpr int calls_per_lease = 5;

}  // namespace

MemberLease::MemberLease(const MemberConfig& config, Nanos started, std::uint64_t incarnation)
    : started_(started), lease_grace_(config.lease_grace), startup_wait_(config.startup_wait),
      stop_after_grace_(config.stop_after_grace), incarnation_(incarnation) {}

void MemberLease::renewed(Nanos sent, Nanos lease) {
    lease_ = lease;
    lease_until_ = std::max(lease_until_, sent + lease);
}

void MemberLease::superseded(std::uint64_t last_incarnation) {
    if (lease_until_ > 0)
        superseded_ = true;
    else
        incarnation_ = std::max(incarnation_, last_incarnation) + 1;
}

// Without any lease the grace period counts from the start: a fleet manager may have registered the member
// even if its answer never arrived.
Nanos MemberLease::grace_until() const {
    const Nanos from = lease_until_ > 0 ? lease_until_ : started_;
    return lease_grace_ > never - from ? never : from + lease_grace_;
}

ServingState MemberLease::serving_state(Nanos now) const {
    if (superseded_) return ServingState::fenced;
    if (lease_until_ > 0 && now < lease_until_) return ServingState::leased;
    if (lease_until_ == 0 && now < started_ + startup_wait_) return ServingState::unregistered;
    return now >= grace_until() ? ServingState::fenced : ServingState::lease_expired;
}

bool MemberLease::ready(Nanos now) const {
    const ServingState state = serving_state(now);
    return state == ServingState::leased || state == ServingState::lease_expired;
}

bool MemberLease::admits(Nanos now) const { return !superseded_ && now < attempts_until(now); }

Nanos MemberLease::attempts_until(Nanos now) const {
    if (superseded_) return 0;
    if (!stop_after_grace_) return never;
    return serving_state(now) == ServingState::unregistered ? 0 : grace_until();
}

Nanos MemberLease::next_change(Nanos now) const {
    if (superseded_) return never;
    Nanos next = never;
    const Nanos state_ends = lease_until_ > 0 ? lease_until_ : started_ + startup_wait_;
    for (const Nanos at : {state_ends, grace_until()})
        if (at > now) next = std::min(next, at);
    return next;
}

Nanos MemberLease::long_poll_wait(bool in_flight) const {
    if (in_flight) return in_flight_wait;
    return lease_ > 0 ? lease_ / calls_per_lease : first_wait;
}

}  // namespace tealcart
