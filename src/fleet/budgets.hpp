// What operators allow to be out of service at a time. All times in nanoseconds.
#pragma once

#include <cstddef>
#include <cstdint>

#include "replicated/state_clock.hpp"

namespace tealcart::fleet {

using replicated::Nanos;

// The most that may be out at once: a number, a share of all that are known, or both, then the lesser.
struct Limit {
    std::size_t max_count = SIZE_MAX;
    double max_share = 1;

    std::size_t allowed(std::size_t all) const;  // rounded down
    friend bool operator==(const Limit&, const Limit&) = default;
};

// Everything that is not healthy counts as out, whoever took it out.
struct Budgets {
    Limit nodes, nodes_per_zone, nodes_per_kind;
    std::size_t min_holders = 1;  // healthy ones, of every shard
    Limit routers, routers_per_zone;
    Nanos lease = 10'000'000'000;  // for how long a member's report holds
    Nanos drift = 1'000'000'000;   // by how much more its clock may run slow in one lease
    // A member whose lease is over counts as out for so long.
    Nanos forget_after = 3600'000'000'000;
    // A removal is done although a member whose lease is over may still act by an older generation, which is
    // named then; or it waits until that member can't act any more.
    bool wait_for_lost = false;
    // Conditions that halt grants by themselves; the defaults never do.
    double halt_failed_share =
        1;  // more of the queries that all routers report have ended in anything but 200, rejections too ...
    std::uint64_t halt_failed_min_queries = 100;  // ... of so many at least
    double halt_lost_share = 1;                   // more of the routers have lost their lease
    std::size_t halt_min_holders = 0;             // a shard has fewer healthy holders
    // A node counts as out once this share of the live routers finds it unresponsive.
    double unresponsive_share = 0.5;
    std::size_t max_open_requests = 1000;
    std::size_t max_deduplicated = 10'000;  // commands that are remembered by their id

    friend bool operator==(const Budgets&, const Budgets&) = default;
};

}  // namespace tealcart::fleet
