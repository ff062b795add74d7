// Reads the operators' file of a relay. deploy/relay.hcl is an example, and docs/changes.md lists the block.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/host_port.hpp"
#include "config/operator_config.hpp"

namespace tealcart::relay {

// The contents of a relay's file.
struct RelayConfig {
    std::string source, name, zone;
    HostPort bind;                   // where followers reach it
    std::vector<HostPort> managers;  // the `http` addresses of the fleet managers
    std::size_t max_followers = 1000;
    // Bytes of keys and values in a page, which has one entry at least.
    std::size_t page_bytes = std::size_t{64} * 1024;
    double pages_a_second = 20;  // to all followers together
    LogConfig log;
};

// Throws HclErrors with all mistakes of the text.
RelayConfig read_relay_config(std::string_view text, std::string_view source);
RelayConfig read_relay_file(const std::string& path);  // also throws ConfigError if it cannot be read

}  // namespace tealcart::relay
