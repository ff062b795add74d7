// Addresses as the platform and operators write them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tealcart {

// "a.b.c.d:port" with a port above 0.
struct HostPort {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const HostPort&, const HostPort&) = default;
};
std::optional<HostPort> read_host_port(std::string_view text);

}  // namespace tealcart
