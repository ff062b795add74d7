// What operators allow of configuration changes and of those who follow them. All times in nanoseconds.
#pragma once

#include <cstddef>

#include "changes/document.hpp"

namespace tealcart::changes {

// What operators allow. Times in nanoseconds, sizes in bytes.
struct Limits {
    // For how long a relay's report holds; the leases of its members end with it at the latest.
    Nanos lease = 10'000'000'000;
    Nanos drift = 1'000'000'000;            // by how much more clocks may run apart in one lease
    Nanos forget_after = 3600'000'000'000;  // a member that is lost or has left is remembered for so long
    // Publishing halts once more than this share of the live members refuses the latest version, ...
    double halt_refused_share = 0.1;
    std::size_t halt_min_refusals = 1;                     // ... of so many members at least.
    std::size_t max_entries = 1000;                        // of the document
    std::size_t max_entry_bytes = std::size_t{16} * 1024;  // key and value
    std::size_t max_kept = 1000;  // versions whose deltas are kept, for catching up and for going back
    std::size_t max_kept_bytes = std::size_t{64} << 20;  // of keys and values in these deltas, there and back
    std::size_t max_members = 100'000, max_relays = 10'000;
    std::size_t max_deduplicated = 10'000;  // commands that are remembered by their id

    friend bool operator==(const Limits&, const Limits&) = default;
};

}  // namespace tealcart::changes
