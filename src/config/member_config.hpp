// How a query router takes part in a fleet, which agrees on drains and on changes of configuration: the
// `member` block of the operators' file (docs/fleet.md). Without the block it takes part in none. Durations
// are ns.
#pragma once

#include <string>
#include <vector>

#include "config/host_port.hpp"
#include "router/query_router.hpp"

namespace tealcart {

struct MemberConfig {
    bool enabled = false;    // fleet managers are named
    std::string name, zone;  // empty name: the configuration's
    std::vector<HostPort> managers;
    std::vector<HostPort> relays;  // of changes of configuration; empty: it follows none
    // After its lease has expired, the router acts on what it last knew for so long ...
    Nanos lease_grace = 24 * 3600'000'000'000;
    // ... and then is not ready, but serves the queries that come; or, with this, rejects them and sends no
    // attempts.
    bool stop_after_grace = false;
    Nanos startup_wait = 5'000'000'000;         // not ready before the managers' first answer, or this long
    Nanos config_startup_wait = 2'000'000'000;  // the same of the relays' first answer
};

}  // namespace tealcart
