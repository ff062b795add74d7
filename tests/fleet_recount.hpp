// What the fleet's state keeps as counts, counted anew from what can be seen of it; slow and plain, and by
// nothing of the code that it checks.
#pragma once

#include <algorithm>
#include <vector>

#include "fleet/fleet_state.hpp"

namespace tealcart::fleet {

// All that is kept.
struct Counts {
    NodeCounts nodes;
    MemberCounts members;
    VoteCounts votes;
    RequestCounts requests;

    friend bool operator==(const Counts&, const Counts&) = default;
};

inline Counts kept_counts(const FleetState& state) {
    return {state.node_counts(), state.member_counts(), state.vote_counts(), state.request_counts()};
}

inline Counts recount(const FleetState& state) {
    const Budgets& b = state.budgets();
    const Nanos now = state.now();
    const auto expired = [&](const Member& m) { return now > m.lease_until + b.drift; };
    const auto until = [&](const Member& m) { return m.lease_until + m.lease_grace + b.drift; };
    const auto acting = [&](const Member& m) { return !m.left && now <= until(m); };
    const auto out = [&](bool router, const std::string& name) {
        return std::any_of(state.removed_targets().begin(), state.removed_targets().end(),
                           [&](const auto& o) { return o.first.router == router && o.first.name == name; });
    };
    Counts counts;
    MemberCounts& c = counts.members;
    for (const auto& [name, m] : state.members()) {
        (expired(m) ? c.expired_leases : c.live_leases).insert({m.lease_until, name});
        if (acting(m)) c.acting_ends.insert({until(m), name});
        if (expired(m) && acting(m)) c.lost_acting.insert({m.report.applied_generation, name});
        if (b.wait_for_lost ? acting(m) : !expired(m)) {
            ++c.applied[m.report.applied_generation];
            for (const Target& t : m.report.in_flight) ++c.in_flight[t];
        }
        if (m.role != Role::router) continue;
        const bool is_out = expired(m) || out(true, name);
        ++c.routers.all, c.routers.out += is_out;
        ++c.router_zones[m.zone].all, c.router_zones[m.zone].out += is_out;
        c.known_routers += !m.left, c.lost_routers += !m.left && expired(m);
        if (expired(m)) continue;
        ++c.live_routers;
        if (!m.left) c.queries += m.report.queries, c.failed += m.report.failed;
        for (const std::string& node : m.report.unresponsive) ++counts.votes.by_node[node];
    }
    for (const auto& [node, routers] : counts.votes.by_node) counts.votes.by_votes.insert({routers, node});
    NodeCounts& n = counts.nodes;
    for (const auto& [name, node] : state.nodes()) {
        const auto votes = counts.votes.by_node.find(name);
        const bool is_out = node.health != Health::healthy || out(false, name) ||
                            (votes != counts.votes.by_node.end() &&
                             static_cast<double>(votes->second) >=
                                 b.unresponsive_share * static_cast<double>(c.live_routers));
        ++n.nodes.all, n.nodes.out += is_out;
        ++n.zones[node.zone].all, n.zones[node.zone].out += is_out;
        ++n.kinds[node.kind].all, n.kinds[node.kind].out += is_out;
        for (const std::uint32_t s : node.shards) ++n.shards[s].listed, n.shards[s].healthy += !is_out;
        for (const std::uint32_t s : std::set<std::uint32_t>(node.shards.begin(), node.shards.end()))
            ++n.shards[s].holders;
    }
    for (const auto& [s, shard] : n.shards)
        if (shard.healthy < b.halt_min_holders) n.short_shards.insert(s);
    RequestCounts& requests = counts.requests;
    for (const auto& [id, r] : state.requests()) {
        requests.open[r.target] = id;
        if (r.stage == Stage::queued) requests.queued[r.target.router ? 1 : 0].insert(id);
        if (r.stage == Stage::granted) requests.granted[r.generation] = id;
        if (r.stage == Stage::returning)
            (out(r.target.router, r.target.name) ? requests.returning_removed : requests.returning_restored)
                .insert(id);
    }
    return counts;
}

// Granted requests that no member holds up and that are not done: there are none, but for those that the last
// command granted itself.
inline std::size_t left_undone(const FleetState& state, const Effects& effects) {
    return static_cast<std::size_t>(
        std::count_if(state.requests().begin(), state.requests().end(), [&](const auto& r) {
            return r.second.stage == Stage::granted && state.pending_members(r.second).empty() &&
                   std::none_of(effects.begin(), effects.end(), [&](const Effect& e) {
                       const auto* granted = std::get_if<RemovalGranted>(&e);
                       return granted != nullptr && granted->request == r.first;
                   });
        }));
}

}  // namespace tealcart::fleet
