#include "members/member_lease.hpp"

#include <algorithm>

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos never = INT64_MAX;
constexpr Nanos first_wait = 200 * ms, in_hand_wait = 20 * ms;

}  // namespace

MemberLease::MemberLease(const MemberTerms& terms, Nanos started, std::uint64_t life)
    : started_(started), serve_on_(terms.serve_on), first_word_(terms.first_word),
      then_stop_(terms.then_stop), life_(life) {}

void MemberLease::renewed(Nanos sent, Nanos lease) {
    lease_ = lease;
    lease_until_ = std::max(lease_until_, sent + lease);
}

void MemberLease::outlived(std::uint64_t last_life) {
    if (lease_until_ > 0)
        followed_ = true;
    else
        life_ = std::max(life_, last_life) + 1;
}

// One that never heard a steward counts from its start: they may have taken it in all the same.
Nanos MemberLease::alone_until() const {
    const Nanos from = lease_until_ > 0 ? lease_until_ : started_;
    return serve_on_ > never - from ? never : from + serve_on_;
}

Standing MemberLease::standing(Nanos now) const {
    if (followed_) return Standing::cut;
    if (lease_until_ > 0 && now < lease_until_) return Standing::member;
    if (lease_until_ == 0 && now < started_ + first_word_) return Standing::unheard;
    return now >= alone_until() ? Standing::cut : Standing::alone;
}

bool MemberLease::ready(Nanos now) const {
    const Standing s = standing(now);
    return s == Standing::member || s == Standing::alone;
}

bool MemberLease::admits(Nanos now) const { return !followed_ && now < no_calls_after(now); }

Nanos MemberLease::no_calls_after(Nanos now) const {
    if (followed_) return 0;
    if (!then_stop_) return never;
    return standing(now) == Standing::unheard ? 0 : alone_until();
}

Nanos MemberLease::next_change(Nanos now) const {
    Nanos next = never;
    const Nanos lease_end = lease_until_ > 0 ? lease_until_ : started_ + first_word_;
    for (const Nanos at : {lease_end, alone_until()})
        if (at > now) next = std::min(next, at);
    return followed_ ? never : next;
}

Nanos MemberLease::wait(bool in_hand) const {
    if (in_hand) return in_hand_wait;
    return lease_ > 0 ? lease_ / 5 : first_wait;
}

}  // namespace tealcart
