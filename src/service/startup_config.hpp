// What the platform tells a query router at its start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "config/router_config_reader.hpp"
#include "tables/endpoint_list.hpp"
#include "wire/response_size_limit.hpp"

namespace tealcart {

struct StartupConfig {
    std::string name;
    HostPort listen, discovery;
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 0;  // file descriptors that the process may have open
    std::size_t memory_bytes = 0;     // bytes that it may have; 0 where none are stated
    std::string settings_text;        // as stated
    RouterConfig config;
    ConnectionConfig connection_config;
    ResponseSizeLimit endpoint_list_limit, manager_response_limit;
    EndpointList cached_endpoints;  // the list as this query router last had it
    OperatorConfig operator_config;
    std::vector<TwoPhaseConfig> two_phase_configs;  // by query class
};

// Reads the platform's configuration, JSON. Throws ConfigError, with one plain line that names the member,
// where one is missing or can't be read.
StartupConfig read_startup_config(const std::string& text);

// The same from a file, which ROUTER_CONFIG names as a rule.
StartupConfig read_startup_config_file(const std::string& path);

// Applies what the operators' file states. Throws HclErrors where it doesn't fit the settings.
void apply_operator_config(StartupConfig& startup, OperatorConfig operators);

}  // namespace tealcart
