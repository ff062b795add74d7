#include "fleet_manager/endpoint_view.hpp"

#include <algorithm>
#include <utility>

namespace tealcart::manager {
namespace {

// A call for news waits 20 s at most, and is made anew when it is a second late.
constexpr Nanos stale_after = 45'000'000'000;

}  // namespace

void EndpointView::take(const EndpointList& list, Nanos now) {
    if (list.full) {
        nodes_.clear();
        cold_ends_.clear();
        look_at_all();
    }
    heard_at_ = now;
    for (const ListedEndpoint& node : list.nodes) {
        look_at(node.id);
        if (const auto it = nodes_.find(node.id); it != nodes_.end())
            cold_ends_.erase({it->second.started_at + cold_, node.id});
        if (node.lifecycle == Lifecycle::removed)
            nodes_.erase(node.id);
        else
            nodes_[node.id] = node;
    }
}

// A manager that does not lead takes nothing out of the list: it is not to grow by names that are long gone.
void EndpointView::look_at(const std::string& name) {
    if (all_) return;
    look_at_.insert(name);
    if (look_at_.size() > nodes_.size() + 1000) all_ = true;
}

void EndpointView::agreed(const fleet::EndpointsObserved& seen) {
    if (seen.whole) return look_at_all();
    for (const auto& [name, node] : seen.nodes) look_at(name);
    for (const std::string& name : seen.gone) look_at(name);
}

bool EndpointView::stale(Nanos now) const { return heard_at_ > 0 && now - heard_at_ > stale_after; }

fleet::Node EndpointView::node_of(const ListedEndpoint& listed, Nanos now) const {
    fleet::Node node{listed.zone, listed.kind, {}, fleet::Health::whole, listed.started_at};
    // Shard s lies at places (s + j) mod all, for j below the width.
    const int place = static_cast<int>(listed.place);
    for (int j = 0; j < std::min(width_, places_); ++j)
        for (int s = ((place - j) % places_ + places_) % places_; s < shards_; s += places_)
            node.shards.push_back(static_cast<std::uint32_t>(s));
    std::sort(node.shards.begin(), node.shards.end());
    if (stale(now))
        node.health = fleet::Health::unknown;
    else if (listed.lifecycle == Lifecycle::draining)
        node.health = fleet::Health::draining;
    else if (listed.started_at > 0 && now < listed.started_at + cold_)
        node.health = fleet::Health::cold;
    return node;
}

std::optional<fleet::EndpointsObserved> EndpointView::news(const fleet::FleetState& state, Nanos now) {
    looked_at_ = 0;
    if (heard_at_ == 0) return std::nullopt;
    if (stale(now) != was_stale_) {
        was_stale_ = !was_stale_;
        look_at_all();
    }
    if (std::exchange(all_, false)) {
        look_at_.clear();
        for (const auto& [name, listed] : nodes_) look_at_.insert(name);
        for (const auto& [name, node] : state.nodes()) look_at_.insert(name);
    }
    while (!cold_ends_.empty() && cold_ends_.begin()->first <= now)
        look_at_.insert(std::move(cold_ends_.extract(cold_ends_.begin()).value().second));
    fleet::EndpointsObserved news{{}, false, {}};
    for (auto it = look_at_.begin(); it != look_at_.end();) {
        ++looked_at_;
        const std::string& name = *it;
        const auto known = state.nodes().find(name);
        bool same = true;
        if (const auto listed = nodes_.find(name); listed == nodes_.end()) {
            same = known == state.nodes().end() || known->second.health == fleet::Health::gone;
            if (!same) news.gone.insert(name);
        } else {
            fleet::Node node = node_of(listed->second, now);
            if (node.health == fleet::Health::cold) cold_ends_.emplace(node.started_at + cold_, name);
            same = known != state.nodes().end() && known->second == node;
            if (!same) news.nodes.emplace(name, std::move(node));
        }
        // What is not agreed yet is looked at again: it may not come to be agreed.
        it = same ? look_at_.erase(it) : std::next(it);
    }
    if (news.nodes.empty() && news.gone.empty()) return std::nullopt;
    return news;
}

}  // namespace tealcart::manager
