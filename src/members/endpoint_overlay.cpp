#include "members/endpoint_overlay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace tealcart {

ListedEndpoint EndpointOverlay::with_drain(ListedEndpoint node) const {
    if (node.lifecycle == Lifecycle::ready && is_drained(node.id)) node.lifecycle = Lifecycle::draining;
    return node;
}

EndpointList EndpointOverlay::apply_discovered(const EndpointList& discovered) {
    if (discovered.full) nodes_.clear();
    generation_ = discovered.generation;
    EndpointList list = discovered;
    for (ListedEndpoint& node : list.nodes) {
        ++examined_count_;
        if (node.lifecycle == Lifecycle::removed)
            nodes_.erase(node.id);
        else
            nodes_[node.id] = node;
        node = with_drain(std::move(node));
    }
    return list;
}

EndpointList EndpointOverlay::apply_drains(std::set<std::string> drained) {
    std::vector<std::string> changed;
    std::set_symmetric_difference(drained_.begin(), drained_.end(), drained.begin(), drained.end(),
                                  std::back_inserter(changed));
    drained_ = std::move(drained);
    EndpointList list{generation_, false, {}, 0};
    for (const std::string& name : changed) {
        ++examined_count_;
        const auto node = nodes_.find(name);
        if (!fenced_ && node != nodes_.end() && node->second.lifecycle == Lifecycle::ready)
            list.nodes.push_back(with_drain(node->second));
    }
    return list;
}

EndpointList EndpointOverlay::set_fenced(bool fenced) {
    EndpointList list{generation_, false, {}, 0};
    if (std::exchange(fenced_, fenced) == fenced) return list;
    for (const auto& [name, node] : nodes_) {
        ++examined_count_;
        if (node.lifecycle == Lifecycle::ready && !drained_.contains(name))
            list.nodes.push_back(with_drain(node));
    }
    return list;
}

}  // namespace tealcart
