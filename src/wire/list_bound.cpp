#include "wire/list_bound.hpp"

#include <algorithm>

namespace tealcart {
namespace {

// An entry with names of 128 bytes, 21 bytes of address, numbers as long as they get, and each field indented
// on a line of its own.
constexpr std::size_t longest_entry = 1024;
// A name of 128 bytes with its kind, indented.
constexpr std::size_t longest_named = 256;

// A place has as many nodes as a shard has places, and each may still drain beside the one that follows it.
std::size_t most_nodes(const Terms& terms) {
    return 2 * static_cast<std::size_t>(terms.places) * static_cast<std::size_t>(terms.width);
}

ListBound bound_of(const Terms& terms, std::size_t memory, std::size_t names, std::size_t each) {
    const std::size_t wanted = names * each;
    // The text stands in memory beside what is read from it, and beside what stood before.
    const std::size_t room = memory > 0 ? memory / 4 : wanted;
    if (std::min(wanted, room) <= ListBound::least) return {};
    if (room < wanted) return {room, "a quarter of limits.memory_mb"};
    return {wanted, "2 x " + std::to_string(terms.places) + " places x " + std::to_string(terms.width) +
                        " holders of a shard, " + std::to_string(each) + " bytes each"};
}

}  // namespace

ListBound bound_of_list(const Terms& terms, std::size_t memory) {
    return bound_of(terms, memory, most_nodes(terms), longest_entry);
}

ListBound bound_of_agreed(const Terms& terms, std::size_t memory) {
    return bound_of(terms, memory, most_nodes(terms) + static_cast<std::size_t>(terms.routers),
                    longest_named);
}

}  // namespace tealcart
