// The xDS resources that proxies are sent, by type and name. Each is encoded once and shared by all streams.
// A ResourceEncoder encodes them; the rest of the control service treats them as bytes with a version. No
// I/O.
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

// Resource types in the order in which a change is sent: a resource goes out before those that refer to it.
enum class XdsType : std::uint8_t { cluster, endpoint, listener, route };
constexpr std::size_t xds_types = 4;
std::string_view type_url(XdsType type);
std::optional<XdsType> type_of(std::string_view url);

// A version is written "GENERATION.EPOCH.NUMBER": the generation of the endpoint list, the start time of the
// control service, and a counter. Versions of two control services are compared only by generation.
struct XdsVersion {
    std::uint64_t generation = 0, epoch = 0, number = 0;
};
std::string format_version(const XdsVersion& version);
// Returns nothing if the text is not a version.
std::optional<XdsVersion> parse_version(std::string_view text);

// One encoded resource. Both encodings include the field tag and length, so that responses are built by
// concatenation.
struct XdsResource {
    std::string name, version;
    std::string state_of_world;         // as an element of a state-of-the-world response
    std::string delta;                  // as an element of a delta response
    std::uint32_t pool = 0, limit = 0;  // set for clusters only
};
using ResourcePtr = std::shared_ptr<const XdsResource>;
using ResourceMap = std::map<std::string, ResourcePtr>;

// Encodes decisions as resources.
class ResourceEncoder {
  public:
    virtual ~ResourceEncoder() = default;
    virtual ResourcePtr cluster(std::uint32_t pool, std::uint32_t limit,
                                const std::string& version) const = 0;
    virtual ResourcePtr endpoints(std::uint32_t pool, const Pool& contents,
                                  const std::string& version) const = 0;
    virtual ResourcePtr listener(const QueryClassRoute& query_class, const std::string& version) const = 0;
    virtual ResourcePtr route(const QueryClassRoute& query_class, std::size_t pools,
                              const std::string& version) const = 0;
};
// Returns the name of a pool's cluster.
std::string pool_name(std::uint32_t pool);

// All resources that one proxy should have at present.
struct XdsView {
    XdsVersion version;
    std::array<const ResourceMap*, xds_types> resources;
    std::array<std::uint64_t, xds_types> change_counts{};  // each grows with any change of its map
};

}  // namespace tealcart
