// Limits for the size of the responses of discovery and of the fleet managers. They follow from the size of
// the deployment that the settings state. No memory is reserved for the responses.
#pragma once

#include <cstddef>
#include <string>

#include "router/query_router.hpp"

namespace tealcart {

// The largest response body that is accepted.
struct ResponseSizeLimit {
    static constexpr std::size_t min_bytes = 8UL * 1024 * 1024;  // independent of the settings
    std::size_t bytes = min_bytes;
    std::string reason = "the minimum limit";  // how the limit was derived, for the log
};

// Returns the limit for an endpoint list. `memory` is the memory limit of the process in bytes; 0 means that
// there is none.
ResponseSizeLimit endpoint_list_size_limit(const RouterConfig& config, std::size_t memory);
// Returns the limit for a fleet manager's response, which names every node and router that is out.
ResponseSizeLimit manager_response_size_limit(const RouterConfig& config, std::size_t memory);

}  // namespace tealcart
