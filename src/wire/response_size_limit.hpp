// How long the answers of discovery and of the fleet managers may be, by the size of the deployment as its
// settings state it. No memory is reserved for them.
#pragma once

#include <cstddef>
#include <string>

#include "router/query_router.hpp"

namespace tealcart {

struct ResponseSizeLimit {
    static constexpr std::size_t min_bytes = 8UL * 1024 * 1024;  // whatever the settings state
    std::size_t bytes = min_bytes;
    std::string reason = "the least bound";  // where it comes from, for the log
};

// Of an endpoint list. `memory` is what the process may have, in bytes; 0 for no bound of its own.
ResponseSizeLimit endpoint_list_size_limit(const RouterConfig& config, std::size_t memory);
// Of a fleet manager's answer, which names every node that is out, and every router.
ResponseSizeLimit manager_response_size_limit(const RouterConfig& config, std::size_t memory);

}  // namespace tealcart
