// The operators' commands: drain, undrain, halt, resume, fleet. Each call has an id, so that one that is said
// again, to whichever steward, is one.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>

#include "steward/asker.hpp"
#include "steward/steward_terms.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::steward;
using Json = nlohmann::ordered_json;

constexpr auto look_every = std::chrono::milliseconds(200), one_look = std::chrono::milliseconds(1000);
enum Status : int { good = 0, unreached = 1, usage = 2, refused = 3 };

struct Asked {
    std::vector<std::string> stewards, targets, routers;
    std::string file, zone, asker, id, why, name, address;
    std::uint64_t steward = 0;
    double within_s = 10;
    bool wait = false, json = false, all = false;
};

std::vector<HostPort> stewards_of(const Asked& asked) {
    std::vector<HostPort> all;
    for (const std::string& text : asked.stewards) {
        const auto at = read_host_port(text);
        if (!at) throw Malformed("'" + text + "' is no address with a port");
        all.push_back(*at);
    }
    if (all.empty() && !asked.file.empty())
        for (const auto& [id, s] : read_steward_file(asked.file).stewards) all.push_back(s.http);
    if (all.empty()) throw Malformed("name the stewards: --stewards, TEALCART_STEWARDS or --file");
    return all;
}

std::string new_id() {
    std::random_device chance;
    char text[40];
    std::snprintf(text, sizeof text, "%08x%08x%08x%08x", chance(), chance(), chance(), chance());
    return text;
}

std::chrono::milliseconds within(const Asked& asked) {
    return std::chrono::milliseconds(static_cast<long long>(asked.within_s * 1000));
}

// What was said of a call that got no good answer; the status to end with.
int told(const Reply& reply, const std::string& id) {
    const Json in = Json::parse(reply.body, nullptr, false);
    const std::string words = in.is_object() ? in.value("error", "") : "";
    if (reply.status != 0) {
        std::fprintf(stderr, "tealcart: %s\n", words.c_str());
        return refused;
    }
    std::fprintf(stderr, "tealcart: no steward could agree in time%s%s; ask again with --id %s\n",
                 words.empty() ? "" : ": ", words.c_str(), id.c_str());
    return unreached;
}

Json call_of(const Asked& asked, const std::string& id) {
    Json call = {{"id", id}, {"asker", asked.asker}};
    if (!asked.why.empty()) call["why"] = asked.why;
    if (!asked.zone.empty()) call["zone"] = asked.zone;
    if (!asked.name.empty()) call["name"] = asked.name;
    Json targets = Json::array();
    for (const std::string& node : asked.targets) targets.push_back({"node", node});
    for (const std::string& router : asked.routers) targets.push_back({"router", router});
    if (!targets.empty()) call["targets"] = targets;
    return call;
}

void print_request(const Json& r) {
    const auto join = [](const Json& names) {
        std::string all;
        for (const Json& n : names) all += (all.empty() ? "" : ", ") + n.get<std::string>();
        return all;
    };
    std::string note = r["held_by"];
    if (!r["waits_for"].empty()) note = "waits for " + join(r["waits_for"]);
    if (!r["unheard"].empty()) note = "may go by an older word: " + join(r["unheard"]);
    std::printf("%6llu  %-6s %-16s %-10s fence %-6llu %s\n",
                static_cast<unsigned long long>(r["request"].get<std::uint64_t>()),
                r["target"][0].get<std::string>().c_str(), r["target"][1].get<std::string>().c_str(),
                r["stage"].get<std::string>().c_str(),
                static_cast<unsigned long long>(r["fence"].get<std::uint64_t>()), note.c_str());
}

// The state as the steward that leads has it; where none says that it leads, as any has it. Null: none
// answers.
Json state_of(const std::vector<HostPort>& stewards, bool all = false) {
    boost::asio::io_context io(1);
    Json found;
    const char* const path = all ? "/fleet/status?all=1" : "/fleet/status";
    for (const HostPort& at : stewards) {
        const Reply reply = ask_once(io, at, path, "", one_look);
        Json state = Json::parse(reply.body, nullptr, false);
        if (reply.status != 200 || !state.is_object()) continue;
        if (state["leader"] == state["steward"]) return state;
        found = std::move(state);
    }
    // The one that leads may not be among those that were named.
    if (found.is_object())
        if (const auto leader = read_host_port(found["leader_at"].get<std::string>())) {
            const Reply reply = ask_once(io, *leader, path, "", one_look);
            Json state = Json::parse(reply.body, nullptr, false);
            if (reply.status == 200 && state.is_object()) return state;
        }
    return found;
}

// Until each of the requests is done (or, on the way back, has ended). Ctrl-C leaves them as they are.
int wait_for(const std::vector<HostPort>& stewards, const std::vector<std::uint64_t>& requests, bool back) {
    std::string before;
    while (true) {
        const Json state = state_of(stewards);
        if (state.is_object() && state["leader"] == state["steward"]) {
            std::size_t open = 0;
            std::string now;
            for (const Json& r : state["requests"]) {
                const bool ours = std::find(requests.begin(), requests.end(),
                                            r["request"].get<std::uint64_t>()) != requests.end();
                if (!ours) continue;
                if (back || r["stage"] != "done") ++open;
                now += r.dump();
            }
            if (now != before) {
                for (const Json& r : state["requests"])
                    if (std::find(requests.begin(), requests.end(), r["request"].get<std::uint64_t>()) !=
                        requests.end())
                        print_request(r);
                std::fflush(stdout);
                before = now;
            }
            if (open == 0) return good;
        }
        std::this_thread::sleep_for(look_every);
    }
}

int change(const Asked& asked, const std::string& path) {
    const std::vector<HostPort> stewards = stewards_of(asked);
    const std::string id = asked.id.empty() ? new_id() : asked.id;
    const Reply reply = ask_stewards(stewards, path, call_of(asked, id).dump(), within(asked));
    const Json in = Json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !in.is_object()) return told(reply, id);
    int status = good;
    std::vector<std::uint64_t> requests;
    for (const Json& e : in.value("effects", Json::array())) {
        const std::string what = e["what"];
        if (asked.json) continue;
        std::printf("%s", what.c_str());
        if (e.contains("request")) std::printf(" request %llu", e["request"].get<unsigned long long>());
        if (e.contains("about")) std::printf(" %s", e["about"].get<std::string>().c_str());
        if (e.contains("why")) std::printf(": %s", e["why"].get<std::string>().c_str());
        std::printf("\n");
    }
    for (const Json& e : in.value("effects", Json::array())) {
        if (e["what"] == "refused") status = refused;
        if (e["what"] == "asked") requests.push_back(e["request"]);
    }
    if (asked.json) std::printf("%s\n", reply.body.c_str());
    std::fflush(stdout);
    if (!asked.wait || status != good) return status;
    const bool back = path == "/fleet/undo";
    if (back) {
        // What was asked back is told by number only where it ended at once; else it is found by its target.
        const Json state = state_of(stewards);
        if (state.is_object())
            for (const Json& r : state["requests"])
                if (r["stage"] == "returning") requests.push_back(r["request"]);
    }
    return wait_for(stewards, requests, back);
}

int show(const Asked& asked) {
    const Json s = state_of(stewards_of(asked), asked.all);
    if (!s.is_object()) return told({}, "-");
    if (asked.json) return std::printf("%s\n", s.dump().c_str()) < 0;
    if (!s.contains("nodes_counted")) {
        std::fprintf(stderr, "tealcart: the steward is of an earlier version; --json shows what it says\n");
        return unreached;
    }
    const auto number = [](const Json& j) { return static_cast<unsigned long long>(j.get<std::uint64_t>()); };
    std::printf("fleet %s, generation %llu, by steward %llu; ", s["fleet"].get<std::string>().c_str(),
                number(s["generation"]), number(s["steward"]));
    if (number(s["leader"]) == 0)
        std::printf("NO STEWARD LEADS: nothing is granted\n");
    else
        std::printf("steward %llu leads\n", number(s["leader"]));
    if (s["halted"]) std::printf("HALTED: %s\n", s["halted_for"].get<std::string>().c_str());
    if (s["held_for_ms"] > 0)
        std::printf("agreement was interrupted: nothing is granted for another %.1f s\n",
                    s["held_for_ms"].get<double>() / 1000);
    if (s["discovery_silent_ms"] > 0) std::printf("DISCOVERY IS SILENT: all data nodes count as out\n");
    const Json& nodes = s["nodes_counted"];
    const Json& routers = s["routers_counted"];
    std::printf("data nodes: %llu of %llu count as out; routers: %llu of %llu\n", number(nodes["out"]),
                number(nodes["all"]), number(routers["out"]), number(routers["all"]));
    if (!s["requests"].empty()) std::printf("\nrequests\n");
    for (const Json& r : s["requests"]) print_request(r);
    const auto left_out = [&](const Json& listed) {
        if (number(listed["exceptions_left_out"]) > 0)
            std::printf("  and %llu more: fleet status --all\n", number(listed["exceptions_left_out"]));
    };
    if (s["members_listed"]["listed"] == "all") {
        std::printf("\nmembers\n");
    } else {
        std::printf("\nby zone, out of all\n");
        std::set<std::string> zones;
        for (const Json* counted : {&nodes, &routers})
            for (const auto& [zone, of] : (*counted)["zones"].items()) zones.insert(zone);
        const auto share = [&](const Json& counted, const std::string& zone, const char* of) {
            const Json& by_zone = counted["zones"];
            return by_zone.contains(zone) ? number(by_zone[zone][of]) : 0ULL;
        };
        for (const std::string& zone : zones)
            std::printf("  %-16s data nodes %llu of %llu, routers %llu of %llu\n", zone.c_str(),
                        share(nodes, zone, "out"), share(nodes, zone, "all"), share(routers, zone, "out"),
                        share(routers, zone, "all"));
        std::printf("\nmembers that are out, lost, or do not act on generation %llu yet\n",
                    number(s["generation"]));
    }
    for (const Json& m : s["members"]) {
        const double left = m["lease_left_ms"].get<double>() / 1000;
        char lease[32];
        std::snprintf(lease, sizeof lease, "lease %.1f s", left);
        std::printf("  %-16s %-8s zone %-8s version %-8s acts on %-6llu %s%s\n",
                    m["name"].get<std::string>().c_str(), m["role"].get<std::string>().c_str(),
                    m["zone"].get<std::string>().c_str(), m["version"].get<std::string>().c_str(),
                    number(m["acts_on"]),
                    m["left"].get<bool>()   ? "left"
                    : m["lost"].get<bool>() ? "LOST"
                                            : lease,
                    m["out"].get<bool>() ? ", out by agreement" : "");
    }
    left_out(s["members_listed"]);
    std::printf("\ndata nodes that count as out\n");
    for (const Json& n : s["nodes"])
        if (n["counts_as_out"].get<bool>())
            std::printf("  %-16s zone %-8s %s%s\n", n["name"].get<std::string>().c_str(),
                        n["zone"].get<std::string>().c_str(), n["health"].get<std::string>().c_str(),
                        n["out"].get<bool>() ? ", out by agreement" : "");
    left_out(s["nodes_listed"]);
    return good;
}

int change_stewards(const Asked& asked, const char* path) {
    const Json call = {
        {"id", new_id()}, {"asker", asked.asker}, {"requests", {asked.steward}}, {"name", asked.address}};
    const Reply reply = ask_stewards(stewards_of(asked), path, call.dump(), within(asked));
    return reply.status == 200 ? std::puts("done") < 0 : told(reply, "-");
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("what operators ask of a fleet's stewards; docs/fleet.md");
    app.name("tealcart");
    Asked asked;
    if (const char* user = std::getenv("USER")) asked.asker = user;
    if (asked.asker.empty()) asked.asker = "operator";
    const auto of = [&](CLI::App* in, const char* command, const char* what) {
        CLI::App* sub = in->add_subcommand(command, what);
        sub->add_option("--stewards", asked.stewards, "their addresses, with commas")
            ->envname("TEALCART_STEWARDS")
            ->delimiter(',');
        sub->add_option("--file", asked.file, "or the stewards' file")->envname("TEALCART_FLEET_FILE");
        sub->add_option("--asker", asked.asker, "who asks, as it is shown");
        sub->add_option("--within", asked.within_s, "seconds to try for")->check(CLI::Range(0.1, 3600.0));
        return sub;
    };
    const auto targets = [&](CLI::App* sub) {
        sub->add_option("NODE", asked.targets, "data nodes");
        sub->add_option("--zone", asked.zone, "all data nodes of a zone");
        sub->add_option("--router", asked.routers, "query routers");
        sub->add_option("--id", asked.id, "the call's id: the same again is one call");
        sub->add_flag("--wait", asked.wait, "show what it waits for until it is done");
        sub->add_flag("--json", asked.json, "what came of it, as JSON");
    };
    CLI::App* drain = of(&app, "drain", "ask for data nodes or query routers to be let out");
    targets(drain);
    CLI::App* undrain =
        of(&app, "undrain", "let them back; also what has not been granted yet is taken back");
    targets(undrain);
    CLI::App* halt = of(&app, "halt", "grant nothing more; what is out may come back");
    halt->add_option("WHY", asked.why, "the reason, as it is shown")->required();
    CLI::App* resume = of(&app, "resume", "grant again");
    CLI::App* fleet = app.add_subcommand("fleet", "the fleet's state and its members");
    fleet->require_subcommand(1);
    CLI::App* status = of(fleet, "status", "what is agreed, who is out, and what holds requests back");
    status->add_flag("--json", asked.json, "as JSON");
    status->add_flag("--all", asked.all, "list all, also of a great fleet");
    CLI::App* forget = of(fleet, "forget", "a router that is lost and will not come back counts no more");
    forget->add_option("NAME", asked.name, "the member")->required();
    CLI::App* add = of(fleet, "steward-add", "a steward joins; see docs/fleet.md for the order");
    add->add_option("ID", asked.steward, "its id")->required();
    add->add_option("ADDRESS", asked.address, "its 'raft' address")->required();
    CLI::App* remove = of(fleet, "steward-remove", "a steward is taken out");
    remove->add_option("ID", asked.steward, "its id")->required();
    app.require_subcommand(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? good : usage;
    }
    try {
        if ((drain->parsed() || undrain->parsed()) && asked.targets.empty() && asked.routers.empty() &&
            asked.zone.empty()) {
            std::fprintf(stderr, "tealcart: name data nodes, --zone or --router\n");
            return usage;
        }
        if (drain->parsed()) return change(asked, "/fleet/ask");
        if (undrain->parsed()) return change(asked, "/fleet/undo");
        if (halt->parsed()) return change(asked, "/fleet/halt");
        if (resume->parsed()) return change(asked, "/fleet/resume");
        if (status->parsed()) return show(asked);
        if (forget->parsed()) return change(asked, "/fleet/forget");
        if (add->parsed()) return change_stewards(asked, "/fleet/stewards/add");
        return change_stewards(asked, "/fleet/stewards/remove");
    } catch (const HclMistakes& e) {
        std::fprintf(stderr, "%s\n", e.what());
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart: %s\n", e.what());
    }
    return unreached;
}
