// The commands `fleet status`, `fleet steward-add` and `fleet steward-remove`.
#pragma once

#include <cstdint>
#include <string>

#include "fleet_manager/operator_client.hpp"

namespace tealcart::fleet_manager {

// Prints the agreed state; `all` lists each member and data node, even in a large fleet. Returns the exit
// status.
int show_status(const ClientOptions& client, bool all);

// Add and remove a fleet manager; `raft_address` is where the others reach it. Each returns the exit status.
int add_manager(const ClientOptions& client, std::uint64_t id, const std::string& raft_address);
int remove_manager(const ClientOptions& client, std::uint64_t id);

}  // namespace tealcart::fleet_manager
