#include "members/endpoint_overlay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tealcart {

ListedEndpoint EndpointOverlay::joined(ListedEndpoint node) const {
    if (node.lifecycle == Lifecycle::ready && is_out(node.id)) node.lifecycle = Lifecycle::draining;
    return node;
}

EndpointList EndpointOverlay::discovered(const EndpointList& news) {
    if (news.full) nodes_.clear();
    generation_ = news.generation;
    EndpointList list = news;
    for (ListedEndpoint& node : list.nodes) {
        ++looked_;
        if (node.lifecycle == Lifecycle::removed)
            nodes_.erase(node.id);
        else
            nodes_[node.id] = node;
        node = joined(std::move(node));
    }
    return list;
}

EndpointList EndpointOverlay::agreed(std::set<std::string> out) {
    std::vector<std::string> changed;
    std::set_symmetric_difference(out_.begin(), out_.end(), out.begin(), out.end(),
                                  std::back_inserter(changed));
    out_ = std::move(out);
    EndpointList list{generation_, false, {}, 0};
    for (const std::string& name : changed) {
        ++looked_;
        const auto it = nodes_.find(name);
        if (!cut_ && it != nodes_.end() && it->second.lifecycle == Lifecycle::ready)
            list.nodes.push_back(joined(it->second));
    }
    return list;
}

EndpointList EndpointOverlay::cut(bool cut) {
    EndpointList list{generation_, false, {}, 0};
    if (std::exchange(cut_, cut) == cut) return list;
    for (const auto& [name, node] : nodes_) {
        ++looked_;
        if (node.lifecycle == Lifecycle::ready && !out_.contains(name)) list.nodes.push_back(joined(node));
    }
    return list;
}

}  // namespace tealcart
