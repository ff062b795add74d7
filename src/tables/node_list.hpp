// The data nodes as discovery tells of them, under small numbers that are never given to another node.
#pragma once

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
        std::vector<std::uint32_t> changed;  // nodes that moved or started anew: old connections lead nowhere
        std::vector<std::uint32_t> leaving;  // nodes that now drain or are gone
    };

    News take(const TargetList& list);

    const std::string& address(std::uint32_t node) const { return nodes_[node].address; }
    const std::string& name(std::uint32_t node) const { return nodes_[node].id; }
    std::size_t ready() const;
    std::size_t met() const { return nodes_.size(); }

  private:
    struct Node {
        std::string id, address;
        Availability availability = Availability::gone;
        Nanos started_at = 0;
    };

    std::unordered_map<std::string, std::uint32_t> index_;
    std::vector<Node> nodes_;
    std::vector<std::string> groups_;  // zone and machine kind
};

}  // namespace tealcart
