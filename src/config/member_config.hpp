// What operators state of a query router's shard request in a fleet, which agrees on who may be out and on
// changes of configuration: the `member` block of the operators' file (docs/fleet.md). Without the block
// there is none.
#pragma once

#include <string>
#include <vector>

#include "config/host_port.hpp"
#include "router/query_router.hpp"

namespace tealcart {

struct MemberConfig {
    bool on = false;         // managers are named
    std::string name, zone;  // empty name: the configuration's
    std::vector<HostPort> managers;
    std::vector<HostPort> relays;  // of changes of configuration; none: it follows none
    // After its lease is over, the router goes on by what it last knew for so long ...
    Nanos serve_on = 24 * 3600'000'000'000;
    // ... and then leaves the front (not ready, what comes is still served), or stops: takes nothing new and
    // begins no leaf call.
    bool then_stop = false;
    Nanos startup_wait = 5'000'000'000;         // not ready before the managers' first word, or this long
    Nanos config_startup_wait = 2'000'000'000;  // the same of the relays' first word
};

}  // namespace tealcart
