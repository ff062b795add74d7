#include "wire/list_bound.hpp"

#include <algorithm>

namespace tealcart {
namespace {

// An entry with names of 128 bytes, 21 bytes of address, numbers as long as they get, and each field indented
// on a line of its own.
constexpr std::size_t max_entry = 1024;
// A name of 128 bytes with its kind, indented.
constexpr std::size_t max_named = 256;

// A place has as many nodes as a shard has places, and each may still drain beside the one that follows it.
std::size_t max_nodes(const RouterConfig& config) {
    return 2 * static_cast<std::size_t>(config.places) * static_cast<std::size_t>(config.replicas_per_shard);
}

ListBound bound_of(const RouterConfig& config, std::size_t memory, std::size_t names, std::size_t each) {
    const std::size_t wanted = names * each;
    // The text stands in memory beside what is read from it, and beside what stood before.
    const std::size_t room = memory > 0 ? memory / 4 : wanted;
    if (std::min(wanted, room) <= ListBound::least) return {};
    if (room < wanted) return {room, "a quarter of limits.memory_mb"};
    return {wanted, "2 x " + std::to_string(config.places) + " places x " +
                        std::to_string(config.replicas_per_shard) + " holders of a shard, " +
                        std::to_string(each) + " bytes each"};
}

}  // namespace

ListBound bound_of_list(const RouterConfig& config, std::size_t memory) {
    return bound_of(config, memory, max_nodes(config), max_entry);
}

ListBound bound_of_agreed(const RouterConfig& config, std::size_t memory) {
    return bound_of(config, memory, max_nodes(config) + static_cast<std::size_t>(config.routers), max_named);
}

}  // namespace tealcart
