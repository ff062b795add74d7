// The endpoint list as the router knows it: which node holds which shard, and which nodes are ready. It makes
// no decisions.
#pragma once

#include <cstdint>
#include <vector>

#include "router/id_index.hpp"
#include "router/round_events.hpp"

namespace tealcart::router {

// The dense index of a known node. Per-node state is kept in arrays that are indexed by it.
using NodeIndex = std::uint32_t;
constexpr NodeIndex no_node = IdIndex::none;

// Resets the element of each array at `node`, growing the arrays as needed, when a new node takes this index.
template <typename... Arrays>
void reset_node(NodeIndex node, Arrays&... arrays) {
    const auto reset = [node](auto& array) {
        if (array.size() <= node) array.resize(node + 1);
        array[node] = {};
    };
    (reset(arrays), ...);
}

// Maps node ids to indices and shards to nodes. Nodes are listed at places, which are positions on a ring
// that replicas of a shard occupy in sequence (see RouterConfig::places).
class EndpointTable {
  public:
    EndpointTable(int places, int replicas_per_shard);

    // The result of register_node.
    struct Registration {
        NodeIndex node = no_node;
        bool is_new = false;  // state that is kept under this index belongs to an earlier node
    };
    // Returns the index of the node with this id, and assigns one if the id is not known.
    Registration register_node(std::uint32_t id);

    // Removes the node from the list. It gets no new attempts until it is listed again, and the drain grace
    // period is not used.
    void unlist(NodeIndex node);
    void unlist_all();
    // Adds an unlisted node to the list, as ready or draining. Returns true if it is a different process from
    // the one that was known before.
    bool list(NodeIndex node, const Endpoint& endpoint);

    // Forgets unlisted nodes unless `is_needed(node)` is true. This bounds memory when nodes keep getting new
    // ids.
    template <typename IsNeeded>
    void forget_unlisted(IsNeeded is_needed) {
        for (NodeIndex node = 0; node < places_of_.size(); ++node) {
            if (places_of_[node] != unlisted || is_needed(node)) continue;
            if (index_.find(ids_[node]) == node) index_.erase(ids_[node]);
        }
    }

    // Calls visit(node) for each ready replica of the shard, ordered by place and id.
    template <typename Visit>
    void for_each_ready_replica(std::uint32_t shard, Visit visit) const {
        for (int j = 0; j < replicas_per_shard_; ++j)
            for (const NodeIndex node : nodes_at_[(shard + j) % places_])
                if (ready_[node]) visit(node);
    }

    // One more than the largest node index.
    NodeIndex size() const { return static_cast<NodeIndex>(ids_.size()); }
    int ready_nodes() const { return ready_nodes_; }
    bool is_ready(NodeIndex node) const { return ready_[node] != 0; }
    std::uint32_t id(NodeIndex node) const { return ids_[node]; }
    // When the node's process started; 0 if that was long ago.
    Nanos started_at(NodeIndex node) const { return started_at_[node]; }

  private:
    static constexpr std::uint32_t unlisted = UINT32_MAX;

    std::uint32_t places_;
    int replicas_per_shard_;
    IdIndex index_;
    std::vector<std::uint32_t> ids_, places_of_;
    std::vector<char> ready_;
    std::vector<Nanos> started_at_;
    std::vector<std::vector<NodeIndex>> nodes_at_;  // listed nodes at each place, ordered by id
    int ready_nodes_ = 0;
};

}  // namespace tealcart::router
