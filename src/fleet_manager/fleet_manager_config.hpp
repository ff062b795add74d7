// Reads the operators' file of the fleet managers: the group's addresses and the fleet's budgets.
// deploy/fleet.hcl is an example, and docs/fleet.md lists the blocks.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "changes/change_state.hpp"
#include "config/host_port.hpp"
#include "config/operator_config.hpp"
#include "fleet/fleet_state.hpp"

namespace tealcart::fleet_manager {

// The addresses of a fleet manager, and where it stores its data.
struct ManagerAddresses {
    std::string raft;          // where the other fleet managers reach it
    std::string bind;          // where it listens for them; empty: at `raft`
    HostPort http, http_bind;  // where members and operators reach it, and where it listens for them
    std::string data_directory;
};

// The contents of the fleet managers' file.
struct FleetManagerConfig {
    std::string source, fleet;     // fleet: the fleet's name
    Nanos election = 600'000'000;  // ns without a heartbeat after which an election starts
    std::map<std::uint64_t, ManagerAddresses> managers;  // by id
    fleet::Budgets budgets;
    bool takes_changes = false;  // whether there is a `changes` block; without one, no changes are committed
    changes::Limits changes;
    LogConfig log;
};

// Throws HclErrors with all mistakes of the text.
FleetManagerConfig read_fleet_manager_config(std::string_view text, std::string_view source);
// Also throws ConfigError if it cannot be read.
FleetManagerConfig read_fleet_manager_file(const std::string& path);

}  // namespace tealcart::fleet_manager
