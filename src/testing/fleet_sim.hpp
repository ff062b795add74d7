// Simulates a fleet on a virtual clock. The state machine and the leases are the real ones; members, fleet
// managers, operators' tools and data nodes are simulated, and are slowed down, partitioned, paused and
// killed by a seeded plan. The same plan always produces the same run.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/fleet_state.hpp"

namespace tealcart::testing {

// The size of the fleet and the faults to inject.
struct SimulationPlan {
    std::uint64_t seed = 1;
    int members = 30, nodes = 30;
    fleet::Nanos span = 30'000'000'000;
    bool faults = true;
    // If true, members stop when their lease ends; if false, they go on with their last known state.
    bool stop_without_lease = true;
    // If false, every tool acts on its own view without consensus.
    bool use_consensus = true;
    fleet::Budgets budgets;
};

// What happened during the run.
struct SimulationResult {
    std::uint64_t grants = 0, removals_done = 0;
    std::uint64_t budget_violations = 0;  // checks that found more nodes out than the budget allows
    // Attempts to a node after its removal was done, by members that stop without a lease and by members with
    // a valid lease.
    std::uint64_t attempts_after_done = 0;
    // Attempts to a node more than 1 s after the member had received its removal.
    std::uint64_t late_attempts = 0;
    // All attempts, and the injected faults.
    std::uint64_t attempts = 0, crashes = 0, pauses = 0, partitions = 0, leader_losses = 0;
    std::vector<fleet::Nanos> grant_to_done;  // for each removal that was done
};

// Runs the simulation.
SimulationResult run_simulation(const SimulationPlan& plan);

}  // namespace tealcart::testing
