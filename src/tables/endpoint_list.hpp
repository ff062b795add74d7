// A list of data nodes as discovery sends it, whatever carries it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// One data node of a list.
struct ListedEndpoint {
    std::string id, address, zone, kind;
    std::uint32_t place = 0;
    Lifecycle lifecycle = Lifecycle::removed;
    Nanos started_at = 0;  // since the Unix epoch, 0 for long ago
};

// A full list, or the entries that changed since an earlier generation.
struct EndpointList {
    std::uint64_t generation = 0;
    bool full = false;  // what it does not name is removed
    std::vector<ListedEndpoint> nodes;
    int left_out = 0;  // entries that could not be used
};

}  // namespace tealcart
