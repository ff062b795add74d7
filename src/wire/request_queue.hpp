// The complete requests that wait for their turn. Bounds the work on requests between two turns of the event
// loop, in which timers, answers of data nodes and rounds are due.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include "tables/slot_map.hpp"

namespace tealcart {

// Small requests are served in order of arrival. Large ones, which take up to some milliseconds each to
// parse, have a share of each turn of their own and are served smallest first: those of few bytes don't wait
// behind many that are as large as a body may be.
class RequestQueue {
  public:
    // `bytes` is the size of the request's body. A handle must not be queued twice.
    void push(Handle handle, std::size_t bytes);
    // Does nothing if the request is not queued.
    void remove(Handle handle);
    // Removes the requests to serve in this turn, and returns them.
    std::vector<Handle> take_turn();
    // Removes up to `count` of the large requests, the largest first, and returns them.
    std::vector<Handle> take_largest(std::size_t count);
    bool empty() const { return small_.empty() && large_.empty(); }
    std::size_t size() const { return small_.size() + large_.size(); }

  private:
    // Bodies of up to this size are small.
    static constexpr std::size_t max_small_bytes = 4096;
    // Of small requests and of large ones, in a turn; of each at least one request.
    static constexpr std::size_t max_bytes_per_turn = 64UL * 1024;
    // Added to each request's size: the head, and the work that does not depend on the size.
    static constexpr std::size_t fixed_bytes = 512;

    struct Entry {
        std::size_t rank = 0;  // requests of the same rank are served in order of arrival
        std::uint64_t arrival = 0;
        Handle handle;
        std::size_t bytes = 0;

        friend bool operator<(const Entry& a, const Entry& b) {
            return std::tie(a.rank, a.arrival) < std::tie(b.rank, b.arrival);
        }
    };
    using Entries = std::set<Entry>;

    static void take(Entries& from, std::vector<Handle>& to);

    Entries small_, large_;
    std::uint64_t arrivals_ = 0;
};

}  // namespace tealcart
