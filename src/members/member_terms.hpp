// What operators state of a query router's membership in a fleet that agrees on who may be out: the `member`
// block of the operators' file (docs/fleet.md). Without the block there is no membership.
#pragma once

#include <string>
#include <vector>

#include "router/query_router.hpp"
#include "terms/host_port.hpp"

namespace tealcart {

struct MemberTerms {
    bool on = false;
    std::string name, zone;  // empty name: the configuration's
    std::vector<HostPort> stewards;
    // After its lease is over, the router goes on by what it last knew for so long ...
    Nanos serve_on = 24 * 3600'000'000'000;
    // ... and then leaves the front (not ready, what comes is still served), or stops: takes nothing new and
    // begins no leaf call.
    bool then_stop = false;
    Nanos first_word = 5'000'000'000;  // not ready before the stewards' first word, or this long
};

}  // namespace tealcart
