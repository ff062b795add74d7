#include "fleet_manager/drain_command.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::ordered_json;
using RequestIds = std::vector<std::uint64_t>;

constexpr const char* undo_path = "/fleet/undo";

enum class WaitFor : std::uint8_t { done, returned };

Json write_call(const ClientOptions& client, const DrainOptions& options, const std::string& id) {
    Json call = {{"id", id}, {"asker", client.requested_by}};
    if (!options.reason.empty()) call["why"] = options.reason;
    if (!options.zone.empty()) call["zone"] = options.zone;
    if (!options.member.empty()) call["name"] = options.member;
    Json targets = Json::array();
    for (const std::string& node : options.nodes) targets.push_back({"node", node});
    for (const std::string& router : options.routers) targets.push_back({"router", router});
    if (!targets.empty()) call["targets"] = targets;
    return call;
}

std::string joined(const Json& names) {
    std::string text;
    for (const Json& name : names) text += (text.empty() ? "" : ", ") + name.get<std::string>();
    return text;
}

void print_effect(const Json& effect) {
    std::printf("%s", text_of(effect, "what").c_str());
    if (effect.contains("request")) std::printf(" request %llu", number_of(effect, "request"));
    if (effect.contains("about")) std::printf(" %s", text_of(effect, "about").c_str());
    if (effect.contains("why")) std::printf(": %s", text_of(effect, "why").c_str());
    std::printf("\n");
}

// Returns those of the requests that are still in the state.
std::vector<Json> requests_in(const Json& state, const RequestIds& ids) {
    std::vector<Json> found;
    for (const Json& request : state["requests"])
        if (std::find(ids.begin(), ids.end(), number_of(request, "request")) != ids.end())
            found.push_back(request);
    return found;
}

// Polls until none of the requests is open, and prints them as they change. Ctrl-C leaves the requests open.
int wait_until(const std::vector<HostPort>& managers, const RequestIds& ids, WaitFor wait_for) {
    std::string printed;
    while (true) {
        const Json state = fetch_state(managers, "/fleet/status");
        if (is_leader_state(state)) {
            const std::vector<Json> requests = requests_in(state, ids);
            if (const std::string current = Json(requests).dump(); current != printed && !requests.empty()) {
                for (const Json& request : requests) print_request(request);
                std::fflush(stdout);
                printed = current;
            }
            const auto is_open = [wait_for](const Json& request) {
                return wait_for == WaitFor::returned || request["stage"] != "done";
            };
            if (std::none_of(requests.begin(), requests.end(), is_open)) return exit_ok;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

// Adds the requests whose targets are returning: the answer names only requests that ended at once.
void add_returning_requests(const std::vector<HostPort>& managers, RequestIds& ids) {
    const Json state = fetch_state(managers, "/fleet/status");
    if (!state.is_object()) return;
    for (const Json& request : state["requests"])
        if (request["stage"] == "returning") ids.push_back(number_of(request, "request"));
}

// Sends the request and prints its effects. Returns the exit status.
int run(const ClientOptions& client, const DrainOptions& options, const std::string& path) {
    const std::vector<HostPort> managers = client.manager_addresses();
    const std::string id = client.call_id();
    const Reply reply =
        query_managers(managers, path, write_call(client, options, id).dump(), client.timeout());
    const Json body = body_of(reply);
    if (!body.is_object()) return report_failure(reply, id);
    int status = exit_ok;
    RequestIds requests;
    for (const Json& effect : body.value("effects", Json::array())) {
        if (!client.json) print_effect(effect);
        if (effect["what"] == "refused") status = exit_refused;
        if (effect["what"] == "asked") requests.push_back(number_of(effect, "request"));
    }
    if (client.json) std::printf("%s\n", reply.body.c_str());
    std::fflush(stdout);
    if (!options.wait || status != exit_ok) return status;
    if (path != undo_path) return wait_until(managers, requests, WaitFor::done);
    add_returning_requests(managers, requests);
    return wait_until(managers, requests, WaitFor::returned);
}

int run_on_targets(const ClientOptions& client, const DrainOptions& options, const std::string& path) {
    if (options.names_targets()) return run(client, options, path);
    std::fprintf(stderr, "tealcart: no target is given; expected data nodes, --zone or --router\n");
    return exit_usage;
}

}  // namespace

void print_request(const Json& request) {
    std::string note = text_of(request, "held_by");
    if (!request["waits_for"].empty()) note = "waits for " + joined(request["waits_for"]);
    if (!request["unheard"].empty())
        note = "unacknowledged, may act on an older generation: " + joined(request["unheard"]);
    const Json& target = request["target"];
    std::printf("%6llu  %-6s %-16s %-10s fence %-6llu %s\n", number_of(request, "request"),
                target[0].get<std::string>().c_str(), target[1].get<std::string>().c_str(),
                text_of(request, "stage").c_str(), number_of(request, "fence"), note.c_str());
}

int drain(const ClientOptions& client, const DrainOptions& options) {
    return run_on_targets(client, options, "/fleet/ask");
}

int undrain(const ClientOptions& client, const DrainOptions& options) {
    return run_on_targets(client, options, undo_path);
}

int halt(const ClientOptions& client, const DrainOptions& options) {
    return run(client, options, "/fleet/halt");
}

int resume(const ClientOptions& client, const DrainOptions& options) {
    return run(client, options, "/fleet/resume");
}

int forget_member(const ClientOptions& client, const DrainOptions& options) {
    return run(client, options, "/fleet/forget");
}

}  // namespace tealcart::fleet_manager
