// The configuration that the platform passes to a query router at its start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "config/router_config_reader.hpp"
#include "tables/endpoint_list.hpp"
#include "wire/response_size_limit.hpp"

namespace tealcart {

// The platform's configuration together with the operators' file.
struct StartupConfig {
    std::string name;
    HostPort listen, discovery;
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 0;  // file descriptors that the process may have open
    std::size_t memory_bytes = 0;     // memory limit of the process; 0 if the configuration has none
    std::string settings_text;        // the settings as JSON
    RouterConfig config;
    ConnectionConfig connection_config;
    ResponseSizeLimit endpoint_list_limit, manager_response_limit;
    EndpointList cached_endpoints;  // the last endpoint list that this query router had
    OperatorConfig operator_config;
    std::vector<TwoPhaseConfig> two_phase_configs;  // by query class
};

// Reads the platform's configuration from JSON. Throws ConfigError with one line that names the member if a
// member is missing or invalid.
StartupConfig read_startup_config(const std::string& text);

// Reads the platform's configuration from a file, whose path usually comes from ROUTER_CONFIG.
StartupConfig read_startup_config_file(const std::string& path);

// Applies the operators' file. Throws HclErrors if it does not fit the settings.
void apply_operator_config(StartupConfig& startup, OperatorConfig operators);

}  // namespace tealcart
