// A list of data nodes as discovery sends it, independent of the protocol that carries it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// One data node in a list.
struct ListedEndpoint {
    std::string id, address, zone, kind;
    std::uint32_t place = 0;
    Lifecycle lifecycle = Lifecycle::removed;
    Nanos started_at = 0;  // since the Unix epoch; 0 if the node has been up for long
};

// Either a full list or the entries that changed since an earlier generation.
struct EndpointList {
    std::uint64_t generation = 0;
    bool full = false;  // nodes that it does not list are removed
    std::vector<ListedEndpoint> nodes;
    int skipped_entries = 0;  // invalid entries, which are not in `nodes`
};

}  // namespace tealcart
