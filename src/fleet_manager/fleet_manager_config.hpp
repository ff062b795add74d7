// The file that operators write for the fleet managers (deploy/fleet.hcl shows it): the group's addresses,
// and the budgets of the fleet. docs/fleet.md lists its blocks.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "changes/change_state.hpp"
#include "config/host_port.hpp"
#include "config/operator_config.hpp"
#include "fleet/fleet_state.hpp"

namespace tealcart::fleet_manager {

// Where a fleet manager listens, and where it stores its data.
struct ManagerAddresses {
    std::string raft;          // where the other fleet managers reach it
    std::string bind;          // where it listens for them; empty: the same
    HostPort http, http_bind;  // where members and operators reach it; where it listens for them
    std::string data_directory;
};

// The fleet managers' file.
struct FleetManagerConfig {
    std::string source, fleet;     // fleet: its name
    Nanos election = 600'000'000;  // ns without the leader's heartbeat until an election
    std::map<std::uint64_t, ManagerAddresses> managers;  // by id
    fleet::Budgets budgets;
    bool takes_changes = false;  // there is a `changes` block: without one, no changes are committed
    changes::Limits changes;
    LogConfig log;
};

// Throws HclErrors with every mistake.
FleetManagerConfig read_fleet_manager_config(std::string_view text, std::string_view source);
FleetManagerConfig read_fleet_manager_file(
    const std::string& path);  // and ConfigError where it can't be read

}  // namespace tealcart::fleet_manager
