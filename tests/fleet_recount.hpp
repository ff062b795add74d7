// Recomputes the counts that FleetState maintains incrementally from its visible state. The code is slow and
// simple on purpose and shares nothing with the code that it checks.
#pragma once

#include <algorithm>
#include <vector>

#include "fleet/fleet_state.hpp"

namespace tealcart::fleet {

// All counts that FleetState maintains.
struct Counts {
    NodeCounts nodes;
    MemberCounts members;
    VoteCounts votes;
    RequestCounts requests;

    friend bool operator==(const Counts&, const Counts&) = default;
};

// The counts as maintained by the state.
inline Counts kept_counts(const FleetState& state) {
    return {state.node_counts(), state.member_counts(), state.vote_counts(), state.request_counts()};
}

// The counts as recomputed.
inline Counts recount(const FleetState& state) {
    const Budgets& b = state.budgets();
    const Nanos now = state.now();
    const auto is_expired = [&](const Member& m) { return now > m.lease_until + b.drift; };
    const auto acts_until = [&](const Member& m) { return m.lease_until + m.lease_grace + b.drift; };
    const auto may_act = [&](const Member& m) { return !m.left && now <= acts_until(m); };
    const auto is_removed = [&](bool router, const std::string& name) {
        return std::any_of(
            state.removed_targets().begin(), state.removed_targets().end(),
            [&](const auto& entry) { return entry.first.router == router && entry.first.name == name; });
    };
    Counts counts;
    MemberCounts& c = counts.members;
    for (const auto& [name, m] : state.members()) {
        (is_expired(m) ? c.expired_leases : c.live_leases).insert({m.lease_until, name});
        if (may_act(m)) c.acting_ends.insert({acts_until(m), name});
        if (is_expired(m) && may_act(m)) c.lost_acting.insert({m.report.applied_generation, name});
        if (b.wait_for_lost ? may_act(m) : !is_expired(m)) {
            ++c.applied[m.report.applied_generation];
            for (const Target& t : m.report.in_flight) ++c.in_flight[t];
        }
        if (m.role != Role::router) continue;
        const bool is_out = is_expired(m) || is_removed(true, name);
        ++c.routers.all, c.routers.out += is_out;
        ++c.router_zones[m.zone].all, c.router_zones[m.zone].out += is_out;
        c.known_routers += !m.left, c.lost_routers += !m.left && is_expired(m);
        if (is_expired(m)) continue;
        ++c.live_routers;
        if (!m.left) c.queries += m.report.queries, c.failed += m.report.failed;
        for (const std::string& node : m.report.unresponsive) ++counts.votes.by_node[node];
    }
    for (const auto& [node, routers] : counts.votes.by_node) counts.votes.by_votes.insert({routers, node});
    NodeCounts& n = counts.nodes;
    for (const auto& [name, node] : state.nodes()) {
        const auto votes = counts.votes.by_node.find(name);
        const bool is_out = node.health != Health::healthy || is_removed(false, name) ||
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
            (is_removed(r.target.router, r.target.name) ? requests.returning_removed
                                                        : requests.returning_restored)
                .insert(id);
    }
    return counts;
}

// The number of granted requests that no member holds up and that are nevertheless not done. It has to be 0;
// requests that the last command itself granted are not included.
inline std::size_t unfinished_requests(const FleetState& state, const Effects& effects) {
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
