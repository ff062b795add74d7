#include "changes/report_aggregator.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tealcart::changes {
namespace {

// The creation times of at most this many unacknowledged reports are kept.
constexpr std::size_t max_unacknowledged = 64;

}  // namespace

ReportAggregator::ReportAggregator(std::string relay, std::string zone, std::uint64_t incarnation,
                                   std::size_t max_members, std::size_t max_exceptions)
    : relay_(std::move(relay)), zone_(std::move(zone)), incarnation_(incarnation), max_members_(max_members),
      max_exceptions_(max_exceptions) {}

// Reports may arrive out of order: an older one shows only that the member is alive.
bool ReportAggregator::record_report(Nanos now, const MemberReport& report) {
    if (report.name.empty() || report.name.size() > max_name_bytes) return false;
    MemberReport kept = report;
    kept.refusal_reason = truncate_utf8(kept.refusal_reason, max_reason_bytes);
    const auto it = members_.find(kept.name);
    if (it == members_.end()) {
        if (members_.size() >= max_members_) return false;
        members_[kept.name] = {kept, now};
        departed_.erase(kept.name);
        return true;
    }
    Member& member = it->second;
    if (kept.incarnation < member.report.incarnation) return false;
    if (kept.incarnation > member.report.incarnation)
        member = {kept, now};
    else if (kept.applied_version >= member.report.applied_version)
        member.report = kept;
    member.heard_at = std::max(member.heard_at, now);
    return true;
}

// If there are more departed members than there may be members, they are not kept individually: the next
// report is full instead.
void ReportAggregator::depart(const std::string& name, std::uint64_t incarnation, bool lost) {
    if (departed_.size() >= max_members_ && !departed_.contains(name)) return require_full_report();
    departed_[name] = {incarnation, lost};
}

void ReportAggregator::record_leave(const std::string& name, std::uint64_t incarnation) {
    const auto it = members_.find(name);
    if (it != members_.end()) {
        if (it->second.report.incarnation > incarnation) return;
        members_.erase(it);
    }
    depart(name, incarnation, false);
}

Nanos ReportAggregator::grant_lease(Nanos now, const std::string& name) {
    const auto it = members_.find(name);
    if (it == members_.end() || !it->second.acknowledged || lease_until_ <= now) return 0;
    it->second.granted_until = std::max(it->second.granted_until, lease_until_);
    return lease_until_ - now;
}

std::uint64_t ReportAggregator::lowest() const {
    if (members_.empty()) return 0;
    std::vector<std::uint64_t> applied;
    applied.reserve(members_.size());
    for (const auto& [name, member] : members_) applied.push_back(member.report.applied_version);
    const std::size_t excepted = std::min(max_exceptions_, applied.size() - 1);
    const auto nth = applied.begin() + static_cast<std::ptrdiff_t>(excepted);
    std::nth_element(applied.begin(), nth, applied.end());
    return *nth;
}

RelayReport ReportAggregator::next_report(Nanos now, Nanos drift) {
    depart_lost(now, drift);
    RelayReport report = current_report();
    if (last_report_) {
        report.number = last_report_->number;
        if (report == *last_report_) return report;
    }
    report.number = number_ + 1;
    number_report(now);
    last_report_ = report;
    return report;
}

void ReportAggregator::depart_lost(Nanos now, Nanos drift) {
    // Before the first acknowledgement no lease was granted, and the time after which a silent member counts
    // as lost is unknown.
    if (lease_ == 0) return;
    for (auto it = members_.begin(); it != members_.end();) {
        const Member& member = it->second;
        if (now <= std::max(member.granted_until, member.heard_at + lease_) + drift) {
            ++it;
            continue;
        }
        const std::string name = it->first;
        const std::uint64_t incarnation = member.report.incarnation;
        it = members_.erase(it);
        depart(name, incarnation, true);
    }
}

// Builds the report without its number.
RelayReport ReportAggregator::current_report() const {
    RelayReport report{relay_, zone_, incarnation_, 0, full_, {}, {}, {}, lowest(), {}};
    for (const auto& [name, departed] : departed_)
        (departed.lost ? report.lost : report.left).emplace_back(name, departed.incarnation);
    for (const auto& [name, member] : members_)
        if (!member.acknowledged) report.joined.push_back(member.report);
    report.exceptions = exceptions(report.lowest);
    return report;
}

std::vector<MemberReport> ReportAggregator::exceptions(std::uint64_t lowest) const {
    std::vector<MemberReport> exceptions;
    for (const auto& [name, member] : members_)
        if (member.report.applied_version < lowest) exceptions.push_back(member.report);
    // Members that refuse a version are listed too as far as there is room: a refusal means that they act on
    // an earlier version.
    for (const auto& [name, member] : members_) {
        if (exceptions.size() >= max_exceptions_) break;
        const MemberReport& report = member.report;
        if (report.applied_version >= lowest && report.refused_version > report.applied_version)
            exceptions.push_back(report);
    }
    std::sort(exceptions.begin(), exceptions.end(),
              [](const MemberReport& a, const MemberReport& b) { return a.name < b.name; });
    return exceptions;
}

void ReportAggregator::number_report(Nanos now) {
    ++number_;
    created_at_[number_] = now;
    while (created_at_.size() > max_unacknowledged) created_at_.erase(created_at_.begin());
    if (full_ && full_since_ == 0) full_since_ = number_;
    for (auto& [name, member] : members_)
        if (!member.acknowledged && member.reported_since == 0) member.reported_since = number_;
    for (auto& [name, departed] : departed_)
        if (departed.reported_since == 0) departed.reported_since = number_;
}

void ReportAggregator::acknowledge(std::uint64_t number, Nanos sent, Nanos lease) {
    const auto created = created_at_.find(number);
    if (created == created_at_.end()) return;
    lease_ = lease;
    lease_until_ = std::max(lease_until_, std::min(sent, created->second) + lease);
    created_at_.erase(created_at_.begin(), std::next(created));
    const auto is_acknowledged = [number](std::uint64_t reported_since) {
        return reported_since > 0 && number >= reported_since;
    };
    if (is_acknowledged(full_since_)) {
        full_ = false;
        full_since_ = 0;
    }
    for (auto& [name, member] : members_)
        if (is_acknowledged(member.reported_since)) member.acknowledged = true;
    std::erase_if(departed_, [&](const auto& entry) { return is_acknowledged(entry.second.reported_since); });
    if (last_report_ && number >= last_report_->number) last_report_.reset();
}

void ReportAggregator::require_full_report() {
    full_ = true;
    full_since_ = 0;
    departed_.clear();
    for (auto& [name, member] : members_) {
        member.acknowledged = false;
        member.reported_since = 0;
    }
    last_report_.reset();
}

}  // namespace tealcart::changes
