// Addresses as the platform and operators write them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tealcart {

struct HostPort {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const HostPort&, const HostPort&) = default;
};

// "HOST:PORT" with a port above 0. None where the text is no such address; the host is not checked.
std::optional<HostPort> parse_host_port(std::string_view text);

}  // namespace tealcart
