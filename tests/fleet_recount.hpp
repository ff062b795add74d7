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
inline Counts maintained_counts(const FleetState& state) {
    return {state.node_counts(), state.member_counts(), state.vote_counts(), state.request_counts()};
}

// The counts as recomputed.
inline Counts recount(const FleetState& state) {
    const Budgets& budgets = state.budgets();
    const Nanos now = state.now();
    const auto is_expired = [&](const Member& member) { return now > member.lease_until + budgets.drift; };
    const auto acts_until = [&](const Member& member) {
        return member.lease_until + member.lease_grace + budgets.drift;
    };
    const auto may_act = [&](const Member& member) { return !member.left && now <= acts_until(member); };
    const auto is_removed = [&](bool router, const std::string& name) {
        return std::any_of(
            state.removed_targets().begin(), state.removed_targets().end(),
            [&](const auto& entry) { return entry.first.router == router && entry.first.name == name; });
    };
    Counts counts;
    MemberCounts& member_counts = counts.members;
    for (const auto& [name, member] : state.members()) {
        (is_expired(member) ? member_counts.expired_leases : member_counts.live_leases)
            .insert({member.lease_until, name});
        if (may_act(member)) member_counts.acting_ends.insert({acts_until(member), name});
        if (is_expired(member) && may_act(member))
            member_counts.lost_acting.insert({member.report.applied_generation, name});
        if (budgets.wait_for_lost ? may_act(member) : !is_expired(member)) {
            ++member_counts.applied[member.report.applied_generation];
            for (const Target& target : member.report.in_flight) ++member_counts.in_flight[target];
        }
        if (member.role != Role::router) continue;
        const bool is_out = is_expired(member) || is_removed(true, name);
        ++member_counts.routers.all, member_counts.routers.out += is_out;
        ++member_counts.router_zones[member.zone].all, member_counts.router_zones[member.zone].out += is_out;
        member_counts.known_routers += !member.left,
            member_counts.lost_routers += !member.left && is_expired(member);
        if (is_expired(member)) continue;
        ++member_counts.live_routers;
        if (!member.left)
            member_counts.queries += member.report.queries, member_counts.failed += member.report.failed;
        for (const std::string& node : member.report.unresponsive) ++counts.votes.by_node[node];
    }
    for (const auto& [node, routers] : counts.votes.by_node) counts.votes.by_votes.insert({routers, node});
    NodeCounts& node_counts = counts.nodes;
    for (const auto& [name, node] : state.nodes()) {
        const auto votes = counts.votes.by_node.find(name);
        const bool is_out =
            node.health != Health::healthy || is_removed(false, name) ||
            (votes != counts.votes.by_node.end() &&
             static_cast<double>(votes->second) >=
                 budgets.unresponsive_share * static_cast<double>(member_counts.live_routers));
        ++node_counts.nodes.all, node_counts.nodes.out += is_out;
        ++node_counts.zones[node.zone].all, node_counts.zones[node.zone].out += is_out;
        ++node_counts.kinds[node.kind].all, node_counts.kinds[node.kind].out += is_out;
        for (const std::uint32_t shard : node.shards)
            ++node_counts.shards[shard].listed, node_counts.shards[shard].healthy += !is_out;
        for (const std::uint32_t shard : std::set<std::uint32_t>(node.shards.begin(), node.shards.end()))
            ++node_counts.shards[shard].holders;
    }
    for (const auto& [shard, shard_counts] : node_counts.shards)
        if (shard_counts.healthy < budgets.halt_min_holders) node_counts.short_shards.insert(shard);
    RequestCounts& requests = counts.requests;
    for (const auto& [id, request] : state.requests()) {
        requests.open[request.target] = id;
        if (request.stage == Stage::queued) requests.queued[request.target.router ? 1 : 0].insert(id);
        if (request.stage == Stage::granted) requests.granted[request.generation] = id;
        if (request.stage == Stage::returning)
            (is_removed(request.target.router, request.target.name) ? requests.returning_removed
                                                                    : requests.returning_restored)
                .insert(id);
    }
    return counts;
}

// The number of granted requests that no member holds up and that are nevertheless not done. It has to be 0;
// requests that the last command itself granted are not included.
inline std::size_t unfinished_requests(const FleetState& state, const Effects& effects) {
    return static_cast<std::size_t>(
        std::count_if(state.requests().begin(), state.requests().end(), [&](const auto& request) {
            return request.second.stage == Stage::granted && state.pending_members(request.second).empty() &&
                   std::none_of(effects.begin(), effects.end(), [&](const Effect& effect) {
                       const auto* granted = std::get_if<RemovalGranted>(&effect);
                       return granted != nullptr && granted->request == request.first;
                   });
        }));
}

}  // namespace tealcart::fleet
