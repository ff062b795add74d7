#include "service/memory_limits.hpp"

namespace tealcart {
namespace {

// Of the rest, about a third is left to the allocator, and the other two to the program itself, endpoint
// lists, connections and the tree of the JSON text that is being read.
constexpr std::size_t client_buffer_share = 4, query_share = 8, node_queue_share = 16;
constexpr std::size_t unstated_process_bytes = 256'000'000;

}  // namespace

MemoryLimits divide_memory(std::size_t process_bytes) {
    const std::size_t bytes = process_bytes > 0 ? process_bytes : unstated_process_bytes;
    return {bytes / client_buffer_share, bytes / query_share, bytes / node_queue_share};
}

}  // namespace tealcart
