#include "fleet_manager/status_page.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::ordered_json;

constexpr Nanos millisecond = 1'000'000;

const char* name_of(fleet::Health health) {
    static const char* const names[] = {"whole", "draining", "cold", "gone", "unknown"};
    return names[static_cast<int>(health)];
}

const char* name_of(fleet::Role role) { return role == fleet::Role::router ? "router" : "control"; }

Json write_target(const fleet::Target& target) { return {target.router ? "router" : "node", target.name}; }

Json write_requests(const fleet::FleetState& state) {
    Json list = Json::array();
    for (const auto& [id, request] : state.requests()) {
        const bool granted = request.stage == fleet::Stage::granted;
        list.push_back({{"request", id},
                        {"target", write_target(request.target)},
                        {"stage", fleet::stage_name(request.stage)},
                        {"asker", request.requested_by},
                        {"fence", request.fence},
                        {"generation", request.generation},
                        {"held_by", request.blocked_by},
                        {"waits_for", granted ? state.pending_members(request) : std::vector<std::string>{}},
                        {"unheard", request.unacknowledged}});
    }
    return list;
}

bool is_exception(const fleet::FleetState& state, const std::string& name, const fleet::Member& member) {
    return member.lost || member.left || member.report.applied_generation != state.generation() ||
           state.is_removed(true, name);
}

bool is_exception(const fleet::FleetState& state, const std::string& name, const fleet::Node&) {
    return state.is_out(false, name);
}

Json write_item(const fleet::FleetState& state, const std::string& name, const fleet::Member& member) {
    return {{"name", name},
            {"role", name_of(member.role)},
            {"zone", member.zone},
            {"version", member.version},
            {"digest", member.digest},
            {"life", member.incarnation},
            {"acts_on", member.report.applied_generation},
            {"lease_left_ms", (member.lease_until - state.now()) / millisecond},
            {"lost", member.lost},
            {"left", member.left},
            {"out", state.is_removed(true, name)},
            {"queries", member.report.queries},
            {"failed", member.report.failed}};
}

Json write_item(const fleet::FleetState& state, const std::string& name, const fleet::Node& node) {
    return {{"name", name},
            {"zone", node.zone},
            {"kind", node.kind},
            {"health", name_of(node.health)},
            {"out", state.is_removed(false, name)},
            {"counts_as_out", state.is_out(false, name)}};
}

// The listed items, and a summary of which items are listed.
struct Listing {
    Json items = Json::array();
    Json summary;
};

template <class ByName>
Listing write_listing(const fleet::FleetState& state, const ByName& by_name, bool all) {
    const bool each = all || by_name.size() <= max_listed_whole;
    Listing listing;
    std::size_t left_out = 0;
    for (const auto& [name, item] : by_name) {
        if (!each && !is_exception(state, name, item)) continue;
        if (!each && listing.items.size() >= max_exceptions)
            ++left_out;
        else
            listing.items.push_back(write_item(state, name, item));
    }
    listing.summary = {{"listed", each ? "all" : "exceptions"}, {"exceptions_left_out", left_out}};
    return listing;
}

template <class SharesByZone>
Json write_counts(const fleet::GroupCount& total, const SharesByZone& by_zone) {
    Json zones = Json::object();
    for (const auto& [zone, share] : by_zone) zones[zone] = {{"all", share.all}, {"out", share.out}};
    return {{"all", total.all}, {"out", total.out}, {"zones", std::move(zones)}};
}

}  // namespace

std::string write_status(const fleet::FleetState& state, const ManagerStatus& manager, bool all) {
    const fleet::MemberCounts& member_counts = state.member_counts();
    const fleet::NodeCounts& node_counts = state.node_counts();
    Listing members = write_listing(state, state.members(), all);
    Listing nodes = write_listing(state, state.nodes(), all);
    const Nanos held_for = std::max<Nanos>(0, state.hold_until() - state.now());
    const Json out = {{"fleet", manager.fleet},
                      {"steward", manager.id},
                      {"leader", manager.leader},
                      {"leader_at", manager.leader_address},
                      {"applied", manager.applied},
                      {"generation", state.generation()},
                      {"halted", state.halted()},
                      {"halted_for", state.halt_reason()},
                      {"held_for_ms", held_for / millisecond},
                      {"discovery_silent_ms", manager.discovery_silent / millisecond},
                      {"members_listed", std::move(members.summary)},
                      {"nodes_listed", std::move(nodes.summary)},
                      {"routers_counted", write_counts(member_counts.routers, member_counts.router_zones)},
                      {"nodes_counted", write_counts(node_counts.nodes, node_counts.zones)},
                      {"requests", write_requests(state)},
                      {"members", std::move(members.items)},
                      {"nodes", std::move(nodes.items)}};
    return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace tealcart::fleet_manager
