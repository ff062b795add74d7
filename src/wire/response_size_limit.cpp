#include "wire/response_size_limit.hpp"

#include <algorithm>

namespace tealcart {
namespace {

// An entry with names of 128 bytes, 21 bytes of address, numbers as long as they get, and each field indented
// on a line of its own.
constexpr std::size_t max_entry_bytes = 1024;
// A name of 128 bytes with its kind, indented.
constexpr std::size_t max_name_bytes = 256;
// The text stands in memory beside what is read from it, and beside what stood before.
constexpr std::size_t memory_share = 4;

// A place has as many nodes as a shard has replicas, and each may still drain beside the one that follows it.
std::size_t max_nodes(const RouterConfig& config) {
    return 2 * static_cast<std::size_t>(config.places) * static_cast<std::size_t>(config.replicas_per_shard);
}

ResponseSizeLimit make_bound(const RouterConfig& config, std::size_t memory, std::size_t items,
                             std::size_t bytes_per_item) {
    const std::size_t wanted = items * bytes_per_item;
    const std::size_t available = memory > 0 ? memory / memory_share : wanted;
    if (std::min(wanted, available) <= ResponseSizeLimit::min_bytes) return {};
    if (available < wanted) return {available, "a quarter of limits.memory_mb"};
    return {wanted, "2 x " + std::to_string(config.places) + " places x " +
                        std::to_string(config.replicas_per_shard) + " holders of a shard, " +
                        std::to_string(bytes_per_item) + " bytes each"};
}

}  // namespace

ResponseSizeLimit endpoint_list_size_limit(const RouterConfig& config, std::size_t memory) {
    return make_bound(config, memory, max_nodes(config), max_entry_bytes);
}

ResponseSizeLimit manager_response_size_limit(const RouterConfig& config, std::size_t memory) {
    return make_bound(config, memory, max_nodes(config) + static_cast<std::size_t>(config.routers),
                      max_name_bytes);
}

}  // namespace tealcart
