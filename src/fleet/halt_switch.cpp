#include "fleet/halt_switch.hpp"

#include <cstdint>

namespace tealcart::fleet {

HaltConditions halt_conditions(const Budgets& budgets, const NodeCounts& nodes, const MemberCounts& members) {
    HaltConditions found;
    const auto queries = static_cast<double>(members.queries);
    const auto failed = static_cast<double>(members.failed);
    if (members.queries >= budgets.halt_failed_min_queries && failed > budgets.halt_failed_share * queries)
        found["halt_failed"] = std::to_string(members.failed) + " of " + std::to_string(members.queries) +
                               " queries failed lately";
    const auto routers = static_cast<double>(members.known_routers);
    const auto lost = static_cast<double>(members.lost_routers);
    if (lost > budgets.halt_lost_share * routers)
        found["halt_lost"] = std::to_string(members.lost_routers) + " of " +
                             std::to_string(members.known_routers) + " routers are lost";
    if (!nodes.short_shards.empty()) {
        const std::uint32_t shard = *nodes.short_shards.begin();
        found["halt_holders"] = "shard " + std::to_string(shard) + " has " +
                                std::to_string(nodes.shards.at(shard).healthy) + " whole holders";
    }
    return found;
}

void HaltSwitch::halt(const std::string& reason) {
    halted_ = true;
    reason_ = reason;
}

void HaltSwitch::resume() {
    halted_ = false;
    reason_.clear();
}

bool HaltSwitch::trip(const HaltConditions& conditions) {
    bool halted_now = false;
    for (const auto& [name, description] : conditions) {
        const bool is_new = tripped_.insert(name).second;
        if (!is_new || halted_) continue;
        halt(description);
        halted_now = true;
    }
    std::erase_if(tripped_, [&](const std::string& name) { return !conditions.contains(name); });
    return halted_now;
}

void HaltSwitch::restore(bool halted, std::string reason, std::set<std::string> tripped) {
    halted_ = halted;
    reason_ = std::move(reason);
    tripped_ = std::move(tripped);
}

}  // namespace tealcart::fleet
