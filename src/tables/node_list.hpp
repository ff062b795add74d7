// The data nodes as discovery tells of them, under small numbers that are never given to another node. Of
// those that are gone, no more are remembered than there ever were nodes at a time, the latest; one that is
// forgotten and comes back is met anew, under another number.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "router/query_router.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart {

class NodeList {
  public:
    struct News {
        std::vector<Endpoint> entries;       // for the module
        std::vector<std::uint32_t> met;      // nodes that were not known
        std::vector<std::uint32_t> changed;  // nodes that moved or started anew: old connections lead nowhere
        std::vector<std::uint32_t> leaving;  // nodes that now drain or are gone
    };

    // Changes cost what they name, a whole list what there is.
    News take(const EndpointList& list);

    // Empty for a node that is forgotten.
    const std::string& address(std::uint32_t node) const { return find(node).address; }
    const std::string& name(std::uint32_t node) const { return find(node).id; }
    std::size_t ready() const { return ready_; }
    std::size_t size() const { return nodes_.size(); }
    std::uint64_t looked() const { return looked_; }  // entries and nodes looked at since the start

  private:
    struct Node {
        std::string id, address;
        Lifecycle lifecycle = Lifecycle::removed;
        Nanos started_at = 0;
        std::uint64_t named = 0;  // in this list last
        std::uint64_t went = 0;   // its key among those that are gone
    };

    std::uint32_t group_of(const ListedEndpoint& entry, bool goes);
    void turn(Node& node, Lifecycle to);
    const Node& find(std::uint32_t node) const;

    std::unordered_map<std::string, std::uint32_t> index_;
    std::unordered_map<std::uint32_t, Node> nodes_;
    std::unordered_map<std::string, std::uint32_t> groups_;  // zone and kind: as many as the deployment has
    std::map<std::uint64_t, std::uint32_t> gone_;            // in the order in which they went
    std::string key_;                                        // of the group in hand
    std::size_t most_ = 0, ready_ = 0;                       // most_: nodes at a time
    std::uint32_t next_ = 0;
    std::uint64_t lists_ = 0, goes_ = 0, looked_ = 0;
};

}  // namespace tealcart
