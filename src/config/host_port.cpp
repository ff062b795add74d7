#include "config/host_port.hpp"

#include <charconv>

namespace tealcart {

std::optional<HostPort> parse_host_port(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return std::nullopt;
    HostPort found{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), found.port);
    if (ec != std::errc() || end != port.data() + port.size() || found.port == 0) return std::nullopt;
    return found;
}

}  // namespace tealcart
