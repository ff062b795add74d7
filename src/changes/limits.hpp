// The operators' limits for configuration changes and for the relays and members that follow them.
#pragma once

#include <cstddef>

#include "changes/document.hpp"

namespace tealcart::changes {

// Times are in nanoseconds, sizes in bytes.
struct Limits {
    // How long a relay's report is valid. The leases of its members end with it at the latest.
    Nanos lease = 10'000'000'000;
    Nanos drift = 1'000'000'000;            // how far clocks may diverge in one lease
    Nanos forget_after = 3600'000'000'000;  // how long a member that is lost or has left is kept
    // Publishing halts once more than this share of the live members, and at least `halt_min_refusals`
    // members, refuse the latest version.
    double halt_refused_share = 0.1;
    std::size_t halt_min_refusals = 1;
    std::size_t max_entries = 1000;                        // entries of the document
    std::size_t max_entry_bytes = std::size_t{16} * 1024;  // key and value of one entry
    // Versions whose deltas are kept, for followers that catch up and for rollbacks.
    std::size_t max_kept = 1000;
    // Keys and values in these deltas, forward and backward.
    std::size_t max_kept_bytes = std::size_t{64} << 20;
    std::size_t max_members = 100'000, max_relays = 10'000;
    std::size_t max_deduplicated = 10'000;  // commands in the history that deduplicates by id

    friend bool operator==(const Limits&, const Limits&) = default;
};

}  // namespace tealcart::changes
