#include "wire/request_queue.hpp"

#include <algorithm>
#include <iterator>

namespace tealcart {

void RequestQueue::push(Handle handle, std::size_t bytes) {
    const std::size_t rank = bytes <= max_small_bytes ? 0 : bytes;
    (rank == 0 ? small_ : large_).insert({rank, arrivals_++, handle, bytes});
}

void RequestQueue::remove(Handle handle) {
    const auto is_removed = [handle](const Entry& entry) { return entry.handle == handle; };
    std::erase_if(small_, is_removed);
    std::erase_if(large_, is_removed);
}

std::vector<Handle> RequestQueue::take_turn() {
    std::vector<Handle> taken;
    take(small_, taken);
    take(large_, taken);
    return taken;
}

std::vector<Handle> RequestQueue::take_largest(std::size_t count) {
    std::vector<Handle> taken;
    while (taken.size() < count && !large_.empty()) {
        const auto largest = std::prev(large_.end());
        taken.push_back(largest->handle);
        large_.erase(largest);
    }
    return taken;
}

void RequestQueue::take(Entries& from, std::vector<Handle>& to) {
    std::size_t bytes = 0;
    while (!from.empty()) {
        const Entry& next = *from.begin();
        bytes += next.bytes + fixed_bytes;
        const bool is_first = bytes == next.bytes + fixed_bytes;
        if (!is_first && bytes > max_bytes_per_turn) return;
        to.push_back(next.handle);
        from.erase(from.begin());
    }
}

}  // namespace tealcart
