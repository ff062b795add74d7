// The endpoint list: which node holds which shard, and which may be sent to. Holds no decisions.
#pragma once

#include <cstdint>
#include <vector>

#include "router/id_index.hpp"
#include "router/round_events.hpp"

namespace tealcart::router {

// The dense index of a known node. What is kept of nodes lies in arrays under it.
using NodeIndex = std::uint32_t;
constexpr NodeIndex no_node = IdIndex::none;

// Starts anew what arrays keep of a node, which has just taken this index.
template <typename... Arrays>
void reset_node(NodeIndex node, Arrays&... arrays) {
    const auto reset = [node](auto& array) {
        if (array.size() <= node) array.resize(node + 1);
        array[node] = {};
    };
    (reset(arrays), ...);
}

class EndpointTable {
  public:
    EndpointTable(int places, int replicas_per_shard);

    struct Registration {
        NodeIndex node = no_node;
        bool is_new = false;  // what others keep of this index is of another node
    };
    // The index of the node of this id, taken anew where it is not known.
    Registration register_node(std::uint32_t id);

    // Takes the node off the list. Nothing new goes to it until it is listed again; the drain grace is not
    // used.
    void unlist(NodeIndex node);
    void unlist_all();
    // Lists an unlisted node as `endpoint` says, ready or draining. True where it is another process than
    // the one that was known.
    bool list(NodeIndex node, const Endpoint& endpoint);

    // Forgets unlisted nodes but those that `is_needed(node)`: ids may be ever new.
    template <typename IsNeeded>
    void forget_unlisted(IsNeeded is_needed) {
        for (NodeIndex node = 0; node < places_of_.size(); ++node) {
            if (places_of_[node] != unlisted || is_needed(node)) continue;
            if (index_.find(ids_[node]) == node) index_.erase(ids_[node]);
        }
    }

    // Calls visit(node) for each ready replica of the shard, by place and id.
    template <typename Visit>
    void for_each_ready_replica(std::uint32_t shard, Visit visit) const {
        for (int j = 0; j < replicas_per_shard_; ++j)
            for (const NodeIndex node : nodes_at_[(shard + j) % places_])
                if (ready_[node]) visit(node);
    }

    // Every index of a node lies below this.
    NodeIndex size() const { return static_cast<NodeIndex>(ids_.size()); }
    int ready_nodes() const { return ready_nodes_; }
    bool is_ready(NodeIndex node) const { return ready_[node] != 0; }
    std::uint32_t id(NodeIndex node) const { return ids_[node]; }
    // When the node's process started; 0 for long ago.
    Nanos started_at(NodeIndex node) const { return started_at_[node]; }

  private:
    static constexpr std::uint32_t unlisted = UINT32_MAX;

    std::uint32_t places_;
    int replicas_per_shard_;
    IdIndex index_;
    std::vector<std::uint32_t> ids_, places_of_;
    std::vector<char> ready_;
    std::vector<Nanos> started_at_;
    std::vector<std::vector<NodeIndex>> nodes_at_;  // listed nodes at each place, by id
    int ready_nodes_ = 0;
};

}  // namespace tealcart::router
