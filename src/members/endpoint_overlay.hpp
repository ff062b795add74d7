// Discovery's endpoints with the fleet's agreed drains laid over them: what the router's module is told is
// the stricter of both. No I/O; what comes out has the form of discovery's lists.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "tables/endpoint_list.hpp"

namespace tealcart {

class EndpointOverlay {
  public:
    // News of discovery, as they are to reach the module.
    EndpointList apply_discovered(const EndpointList& discovered);
    // Exactly these nodes are drained by agreement from now on. What changes for the module: no entries where
    // nothing does. Looks only at nodes whose drain begins or ends.
    EndpointList apply_drains(std::set<std::string> drained);
    // While it is fenced nothing new may be sent to any node. Looks at all nodes where that changes.
    EndpointList set_fenced(bool fenced);

    bool is_drained(const std::string& node) const { return fenced_ || drained_.contains(node); }
    const std::set<std::string>& drained() const { return drained_; }
    std::uint64_t examined_count() const { return examined_count_; }  // entries and nodes, since the start

  private:
    ListedEndpoint with_drain(ListedEndpoint node) const;

    std::map<std::string, ListedEndpoint> nodes_;  // as discovery lists them, without removed ones
    std::set<std::string> drained_;
    std::uint64_t generation_ = 0;  // discovery's
    std::uint64_t examined_count_ = 0;
    bool fenced_ = false;
};

}  // namespace tealcart
