#include "tables/node_table.hpp"

#include <algorithm>
#include <utility>

namespace tealcart {

NodeTable::Changes NodeTable::apply(const EndpointList& list) {
    Changes changes;
    std::vector<std::uint32_t> toggled;  // nodes that were removed or came back
    ++lists_;
    if (list.full) {
        index_by_id_.reserve(list.nodes.size());
        nodes_.reserve(list.nodes.size());
    }
    changes.entries.reserve(list.nodes.size());
    for (const ListedEndpoint& entry : list.nodes) apply_entry(entry, changes, toggled);
    if (list.full) remove_unlisted(changes, toggled);
    update_removed(std::move(toggled));
    max_present_ = std::max(max_present_, nodes_.size() - removed_.size());
    forget_oldest_removed();
    std::sort(changes.leaving.begin(), changes.leaving.end());
    return changes;
}

void NodeTable::apply_entry(const ListedEndpoint& entry, Changes& changes,
                            std::vector<std::uint32_t>& toggled) {
    ++examined_;
    const bool removed = entry.lifecycle == Lifecycle::removed;
    if (removed && !index_by_id_.contains(entry.id)) return;  // the node was never known or is forgotten
    const auto [found, added] = index_by_id_.try_emplace(entry.id, next_index_);
    const std::uint32_t index = found->second;
    Node& node = nodes_[index];
    if (added) {
        ++next_index_;
        node.id = entry.id;
        changes.added.push_back(index);
    }
    node.last_listed = lists_;
    changes.entries.push_back(
        {index, entry.place, entry.lifecycle, entry.started_at, group_of(entry, removed)});
    if (removed != (node.lifecycle == Lifecycle::removed)) toggled.push_back(index);
    const bool leaves = entry.lifecycle != Lifecycle::ready && node.lifecycle == Lifecycle::ready;
    const bool moved = !removed && (entry.address != node.address || entry.started_at != node.started_at);
    if (leaves)
        changes.leaving.push_back(index);
    else if (moved && !added)
        changes.moved.push_back(index);
    set_lifecycle(node, entry.lifecycle);
    if (removed) return;
    node.address = entry.address;
    node.started_at = entry.started_at;
}

// Removes the nodes that a full list does not contain.
void NodeTable::remove_unlisted(Changes& changes, std::vector<std::uint32_t>& toggled) {
    for (auto& [index, node] : nodes_) {
        ++examined_;
        if (node.last_listed == lists_ || node.lifecycle == Lifecycle::removed) continue;
        if (node.lifecycle == Lifecycle::ready) changes.leaving.push_back(index);
        set_lifecycle(node, Lifecycle::removed);
        toggled.push_back(index);
    }
}

void NodeTable::update_removed(std::vector<std::uint32_t> toggled) {
    std::sort(toggled.begin(), toggled.end());
    for (const std::uint32_t index : toggled) {
        ++examined_;
        Node& node = nodes_[index];
        if (node.removal_order > 0) removed_.erase(std::exchange(node.removal_order, 0));
        if (node.lifecycle != Lifecycle::removed) continue;
        node.removal_order = ++removals_;
        removed_.emplace(node.removal_order, index);
    }
}

void NodeTable::forget_oldest_removed() {
    for (; removed_.size() > max_present_; removed_.erase(removed_.begin())) {
        ++examined_;
        const auto oldest = nodes_.find(removed_.begin()->second);
        index_by_id_.erase(oldest->second.id);
        nodes_.erase(oldest);
    }
}

// Nodes of one zone and machine kind share a group. An entry of a removed node does not create one.
std::uint32_t NodeTable::group_of(const ListedEndpoint& entry, bool removed) {
    group_key_.assign(entry.zone).append(1, '\n').append(entry.kind);
    const auto next = static_cast<std::uint32_t>(groups_.size());
    if (!removed) return groups_.try_emplace(group_key_, next).first->second;
    const auto known = groups_.find(group_key_);
    return known == groups_.end() ? next : known->second;
}

void NodeTable::set_lifecycle(Node& node, Lifecycle lifecycle) {
    ready_ -= node.lifecycle == Lifecycle::ready;
    ready_ += lifecycle == Lifecycle::ready;
    node.lifecycle = lifecycle;
}

const NodeTable::Node& NodeTable::find(std::uint32_t node) const {
    static const Node forgotten;
    const auto found = nodes_.find(node);
    return found == nodes_.end() ? forgotten : found->second;
}

}  // namespace tealcart
