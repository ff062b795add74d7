// A fleet on a virtual clock: the real state machine and the real leases, with members, managers, tools and
// data nodes around them that are slow, cut off, paused and killed by a seeded plan. The same plan gives the
// same run.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/fleet_state.hpp"

namespace tealcart::testing {

struct SimPlan {
    std::uint64_t seed = 1;
    int members = 30, nodes = 30;
    fleet::Nanos span = 30'000'000'000;
    bool faults = true;
    bool strict = true;  // members stop with their lease; else they go on by what they know
    bool agreed = true;  // false: every tool looks, and acts on what it saw
    fleet::Budgets budgets;
};

struct SimVerdict {
    std::uint64_t grants = 0, dones = 0;
    std::uint64_t over_budget = 0;  // moments at which more went out than may
    std::uint64_t after_done =
        0;                   // leaf calls to a node of which "done" was said; strict members' and live ones'
    std::uint64_t late = 0;  // leaf calls to a node later than 1 s after its member was told
    std::uint64_t attempts = 0, deaths = 0, pauses = 0, cuts = 0, new_leaders = 0;
    std::vector<fleet::Nanos> grant_to_done;
};

SimVerdict play(const SimPlan& plan);

}  // namespace tealcart::testing
