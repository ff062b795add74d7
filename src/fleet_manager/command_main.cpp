// The operators' commands: drain, undrain, halt, resume, fleet, config. Each call has an id, so that one that
// is said again, to whichever manager, is one.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <thread>

#include "fleet_manager/fleet_manager_config.hpp"
#include "fleet_manager/manager_client.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::manager;
using Json = nlohmann::ordered_json;

constexpr auto look_every = std::chrono::milliseconds(200), one_look = std::chrono::milliseconds(1000);
enum Status : int { good = 0, unreached = 1, usage = 2, refused = 3 };

struct Asked {
    std::vector<std::string> managers, targets, routers;
    std::string file, zone, asker, id, why, name, address;
    std::uint64_t manager = 0, version = 0;
    std::optional<std::uint64_t> based_on;
    std::vector<std::string> entries, removed;
    double within_s = 10;
    bool wait = false, json = false, all = false;
};

std::vector<HostPort> managers_of(const Asked& asked) {
    std::vector<HostPort> all;
    for (const std::string& text : asked.managers) {
        const auto at = parse_host_port(text);
        if (!at) throw ConfigError("'" + text + "' is no address with a port");
        all.push_back(*at);
    }
    if (all.empty() && !asked.file.empty())
        for (const auto& [id, s] : read_fleet_manager_file(asked.file).managers) all.push_back(s.http);
    if (all.empty()) throw ConfigError("name the stewards: --stewards, TEALCART_STEWARDS or --file");
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

// The state as the manager that leads has it; where none says that it leads, as any has it. Null: none
// answers.
Json state_of(const std::vector<HostPort>& managers, const std::string& path = "/fleet/status") {
    boost::asio::io_context io(1);
    Json found;
    for (const HostPort& at : managers) {
        const Reply reply = query_manager(io, at, path, "", one_look);
        Json state = Json::parse(reply.body, nullptr, false);
        if (reply.status != 200 || !state.is_object()) continue;
        if (state["leader"] == state["steward"]) return state;
        found = std::move(state);
    }
    // The one that leads may not be among those that were named.
    if (found.is_object())
        if (const auto leader = parse_host_port(found["leader_at"].get<std::string>())) {
            const Reply reply = query_manager(io, *leader, path, "", one_look);
            Json state = Json::parse(reply.body, nullptr, false);
            if (reply.status == 200 && state.is_object()) return state;
        }
    return found;
}

// Until each of the requests is done (or, on the way back, has ended). Ctrl-C leaves them as they are.
int wait_for(const std::vector<HostPort>& managers, const std::vector<std::uint64_t>& requests, bool back) {
    std::string before;
    while (true) {
        const Json state = state_of(managers);
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
    const std::vector<HostPort> managers = managers_of(asked);
    const std::string id = asked.id.empty() ? new_id() : asked.id;
    const Reply reply = query_managers(managers, path, call_of(asked, id).dump(), within(asked));
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
        const Json state = state_of(managers);
        if (state.is_object())
            for (const Json& r : state["requests"])
                if (r["stage"] == "returning") requests.push_back(r["request"]);
    }
    return wait_for(managers, requests, back);
}

int show(const Asked& asked) {
    const Json s = state_of(managers_of(asked), asked.all ? "/fleet/status?all=1" : "/fleet/status");
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

int change_managers(const Asked& asked, const char* path) {
    const Json call = {
        {"id", new_id()}, {"asker", asked.asker}, {"requests", {asked.manager}}, {"name", asked.address}};
    const Reply reply = query_managers(managers_of(asked), path, call.dump(), within(asked));
    return reply.status == 200 ? std::puts("done") < 0 : told(reply, "-");
}

std::uint64_t number_of(const Json& in, const char* key) { return in.value(key, std::uint64_t{0}); }

void print_reach(const Json& s) {
    const Json& reach = s["reach"];
    std::printf("version %llu: in force at %llu of %llu members that live\n",
                static_cast<unsigned long long>(number_of(s, "version")),
                static_cast<unsigned long long>(number_of(reach, "acting")),
                static_cast<unsigned long long>(number_of(reach, "live")));
    const auto names = [&reach](const char* key, const char* what) {
        if (!reach.contains(key) || reach[key].empty()) return;
        std::printf("  %s:", what);
        for (const Json& name : reach[key]) std::printf(" %s", name.get<std::string>().c_str());
        std::printf("\n");
    };
    names("behind", "behind");
    names("refusing", "refuses it");
    names("unheard", "unheard, may go by an older version");
    if (s["halted"]) std::printf("  HALTED: %s\n", s["halted_for"].get<std::string>().c_str());
}

// Until every member that lives acts on it. Where it is refused and halts, it can't come to that by itself.
int wait_for_version(const std::vector<HostPort>& managers, std::uint64_t version) {
    std::string before;
    while (true) {
        const Json s = state_of(managers, "/fleet/changes");
        if (s.is_object() && s["leader"] == s["steward"] && number_of(s, "version") >= version) {
            if (const std::string now = s["reach"].dump() + s["halted"].dump(); now != before) {
                print_reach(s);
                std::fflush(stdout);
                before = now;
            }
            if (number_of(s, "in_force") >= version) {
                std::printf("version %llu is in force\n", static_cast<unsigned long long>(version));
                return good;
            }
            if (s["halted"] && number_of(s, "halted_version") == version) return refused;
        }
        std::this_thread::sleep_for(look_every);
    }
}

int publish(const Asked& asked, const std::string& path, Json call) {
    const std::vector<HostPort> managers = managers_of(asked);
    const std::string id = asked.id.empty() ? new_id() : asked.id;
    call["id"] = id;
    call["asker"] = asked.asker;
    std::string body;
    try {
        body = call.dump();
    } catch (const Json::exception&) {
        throw ConfigError("what is to be set is no text in UTF-8");
    }
    const Reply reply = query_managers(managers, path, body, within(asked));
    const Json in = Json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !in.is_object()) return told(reply, id);
    if (asked.json) std::printf("%s\n", reply.body.c_str());
    int status = good;
    std::uint64_t version = 0;
    for (const Json& e : in.value("effects", Json::array())) {
        const std::string what = e["what"];
        if (what == "published") version = number_of(e, "version");
        if (what == "refused") status = refused;
        // The others are of members, and have a time of their own.
        if (asked.json || (what != "published" && what != "refused" && what != "resumed")) continue;
        std::printf("%s", what.c_str());
        if (what == "published") std::printf(" version %llu", static_cast<unsigned long long>(version));
        if (e.contains("why")) std::printf(": %s", e["why"].get<std::string>().c_str());
        std::printf("\n");
    }
    std::fflush(stdout);
    return asked.wait && status == good && version > 0 ? wait_for_version(managers, version) : status;
}

int set_entries(const Asked& asked) {
    Json call = {{"set", Json::object()}};
    for (const std::string& entry : asked.entries) {
        const auto at = entry.find('=');
        if (at == 0 || at == entry.npos) {
            std::fprintf(stderr, "tealcart: '%s' is no KEY=FILE\n", entry.c_str());
            return usage;
        }
        const std::string path = entry.substr(at + 1);
        std::ifstream file(path, std::ios::binary);
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        if (!file) throw ConfigError("the file " + path + " can't be read");
        call["set"][entry.substr(0, at)] = text;
    }
    if (!asked.removed.empty()) call["removed"] = asked.removed;
    if (asked.based_on) call["based_on"] = *asked.based_on;
    return publish(asked, "/fleet/publish", std::move(call));
}

int show_entry(const Asked& asked) {
    const Json call = {{"id", new_id()}, {"key", asked.name}};
    const Reply reply = query_managers(managers_of(asked), "/fleet/entry", call.dump(), within(asked));
    const Json in = Json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !in.is_object()) return told(reply, "-");
    if (asked.json) return std::printf("%s\n", reply.body.c_str()) < 0;
    const std::string value = in["value"];
    return std::fwrite(value.data(), 1, value.size(), stdout) != value.size();
}

int show_changes(const Asked& asked) {
    if (!asked.name.empty()) return show_entry(asked);
    const Json s = state_of(managers_of(asked), "/fleet/changes");
    if (!s.is_object()) return told(query_managers(managers_of(asked), "/fleet/changes", "", one_look), "-");
    if (asked.json) return std::printf("%s\n", s.dump().c_str()) < 0;
    if (number_of(s, "leader") == 0) std::printf("NO STEWARD LEADS: nothing is published\n");
    print_reach(s);
    std::printf("in force everywhere: version %llu\n",
                static_cast<unsigned long long>(number_of(s, "in_force")));
    if (number_of(s, "held_for_ms") > 0)
        std::printf("agreement was interrupted: nothing is told to be in force for another %.1f s\n",
                    s["held_for_ms"].get<double>() / 1000);
    std::printf("\nversions\n");
    for (const Json& v : s["history"])
        std::printf("  %6llu  %4llu entries by %s%s\n",
                    static_cast<unsigned long long>(number_of(v, "version")),
                    static_cast<unsigned long long>(number_of(v, "entries")),
                    v["asker"].get<std::string>().c_str(), v["in_force"] ? ", in force" : "");
    std::printf("\nkeys\n");
    for (const Json& key : s["keys"])
        std::printf("  %s  %llu bytes\n", key[0].get<std::string>().c_str(),
                    static_cast<unsigned long long>(key[1].get<std::uint64_t>()));
    return good;
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
        sub->add_option("--stewards", asked.managers, "their addresses, with commas")
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
    add->add_option("ID", asked.manager, "its id")->required();
    add->add_option("ADDRESS", asked.address, "its 'raft' address")->required();
    CLI::App* remove = of(fleet, "steward-remove", "a steward is taken out");
    remove->add_option("ID", asked.manager, "its id")->required();
    CLI::App* config = app.add_subcommand("config", "a fleet's changes of configuration; docs/changes.md");
    config->require_subcommand(1);
    const auto publishing = [&](CLI::App* sub) {
        sub->add_option("--id", asked.id, "the call's id: the same again is one call");
        sub->add_flag("--wait", asked.wait, "show how far it has come until it is in force");
        sub->add_flag("--json", asked.json, "what came of it, as JSON");
        return sub;
    };
    CLI::App* set = publishing(of(config, "set", "publish entries, as one version"));
    set->add_option("KEY=FILE", asked.entries, "an entry, and the file with its text");
    set->add_option("--remove", asked.removed, "an entry that goes");
    set->add_option("--based-on", asked.based_on, "refuse it where another version is the latest");
    CLI::App* shown = of(config, "show", "the latest version and how far it has come, or one entry");
    shown->add_option("KEY", asked.name, "the entry");
    shown->add_flag("--json", asked.json, "as JSON");
    CLI::App* back = publishing(of(config, "back", "a further version with the content of an earlier one"));
    back->add_option("VERSION", asked.version, "the earlier one")->required();
    CLI::App* again = of(config, "resume", "publish again after a halt by refusals");
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
        if (set->parsed() && asked.entries.empty() && asked.removed.empty()) {
            std::fprintf(stderr, "tealcart: name KEY=FILE or --remove KEY\n");
            return usage;
        }
        if (set->parsed()) return set_entries(asked);
        if (shown->parsed()) return show_changes(asked);
        if (back->parsed()) return publish(asked, "/fleet/back", {{"to", asked.version}});
        if (again->parsed()) return publish(asked, "/fleet/changes-resume", Json::object());
        if (drain->parsed()) return change(asked, "/fleet/ask");
        if (undrain->parsed()) return change(asked, "/fleet/undo");
        if (halt->parsed()) return change(asked, "/fleet/halt");
        if (resume->parsed()) return change(asked, "/fleet/resume");
        if (status->parsed()) return show(asked);
        if (forget->parsed()) return change(asked, "/fleet/forget");
        if (add->parsed()) return change_managers(asked, "/fleet/stewards/add");
        return change_managers(asked, "/fleet/stewards/remove");
    } catch (const HclErrors& e) {
        std::fprintf(stderr, "%s\n", e.what());
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart: %s\n", e.what());
    }
    return unreached;
}
