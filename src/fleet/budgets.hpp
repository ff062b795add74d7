// The operators' budgets: how much of the fleet may be out of service at the same time. All times are in
// nanoseconds.
#pragma once

#include <cstddef>
#include <cstdint>

#include "replicated/state_clock.hpp"

namespace tealcart::fleet {

using replicated::Nanos;

// The maximum that may be out at the same time: a number, a share of all that are known, or the lower of
// both.
struct Limit {
    std::size_t max_count = SIZE_MAX;
    double max_share = 1;

    // How many of `all` may be out, rounded down.
    std::size_t allowed(std::size_t all) const;
    friend bool operator==(const Limit&, const Limit&) = default;
};

// The budgets for removals, the lease times and the conditions that halt removals. Everything that is not
// healthy counts as out, whoever took it out.
struct Budgets {
    Limit nodes, nodes_per_zone, nodes_per_kind;
    std::size_t min_holders = 1;  // healthy nodes that every shard must keep
    Limit routers, routers_per_zone;
    Nanos lease = 10'000'000'000;  // how long a member's report is valid
    Nanos drift = 1'000'000'000;   // how much a member's clock may lose against the managers' in one lease
    // How long a member whose lease has expired still counts as out.
    Nanos forget_after = 3600'000'000'000;
    // If false, a removal is done although a member whose lease has expired may still act on an older
    // generation; that member is then listed as unacknowledged. If true, the removal waits until the member
    // can't act any more.
    bool wait_for_lost = false;
    // Conditions that halt grants automatically. With the defaults they never hold.
    // Halts if a greater share of the queries that all routers report has ended with another status than 200
    // (rejections included), once at least `halt_failed_min_queries` are reported.
    double halt_failed_share = 1;
    std::uint64_t halt_failed_min_queries = 100;
    double halt_lost_share = 1;        // halts if a greater share of the routers has lost its lease
    std::size_t halt_min_holders = 0;  // halts if a shard has fewer healthy holders
    // A node counts as out once this share of the live routers reports it as unresponsive.
    double unresponsive_share = 0.5;
    std::size_t max_open_requests = 1000;
    std::size_t max_deduplicated = 10'000;  // commands in the history that deduplicates by id

    friend bool operator==(const Budgets&, const Budgets&) = default;
};

}  // namespace tealcart::fleet
