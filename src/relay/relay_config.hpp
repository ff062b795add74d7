// The file that operators write for a relay (deploy/relay.hcl shows it). docs/changes.md lists its block.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/host_port.hpp"
#include "config/operator_config.hpp"

namespace tealcart::relay {

struct RelayConfig {
    std::string source, name, zone;
    HostPort bind;                   // where followers reach it
    std::vector<HostPort> managers;  // their `http` addresses
    std::size_t max_followers = 1000;
    std::size_t page_bytes =
        std::size_t{64} * 1024;  // of keys and values in a page, which has one entry at least
    double pages_a_second = 20;  // to all followers together
    LogConfig log;
};

// Throws HclErrors with every mistake.
RelayConfig read_relay_config(std::string_view text, std::string_view source);
RelayConfig read_relay_file(const std::string& path);  // and ConfigError where it can't be read

}  // namespace tealcart::relay
