#include "fleet/budget_check.hpp"

#include <cstdint>
#include <map>

namespace tealcart::fleet {
namespace {

constexpr const char* unknown_router = "no such query router is a member";
constexpr const char* unknown_node = "no such data node is known";

// Whether the limit allows none of a fleet to be out, however large the fleet is.
bool allows_none(const Limit& limit) {
    constexpr std::size_t large_fleet = 1'000'000;
    return limit.allowed(large_fleet) == 0;
}

std::optional<std::string> exceeded(const Limit& limit, const GroupCount& count, bool adds_one,
                                    const std::string& name) {
    const std::size_t allowed = limit.allowed(count.all);
    if (count.out + (adds_one ? 1 : 0) <= allowed) return std::nullopt;
    return name + ": " + std::to_string(count.out) + " of " + std::to_string(count.all) + " are out, " +
           std::to_string(allowed) + " may be";
}

}  // namespace

std::optional<std::string> BudgetCheck::permanent_refusal(const Target& target) {
    return target.router ? permanent_refusal_of_router(target.name) : permanent_refusal_of_node(target.name);
}

std::optional<std::string> BudgetCheck::permanent_refusal_of_router(const std::string& name) const {
    const Member* member = members_.find(name);
    if (member == nullptr || member->role != Role::router) return unknown_router;
    if (allows_none(budgets_.routers)) return "no query router may be out: routers";
    if (allows_none(budgets_.routers_per_zone)) return "no query router may be out: routers_a_zone";
    return std::nullopt;
}

std::optional<std::string> BudgetCheck::permanent_refusal_of_node(const std::string& name) {
    const Node* node = nodes_.find(name);
    if (node == nullptr) return unknown_node;
    for (const Limit* limit : {&budgets_.nodes, &budgets_.nodes_per_zone, &budgets_.nodes_per_kind})
        if (allows_none(*limit)) return "no data node may be out";
    for (const std::uint32_t shard : node->shards) {
        ++visited_count_;
        const std::size_t others = nodes_.counts().shards.at(shard).holders - 1;
        if (others < budgets_.min_holders)
            return "shard " + std::to_string(shard) + " has only " + std::to_string(others) +
                   " other holders";
    }
    return std::nullopt;
}

std::optional<std::string> BudgetCheck::blocking_limit(const Target& target) {
    ++visited_count_;
    return target.router ? blocking_limit_of_router(target.name) : blocking_limit_of_node(target.name);
}

std::optional<std::string> BudgetCheck::blocking_limit_of_router(const std::string& name) const {
    const Member* member = members_.find(name);
    if (member == nullptr) return unknown_router;
    const bool adds_one = !members_.is_out(name);
    const MemberCounts& counts = members_.counts();
    if (auto reason = exceeded(budgets_.routers, counts.routers, adds_one, "routers")) return reason;
    const auto zone = counts.router_zones.find(member->zone);
    const GroupCount zone_count = zone == counts.router_zones.end() ? GroupCount{} : zone->second;
    return exceeded(budgets_.routers_per_zone, zone_count, adds_one, "routers_a_zone " + member->zone);
}

std::optional<std::string> BudgetCheck::blocking_limit_of_node(const std::string& name) {
    const Node* node = nodes_.find(name);
    if (node == nullptr) return unknown_node;
    const bool adds_one = !nodes_.is_out(name);
    const NodeCounts& counts = nodes_.counts();
    if (auto reason = exceeded(budgets_.nodes, counts.nodes, adds_one, "nodes")) return reason;
    if (auto reason = exceeded(budgets_.nodes_per_zone, counts.zones.at(node->zone), adds_one,
                               "nodes_a_zone " + node->zone))
        return reason;
    if (auto reason = exceeded(budgets_.nodes_per_kind, counts.kinds.at(node->kind), adds_one,
                               "nodes_a_kind " + node->kind))
        return reason;
    return blocking_shard(*node, adds_one);
}

std::optional<std::string> BudgetCheck::blocking_shard(const Node& node, bool was_healthy) {
    std::map<std::uint32_t, std::size_t> times_listed;
    for (const std::uint32_t shard : node.shards) ++times_listed[shard];
    visited_count_ += times_listed.size();
    for (const auto& [shard, times] : times_listed) {
        const std::size_t healthy = nodes_.counts().shards.at(shard).healthy;
        const std::size_t holders = healthy - (was_healthy ? times : 0);
        if (holders < budgets_.min_holders)
            return "shard " + std::to_string(shard) + " would keep " + std::to_string(holders) +
                   " whole holders";
    }
    return std::nullopt;
}

}  // namespace tealcart::fleet
