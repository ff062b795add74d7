// A relay's operators' file (deploy/relay.hcl shows it). docs/changes.md lists its block.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "terms/host_port.hpp"
#include "terms/operator_terms.hpp"

namespace tealcart::relay {

struct RelayTerms {
    std::string source, name, zone;
    HostPort bind;                   // where followers reach it
    std::vector<HostPort> stewards;  // their `http` addresses
    std::size_t most_followers = 1000;
    std::size_t page_bytes = 64 * 1024;  // of keys and values in a page, of one entry at least
    double pages_a_second = 20;          // to all followers together
    LogTerms log;
};

// Throws HclMistakes with all that is wrong.
RelayTerms read_relay_terms(std::string_view text, std::string_view source);
RelayTerms read_relay_file(const std::string& path);  // and Malformed where it can't be read

}  // namespace tealcart::relay
