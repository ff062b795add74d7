// Combines discovery's endpoints with the fleet's agreed drains: the router receives the stricter of both
// states. No I/O. The output has the form of discovery's lists.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "tables/endpoint_list.hpp"

namespace tealcart {

// Tracks discovered nodes, drained names and the fence, and computes the resulting list changes.
class EndpointOverlay {
  public:
    // Converts an answer of discovery to the list for the router.
    EndpointList apply_discovered(const EndpointList& discovered);
    // Sets the nodes that are drained by agreement. Returns the nodes that change for the router, which may
    // be none. Examines only nodes whose drain begins or ends.
    EndpointList apply_drains(std::set<std::string> drained);
    // While the router is fenced, nothing new may be sent to any node. Examines all nodes on a change.
    EndpointList set_fenced(bool fenced);

    bool is_drained(const std::string& node) const { return fenced_ || drained_.contains(node); }
    const std::set<std::string>& drained() const { return drained_; }
    // List entries and nodes that were examined since the start.
    std::uint64_t examined_count() const { return examined_count_; }

  private:
    ListedEndpoint with_drain(ListedEndpoint node) const;

    std::map<std::string, ListedEndpoint> nodes_;  // as discovery lists them, without removed ones
    std::set<std::string> drained_;
    std::uint64_t generation_ = 0;  // of discovery's list
    std::uint64_t examined_count_ = 0;
    bool fenced_ = false;
};

}  // namespace tealcart
