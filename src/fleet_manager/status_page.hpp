// The agreed state of the fleet as JSON, for operators and tools: GET /fleet/status.
#pragma once

#include <string>

#include "fleet/fleet_state.hpp"
#include "router/query_router.hpp"

namespace tealcart::fleet_manager {

// What the page says of the fleet manager that serves it.
struct ManagerStatus {
    std::uint64_t id = 0, leader = 0, applied = 0;  // leader: 0 for none; applied: entries of the log
    std::string fleet, leader_address;
    Nanos discovery_silent = 0;  // 0: discovery answers
};

// Of more data nodes, or members, than this only the exceptions are listed: nodes that count as out; members
// that are lost, left, out, or behind the latest generation. All are counted, by zone.
constexpr std::size_t max_listed_whole = 200;
constexpr std::size_t max_exceptions = 1000;  // listed at most

// `all`: each data node and member is listed.
std::string write_status(const fleet::FleetState& state, const ManagerStatus& manager, bool all);

}  // namespace tealcart::fleet_manager
