// The data nodes that discovery has listed, each under a small index that is never reused.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "router/query_router.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart {

// Keeps the most recently removed nodes, at most as many as the largest number of nodes that were present at
// one time. A node that returns after it was forgotten gets a new index.
class NodeTable {
  public:
    // The changes that a list has caused, as node indices.
    struct Changes {
        std::vector<Endpoint> entries;       // for the decision module (src/router)
        std::vector<std::uint32_t> added;    // nodes that were not known before
        std::vector<std::uint32_t> moved;    // new address or new process: old connections are useless
        std::vector<std::uint32_t> leaving;  // nodes that were ready and are now draining or removed
    };

    // Costs time in proportion to the entries of a delta, or to all known nodes for a full list.
    Changes apply(const EndpointList& list);

    // Both are empty for a node that was forgotten.
    const std::string& address(std::uint32_t node) const { return find(node).address; }
    const std::string& name(std::uint32_t node) const { return find(node).id; }
    std::size_t ready() const { return ready_; }
    // Number of known nodes, including removed ones that are still remembered.
    std::size_t size() const { return nodes_.size(); }
    // Number of list entries and nodes examined since construction, as a measure of cost.
    std::uint64_t examined() const { return examined_; }

  private:
    struct Node {
        std::string id, address;
        Lifecycle lifecycle = Lifecycle::removed;
        Nanos started_at = 0;
        std::uint64_t last_listed = 0;    // number of the last list that has the node
        std::uint64_t removal_order = 0;  // key in `removed_`; 0 if the node is not removed
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
    std::map<std::uint64_t, std::uint32_t> removed_;         // by order of removal
    std::string group_key_;                                  // reused to save an allocation per entry
    std::size_t max_present_ = 0;                            // largest number of nodes present at one time
    std::size_t ready_ = 0;
    std::uint32_t next_index_ = 0;
    std::uint64_t lists_ = 0, removals_ = 0, examined_ = 0;
};

}  // namespace tealcart
