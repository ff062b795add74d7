// Proposes commands to the replicated log, stamped with this fleet manager's clock, and reports what came of
// them.
#pragma once

#include <functional>
#include <vector>

#include "fleet_manager/raft_node.hpp"
#include "fleet_manager/replicated_state.hpp"
#include "tables/event_clock.hpp"

namespace tealcart::fleet_manager {

class Proposer {
  public:
    // Called exactly once. Not committed: the commands may or may not be committed later, without effects
    // here.
    using FleetOutcome = std::function<void(bool committed, fleet::Effects effects)>;
    using ChangeOutcome = std::function<void(bool committed, changes::Effects effects)>;

    // `clock_error` is added to the clock that commands carry: for tests of clocks that run apart.
    Proposer(EventClock& time, RaftNode& raft, const ReplicatedState& state, Nanos clock_error)
        : time_(time), raft_(raft), state_(state), clock_error_(clock_error) {}

    bool leads() const { return raft_.leads(); }
    // All of the commands in this order; `outcome` is called once the last one is applied.
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
