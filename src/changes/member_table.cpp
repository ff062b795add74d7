#include "changes/member_table.hpp"

#include <algorithm>

#include "replicated/state_clock.hpp"

namespace tealcart::changes {
namespace {

using replicated::saturating_add;

// A reported version that was never published counts as none.
std::uint64_t agreed_or_none(std::uint64_t version, std::uint64_t latest) {
    return version > latest ? 0 : version;
}

RelayAttachment* attachment_of(Member& member, const std::string& relay) {
    const auto attachment =
        std::find_if(member.attachments.begin(), member.attachments.end(),
                     [&](const RelayAttachment& candidate) { return candidate.relay == relay; });
    return attachment == member.attachments.end() ? nullptr : &*attachment;
}

void clear_refusal(Member& member) {
    member.refused_version = 0;
    member.refusal_reason.clear();
}

// A refusal is kept while a relay of the member reports it, or while the member is attached to no relay.
void clear_unsupported_refusal(Member& member) {
    const bool supported =
        std::any_of(member.attachments.begin(), member.attachments.end(),
                    [](const RelayAttachment& attachment) { return attachment.exception; });
    if (!supported) clear_refusal(member);
}

// The time at which the member's last lease ended.
Nanos last_lease_end(const Member& member) { return std::max(member.lease_until, member.ended_at); }

}  // namespace

std::map<std::string, Member> MemberTable::stored() const {
    std::map<std::string, Member> members;
    for (const auto& [name, entry] : members_) members.emplace_hint(members.end(), name, entry.member);
    return members;
}

bool MemberTable::lease_expired(Nanos until) const { return now_ > saturating_add(until, limits_.drift); }

// The greatest version known for the member: reported for it by name, or for all members of one of its relays
// that are no exceptions.
std::uint64_t MemberTable::applied_version(const Member& member) const {
    std::uint64_t version = member.reported_version;
    for (const RelayAttachment& attachment : member.attachments)
        if (!attachment.exception) version = std::max(version, index_.lowest_of(attachment.relay));
    return version;
}

bool MemberTable::may_act(const Entry& entry) const {
    const Member& member = entry.member;
    if (member.left) return false;
    if (entry.counted_as != CountedAs::inactive) return true;
    return now_ <= saturating_add(saturating_add(last_lease_end(member), member.lease_grace), limits_.drift);
}

template <typename Change>
void MemberTable::change(const std::string& name, Entry& entry, Change change) {
    remove_from_counts(name, entry);
    change(entry.member);
    add_to_counts(name, entry);
}

void MemberTable::remove_from_counts(const std::string& name, Entry& entry) {
    ++visited_count_;
    Member& member = entry.member;
    const CountedAs counted_as = std::exchange(entry.counted_as, CountedAs::nothing);
    if (counted_as == CountedAs::by_relay) {
        const RelayAttachment& attachment = member.attachments.front();
        index_.erase_by_relay(attachment.relay, name, member.reported_version, attachment.exception);
    } else if (counted_as == CountedAs::individual) {
        index_.erase_individual(name, entry.counted_applied);
        if (member.attachments.empty()) lease_ends_.erase({member.lease_until, name});
        for (const RelayAttachment& attachment : member.attachments)
            shared_members_[attachment.relay].erase(name);
    } else if (counted_as == CountedAs::inactive) {
        inactive_.erase({entry.forget_at, name});
    }
    if (counted_as != CountedAs::by_relay && counted_as != CountedAs::individual) return;
    --live_;
    if (member.refused_version > 0 && --refusing_[member.refused_version] == 0)
        refusing_.erase(member.refused_version);
}

void MemberTable::add_to_counts(const std::string& name, Entry& entry) {
    Member& member = entry.member;
    if (member.attachments.empty() && (member.left || lease_expired(member.lease_until)))
        return add_inactive(name, entry);
    if (member.attachments.size() == 1) {
        const RelayAttachment& attachment = member.attachments.front();
        index_.insert_by_relay(attachment.relay, name, member.reported_version, attachment.exception);
        entry.counted_as = CountedAs::by_relay;
    } else {
        add_individual(name, entry);
    }
    ++live_;
    if (member.refused_version > 0) ++refusing_[member.refused_version];
}

void MemberTable::add_inactive(const std::string& name, Entry& entry) {
    const Member& member = entry.member;
    const Nanos may_act_for = saturating_add(member.lease_grace, limits_.drift);
    const Nanos remembered = member.left ? limits_.forget_after : std::max(limits_.forget_after, may_act_for);
    entry.forget_at = saturating_add(last_lease_end(member), remembered);
    inactive_.emplace(entry.forget_at, name);
    entry.counted_as = CountedAs::inactive;
}

void MemberTable::add_individual(const std::string& name, Entry& entry) {
    Member& member = entry.member;
    entry.counted_applied = applied_version(member);
    if (member.refused_version <= entry.counted_applied) clear_refusal(member);
    index_.insert_individual(name, entry.counted_applied);
    if (member.attachments.empty()) lease_ends_.emplace(member.lease_until, name);
    for (const RelayAttachment& attachment : member.attachments)
        shared_members_[attachment.relay].insert(name);
    entry.counted_as = CountedAs::individual;
}

// Detaches the member from the relay. What the relay reported until then stays valid, since no incarnation
// goes back to an earlier version.
void MemberTable::release(Member& member, const std::string& relay) {
    member.reported_version = applied_version(member);
    std::erase_if(member.attachments,
                  [&](const RelayAttachment& attachment) { return attachment.relay == relay; });
    if (!member.attachments.empty()) clear_unsupported_refusal(member);
}

void MemberTable::release_all(const std::string& relay, Nanos lease_until) {
    std::vector<std::string> names = index_.members_of(relay);
    if (const auto shared = shared_members_.find(relay); shared != shared_members_.end())
        names.insert(names.end(), shared->second.begin(), shared->second.end());
    for (const std::string& name : names)
        change(name, members_.at(name), [&](Member& member) {
            release(member, relay);
            member.lease_until = std::max(member.lease_until, lease_until);
        });
    exceptions_.erase(relay);
}

void MemberTable::drop_relay(const std::string& relay) {
    ++visited_count_;
    index_.drop_relay(relay);
    shared_members_.erase(relay);
    exceptions_.erase(relay);
}

void MemberTable::set_lowest(const std::string& relay, std::uint64_t lowest, std::uint64_t latest) {
    const std::uint64_t version = agreed_or_none(lowest, latest);
    if (version == index_.lowest_of(relay)) return;
    index_.set_lowest(relay, version);
    const auto shared = shared_members_.find(relay);
    if (shared == shared_members_.end()) return;
    const std::set<std::string> names = shared->second;
    for (const std::string& name : names) change(name, members_.at(name), [](Member&) {});
}

std::optional<StaleReason> MemberTable::join(const std::string& relay, const MemberReport& report,
                                             std::uint64_t latest) {
    ++visited_count_;
    Entry& entry = members_[report.name];
    if (report.incarnation < entry.member.incarnation) return StaleReason::earlier_incarnation;
    change(report.name, entry, [&](Member& member) {
        if (report.incarnation > member.incarnation) {
            for (const RelayAttachment& attachment : member.attachments)
                exceptions_[attachment.relay].erase(report.name);
            member = Member{};
        }
        member.incarnation = report.incarnation;
        member.left = false;
        member.lease_grace = report.lease_grace;
        member.reported_version =
            std::max(member.reported_version, agreed_or_none(report.applied_version, latest));
        if (attachment_of(member, relay) == nullptr) member.attachments.push_back({relay, false});
        clear_unsupported_refusal(member);
    });
    return std::nullopt;
}

void MemberTable::leave(const std::string& name, std::uint64_t incarnation) {
    ++visited_count_;
    const auto it = members_.find(name);
    if (it == members_.end() || it->second.member.incarnation != incarnation || it->second.member.left)
        return;
    change(name, it->second, [&](Member& member) {
        member.reported_version = applied_version(member);
        for (const RelayAttachment& attachment : member.attachments)
            exceptions_[attachment.relay].erase(name);
        member.attachments.clear();
        member.left = true;
        member.refused_version = 0;
        member.ended_at = now_;
    });
}

void MemberTable::lose(const std::string& relay, const std::string& name, std::uint64_t incarnation) {
    ++visited_count_;
    const auto it = members_.find(name);
    if (it == members_.end() || it->second.member.incarnation != incarnation) return;
    if (attachment_of(it->second.member, relay) == nullptr) return;
    change(name, it->second, [&](Member& member) {
        release(member, relay);
        exceptions_[relay].erase(name);
        member.ended_at = std::max(member.ended_at, now_);
    });
}

std::vector<MemberRefused> MemberTable::set_exceptions(const std::string& relay,
                                                       const std::vector<MemberReport>& reports,
                                                       std::uint64_t latest) {
    std::vector<MemberRefused> refusals;
    std::set<std::string> no_longer_named = std::exchange(exceptions_[relay], {});
    std::set<std::string> now;
    for (const MemberReport& report : reports) {
        ++visited_count_;
        const auto it = members_.find(report.name);
        if (it == members_.end() || it->second.member.incarnation != report.incarnation) continue;
        RelayAttachment* attachment = attachment_of(it->second.member, relay);
        if (attachment == nullptr) continue;
        change(report.name, it->second, [&](Member& member) {
            if (auto refusal = set_exception(member, *attachment, report, latest))
                refusals.push_back(*refusal);
        });
        now.insert(report.name);
        no_longer_named.erase(report.name);
    }
    clear_exceptions(relay, no_longer_named);
    exceptions_[relay] = std::move(now);
    return refusals;
}

std::optional<MemberRefused> MemberTable::set_exception(Member& member, RelayAttachment& attachment,
                                                        const MemberReport& report, std::uint64_t latest) {
    attachment.exception = true;
    member.reported_version =
        std::max(member.reported_version, agreed_or_none(report.applied_version, latest));
    const std::uint64_t refused = agreed_or_none(report.refused_version, latest);
    if (refused > applied_version(member)) {
        member.refused_version = refused;
        member.refusal_reason = truncate_utf8(report.refusal_reason, max_reason_bytes);
    } else {
        clear_refusal(member);
    }
    if (member.refused_version <= member.refusal_emitted) return std::nullopt;
    member.refusal_emitted = member.refused_version;
    return MemberRefused{member.refused_version, report.name, member.refusal_reason};
}

void MemberTable::clear_exceptions(const std::string& relay, const std::set<std::string>& names) {
    for (const std::string& name : names) {
        Entry& entry = members_.at(name);
        RelayAttachment* attachment = attachment_of(entry.member, relay);
        if (attachment == nullptr) continue;
        change(name, entry, [&](Member& member) {
            attachment->exception = false;
            clear_unsupported_refusal(member);
        });
    }
}

void MemberTable::set_limits(const Limits& limits) {
    limits_ = limits;
    recount();
}

void MemberTable::extend_leases(Nanos interruption) {
    Ends extended;
    for (const auto& [until, name] : lease_ends_) {
        Member& member = members_.at(name).member;
        member.lease_until = saturating_add(until, interruption);
        extended.emplace_hint(extended.end(), member.lease_until, name);
    }
    lease_ends_ = std::move(extended);
    visited_count_ += lease_ends_.size();
}

void MemberTable::expire_leases() {
    while (!lease_ends_.empty() && lease_expired(lease_ends_.begin()->first)) {
        const std::string name = lease_ends_.begin()->second;
        change(name, members_.at(name), [](Member&) {});
    }
}

void MemberTable::drop_forgotten() {
    while (!inactive_.empty() && inactive_.begin()->first < now_) {
        ++visited_count_;
        members_.erase(inactive_.begin()->second);
        inactive_.erase(inactive_.begin());
    }
}

std::optional<std::string> MemberTable::forget(const std::string& name) {
    const auto it = members_.find(name);
    if (it == members_.end()) return "no such member";
    if (it->second.counted_as != CountedAs::inactive) return "its lease is not over";
    remove_from_counts(name, it->second);
    members_.erase(it);
    return std::nullopt;
}

std::size_t MemberTable::refusing(std::uint64_t version) const {
    const auto it = refusing_.find(version);
    return it == refusing_.end() ? 0 : it->second;
}

std::vector<std::string> MemberTable::may_lag(std::uint64_t version) const {
    std::vector<std::string> names;
    for (const auto& [forget_at, name] : inactive_) {
        ++visited_count_;
        const Entry& entry = members_.at(name);
        if (entry.member.reported_version < version && may_act(entry)) names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

RolloutProgress MemberTable::progress(std::uint64_t version, std::size_t max_names) const {
    RolloutProgress progress;
    const auto append = [max_names](std::vector<std::string>& names, const std::string& name) {
        if (names.size() < max_names) names.push_back(name);
    };
    for (const auto& [name, entry] : members_) {
        const bool applied = applied_version(entry.member) >= version;
        if (entry.counted_as == CountedAs::inactive) {
            if (!applied && may_act(entry)) append(progress.unacknowledged, name);
            continue;
        }
        ++progress.live;
        if (applied)
            ++progress.applied;
        else
            append(progress.behind, name);
        if (entry.member.refused_version > 0) append(progress.refusing, name);
    }
    return progress;
}

void MemberTable::restore(const std::map<std::string, Member>& members,
                          const std::map<std::string, std::uint64_t>& lowest) {
    index_ = {};
    for (const auto& [relay, version] : lowest) index_.set_lowest(relay, version);
    members_.clear();
    for (const auto& [name, member] : members) members_.emplace_hint(members_.end(), name, Entry{member});
    recount();
}

void MemberTable::recount() {
    index_.clear_members();
    shared_members_.clear();
    exceptions_.clear();
    lease_ends_.clear();
    inactive_.clear();
    refusing_.clear();
    live_ = 0;
    for (auto& [name, entry] : members_) {
        for (const RelayAttachment& attachment : entry.member.attachments)
            if (attachment.exception) exceptions_[attachment.relay].insert(name);
        add_to_counts(name, entry);
        ++visited_count_;
    }
}

}  // namespace tealcart::changes
