// Changes of a fleet's configuration, agreed in one order: versions, each a delta with the digest of its
// result, and how far each has come. One deterministic state machine for the managers' log, as FleetState is:
// apply(command) gives effects, and the same commands in the same order give the same state and the same
// effects on every replica. No I/O and no clock: the time stands in each command. docs/design-changes.md has
// the promise and its assumptions.
//
// This class keeps the order of what follows from a command. The versions are in VersionedDocument, the
// relays and their leases in RelayTable, the members that they report in MemberTable, halts in
// PublishingHalt.
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
    std::size_t entries = 0;  // that it changed
    bool applied_everywhere = false;
};

class ChangeState {
  public:
    explicit ChangeState(const Limits& limits) : limits_(limits), relays_(limits), members_(limits) {}

    Effects apply(const Command& command);

    // The whole state, with a number for its form. `load` throws replicated::CodecError on another form and
    // on noise, and changes nothing then.
    std::vector<std::uint8_t> save() const;
    void load(const std::vector<std::uint8_t>& bytes);

    const Limits& limits() const { return limits_; }
    std::uint64_t version() const { return versions_.version(); }  // the latest; 0: none was published
    // The latest version that was found to be applied everywhere.
    std::uint64_t applied_everywhere() const { return applied_everywhere_; }
    Nanos now() const { return clock_.now(); }
    // No version is found to be applied everywhere before.
    Nanos hold_until() const { return clock_.hold_until(); }
    bool halted() const { return halt_.halted(); }
    const std::string& halt_reason() const { return halt_.reason(); }
    std::uint64_t halted_version() const { return halt_.version(); }  // the last one that halted
    const Document& document() const { return versions_.document(); }
    std::uint64_t digest() const { return versions_.digest(); }

    // What leads from a copy's version to the latest; nothing: ask for pages.
    std::optional<Delta> since(std::uint64_t version) const { return versions_.since(version); }
    // The latest version in pages: entries after this key, up to so many bytes.
    Page page(const std::string& after, std::size_t max_bytes) const {
        return versions_.page(after, max_bytes);
    }
    RolloutProgress progress(std::uint64_t version, std::size_t max_names) const {
        return members_.progress(version, max_names);
    }
    // Kept versions, the latest first.
    std::vector<PublishedVersion> history(std::size_t max_versions) const;

    std::size_t members() const { return members_.size(); }  // that are known
    // Of the last report that was applied of this incarnation of a relay; 0: none, or its lease is over.
    std::uint64_t last_number(const std::string& relay, std::uint64_t incarnation) const;
    std::uint64_t last_incarnation(const std::string& relay) const;  // 0: it is not known
    bool knows_later_incarnation(const std::string& relay, std::uint64_t incarnation) const;
    // Members, relays and entries that the last command looked at.
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
    // What follows from any command, in this order.
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
