// What the operators state of the control service. Times in whole nanoseconds.
#pragma once

#include <cstdint>
#include <string>

#include "router/query_router.hpp"

namespace tealcart {

struct ControlConfig {
    bool enabled = false;
    std::string listen = "127.0.0.1:18000";
    int node_limit = 64;  // requests that a warm data node may have in hand from all proxies together
    double panic_threshold =
        0.5;  // a list that loses a larger share of a pool than this at once is not believed ...
    Nanos panic_window = 10'000'000'000;  // ... against the most that it had in this time ...
    Nanos panic_hold = 60'000'000'000;    // ... for as long as this
    Nanos ramp_step = 500'000'000;        // a cold node's share is looked at so often
    Nanos ack_wait =
        200'000'000;  // a proxy that has not acknowledged for so long is told the newest all the same
    Nanos leave_grace = 30'000'000'000;  // a proxy that left may go by what it was told for so long
    Nanos yield_after =
        5'000'000'000;  // for so long a proxy that knows of a newer list is told nothing older
    int max_proxies = 4096;
};

}  // namespace tealcart
