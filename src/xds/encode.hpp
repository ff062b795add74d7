// Decisions as xDS resources, encoded once for all streams, and a response put together from such bytes.
#pragma once

#include "control/proxy_stream.hpp"
#include "control/resources.hpp"

namespace tealcart {

class XdsEncoder final : public ResourceEncoder {
  public:
    explicit XdsEncoder(Nanos connect_timeout) : connect_timeout_(connect_timeout) {}

    ResourcePtr cluster(std::uint32_t pool, std::uint32_t limit, const std::string& version) const override;
    ResourcePtr endpoints(std::uint32_t pool, const Pool& what, const std::string& version) const override;
    ResourcePtr listener(const QueryClassRoute& of, const std::string& version) const override;
    ResourcePtr route(const QueryClassRoute& of, std::size_t pools,
                      const std::string& version) const override;

  private:
    Nanos connect_timeout_;
};

// The bytes of a response that stand before and behind its resources', which follow each other as they are.
std::string response_head(const ProxyResponse& response, bool delta);

}  // namespace tealcart
