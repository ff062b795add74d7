// What is handed out: resources by type and name, each encoded once and shared by all streams. Whoever makes
// them knows how they are encoded; here they are bytes with a version. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/decisions.hpp"

namespace tealcart {

// In the order in which a change goes out: what is referred to before what refers to it.
enum class XdsType : std::uint8_t { cluster, endpoint, listener, route };
constexpr std::size_t xds_types = 4;
std::string_view type_url(XdsType type);
std::optional<XdsType> type_of(std::string_view url);

// Versions are "GENERATION.EPOCH.NUMBER": of discovery's list, of the control service's start, and counted
// up. Only generations compare between two services.
struct XdsVersion {
    std::uint64_t generation = 0, epoch = 0, number = 0;
};
std::string format_version(const XdsVersion& version);
std::optional<XdsVersion> parse_version(std::string_view text);

struct XdsResource {
    std::string name, version;
    std::string state_of_world;  // as one of a response with the state of the world: field, length and bytes
    std::string delta;           // as one of a delta response, the same
    std::uint32_t pool = 0, limit = 0;  // of a cluster
};
using ResourcePtr = std::shared_ptr<const XdsResource>;
using ResourceMap = std::map<std::string, ResourcePtr>;

// Makes bytes from decisions.
class ResourceEncoder {
  public:
    virtual ~ResourceEncoder() = default;
    virtual ResourcePtr cluster(std::uint32_t pool, std::uint32_t limit,
                                const std::string& version) const = 0;
    virtual ResourcePtr endpoints(std::uint32_t pool, const Pool& what, const std::string& version) const = 0;
    virtual ResourcePtr listener(const QueryClassRoute& of, const std::string& version) const = 0;
    virtual ResourcePtr route(const QueryClassRoute& of, std::size_t pools,
                              const std::string& version) const = 0;
};
std::string pool_name(std::uint32_t pool);

// What one proxy is to hold now.
struct XdsView {
    XdsVersion version;
    std::array<const ResourceMap*, xds_types> resources;
    std::array<std::uint64_t, xds_types> change_counts{};  // moves whenever anything in the map does
};

}  // namespace tealcart
