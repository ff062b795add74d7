// The command fleet status, and those that change the group of fleet managers.
#pragma once

#include <cstdint>
#include <string>

#include "fleet_manager/operator_client.hpp"

namespace tealcart::fleet_manager {

// Prints the agreed state. `all`: each member and data node, also of a large fleet. The status to exit with.
int show_status(const ClientOptions& client, bool all);

// The status to exit with. `raft_address`: where the others reach it.
int add_manager(const ClientOptions& client, std::uint64_t id, const std::string& raft_address);
int remove_manager(const ClientOptions& client, std::uint64_t id);

}  // namespace tealcart::fleet_manager
