#include "wire/response_size_limit.hpp"

#include <algorithm>

namespace tealcart {
namespace {

// The longest entry: names of 128 bytes, an address of 21 bytes, numbers of full length, and each field
// indented on its own line.
constexpr std::size_t max_entry_bytes = 1024;
// An indented name of 128 bytes with its kind.
constexpr std::size_t max_name_bytes = 256;
// Only a fourth of the memory may go to the text, since the result of parsing it and the previous list are in
// memory at the same time.
constexpr std::size_t memory_share = 4;

// A place has as many nodes as a shard has replicas. The factor 2 allows for a node that drains while its
// replacement is already listed.
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
                        std::to_string(config.replicas_per_shard) + " replicas of a shard, " +
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
