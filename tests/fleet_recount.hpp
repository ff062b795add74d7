// What the fleet's state keeps as counts, counted anew from what can be seen of it; slow and plain, and by
// nothing of the code that it checks.
#pragma once

#include <algorithm>
#include <vector>

#include "fleet/fleet_state.hpp"

namespace tealcart::fleet {

inline Counts recount(const FleetState& state) {
    const Budgets& b = state.budgets();
    const Nanos now = state.now();
    const auto over = [&](const Member& m) { return now > m.lease_until + b.drift; };
    const auto until = [&](const Member& m) { return m.lease_until + m.serve_on + b.drift; };
    const auto acting = [&](const Member& m) { return !m.left && now <= until(m); };
    const auto out = [&](bool router, const std::string& name) {
        return std::any_of(state.all_out().begin(), state.all_out().end(),
                           [&](const auto& o) { return o.first.router == router && o.first.name == name; });
    };
    Counts c;
    for (const auto& [name, m] : state.members()) {
        (over(m) ? c.over_ends : c.live_ends).insert({m.lease_until, name});
        if (acting(m)) c.acting_ends.insert({until(m), name});
        if (over(m) && acting(m)) c.lost_acting.insert({m.word.applied_generation, name});
        if (b.wait_for_lost ? acting(m) : !over(m)) {
            ++c.heard[m.word.applied_generation];
            for (const Target& t : m.word.in_flight) ++c.in_flight[t];
        }
        if (m.role != Role::router) continue;
        const bool is_out = over(m) || out(true, name);
        ++c.routers.all, c.routers.out += is_out;
        ++c.router_zones[m.zone].all, c.router_zones[m.zone].out += is_out;
        c.known_routers += !m.left, c.lost_routers += !m.left && over(m);
        if (over(m)) continue;
        ++c.live_routers;
        if (!m.left) c.queries += m.word.queries, c.failed += m.word.failed;
        for (const std::string& node : m.word.silent) ++c.silent[node];
    }
    for (const auto& [node, routers] : c.silent) c.by_silent.insert({routers, node});
    for (const auto& [name, n] : state.nodes()) {
        const auto silent = c.silent.find(name);
        const bool is_out =
            n.health != Health::whole || out(false, name) ||
            (silent != c.silent.end() &&
             static_cast<double>(silent->second) >= b.silent_share * static_cast<double>(c.live_routers));
        ++c.nodes.all, c.nodes.out += is_out;
        ++c.node_zones[n.zone].all, c.node_zones[n.zone].out += is_out;
        ++c.node_kinds[n.kind].all, c.node_kinds[n.kind].out += is_out;
        for (const std::uint32_t s : n.shards) ++c.shards[s].listed, c.shards[s].whole += !is_out;
        for (const std::uint32_t s : std::set<std::uint32_t>(n.shards.begin(), n.shards.end()))
            ++c.shards[s].holders;
    }
    for (const auto& [s, shard] : c.shards)
        if (shard.whole < b.halt_holders) c.short_shards.insert(s);
    for (const auto& [id, r] : state.requests()) {
        c.open[r.target] = id;
        if (r.stage == Stage::queued) c.queued[r.target.router].insert(id);
        if (r.stage == Stage::granted) c.granted[r.generation] = id;
        if (r.stage == Stage::returning)
            (out(r.target.router, r.target.name) ? c.returning : c.coming).insert(id);
    }
    return c;
}

// Granted requests that no member holds up and that are not done: there are none, but for those that the last
// command granted itself.
inline std::size_t left_undone(const FleetState& state, const Effects& effects) {
    return static_cast<std::size_t>(
        std::count_if(state.requests().begin(), state.requests().end(), [&](const auto& r) {
            return r.second.stage == Stage::granted && state.waits_for(r.second).empty() &&
                   std::none_of(effects.begin(), effects.end(), [&](const Effect& e) {
                       const auto* granted = std::get_if<RemovalGranted>(&e);
                       return granted != nullptr && granted->request == r.first;
                   });
        }));
}

}  // namespace tealcart::fleet
