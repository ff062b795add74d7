#include "steward/node_view.hpp"

namespace tealcart::steward {
namespace {

// A call for news waits 20 s at most, and is made anew when it is a second late.
constexpr Nanos stale_after = 45'000'000'000;

}  // namespace

void NodeView::take(const TargetList& list, Nanos now) {
    if (list.whole) nodes_.clear();
    heard_at_ = now;
    for (const ListedNode& node : list.nodes) {
        if (node.availability == Availability::gone)
            nodes_.erase(node.id);
        else
            nodes_[node.id] = node;
    }
}

bool NodeView::stale(Nanos now) const { return heard_at_ > 0 && now - heard_at_ > stale_after; }

fleet::Node NodeView::node_of(const ListedNode& listed, Nanos now) const {
    fleet::Node node{listed.zone, listed.kind, {}, fleet::Health::whole, listed.started_at};
    // Shard s lies at places (s + j) mod all, for j below the width.
    for (int s = 0; s < shards_; ++s) {
        const int ahead = ((static_cast<int>(listed.place) - s) % places_ + places_) % places_;
        if (ahead < width_) node.shards.push_back(static_cast<std::uint32_t>(s));
    }
    if (stale(now))
        node.health = fleet::Health::unknown;
    else if (listed.availability == Availability::draining)
        node.health = fleet::Health::draining;
    else if (listed.started_at > 0 && now < listed.started_at + cold_)
        node.health = fleet::Health::cold;
    return node;
}

std::optional<fleet::NodesSeen> NodeView::news(const fleet::FleetState& state, Nanos now) const {
    if (heard_at_ == 0) return std::nullopt;
    fleet::NodesSeen news{{}, false, {}};
    for (const auto& [name, listed] : nodes_) {
        const auto known = state.nodes().find(name);
        fleet::Node node = node_of(listed, now);
        if (known == state.nodes().end() || !(known->second == node))
            news.nodes.emplace(name, std::move(node));
    }
    for (const auto& [name, node] : state.nodes())
        if (!nodes_.contains(name) && node.health != fleet::Health::gone) news.gone.insert(name);
    if (news.nodes.empty() && news.gone.empty()) return std::nullopt;
    return news;
}

}  // namespace tealcart::steward
