// Proposes commands to the replicated log, with the time of this fleet manager's clock, and reports their
// effects.
#pragma once

#include <functional>
#include <vector>

#include "fleet_manager/raft_node.hpp"
#include "fleet_manager/replicated_state.hpp"
#include "tables/event_clock.hpp"

namespace tealcart::fleet_manager {

// Proposes commands of both states.
class Proposer {
  public:
    // Called exactly once. If not `committed`, the commands may still be committed later, but the effects are
    // not reported here.
    using FleetOutcome = std::function<void(bool committed, fleet::Effects effects)>;
    using ChangeOutcome = std::function<void(bool committed, changes::Effects effects)>;

    // `clock_error` is added to the time that commands carry, for tests of clock skew.
    Proposer(EventClock& time, RaftNode& raft, const ReplicatedState& state, Nanos clock_error)
        : time_(time), raft_(raft), state_(state), clock_error_(clock_error) {}

    bool leads() const { return raft_.leads(); }
    // Proposes the commands in this order; `outcome` is called when the last one is applied.
    void propose(std::vector<fleet::Command> commands, FleetOutcome outcome);
    void propose(changes::Command command, ChangeOutcome outcome);

    // When a command of each kind was last proposed; 0: never.
    Nanos last_fleet_proposal() const { return last_fleet_proposal_; }
    Nanos last_change_proposal() const { return last_change_proposal_; }

  private:
    EventClock& time_;
    RaftNode& raft_;
    const ReplicatedState& state_;
    const Nanos clock_error_;
    Nanos last_fleet_proposal_ = 0, last_change_proposal_ = 0;
};

}  // namespace tealcart::fleet_manager
