// What a member reports to the fleet of its last seconds: how its queries ended, and which data nodes do not
// respond. Figures for those who judge whether more may go out; no query is decided by them. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "router/query_router.hpp"

namespace tealcart {

class OutcomeStats {
  public:
    struct Counts {
        std::uint64_t queries = 0, failed = 0;
    };

    // A query that was admitted has ended; failed: with any status but 200, so rejections count.
    void record_query(Nanos now, bool failed);
    // An attempt at a node has ended.
    void record_attempt(Nanos now, std::uint32_t node, Outcome outcome);
    void forget(std::uint32_t node) { failures_.erase(node); }

    Counts counts(Nanos now) const;  // of the last ten seconds
    // Nodes whose last attempts all ended in time-outs and broken connections, over some seconds.
    std::set<std::uint32_t> unresponsive(Nanos now) const;

  private:
    struct SecondCounts {
        std::int64_t number = -1;  // since the epoch
        Counts counts;
    };
    // Of a node, since its last attempt that did not fail.
    struct Failures {
        int count = 0;
        Nanos first = 0, last = 0;
    };

    std::array<SecondCounts, 10> seconds_;  // a ring, by the second's number
    std::unordered_map<std::uint32_t, Failures> failures_;
};

}  // namespace tealcart
