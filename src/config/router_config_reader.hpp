// Reads the platform's settings (a JSON object) into typed configuration. The only place that knows the
// settings' keys; docs/glossary.md lists which key becomes which field.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.hpp"
#include "router/query_router.hpp"

namespace tealcart {

// What the network code needs of the settings. Durations in nanoseconds.
struct ConnectionConfig {
    std::vector<std::string> query_classes;  // names, as request paths give them
    Nanos max_wait = 0;                      // the longest deadline of all query classes
    Nanos connect_timeout = 0;               // a connection that isn't made by then has failed
    Nanos idle_close = 0;                    // after which data nodes close an idle connection
    int max_calls_per_connection = 1;        // calls in flight on one connection
    int max_requests_per_call = 1;           // shard requests that one call carries
    bool probing = false;                    // whether data nodes answer health checks
    int max_in_flight = 1;  // queries and shard requests; beyond it, further queries are rejected
};

// Both throw ConfigError where the text is no JSON object, or a setting is missing or wrong.
RouterConfig read_router_config(std::string_view text);
ConnectionConfig read_connection_config(std::string_view text);

}  // namespace tealcart
