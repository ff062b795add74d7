#include "changes/change_state.hpp"

#include <algorithm>
#include <map>
#include <variant>

#include "changes/publish_check.hpp"
#include "changes/snapshot.hpp"

namespace tealcart::changes {

Effects ChangeState::apply(const Command& command) {
    visited_count_ = 0;
    members_.reset_visited_count();
    if (const Effects* known = history_.find(command.id)) return *known;
    effects_.clear();
    advance_clock(command.proposed_at);
    std::visit([this](const auto& payload) { on(payload); }, command.payload);
    halt_on_refusals();
    advance_applied_everywhere();
    if (!command.id.empty()) {
        history_.record(command.id, effects_);
        history_.trim(limits_.max_deduplicated);
    }
    return std::exchange(effects_, {});
}

void ChangeState::reject(std::string reason, std::optional<std::string> member) {
    emit(CommandRejected{version(), std::move(reason), std::move(member)});
}

void ChangeState::emit_stale(const std::string& sender, StaleReason reason) {
    emit(StaleReport{version(), sender, reason});
}

// While no command was committed, no relay could renew its lease: leases are extended by that time, and no
// version is declared applied everywhere until all relays have had the time to report.
void ChangeState::advance_clock(Nanos at) {
    const auto interruption = clock_.advance(at, limits_.lease, limits_.drift);
    if (!interruption) return;
    relays_.set_now(now());
    members_.set_now(now());
    if (*interruption > 0) {
        relays_.extend_leases(*interruption);
        members_.extend_leases(*interruption);
        visited_count_ += relays_.live_leases();
    }
    expire_leases();
}

void ChangeState::expire_leases() {
    for (const auto& [name, relay] : relays_.expire_leases()) {
        members_.release_all(name, relay.lease_until);
        emit(RelayLeaseExpired{version(), name});
    }
    members_.expire_leases();
    members_.drop_forgotten();
    for (const std::string& name : relays_.drop_forgotten()) members_.drop_relay(name);
}

void ChangeState::on(const ReportBatch& command) {
    for (const RelayReport& report : command.reports) apply_report(report);
}

std::optional<StaleReason> ChangeState::stale_reason(const RelayReport& report) const {
    if (!well_formed(report.relay, max_name_bytes) || report.zone.size() > max_name_bytes)
        return StaleReason::malformed;
    std::size_t new_members = 0;
    for (const MemberReport& member : report.joined) {
        if (!well_formed(member.name, max_name_bytes) || member.lease_grace < 0)
            return StaleReason::malformed;
        if (!members_.contains(member.name)) ++new_members;
    }
    // A member that is not counted must not be granted a lease. If there is no room for all new members, the
    // report is therefore not applied at all.
    if (members_.size() + new_members > limits_.max_members) return StaleReason::too_many_members;
    return relays_.stale_reason(report);
}

void ChangeState::apply_report(const RelayReport& report) {
    ++visited_count_;
    if (const auto reason = stale_reason(report)) return emit_stale(report.relay, *reason);
    const std::string& name = report.relay;
    const Relay* known = relays_.find(name);
    if (report.full && known != nullptr) members_.release_all(name, known->lease_until);
    if (relays_.renew(report)) members_.set_lowest(name, 0, version());
    for (const auto& [member, incarnation] : report.left) members_.leave(member, incarnation);
    for (const auto& [member, incarnation] : report.lost) members_.lose(name, member, incarnation);
    members_.set_lowest(name, report.lowest, version());
    for (const MemberReport& member : report.joined)
        if (const auto reason = members_.join(name, member, version())) emit_stale(member.name, *reason);
    for (MemberRefused& refusal : members_.set_exceptions(name, report.exceptions, version()))
        emit(std::move(refusal));
}

void ChangeState::on(const Publish& command) {
    if (halted()) return reject("halted: " + halt_reason());
    if (command.based_on && *command.based_on != version())
        return reject("based on version " + std::to_string(*command.based_on) + ", the latest is " +
                      std::to_string(version()));
    const auto checked = check_publish(command, document(), limits_);
    if (const auto* rejection = std::get_if<Rejection>(&checked)) return reject(rejection->reason);
    publish(command.requested_by, std::get<DocumentChange>(checked));
}

void ChangeState::on(const Rollback& command) {
    const auto change = versions_.change_back_to(command.to);
    if (!change) return reject("version " + std::to_string(command.to) + " is not kept");
    if (change->empty()) return reject("nothing would change");
    publish(command.requested_by, *change);
}

void ChangeState::publish(const std::string& requested_by, const DocumentChange& change) {
    versions_.publish(truncate_utf8(requested_by, max_name_bytes), now(), change);
    versions_.trim(limits_.max_kept, limits_.max_kept_bytes);
    visited_count_ += change.entries();
    emit(VersionPublished{version()});
}

void ChangeState::on(const Resume& command) {
    (void)command;
    halt_.resume();
    emit(PublishingResumed{version()});
}

void ChangeState::on(const Forget& command) {
    if (auto reason = members_.forget(command.name)) return reject(std::move(*reason), command.name);
    emit(MemberForgotten{version(), command.name});
}

void ChangeState::on(const SetLimits& command) {
    limits_ = command.limits;
    relays_.set_limits(limits_);
    members_.set_limits(limits_);
    versions_.trim(limits_.max_kept, limits_.max_kept_bytes);
    expire_leases();
}

void ChangeState::halt_on_refusals() {
    const std::size_t refusing = members_.refusing(version());
    if (halt_.trip(version(), refusing, members_.live(), limits_))
        emit(PublishingHalted{version(), halt_.reason()});
}

void ChangeState::advance_applied_everywhere() {
    if (clock_.holding()) return;
    const std::uint64_t applied = std::min(version(), members_.lowest_applied().value_or(UINT64_MAX));
    if (applied <= applied_everywhere_) return;
    applied_everywhere_ = applied;
    emit(AppliedEverywhere{applied, members_.may_lag(applied)});
}

std::vector<PublishedVersion> ChangeState::history(std::size_t max_versions) const {
    std::vector<PublishedVersion> list;
    const auto& kept = versions_.kept();
    for (auto it = kept.rbegin(); it != kept.rend() && list.size() < max_versions; ++it)
        list.push_back({it->version, it->published_at, it->requested_by, it->forward.entries(),
                        it->version <= applied_everywhere_});
    return list;
}

std::uint64_t ChangeState::last_number(const std::string& relay, std::uint64_t incarnation) const {
    const Relay* known = relays_.find(relay);
    return known != nullptr && known->live && known->incarnation == incarnation ? known->number : 0;
}

std::uint64_t ChangeState::last_incarnation(const std::string& relay) const {
    const Relay* known = relays_.find(relay);
    return known == nullptr ? 0 : known->incarnation;
}

bool ChangeState::knows_later_incarnation(const std::string& relay, std::uint64_t incarnation) const {
    return last_incarnation(relay) > incarnation;
}

std::vector<std::uint8_t> ChangeState::save() const {
    const std::map<std::string, Member> members = members_.stored();
    std::map<std::string, std::uint64_t> lowest;
    for (const auto& [name, relay] : relays_.all()) lowest[name] = members_.lowest_of(name);
    return write_snapshot({limits_,
                           versions_.document(),
                           versions_.kept(),
                           members,
                           relays_.all(),
                           lowest,
                           history_,
                           {version(), applied_everywhere_, halt_.version(), halt_.halted(), halt_.reason(),
                            clock_.now(), clock_.hold_until()}});
}

void ChangeState::load(const std::vector<std::uint8_t>& bytes) {
    Snapshot stored = read_snapshot(bytes);
    const SnapshotScalars& scalars = stored.scalars;
    ChangeState loaded(stored.limits);
    loaded.clock_.restore(scalars.now, scalars.hold_until);
    loaded.versions_.restore(std::move(stored.document), scalars.version, std::move(stored.kept));
    loaded.relays_.set_now(scalars.now);
    loaded.relays_.restore(std::move(stored.relays));
    loaded.members_.set_now(scalars.now);
    loaded.members_.restore(stored.members, stored.lowest_by_relay);
    loaded.halt_.restore(scalars.halted, scalars.halt_reason, scalars.halted_version);
    loaded.applied_everywhere_ = scalars.applied_everywhere;
    loaded.history_ = std::move(stored.history);
    *this = std::move(loaded);
}

}  // namespace tealcart::changes
