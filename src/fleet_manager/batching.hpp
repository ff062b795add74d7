// How reports that come in together share an entry of the replicated log.
#pragma once

#include <cstddef>

#include "router/query_router.hpp"

namespace tealcart::fleet_manager {

constexpr Nanos batch_window = 5'000'000;      // ns that a report waits for others
constexpr std::size_t max_batch_calls = 2000;  // in one entry

}  // namespace tealcart::fleet_manager
