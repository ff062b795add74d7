#include "fleet_manager/status_command.hpp"

#include <cstdio>
#include <set>

#include "fleet_manager/drain_command.hpp"

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::ordered_json;

void print_agreement(const Json& state) {
    std::printf("fleet %s, generation %llu, reported by fleet manager %llu; ",
                text_of(state, "fleet").c_str(), number_of(state, "generation"), number_of(state, "steward"));
    if (number_of(state, "leader") == 0)
        std::printf("NO FLEET MANAGER LEADS: nothing can be granted\n");
    else
        std::printf("fleet manager %llu leads\n", number_of(state, "leader"));
    if (state["halted"]) std::printf("HALTED: %s\n", text_of(state, "halted_for").c_str());
    if (state["held_for_ms"] > 0)
        std::printf("agreement was interrupted: nothing is granted for another %.1f s\n",
                    state["held_for_ms"].get<double>() / 1000);
    if (state["discovery_silent_ms"] > 0)
        std::printf("DISCOVERY DOES NOT ANSWER: all data nodes count as out\n");
}

void print_totals(const Json& state) {
    const Json& nodes = state["nodes_counted"];
    const Json& routers = state["routers_counted"];
    std::printf("data nodes: %llu of %llu count as out; routers: %llu of %llu\n", number_of(nodes, "out"),
                number_of(nodes, "all"), number_of(routers, "out"), number_of(routers, "all"));
}

unsigned long long zone_count(const Json& counted, const std::string& zone, const char* key) {
    const Json& zones = counted["zones"];
    return zones.contains(zone) ? number_of(zones[zone], key) : 0;
}

void print_zones(const Json& state) {
    const Json& nodes = state["nodes_counted"];
    const Json& routers = state["routers_counted"];
    std::set<std::string> zones;
    for (const Json* counted : {&nodes, &routers})
        for (const auto& [zone, counts] : (*counted)["zones"].items()) zones.insert(zone);
    std::printf("\nby zone: out of all\n");
    for (const std::string& zone : zones)
        std::printf("  %-16s data nodes %llu of %llu, routers %llu of %llu\n", zone.c_str(),
                    zone_count(nodes, zone, "out"), zone_count(nodes, zone, "all"),
                    zone_count(routers, zone, "out"), zone_count(routers, zone, "all"));
}

std::string lease_of(const Json& member) {
    if (member["left"].get<bool>()) return "left";
    if (member["lost"].get<bool>()) return "LOST";
    char text[32];
    std::snprintf(text, sizeof text, "lease %.1f s", member["lease_left_ms"].get<double>() / 1000);
    return text;
}

void print_member(const Json& member) {
    std::printf("  %-16s %-8s zone %-8s version %-8s acts on %-6llu %s%s\n", text_of(member, "name").c_str(),
                text_of(member, "role").c_str(), text_of(member, "zone").c_str(),
                text_of(member, "version").c_str(), number_of(member, "acts_on"), lease_of(member).c_str(),
                member["out"].get<bool>() ? ", drained by agreement" : "");
}

void print_node(const Json& node) {
    std::printf("  %-16s zone %-8s %s%s\n", text_of(node, "name").c_str(), text_of(node, "zone").c_str(),
                text_of(node, "health").c_str(), node["out"].get<bool>() ? ", drained by agreement" : "");
}

void print_left_out(const Json& listing) {
    if (const auto left_out = number_of(listing, "exceptions_left_out"); left_out > 0)
        std::printf("  and %llu more; 'tealcart fleet status --all' lists them\n", left_out);
}

void print_members(const Json& state) {
    if (state["members_listed"]["listed"] == "all") {
        std::printf("\nmembers\n");
    } else {
        print_zones(state);
        std::printf("\nmembers that are drained, lost, or have not applied generation %llu yet\n",
                    number_of(state, "generation"));
    }
    for (const Json& member : state["members"]) print_member(member);
    print_left_out(state["members_listed"]);
}

void print_nodes(const Json& state) {
    std::printf("\ndata nodes that count as out\n");
    for (const Json& node : state["nodes"])
        if (node["counts_as_out"].get<bool>()) print_node(node);
    print_left_out(state["nodes_listed"]);
}

int change_group(const ClientOptions& client, const char* path, std::uint64_t id,
                 const std::string& raft_address, const char* outcome) {
    const Json call = {
        {"id", new_call_id()}, {"asker", client.requested_by}, {"requests", {id}}, {"name", raft_address}};
    const Reply reply = query_managers(client.manager_addresses(), path, call.dump(), client.timeout());
    if (reply.status != 200) return report_failure(reply, "");
    return std::printf("%s fleet manager %llu\n", outcome, static_cast<unsigned long long>(id)) < 0;
}

}  // namespace

int show_status(const ClientOptions& client, bool all) {
    const Json state = fetch_state(client.manager_addresses(), all ? "/fleet/status?all=1" : "/fleet/status");
    if (!state.is_object()) return report_failure({}, "");
    if (client.json) return print_json(state);
    if (!state.contains("nodes_counted")) {
        std::fprintf(stderr,
                     "tealcart: the fleet manager runs an earlier version; --json prints its answer\n");
        return exit_unreachable;
    }
    print_agreement(state);
    print_totals(state);
    if (!state["requests"].empty()) std::printf("\nrequests\n");
    for (const Json& request : state["requests"]) print_request(request);
    print_members(state);
    print_nodes(state);
    return exit_ok;
}

int add_manager(const ClientOptions& client, std::uint64_t id, const std::string& raft_address) {
    return change_group(client, "/fleet/stewards/add", id, raft_address, "added");
}

int remove_manager(const ClientOptions& client, std::uint64_t id) {
    return change_group(client, "/fleet/stewards/remove", id, "", "removed");
}

}  // namespace tealcart::fleet_manager
