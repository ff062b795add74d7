// Limits for batching: reports that arrive within a short window are committed as one entry of the replicated
// log.
#pragma once

#include <cstddef>

#include "router/query_router.hpp"

namespace tealcart::fleet_manager {

constexpr Nanos batch_window = 5'000'000;      // ns that a report waits for others to join its batch
constexpr std::size_t max_batch_calls = 2000;  // reports in one log entry

}  // namespace tealcart::fleet_manager
