// Network addresses in settings and operators' files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tealcart {

// A host name or IP address, and a port.
struct HostPort {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const HostPort&, const HostPort&) = default;
};

// Parses "HOST:PORT" with a port above 0. Returns none if the text has another form. The host is not
// validated.
std::optional<HostPort> parse_host_port(std::string_view text);

}  // namespace tealcart
