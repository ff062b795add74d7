#include "fleet/codec_parts.hpp"

namespace tealcart::fleet {

using nlohmann::json;

namespace {

json json_of(const Limit& limit) { return {limit.max_count, limit.max_share}; }
Limit read_limit(const json& in) { return {in.at(0), in.at(1)}; }

}  // namespace

json json_of(const Target& target) { return {target.router, target.name}; }

Target read_target(const json& in) { return {in.at(0), in.at(1)}; }

json json_of(const Budgets& b) {
    return {json_of(b.nodes),
            json_of(b.nodes_per_zone),
            json_of(b.nodes_per_kind),
            b.min_holders,
            json_of(b.routers),
            json_of(b.routers_per_zone),
            b.lease,
            b.drift,
            b.forget_after,
            b.wait_for_lost,
            b.halt_failed_share,
            b.halt_failed_min_queries,
            b.halt_lost_share,
            b.halt_min_holders,
            b.unresponsive_share,
            b.max_open_requests,
            b.max_deduplicated};
}

Budgets read_budgets(const json& in) {
    Budgets b;
    b.nodes = read_limit(in.at(0));
    b.nodes_per_zone = read_limit(in.at(1));
    b.nodes_per_kind = read_limit(in.at(2));
    b.min_holders = in.at(3);
    b.routers = read_limit(in.at(4));
    b.routers_per_zone = read_limit(in.at(5));
    b.lease = in.at(6);
    b.drift = in.at(7);
    b.forget_after = in.at(8);
    b.wait_for_lost = in.at(9);
    b.halt_failed_share = in.at(10);
    b.halt_failed_min_queries = in.at(11);
    b.halt_lost_share = in.at(12);
    b.halt_min_holders = in.at(13);
    b.unresponsive_share = in.at(14);
    b.max_open_requests = in.at(15);
    b.max_deduplicated = in.at(16);
    return b;
}

}  // namespace tealcart::fleet
