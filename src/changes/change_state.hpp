// The replicated state of a fleet's configuration changes: a totally ordered sequence of versions, each a
// delta with the digest of its result, and the rollout progress of each. Like FleetState it is a
// deterministic state machine for the fleet managers' log: apply(command) returns effects, and the same
// commands in the same order produce the same state and the same effects on every replica. It performs no I/O
// and reads no clock: each command carries its time. docs/design-changes.md describes the guarantee and its
// assumptions.
//
// ChangeState determines the order of the steps that follow a command. VersionedDocument holds the versions,
// RelayTable the relays and their leases, MemberTable the members that they report, and PublishingHalt the
// halts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "changes/commands.hpp"
#include "changes/document.hpp"
#include "changes/effects.hpp"
#include "changes/limits.hpp"
#include "changes/member_table.hpp"
#include "changes/publishing_halt.hpp"
#include "changes/relay_table.hpp"
#include "changes/reports.hpp"
#include "changes/versioned_document.hpp"
#include "replicated/command_history.hpp"
#include "replicated/state_clock.hpp"

namespace tealcart::changes {

// When and by whom a version was published.
struct PublishedVersion {
    std::uint64_t version = 0;
    Nanos published_at = 0;
    std::string requested_by;
    std::size_t entries = 0;  // the number of entries that it changed
    bool applied_everywhere = false;
};

// The state machine of configuration changes.
class ChangeState {
  public:
    explicit ChangeState(const Limits& limits) : limits_(limits), relays_(limits), members_(limits) {}

    // Applies one committed command. A command whose id is in the history changes nothing and returns the
    // effects of its first application.
    Effects apply(const Command& command);

    // Encodes the whole state, with a format version. `load` throws replicated::CodecError for another format
    // version and for malformed bytes, and changes nothing then.
    std::vector<std::uint8_t> save() const;
    void load(const std::vector<std::uint8_t>& bytes);

    const Limits& limits() const { return limits_; }
    std::uint64_t version() const { return versions_.version(); }  // the latest; 0 if none was published
    // The latest version that was found to be applied by every live member.
    std::uint64_t applied_everywhere() const { return applied_everywhere_; }
    Nanos now() const { return clock_.now(); }
    // Until this time no version is declared applied everywhere.
    Nanos hold_until() const { return clock_.hold_until(); }
    bool halted() const { return halt_.halted(); }
    const std::string& halt_reason() const { return halt_.reason(); }
    std::uint64_t halted_version() const { return halt_.version(); }  // the last version that caused a halt
    const Document& document() const { return versions_.document(); }
    std::uint64_t digest() const { return versions_.digest(); }

    // The delta from a follower's version to the latest one; nullopt if the follower has to request pages.
    std::optional<Delta> since(std::uint64_t version) const { return versions_.since(version); }
    // A page of the latest version: the entries after this key, up to `max_bytes`.
    Page page(const std::string& after, std::size_t max_bytes) const {
        return versions_.page(after, max_bytes);
    }
    RolloutProgress progress(std::uint64_t version, std::size_t max_names) const {
        return members_.progress(version, max_names);
    }
    // The versions whose deltas are kept, latest first.
    std::vector<PublishedVersion> history(std::size_t max_versions) const;

    // The number of known members.
    std::size_t members() const { return members_.size(); }
    // The number of the last report applied from this incarnation of a relay; 0 if there is none or the
    // relay's lease has expired.
    std::uint64_t last_number(const std::string& relay, std::uint64_t incarnation) const;
    // The latest incarnation of a relay; 0 if the relay is unknown.
    std::uint64_t last_incarnation(const std::string& relay) const;
    bool knows_later_incarnation(const std::string& relay, std::uint64_t incarnation) const;
    // The number of members, relays and entries that the last command visited.
    std::uint64_t visited_count() const { return visited_count_ + members_.visited_count(); }

  private:
    void on(const Publish& command);
    void on(const Rollback& command);
    void on(const Resume& command);
    void on(const ReportBatch& command);
    void on(const Forget& command);
    void on(const SetLimits& command);
    void on(const Tick& command) { (void)command; }

    void publish(const std::string& requested_by, const DocumentChange& change);
    void apply_report(const RelayReport& report);
    std::optional<StaleReason> stale_reason(const RelayReport& report) const;

    void advance_clock(Nanos at);
    void expire_leases();
    // The steps that follow every command, in this order.
    void halt_on_refusals();
    void advance_applied_everywhere();

    void emit(Effect effect) { effects_.push_back(std::move(effect)); }
    void reject(std::string reason, std::optional<std::string> member = std::nullopt);
    void emit_stale(const std::string& sender, StaleReason reason);

    Limits limits_;
    replicated::StateClock clock_;
    VersionedDocument versions_;
    RelayTable relays_;
    MemberTable members_;
    PublishingHalt halt_;
    std::uint64_t applied_everywhere_ = 0;
    replicated::CommandHistory<Effect> history_;
    Effects effects_;  // of the command that is being applied
    std::uint64_t visited_count_ = 0;
};

}  // namespace tealcart::changes
