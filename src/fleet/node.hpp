// A data node, as the fleet manager that leads sees it in discovery.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/budgets.hpp"

namespace tealcart::fleet {

// Stored by number: append only.
enum class Health : std::uint8_t { healthy, draining, cold, gone, unknown };

// A data node, as discovery lists it.
struct Node {
    std::string zone, kind;             // kind: of machine
    std::vector<std::uint32_t> shards;  // that it holds
    Health health = Health::unknown;    // by discovery, and by whether it has warmed up
    Nanos started_at = 0;

    friend bool operator==(const Node&, const Node&) = default;
};

}  // namespace tealcart::fleet
