#include "fleet_manager/proposer.hpp"

#include <iterator>
#include <memory>
#include <utility>

#include "fleet_manager/log_entries.hpp"

namespace tealcart::fleet_manager {

void Proposer::propose(std::vector<fleet::Command> commands, FleetOutcome outcome) {
    struct Batch {
        std::size_t pending = 0;
        bool committed = true;
        fleet::Effects effects;
        FleetOutcome outcome;
    };
    const auto batch = std::make_shared<Batch>(Batch{commands.size(), true, {}, std::move(outcome)});
    const auto on_applied = [this, batch](bool applied) {
        const fleet::Effects& effects = state_.fleet_effects();
        if (applied) batch->effects.insert(batch->effects.end(), effects.begin(), effects.end());
        batch->committed &= applied;
        if (--batch->pending == 0) batch->outcome(batch->committed, std::move(batch->effects));
    };
    for (fleet::Command& command : commands) {
        last_fleet_proposal_ = time_.now();
        command.proposed_at = last_fleet_proposal_ + clock_error_;
        if (!raft_.propose(fleet::write_command(command), on_applied)) on_applied(false);
    }
}

void Proposer::propose(changes::Command command, ChangeOutcome outcome) {
    last_change_proposal_ = time_.now();
    command.proposed_at = last_change_proposal_ + clock_error_;
    const auto on_applied = [this, outcome = std::move(outcome)](bool applied) {
        outcome(applied, applied ? state_.change_effects() : changes::Effects{});
    };
    if (!raft_.propose(write_change_entry(changes::write_command(command)), on_applied)) on_applied(false);
}

}  // namespace tealcart::fleet_manager
