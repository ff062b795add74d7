// The managers' operators' file (deploy/fleet.hcl by its usual name): who they are, and what may be out.
// docs/fleet.md lists its blocks.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "changes/change_state.hpp"
#include "config/host_port.hpp"
#include "config/operator_config.hpp"
#include "fleet/fleet_state.hpp"

namespace tealcart::manager {

struct ManagerAddresses {
    std::string raft, bind, folder;  // where the others reach it; where it listens, if elsewhere
    HostPort http, http_bind;        // where members and operators reach it; where it listens
};

struct FleetManagerConfig {
    std::string source, fleet;  // fleet: its name
    Nanos election = 600'000'000;
    std::map<std::uint64_t, ManagerAddresses> managers;  // by id
    fleet::Budgets budgets;
    bool takes_changes = false;  // a `changes` block is stated: without one, none are agreed
    changes::Limits changes;
    LogConfig log;
};

// Throws HclErrors with all that is wrong.
FleetManagerConfig read_fleet_manager_config(std::string_view text, std::string_view source);
FleetManagerConfig read_fleet_manager_file(const std::string& path);  // and ConfigError where it can't be read

}  // namespace tealcart::manager
