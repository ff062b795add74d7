// The settings' text, as stated at start, turned into what the module and the network code go by.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// What came in is not what its page allows; the text says what was wrong.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What the network code goes by.
struct ConnectionConfig {
    std::vector<std::string> query_classes;  // their names, as paths give them
    Nanos max_wait = 0;                      // of all query classes
    Nanos connect_timeout = 0;               // a connection not made by then has failed
    Nanos idle_close = 0;                    // data nodes close a connection idle for so long
    int max_calls_per_connection = 1;        // that one connection carries at once
    int max_requests_per_call = 1;
    bool probing = false;  // data nodes may be probed
    int max_in_flight =
        1;  // queries and shard requests in hand; with so many, further queries are turned away
};

// Throw Malformed where the text is broken or a required setting is missing.
RouterConfig read_router_config(std::string_view text);
ConnectionConfig read_connection_config(std::string_view text);

}  // namespace tealcart
