// Reads the platform's settings (a JSON object) into typed configuration. Only this module knows the
// settings' keys, and docs/glossary.md maps them to fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.hpp"
#include "router/query_router.hpp"

namespace tealcart {

// The part of the settings that the network code uses. Durations are in nanoseconds.
struct ConnectionConfig {
    std::vector<std::string> query_classes;  // names as they occur in request paths
    Nanos max_wait = 0;                      // the longest deadline of all query classes
    Nanos connect_timeout = 0;               // a connection attempt that takes longer has failed
    Nanos idle_close = 0;                    // idle time after which data nodes close a connection
    int max_calls_per_connection = 1;        // calls in flight on one connection
    int max_requests_per_call = 1;           // most shard requests in one call
    bool probing = false;                    // whether data nodes answer health checks
    int max_in_flight = 1;                   // queries and shard requests; further queries are rejected
};

// Both throw ConfigError if the text is not a JSON object, or a setting is missing or invalid.
RouterConfig read_router_config(std::string_view text);
ConnectionConfig read_connection_config(std::string_view text);

}  // namespace tealcart
