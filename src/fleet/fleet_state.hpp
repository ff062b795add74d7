// The replicated state of a fleet: its members and their leases, its data nodes, and which of them may be out
// of service. It is a deterministic state machine for a replicated log: apply(command) returns effects, and
// the same commands in the same order produce the same state and the same effects on every replica. It
// performs no I/O and reads no clock: each command carries the time that its proposer read.
// docs/design-fleet.md describes the guarantee and its assumptions.
//
// FleetState determines the order of the steps that follow a command. MemberTable holds the members and their
// leases, NodeTable the data nodes, RemovalQueue the requests and the removed targets, and HaltSwitch the
// halts. BudgetCheck evaluates the budgets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/budgets.hpp"
#include "fleet/commands.hpp"
#include "fleet/effects.hpp"
#include "fleet/halt_switch.hpp"
#include "fleet/member_table.hpp"
#include "fleet/node_table.hpp"
#include "fleet/removal_queue.hpp"
#include "replicated/command_history.hpp"
#include "replicated/state_clock.hpp"

namespace tealcart::fleet {

// The state machine of the fleet.
class FleetState {
  public:
    explicit FleetState(const Budgets& budgets)
        : budgets_(budgets), nodes_(budgets.halt_min_holders), members_(budgets) {}

    // Applies one committed command. A command whose id is in the history changes nothing and returns the
    // effects of its first application.
    Effects apply(const Command& command);

    // Encodes the whole state, with a format version. `load` throws replicated::CodecError for another format
    // version and for malformed bytes, and changes nothing then.
    std::vector<std::uint8_t> save() const;
    void load(const std::vector<std::uint8_t>& bytes);

    const Budgets& budgets() const { return budgets_; }
    std::uint64_t generation() const { return removals_.generation(); }
    Nanos now() const { return clock_.now(); }
    Nanos hold_until() const { return clock_.hold_until(); }  // no removal is granted before this time
    bool halted() const { return halt_.halted(); }
    const std::string& halt_reason() const { return halt_.reason(); }
    const std::map<std::string, Member>& members() const { return members_.all(); }
    const std::map<std::string, Node>& nodes() const { return nodes_.all(); }
    const RemovalQueue::Requests& requests() const { return removals_.requests(); }

    // The targets that are out by agreement: no new work may be sent to them.
    const RemovedTargets& removed_targets() const { return removals_.removed(); }
    bool is_removed(const Target& target) const { return is_removed(target.router, target.name); }
    bool is_removed(bool router, const std::string& name) const {
        return removals_.is_removed({router, name});
    }
    // Whether a target is not healthy, whoever took it out.
    bool is_out(const Target& target) const { return is_out(target.router, target.name); }
    bool is_out(bool router, const std::string& name) const {
        return router ? members_.is_out(name) : nodes_.is_out(name);
    }
    // The members that a granted request still waits for.
    std::vector<std::string> pending_members(const Request& request) const {
        return members_.pending(request);
    }

    const NodeCounts& node_counts() const { return nodes_.counts(); }
    const MemberCounts& member_counts() const { return members_.counts(); }
    const VoteCounts& vote_counts() const { return members_.vote_counts(); }
    const RequestCounts& request_counts() const { return removals_.counts(); }
    // The number of members, nodes, shards and requests that the last command visited.
    std::size_t visited_count() const;

  private:
    void on(const Join& command);
    void on(const Renew& command);
    void on(const Leave& command);
    void on(const EndpointsObserved& command) { nodes_.observe(command); }
    void on(const RequestRemoval& command);
    void on(const UndoRemoval& command);
    void on(const Halt& command);
    void on(const Resume& command);
    void on(const Tick& command) { (void)command; }
    void on(const ReportBatch& command);
    void on(const Forget& command);
    void on(const SetBudgets& command);

    void advance_clock(Nanos at);
    // The steps that follow every command, in this order.
    void grant_and_advance();
    void expire_leases();
    void finish_acknowledged();
    void return_targets();
    void apply_halt_conditions();
    void grant_queued();
    bool try_grant(std::uint64_t id);

    bool is_returning(const Request& request) const;
    void set_removed(const Target& target, bool removed);
    void end(std::uint64_t request);
    void emit(Effect effect) { effects_.push_back(std::move(effect)); }
    template <typename RequestEffect>
    void emit_for_request(std::uint64_t id, const Request& request);
    void emit_stale(const std::string& member, std::optional<StaleReason> reason);
    void reject(std::string subject, std::string reason, std::uint64_t request = 0);
    void reset_visited_count();

    Budgets budgets_;
    replicated::StateClock clock_;
    NodeTable nodes_;
    MemberTable members_;
    RemovalQueue removals_;
    HaltSwitch halt_;
    replicated::CommandHistory<Effect> history_;
    Effects effects_;  // of the command that is being applied
    std::size_t visited_count_ = 0;
};

}  // namespace tealcart::fleet
