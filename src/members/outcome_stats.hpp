// What a member reports to the fleet of its last seconds: how its queries ended, and which data nodes stay
// silent. Figures for those who judge whether more may go out; no query is decided by them. No I/O.
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

    // A query that the router took has ended; failed: in anything but an answer.
    void record_query(Nanos now, bool failed);
    // A leaf call to a node has ended.
    void record_attempt(Nanos now, std::uint32_t node, Outcome outcome);
    void forget(std::uint32_t node) { nodes_.erase(node); }

    Counts counts(Nanos now) const;  // of the last ten seconds
    // Nodes of which nothing but time-outs and broken connections came in the last seconds, several times.
    std::set<std::uint32_t> silent(Nanos now) const;

  private:
    struct Second {
        std::int64_t at = -1;
        Counts counts;
    };
    struct Node {
        int bad = 0;  // in a row
        Nanos since = 0, last = 0;
    };

    std::array<Second, 10> seconds_;
    std::unordered_map<std::uint32_t, Node> nodes_;  // with bad outcomes since their last good one
};

}  // namespace tealcart
