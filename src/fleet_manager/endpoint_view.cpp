#include "fleet_manager/endpoint_view.hpp"

#include <algorithm>
#include <utility>

namespace tealcart::fleet_manager {
namespace {

// Limit of names that wait for comparison beyond the listed ones; past it, all nodes are compared.
constexpr std::size_t max_removed_names = 1000;

}  // namespace

void EndpointView::on_endpoints(const EndpointList& list, Nanos now) {
    if (list.full) {
        nodes_.clear();
        warm_up_ends_.clear();
        compare_all();
    }
    last_answer_at_ = now;
    for (const ListedEndpoint& node : list.nodes) {
        mark_for_comparison(node.id);
        if (const auto it = nodes_.find(node.id); it != nodes_.end())
            warm_up_ends_.erase({it->second.started_at + slow_start_, node.id});
        if (node.lifecycle == Lifecycle::removed)
            nodes_.erase(node.id);
        else
            nodes_[node.id] = node;
    }
}

// A fleet manager that does not lead compares nothing, so the set has to be bounded: otherwise names that
// were removed long ago would pile up in it.
void EndpointView::mark_for_comparison(const std::string& name) {
    if (compare_all_) return;
    to_compare_.insert(name);
    if (to_compare_.size() > nodes_.size() + max_removed_names) compare_all_ = true;
}

void EndpointView::on_committed(const fleet::EndpointsObserved& observed) {
    if (observed.full) return compare_all();
    for (const auto& [name, node] : observed.nodes) mark_for_comparison(name);
    for (const std::string& name : observed.removed) mark_for_comparison(name);
}

bool EndpointView::stale(Nanos now) const {
    return last_answer_at_ > 0 && now - last_answer_at_ > stale_after;
}

// Shard s lies at places (s + j) mod places_, for j below replicas_per_shard_.
std::vector<std::uint32_t> EndpointView::shards_at(int place) const {
    std::vector<std::uint32_t> shards;
    for (int j = 0; j < std::min(replicas_per_shard_, places_); ++j) {
        const int first = ((place - j) % places_ + places_) % places_;
        for (int shard = first; shard < shards_; shard += places_)
            shards.push_back(static_cast<std::uint32_t>(shard));
    }
    std::sort(shards.begin(), shards.end());
    return shards;
}

fleet::Health EndpointView::health_of(const ListedEndpoint& listed, Nanos now) const {
    if (stale(now)) return fleet::Health::unknown;
    if (listed.lifecycle == Lifecycle::draining) return fleet::Health::draining;
    if (listed.started_at > 0 && now < listed.started_at + slow_start_) return fleet::Health::cold;
    return fleet::Health::healthy;
}

fleet::Node EndpointView::node_of(const ListedEndpoint& listed, Nanos now) const {
    return {listed.zone, listed.kind, shards_at(static_cast<int>(listed.place)), health_of(listed, now),
            listed.started_at};
}

void EndpointView::collect_nodes_to_compare(const fleet::FleetState& state, Nanos now) {
    if (stale(now) != discovery_was_stale_) {
        discovery_was_stale_ = !discovery_was_stale_;
        compare_all();
    }
    if (std::exchange(compare_all_, false)) {
        to_compare_.clear();
        for (const auto& [name, listed] : nodes_) to_compare_.insert(name);
        for (const auto& [name, node] : state.nodes()) to_compare_.insert(name);
    }
    while (!warm_up_ends_.empty() && warm_up_ends_.begin()->first <= now)
        to_compare_.insert(std::move(warm_up_ends_.extract(warm_up_ends_.begin()).value().second));
}

bool EndpointView::compare(const std::string& name, const fleet::FleetState& state, Nanos now,
                           fleet::EndpointsObserved& observed) {
    const auto agreed = state.nodes().find(name);
    const auto listed = nodes_.find(name);
    if (listed == nodes_.end()) {
        if (agreed == state.nodes().end() || agreed->second.health == fleet::Health::gone) return false;
        observed.removed.insert(name);
        return true;
    }
    fleet::Node node = node_of(listed->second, now);
    if (node.health == fleet::Health::cold) warm_up_ends_.emplace(node.started_at + slow_start_, name);
    if (agreed != state.nodes().end() && agreed->second == node) return false;
    observed.nodes.emplace(name, std::move(node));
    return true;
}

std::optional<fleet::EndpointsObserved> EndpointView::differences(const fleet::FleetState& state, Nanos now) {
    compared_count_ = 0;
    if (last_answer_at_ == 0) return std::nullopt;
    collect_nodes_to_compare(state, now);
    fleet::EndpointsObserved observed{{}, false, {}};
    for (auto it = to_compare_.begin(); it != to_compare_.end();) {
        ++compared_count_;
        // A node that differs stays in the set, as its proposal may never be committed.
        it = compare(*it, state, now, observed) ? std::next(it) : to_compare_.erase(it);
    }
    if (observed.nodes.empty() && observed.removed.empty()) return std::nullopt;
    return observed;
}

}  // namespace tealcart::fleet_manager
