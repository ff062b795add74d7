// The data nodes as discovery tells of them, under small numbers that are never given to another node. Of
// those that are gone, no more are remembered than there ever were nodes at a time, the latest; one that is
// forgotten and comes back is met anew, under another number.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "router/query_router.hpp"
#include "wire/bodies.hpp"

namespace tealcart {

class NodeList {
  public:
    struct News {
        std::vector<NodeEntry> entries;      // for the module
        std::vector<std::uint32_t> met;      // nodes that were not known
        std::vector<std::uint32_t> changed;  // nodes that moved or started anew: old connections lead nowhere
        std::vector<std::uint32_t> leaving;  // nodes that now drain or are gone
    };

    News take(const TargetList& list);

    // Empty for a node that is forgotten.
    const std::string& address(std::uint32_t node) const { return find(node).address; }
    const std::string& name(std::uint32_t node) const { return find(node).id; }
    std::size_t ready() const;
    std::size_t size() const { return nodes_.size(); }

  private:
    struct Node {
        std::string id, address;
        Availability availability = Availability::gone;
        Nanos started_at = 0;
        std::uint64_t named = 0;  // in this list last
    };

    const Node& find(std::uint32_t node) const;

    std::unordered_map<std::string, std::uint32_t> index_;
    std::unordered_map<std::uint32_t, Node> nodes_;
    std::vector<std::string> groups_;  // zone and machine kind: as many as the deployment has
    std::deque<std::uint32_t> gone_;   // in the order in which they went
    std::size_t most_ = 0;             // nodes at a time
    std::uint32_t next_ = 0;
    std::uint64_t lists_ = 0;
};

}  // namespace tealcart
