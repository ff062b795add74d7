#include "fleet/codec_parts.hpp"

namespace tealcart::fleet {

using nlohmann::json;

namespace {

json json_of(const Limit& limit) { return {limit.max_count, limit.max_share}; }
Limit read_limit(const json& in) { return {in.at(0), in.at(1)}; }

}  // namespace

json json_of(const Target& target) { return {target.router, target.name}; }

Target read_target(const json& in) { return {in.at(0), in.at(1)}; }

json json_of(const Budgets& budgets) {
    return {json_of(budgets.nodes),
            json_of(budgets.nodes_per_zone),
            json_of(budgets.nodes_per_kind),
            budgets.min_holders,
            json_of(budgets.routers),
            json_of(budgets.routers_per_zone),
            budgets.lease,
            budgets.drift,
            budgets.forget_after,
            budgets.wait_for_lost,
            budgets.halt_failed_share,
            budgets.halt_failed_min_queries,
            budgets.halt_lost_share,
            budgets.halt_min_holders,
            budgets.unresponsive_share,
            budgets.max_open_requests,
            budgets.max_deduplicated};
}

Budgets read_budgets(const json& in) {
    Budgets budgets;
    budgets.nodes = read_limit(in.at(0));
    budgets.nodes_per_zone = read_limit(in.at(1));
    budgets.nodes_per_kind = read_limit(in.at(2));
    budgets.min_holders = in.at(3);
    budgets.routers = read_limit(in.at(4));
    budgets.routers_per_zone = read_limit(in.at(5));
    budgets.lease = in.at(6);
    budgets.drift = in.at(7);
    budgets.forget_after = in.at(8);
    budgets.wait_for_lost = in.at(9);
    budgets.halt_failed_share = in.at(10);
    budgets.halt_failed_min_queries = in.at(11);
    budgets.halt_lost_share = in.at(12);
    budgets.halt_min_holders = in.at(13);
    budgets.unresponsive_share = in.at(14);
    budgets.max_open_requests = in.at(15);
    budgets.max_deduplicated = in.at(16);
    return budgets;
}

}  // namespace tealcart::fleet
