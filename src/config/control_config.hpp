// The configuration of the control service. Durations are in nanoseconds.
#pragma once

#include <cstdint>
#include <string>

#include "router/query_router.hpp"

namespace tealcart {

// The `control` block of the operators' file.
struct ControlConfig {
    bool enabled = false;
    std::string listen = "127.0.0.1:18000";
    // Requests that all proxies together may have in flight at a warm data node.
    int node_limit = 64;
    // A list that removes a larger share of a pool than this at once is distrusted. The share is measured
    // against the largest size of the pool within panic_window, and the removed nodes are retained for
    // panic_hold.
    double panic_threshold = 0.5;
    Nanos panic_window = 10'000'000'000;
    Nanos panic_hold = 60'000'000'000;
    // Interval at which the share of a warming node is updated.
    Nanos ramp_step = 500'000'000;
    // A proxy that has not acknowledged a version for this time is sent the newest one anyway.
    Nanos ack_wait = 200'000'000;
    // A proxy that has disconnected may still act on its last version for this time.
    Nanos leave_grace = 30'000'000'000;
    // A proxy that knows of a newer list is sent nothing older for this time.
    Nanos yield_after = 5'000'000'000;
    int max_proxies = 4096;
};

}  // namespace tealcart
