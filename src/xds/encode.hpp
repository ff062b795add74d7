// Encodes decisions as xDS resources, once for all streams, and builds responses from the encoded bytes.
#pragma once

#include "control/proxy_stream.hpp"
#include "control/resources.hpp"

namespace tealcart {

// Encodes resources in the protobuf messages of src/xds/proto.
class XdsEncoder final : public ResourceEncoder {
  public:
    explicit XdsEncoder(Nanos connect_timeout) : connect_timeout_(connect_timeout) {}

    ResourcePtr cluster(std::uint32_t pool, std::uint32_t limit, const std::string& version) const override;
    ResourcePtr endpoints(std::uint32_t pool, const Pool& contents,
                          const std::string& version) const override;
    ResourcePtr listener(const QueryClassRoute& query_class, const std::string& version) const override;
    ResourcePtr route(const QueryClassRoute& query_class, std::size_t pools,
                      const std::string& version) const override;

  private:
    Nanos connect_timeout_;
};

// Returns the bytes of a response without its resources. The encoded resources are appended to it as they
// are.
std::string response_head(const ProxyResponse& response, bool delta);

}  // namespace tealcart
