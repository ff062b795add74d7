#include "control/resources.hpp"

#include <algorithm>
#include <charconv>

namespace tealcart {
namespace {

constexpr std::array<std::string_view, xds_types> urls = {
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"};

}  // namespace

std::string_view type_url(XdsType type) { return urls[static_cast<std::size_t>(type)]; }

std::optional<XdsType> type_of(std::string_view url) {
    const auto at = std::find(urls.begin(), urls.end(), url);
    if (at == urls.end()) return std::nullopt;
    return static_cast<XdsType>(at - urls.begin());
}

std::string format_version(const XdsVersion& version) {
    return std::to_string(version.generation) + "." + std::to_string(version.epoch) + "." +
           std::to_string(version.number);
}

std::optional<XdsVersion> parse_version(std::string_view text) {
    XdsVersion version;
    const char* at = text.data();
    const char* const end = at + text.size();
    for (std::uint64_t* part : {&version.generation, &version.epoch, &version.number}) {
        const auto [next, ec] = std::from_chars(at, end, *part);
        const bool last = part == &version.number;
        if (ec != std::errc() || (last ? next != end : next == end || *next != '.')) return std::nullopt;
        at = last ? next : next + 1;
    }
    return version;
}

std::string pool_name(std::uint32_t pool) { return "holders-" + std::to_string(pool); }

}  // namespace tealcart
