#include "fleet/member_table.hpp"

#include <algorithm>
#include <utility>

namespace tealcart::fleet {

void MemberTable::apply_budgets(const Budgets& budgets) {
    lease_ = budgets.lease;
    drift_ = budgets.drift;
    forget_after_ = budgets.forget_after;
    wait_for_lost_ = budgets.wait_for_lost;
    unresponsive_share_ = budgets.unresponsive_share;
}

const Member* MemberTable::find(const std::string& name) const {
    const auto it = members_.find(name);
    return it == members_.end() ? nullptr : &it->second;
}

bool MemberTable::is_out(const std::string& name) const {
    const Member* member = find(name);
    return member == nullptr || lease_expired(*member) || removed_.contains(name);
}

std::optional<StaleReason> MemberTable::join(const Join& command) {
    const auto [it, is_new] = members_.try_emplace(command.name);
    Member& member = it->second;
    if (command.incarnation < member.incarnation) return StaleReason::earlier_incarnation;
    if (!is_new) count(command.name, member, CountChange::decrement);
    // A new incarnation has applied nothing and has nothing in flight. The process of the old incarnation may
    // still run: its reports are stale from now on.
    if (command.incarnation > member.incarnation) member = Member{};
    member.role = command.role;
    member.zone = command.zone;
    member.version = command.version;
    member.digest = command.digest;
    member.incarnation = command.incarnation;
    member.lease_grace = command.lease_grace;
    member.lost = member.left = false;
    member.lease_until = std::max(member.lease_until, now_ + lease_);
    count(command.name, member, CountChange::increment);
    return std::nullopt;
}

std::optional<StaleReason> MemberTable::renew(const Renew& command, std::uint64_t latest_generation) {
    const auto it = members_.find(command.name);
    if (it == members_.end() || it->second.incarnation != command.incarnation || it->second.left)
        return StaleReason::unknown_incarnation;
    Member& member = it->second;
    count(command.name, member, CountChange::decrement);
    member.lease_until = std::max(member.lease_until, now_ + lease_);
    member.lost = false;
    // Reports may arrive out of order: an older one does not show what the member has in flight now.
    const bool committed = command.report.applied_generation <= latest_generation;
    if (committed && command.report.applied_generation >= member.report.applied_generation)
        member.report = command.report;
    count(command.name, member, CountChange::increment);
    if (!committed) return StaleReason::unagreed_generation;
    return std::nullopt;
}

std::optional<StaleReason> MemberTable::leave(const Leave& command) {
    const auto it = members_.find(command.name);
    if (it == members_.end() || it->second.incarnation != command.incarnation)
        return StaleReason::unknown_incarnation;
    Member& member = it->second;
    count(command.name, member, CountChange::decrement);
    member.left = true;
    member.lease_until = std::min(member.lease_until, now_ - drift_ - 1);
    member.report = {};
    count(command.name, member, CountChange::increment);
    return std::nullopt;
}

std::optional<std::string> MemberTable::forget(const std::string& name) {
    const auto it = members_.find(name);
    if (it == members_.end()) return "no such member";
    if (!lease_expired(it->second)) return "its lease is not over";
    // Its open request would be left without a target.
    if (removed_.contains(name)) return "it is out by agreement; undrain it first";
    count(name, it->second, CountChange::decrement);
    members_.erase(it);
    return std::nullopt;
}

void MemberTable::extend_leases(Nanos interruption) {
    for (auto& [name, member] : members_)
        if (!member.lost && !member.left) member.lease_until += interruption;
    recount();
}

void MemberTable::set_removed(const std::string& router, bool removed) {
    const Member* member = find(router);
    if (member != nullptr) count(router, *member, CountChange::decrement);
    if (removed)
        removed_.insert(router);
    else
        removed_.erase(router);
    if (member != nullptr) count(router, *member, CountChange::increment);
}

void MemberTable::set_budgets(const Budgets& budgets) {
    apply_budgets(budgets);
    recount();
}

std::vector<std::string> MemberTable::expire_leases() {
    const auto& live = counts_.live_leases;
    while (!live.empty() && now_ > live.begin()->first + drift_) recount(std::string(live.begin()->second));
    const auto& acting = counts_.acting_ends;
    while (!acting.empty() && now_ > acting.begin()->first) recount(std::string(acting.begin()->second));
    std::vector<std::string> lost;
    for (const std::string& name : std::exchange(newly_expired_, {})) {
        const auto it = members_.find(name);
        if (it == members_.end() || !lease_expired(it->second)) continue;
        if (!std::exchange(it->second.lost, true)) lost.push_back(name);
    }
    drop_forgotten();
    return lost;
}

void MemberTable::drop_forgotten() {
    const auto& expired = counts_.expired_leases;
    for (auto it = expired.begin(); it != expired.end() && now_ - it->first > forget_after_;) {
        ++visited_count_;
        const std::string name = (it++)->second;
        if (removed_.contains(name)) continue;
        const auto member = members_.find(name);
        count(name, member->second, CountChange::decrement);
        members_.erase(member);
    }
}

std::vector<UnresponsiveVotes::VoteResult> MemberTable::evaluate_nodes() {
    return votes_.evaluate(unresponsive_share_ * static_cast<double>(counts_.live_routers));
}

bool MemberTable::may_act(const Member& member) const { return !member.left && now_ <= acts_until(member); }

Nanos MemberTable::acts_until(const Member& member) const {
    return replicated::saturating_add(member.lease_until,
                                      replicated::saturating_add(member.lease_grace, drift_));
}

bool MemberTable::is_pending(const std::string& name, const Member& member, const Request& request) const {
    if (wait_for_lost_ ? !may_act(member) : lease_expired(member)) return false;
    // A router that has lost its lease can't report that it has nothing in flight, so its own removal does
    // not wait for it.
    const bool is_target = request.target.router && request.target.name == name;
    if (is_target && lease_expired(member)) return false;
    return member.report.applied_generation < request.generation ||
           member.report.in_flight.contains(request.target);
}

std::vector<std::string> MemberTable::pending(const Request& request) const {
    std::vector<std::string> names;
    for (const auto& [name, member] : members_)
        if (is_pending(name, member, request)) names.push_back(name);
    return names;
}

bool MemberTable::any_pending(const Request& request) const {
    ++visited_count_;
    // The counts include the target itself, although its removal does not wait for it.
    const Target& target = request.target;
    const Member* exempt = target.router && self_exempt_.contains(target.name) ? find(target.name) : nullptr;
    for (const auto& [generation, members] : counts_.applied) {
        if (generation >= request.generation) break;
        const bool exempt_is_counted = exempt != nullptr && exempt->report.applied_generation == generation;
        if (members > (exempt_is_counted ? 1U : 0U)) return true;
    }
    const auto busy = counts_.in_flight.find(target);
    const bool exempt_is_busy = exempt != nullptr && exempt->report.in_flight.contains(target);
    return busy != counts_.in_flight.end() && busy->second > (exempt_is_busy ? 1U : 0U);
}

std::uint64_t MemberTable::lowest_applied() const {
    return counts_.applied.empty() ? UINT64_MAX : counts_.applied.begin()->first;
}

std::set<Target> MemberTable::take_released_targets() {
    std::set<Target> targets = std::exchange(released_targets_, {});
    for (const std::string& router : self_exempt_) targets.insert({true, router});
    return targets;
}

std::set<std::string> MemberTable::may_lag(std::uint64_t generation) const {
    std::set<std::string> names;
    for (const auto& [applied_generation, name] : counts_.lost_acting) {
        if (applied_generation >= generation) break;
        names.insert(name);
    }
    visited_count_ += names.size();
    return names;
}

void MemberTable::restore(std::map<std::string, Member> members, std::set<std::string> removed, Nanos now) {
    members_ = std::move(members);
    removed_ = std::move(removed);
    now_ = now;
    recount();
}

void MemberTable::recount() {
    counts_ = {};
    votes_.clear();
    newly_expired_.clear();
    released_targets_.clear();
    self_exempt_.clear();
    for (const auto& [name, member] : members_) count(name, member, CountChange::increment);
}

void MemberTable::recount(const std::string& name) {
    const Member& member = members_.at(name);
    count(name, member, CountChange::decrement);
    count(name, member, CountChange::increment);
}

// On a decrement, the sets that contain the member show whether it was counted as expired or acting. That
// can't be computed again, since the time may have advanced in between.
void MemberTable::count(const std::string& name, const Member& member, CountChange direction) {
    visited_count_ += 1 + member.report.unresponsive.size() + member.report.in_flight.size();
    const MemberCounts::End lease(member.lease_until, name);
    const MemberCounts::End acting_end(acts_until(member), name);
    bool expired = lease_expired(member);
    bool acting = may_act(member);
    if (direction == CountChange::increment) {
        (expired ? counts_.expired_leases : counts_.live_leases).insert(lease);
        if (acting) counts_.acting_ends.insert(acting_end);
        if (expired && !member.lost) newly_expired_.insert(name);
    } else {
        expired = counts_.expired_leases.erase(lease) > 0;
        if (!expired) counts_.live_leases.erase(lease);
        acting = counts_.acting_ends.erase(acting_end) > 0;
    }
    const bool removed = removed_.contains(name);
    if (member.role == Role::router) count_router(member, expired, removed, direction);
    if (expired && acting) {
        const std::pair key(member.report.applied_generation, name);
        if (direction == CountChange::increment)
            counts_.lost_acting.insert(key);
        else
            counts_.lost_acting.erase(key);
    }
    if (wait_for_lost_ && expired && acting && removed && direction == CountChange::increment)
        self_exempt_.insert(name);
    else
        self_exempt_.erase(name);
    if (wait_for_lost_ ? acting : !expired) count_acknowledged(member, direction);
}

void MemberTable::count_router(const Member& member, bool expired, bool removed, CountChange direction) {
    tally(counts_.routers, direction, removed || expired);
    tally(counts_.router_zones, member.zone, direction, removed || expired);
    if (!member.left) {
        tally(counts_.known_routers, direction);
        if (expired) tally(counts_.lost_routers, direction);
    }
    if (expired) return;
    tally(counts_.live_routers, direction);
    for (const std::string& node : member.report.unresponsive) votes_.count(node, direction);
    if (member.left) return;
    tally(counts_.queries, direction, member.report.queries);
    tally(counts_.failed, direction, member.report.failed);
}

void MemberTable::count_acknowledged(const Member& member, CountChange direction) {
    tally(counts_.applied, member.report.applied_generation, direction);
    for (const Target& target : member.report.in_flight)
        if (tally(counts_.in_flight, target, direction) == 0) released_targets_.insert(target);
}

}  // namespace tealcart::fleet
