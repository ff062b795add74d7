// The `member` block of the operators' file (docs/fleet.md): how a query router takes part in a fleet, which
// coordinates drains and changes of configuration. A router without the block is not part of a fleet.
// Durations are in nanoseconds.
#pragma once

#include <string>
#include <vector>

#include "config/host_port.hpp"
#include "router/query_router.hpp"

namespace tealcart {

// The settings of a fleet member.
struct MemberConfig {
    bool enabled = false;    // true if fleet managers are given
    std::string name, zone;  // an empty name stands for that of the startup configuration
    std::vector<HostPort> managers;
    std::vector<HostPort> relays;  // sources of configuration changes; empty to follow none
    // How long the router acts on its last known state after its lease has expired.
    Nanos lease_grace = 24 * 3600'000'000'000;
    // What it does after that: it is not ready but serves the queries that arrive, or, if this is true,
    // rejects them and sends no attempts.
    bool stop_after_grace = false;
    // Longest time for which the router is not ready while it waits for the first answer of the fleet
    // managers, and of the relays.
    Nanos startup_wait = 5'000'000'000;
    Nanos config_startup_wait = 2'000'000'000;
};

}  // namespace tealcart
