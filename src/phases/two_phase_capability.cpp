#include "phases/two_phase_capability.hpp"

#include <algorithm>
#include <unordered_set>

namespace tealcart {

TwoPhaseCapability::TwoPhaseCapability(int places, int width, Nanos distrust)
    : places_(static_cast<std::uint32_t>(places)), width_(static_cast<std::uint32_t>(width)),
      distrust_(distrust), at_place_(places_) {}

void TwoPhaseCapability::hear_entry(const Endpoint& entry, bool anew) {
    const auto known = nodes_.find(entry.node);
    if (known != nodes_.end()) std::erase(at_place_[known->second.place], entry.node);
    if (entry.lifecycle == Lifecycle::removed) {
        if (known != nodes_.end()) nodes_.erase(known);
        return;
    }
    Node& node = nodes_[entry.node];
    if (anew || node.place != entry.place % places_) node = {};
    node.place = entry.place % places_;
    node.ready = entry.lifecycle == Lifecycle::ready;
    at_place_[node.place].push_back(entry.node);
}

void TwoPhaseCapability::keep_only(std::span<const Endpoint> entries) {
    std::unordered_set<std::uint32_t> named;
    for (const Endpoint& entry : entries) named.insert(entry.node);
    std::erase_if(nodes_, [&](const auto& known) {
        if (named.contains(known.first)) return false;
        std::erase(at_place_[known.second.place], known.first);
        return true;
    });
}

TwoPhaseCapability::Support TwoPhaseCapability::speech(std::uint32_t node) const {
    const auto at = nodes_.find(node);
    return at == nodes_.end() ? Support::unknown : at->second.speech;
}

void TwoPhaseCapability::set(std::uint32_t node, Support speech) {
    if (const auto at = nodes_.find(node); at != nodes_.end()) at->second.speech = speech;
}

void TwoPhaseCapability::distrust(std::uint32_t node, Nanos now) {
    if (const auto at = nodes_.find(node); at != nodes_.end()) at->second.distrusted_until = now + distrust_;
}

bool TwoPhaseCapability::trusted(std::uint32_t node, Nanos now) const {
    const auto at = nodes_.find(node);
    return at == nodes_.end() || at->second.distrusted_until <= now;
}

bool TwoPhaseCapability::worth_asking(std::uint32_t shard, Nanos now) const {
    for (std::uint32_t j = 0; j < width_; ++j)
        for (const std::uint32_t n : at_place_[(shard + j) % places_]) {
            const Node& node = nodes_.at(n);
            if (node.ready && node.speech != Support::one_phase && node.distrusted_until <= now) return true;
        }
    return false;
}

}  // namespace tealcart
