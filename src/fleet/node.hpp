// A data node, as the leading fleet manager sees it in discovery.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/budgets.hpp"

namespace tealcart::fleet {

// Stored by number: append only.
enum class Health : std::uint8_t { healthy, draining, cold, gone, unknown };

// The zone, machine kind, shards and health of one data node.
struct Node {
    std::string zone, kind;             // kind: of the machine
    std::vector<std::uint32_t> shards;  // the shards that it holds
    Health health = Health::unknown;    // from discovery, and from whether the node has warmed up
    Nanos started_at = 0;

    friend bool operator==(const Node&, const Node&) = default;
};

}  // namespace tealcart::fleet
