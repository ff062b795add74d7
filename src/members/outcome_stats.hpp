// Recent statistics that a member reports to the fleet: how queries ended, and which data nodes do not
// respond. The fleet managers use them to decide whether more targets may be drained; they affect no query.
// No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "router/query_router.hpp"

namespace tealcart {

// Counts query outcomes and tracks consecutive failures by node.
class OutcomeStats {
  public:
    // Queries that ended, and how many of them failed.
    struct Counts {
        std::uint64_t queries = 0, failed = 0;
    };

    // Records the end of an admitted query. `failed` means any status but 200, so rejections count as
    // failures.
    void record_query(Nanos now, bool failed);
    // Records the end of an attempt at a node.
    void record_attempt(Nanos now, std::uint32_t node, Outcome outcome);
    void forget(std::uint32_t node) { failures_.erase(node); }

    // The counts of the last ten seconds.
    Counts counts(Nanos now) const;
    // Nodes whose latest attempts, over at least two seconds, all ended in timeouts or broken connections.
    std::set<std::uint32_t> unresponsive(Nanos now) const;

  private:
    struct SecondCounts {
        std::int64_t number = -1;  // seconds since the epoch of the clock
        Counts counts;
    };
    // Consecutive failures of a node.
    struct Failures {
        int count = 0;
        Nanos first = 0, last = 0;
    };

    std::array<SecondCounts, 10> seconds_;  // a ring buffer, indexed by the second's number
    std::unordered_map<std::uint32_t, Failures> failures_;
};

}  // namespace tealcart
