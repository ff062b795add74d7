#include "tables/node_list.hpp"

#include <algorithm>
#include <utility>

namespace tealcart {

std::uint32_t NodeList::group_of(const ListedEndpoint& entry, bool goes) {
    key_.assign(entry.zone).append(1, '\n').append(entry.kind);
    const auto next = static_cast<std::uint32_t>(groups_.size());
    if (!goes) return groups_.try_emplace(key_, next).first->second;
    const auto known = groups_.find(key_);
    return known == groups_.end() ? next : known->second;
}

void NodeList::turn(Node& node, Lifecycle to) {
    ready_ -= node.lifecycle == Lifecycle::ready;
    ready_ += to == Lifecycle::ready;
    node.lifecycle = to;
}

NodeList::News NodeList::take(const EndpointList& list) {
    News news;
    ++lists_;
    if (list.full) index_.reserve(list.nodes.size()), nodes_.reserve(list.nodes.size());
    news.entries.reserve(list.nodes.size());
    std::vector<std::uint32_t> turned;  // gone, or back
    for (const ListedEndpoint& entry : list.nodes) {
        ++looked_;
        const bool goes = entry.lifecycle == Lifecycle::removed;
        if (goes && !index_.contains(entry.id)) continue;  // never met, or forgotten
        const auto [it, fresh] = index_.try_emplace(entry.id, next_);
        const std::uint32_t n = it->second;
        Node& node = nodes_[n];
        if (fresh) {
            ++next_;
            node.id = entry.id;
            news.met.push_back(n);
        }
        node.named = lists_;
        news.entries.push_back({n, entry.place, entry.lifecycle, entry.started_at, group_of(entry, goes)});
        if (goes != (node.lifecycle == Lifecycle::removed)) turned.push_back(n);
        const bool leaves = entry.lifecycle != Lifecycle::ready && node.lifecycle == Lifecycle::ready;
        const bool moves = !goes && (entry.address != node.address || entry.started_at != node.started_at);
        if (leaves)
            news.leaving.push_back(n);
        else if (moves && !fresh)
            news.changed.push_back(n);
        turn(node, entry.lifecycle);
        if (goes) continue;
        node.address = entry.address;
        node.started_at = entry.started_at;
    }
    if (list.full)
        for (auto& [n, node] : nodes_) {
            ++looked_;
            if (node.named == lists_ || node.lifecycle == Lifecycle::removed) continue;
            // What a whole list does not name is gone.
            if (node.lifecycle == Lifecycle::ready) news.leaving.push_back(n);
            turn(node, Lifecycle::removed);
            turned.push_back(n);
        }
    std::sort(turned.begin(), turned.end());
    for (const std::uint32_t n : turned) {
        ++looked_;
        Node& node = nodes_[n];
        if (node.went > 0) gone_.erase(std::exchange(node.went, 0));
        if (node.lifecycle == Lifecycle::removed) gone_.emplace(node.went = ++goes_, n);
    }
    most_ = std::max(most_, nodes_.size() - gone_.size());
    for (; gone_.size() > most_; gone_.erase(gone_.begin())) {
        ++looked_;
        const auto max_gone = nodes_.find(gone_.begin()->second);
        index_.erase(max_gone->second.id);
        nodes_.erase(max_gone);
    }
    std::sort(news.leaving.begin(), news.leaving.end());
    return news;
}

const NodeList::Node& NodeList::find(std::uint32_t node) const {
    static const Node gone;
    const auto it = nodes_.find(node);
    return it == nodes_.end() ? gone : it->second;
}

}  // namespace tealcart
