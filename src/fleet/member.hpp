// A member of the fleet: a query router or a control service that holds a lease and reports which generation
// it has applied.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "fleet/budgets.hpp"
#include "fleet/removal.hpp"

namespace tealcart::fleet {

// Stored by number: append only.
enum class Role : std::uint8_t { router, control };

// What a member reports with each renewal of its lease.
struct MemberReport {
    std::uint64_t applied_generation = 0;
    std::set<Target> in_flight;          // removed targets at which this member still has requests in flight
    std::set<std::string> unresponsive;  // data nodes that do not answer this member
    std::uint64_t queries = 0, failed = 0;  // in the last few seconds

    friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

// A member of the fleet, as last reported.
struct Member {
    Role role = Role::router;
    std::string zone, version, digest;
    std::uint64_t incarnation = 0;  // a greater number at each process start
    Nanos lease_grace = 0;          // how long it may go on serving by its last known state after its lease
    Nanos lease_until = 0;
    bool lost = false;  // the lease has expired, drift included
    bool left = false;  // announced by the member itself
    MemberReport report;
};

}  // namespace tealcart::fleet
