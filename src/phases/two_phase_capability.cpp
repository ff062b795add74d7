#include "phases/two_phase_capability.hpp"

#include <algorithm>
#include <unordered_set>

namespace tealcart {

TwoPhaseCapability::TwoPhaseCapability(int places, int width, Nanos distrust_duration)
    : places_(static_cast<std::uint32_t>(places)), width_(static_cast<std::uint32_t>(width)),
      distrust_duration_(distrust_duration), nodes_by_place_(places_) {}

void TwoPhaseCapability::update_entry(const Endpoint& entry, bool restarted) {
    const auto known = nodes_.find(entry.node);
    if (known != nodes_.end()) std::erase(nodes_by_place_[known->second.place], entry.node);
    if (entry.lifecycle == Lifecycle::removed) {
        if (known != nodes_.end()) nodes_.erase(known);
        return;
    }
    Node& node = nodes_[entry.node];
    if (restarted || node.place != entry.place % places_) node = {};
    node.place = entry.place % places_;
    node.ready = entry.lifecycle == Lifecycle::ready;
    nodes_by_place_[node.place].push_back(entry.node);
}

void TwoPhaseCapability::keep_only(std::span<const Endpoint> entries) {
    std::unordered_set<std::uint32_t> listed;
    for (const Endpoint& entry : entries) listed.insert(entry.node);
    std::erase_if(nodes_, [&](const auto& known) {
        if (listed.contains(known.first)) return false;
        std::erase(nodes_by_place_[known.second.place], known.first);
        return true;
    });
}

TwoPhaseCapability::Support TwoPhaseCapability::support(std::uint32_t node) const {
    const auto found = nodes_.find(node);
    return found == nodes_.end() ? Support::unknown : found->second.support;
}

void TwoPhaseCapability::set(std::uint32_t node, Support support) {
    if (const auto found = nodes_.find(node); found != nodes_.end()) found->second.support = support;
}

void TwoPhaseCapability::distrust(std::uint32_t node, Nanos now) {
    if (const auto found = nodes_.find(node); found != nodes_.end())
        found->second.distrusted_until = now + distrust_duration_;
}

bool TwoPhaseCapability::trusted(std::uint32_t node, Nanos now) const {
    const auto found = nodes_.find(node);
    return found == nodes_.end() || found->second.distrusted_until <= now;
}

bool TwoPhaseCapability::may_give_summary(std::uint32_t shard, Nanos now) const {
    for (std::uint32_t replica = 0; replica < width_; ++replica)
        for (const std::uint32_t id : nodes_by_place_[(shard + replica) % places_]) {
            const Node& node = nodes_.at(id);
            if (node.ready && node.support != Support::one_phase && node.distrusted_until <= now) return true;
        }
    return false;
}

}  // namespace tealcart
