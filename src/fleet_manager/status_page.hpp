// Writes the agreed state of the fleet as JSON, for operators and tools: the body of GET /fleet/status.
#pragma once

#include <string>

#include "fleet/fleet_state.hpp"
#include "router/query_router.hpp"

namespace tealcart::fleet_manager {

// What the page states about the fleet manager that serves it.
struct ManagerStatus {
    // `leader`: 0 for none; `applied`: index of the last applied log entry.
    std::uint64_t id = 0, leader = 0, applied = 0;
    std::string fleet, leader_address;
    Nanos discovery_silent = 0;  // 0: discovery answers
};

// With more data nodes or members than this, only exceptions are listed: nodes that count as out, and members
// that are lost, left, out, or behind the latest generation. All of them are counted by zone.
constexpr std::size_t max_listed_whole = 200;
constexpr std::size_t max_exceptions = 1000;  // the most exceptions that are listed

// `all` lists each data node and member.
std::string write_status(const fleet::FleetState& state, const ManagerStatus& manager, bool all);

}  // namespace tealcart::fleet_manager
