// The data nodes that discovery has listed, under small indices that are never given to another node.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "router/query_router.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart {

// Of the nodes that are removed, it remembers the latest: no more than there ever were nodes at a time. One
// that is forgotten and comes back gets another index.
class NodeTable {
  public:
    // What applying a list has changed, by index.
    struct Changes {
        std::vector<Endpoint> entries;       // for the decision module
        std::vector<std::uint32_t> added;    // nodes that were not known
        std::vector<std::uint32_t> moved;    // with a new address or start: old connections lead nowhere
        std::vector<std::uint32_t> leaving;  // nodes that were ready and now drain or are removed
    };

    // The cost goes by the entries of a delta, and by all known nodes for a full list.
    Changes apply(const EndpointList& list);

    // Empty for a node that is forgotten.
    const std::string& address(std::uint32_t node) const { return find(node).address; }
    const std::string& name(std::uint32_t node) const { return find(node).id; }
    std::size_t ready() const { return ready_; }
    // Nodes that are remembered, removed ones included.
    std::size_t size() const { return nodes_.size(); }
    // Entries and nodes examined since the start: the cost so far.
    std::uint64_t examined() const { return examined_; }

  private:
    struct Node {
        std::string id, address;
        Lifecycle lifecycle = Lifecycle::removed;
        Nanos started_at = 0;
        std::uint64_t last_listed = 0;    // number of the last list that names it
        std::uint64_t removal_order = 0;  // its key among the removed ones; 0 for none
    };

    void apply_entry(const ListedEndpoint& entry, Changes& changes, std::vector<std::uint32_t>& toggled);
    void remove_unlisted(Changes& changes, std::vector<std::uint32_t>& toggled);
    void update_removed(std::vector<std::uint32_t> toggled);
    void forget_oldest_removed();
    std::uint32_t group_of(const ListedEndpoint& entry, bool removed);
    void set_lifecycle(Node& node, Lifecycle lifecycle);
    const Node& find(std::uint32_t node) const;

    std::unordered_map<std::string, std::uint32_t> index_by_id_;
    std::unordered_map<std::uint32_t, Node> nodes_;
    std::unordered_map<std::string, std::uint32_t> groups_;  // by zone and machine kind
    std::map<std::uint64_t, std::uint32_t> removed_;         // by the order of their removal
    std::string group_key_;                                  // kept to spare an allocation an entry
    std::size_t max_present_ = 0;                            // most nodes at a time so far
    std::size_t ready_ = 0;
    std::uint32_t next_index_ = 0;
    std::uint64_t lists_ = 0, removals_ = 0, examined_ = 0;
};

}  // namespace tealcart
