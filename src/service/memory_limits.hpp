// Divides the process's memory limit among the buffers and tables that clients can make grow.
#pragma once

#include <cstddef>

namespace tealcart {

// Limits in bytes. What stays within none of them is bounded by the numbers of connections and of queries and
// shard requests in progress.
struct MemoryLimits {
    std::size_t client_buffers = 0;  // requests and responses on clients' connections
    std::size_t queries = 0;         // texts, shard requests and values of queries
    std::size_t node_queues = 0;     // cancellations that wait for data nodes to read
};

// `process_bytes` is the memory limit of the process; 0 if the configuration states none.
MemoryLimits divide_memory(std::size_t process_bytes);

}  // namespace tealcart
