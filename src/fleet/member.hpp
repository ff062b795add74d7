// A member of the fleet: a query router or a control service that holds a lease and reports what it has
// applied.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "fleet/budgets.hpp"
#include "fleet/removal.hpp"

namespace tealcart::fleet {

// Stored by number: append only.
enum class Role : std::uint8_t { router, control };

// What a member reports of itself with each renewal.
struct MemberReport {
    std::uint64_t applied_generation = 0;
    std::set<Target> in_flight;             // targets that are out and still have work of this member's
    std::set<std::string> unresponsive;     // data nodes that do not answer it
    std::uint64_t queries = 0, failed = 0;  // of the last seconds

    friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

// A member of the fleet, as last reported.
struct Member {
    Role role = Role::router;
    std::string zone, version, digest;
    std::uint64_t incarnation = 0;  // a greater number at each start
    Nanos lease_grace = 0;          // for so long after its lease it may act by what it last knew
    Nanos lease_until = 0;
    bool lost = false;  // its lease has certainly ended
    bool left = false;  // by its own farewell
    MemberReport report;
};

}  // namespace tealcart::fleet
