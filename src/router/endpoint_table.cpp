#include "router/endpoint_table.hpp"

#include <algorithm>
#include <utility>

namespace tealcart::router {

EndpointTable::EndpointTable(int places, int replicas_per_shard)
    : places_(static_cast<std::uint32_t>(places)), replicas_per_shard_(replicas_per_shard),
      nodes_at_(places_) {}

EndpointTable::Registration EndpointTable::register_node(std::uint32_t id) {
    if (const NodeIndex known = index_.find(id); known != IdIndex::none) return {known, false};
    const NodeIndex node = index_.insert(id);
    reset_node(node, ids_, places_of_, ready_, started_at_);
    ids_[node] = id;
    places_of_[node] = unlisted;
    return {node, true};
}

void EndpointTable::unlist(NodeIndex node) {
    ready_nodes_ -= std::exchange(ready_[node], 0);
    if (places_of_[node] != unlisted) std::erase(nodes_at_[std::exchange(places_of_[node], unlisted)], node);
}

void EndpointTable::unlist_all() {
    for (NodeIndex node = 0; node < size(); ++node) unlist(node);
}

bool EndpointTable::list(NodeIndex node, const Endpoint& endpoint) {
    ready_[node] = endpoint.lifecycle == Lifecycle::ready ? 1 : 0;
    ready_nodes_ += ready_[node];
    places_of_[node] = endpoint.place;
    std::vector<NodeIndex>& here = nodes_at_[endpoint.place];
    const auto comes_later = [&](NodeIndex other) { return ids_[other] > endpoint.node; };
    here.insert(std::find_if(here.begin(), here.end(), comes_later), node);
    return std::exchange(started_at_[node], endpoint.started_at) != endpoint.started_at;
}

}  // namespace tealcart::router
