#include "members/member_lease.hpp"

#include <algorithm>

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos never = INT64_MAX;
constexpr Nanos first_wait = 200 * ms, in_hand_wait = 20 * ms;

}  // namespace

MemberLease::MemberLease(const MemberConfig& config, Nanos started, std::uint64_t incarnation)
    : started_(started), serve_on_(config.serve_on), startup_wait_(config.startup_wait),
      then_stop_(config.then_stop), incarnation_(incarnation) {}

void MemberLease::renewed(Nanos sent, Nanos lease) {
    lease_ = lease;
    lease_until_ = std::max(lease_until_, sent + lease);
}

void MemberLease::superseded(std::uint64_t last_incarnation) {
    if (lease_until_ > 0)
        followed_ = true;
    else
        incarnation_ = std::max(incarnation_, last_incarnation) + 1;
}

// One that never heard a manager counts from its start: they may have taken it in all the same.
Nanos MemberLease::alone_until() const {
    const Nanos from = lease_until_ > 0 ? lease_until_ : started_;
    return serve_on_ > never - from ? never : from + serve_on_;
}

ServingState MemberLease::serving_state(Nanos now) const {
    if (followed_) return ServingState::cut;
    if (lease_until_ > 0 && now < lease_until_) return ServingState::member;
    if (lease_until_ == 0 && now < started_ + startup_wait_) return ServingState::unheard;
    return now >= alone_until() ? ServingState::cut : ServingState::alone;
}

bool MemberLease::ready(Nanos now) const {
    const ServingState s = serving_state(now);
    return s == ServingState::member || s == ServingState::alone;
}

bool MemberLease::admits(Nanos now) const { return !followed_ && now < attempts_until(now); }

Nanos MemberLease::attempts_until(Nanos now) const {
    if (followed_) return 0;
    if (!then_stop_) return never;
    return serving_state(now) == ServingState::unheard ? 0 : alone_until();
}

Nanos MemberLease::next_change(Nanos now) const {
    Nanos next = never;
    const Nanos lease_end = lease_until_ > 0 ? lease_until_ : started_ + startup_wait_;
    for (const Nanos at : {lease_end, alone_until()})
        if (at > now) next = std::min(next, at);
    return followed_ ? never : next;
}

Nanos MemberLease::wait(bool in_flight) const {
    if (in_flight) return in_hand_wait;
    return lease_ > 0 ? lease_ / 5 : first_wait;
}

}  // namespace tealcart
