#include "fleet_manager/config_command.hpp"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>

#include "config/operator_config.hpp"

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* changes_path = "/fleet/changes";

void print_names(const Json& rollout, const char* key, const char* title) {
    if (!rollout.contains(key) || rollout[key].empty()) return;
    std::printf("  %s:", title);
    for (const Json& name : rollout[key]) std::printf(" %s", name.get<std::string>().c_str());
    std::printf("\n");
}

void print_rollout(const Json& state) {
    const Json& rollout = state["reach"];
    std::printf("version %llu: in force at %llu of %llu live members\n", number_of(state, "version"),
                number_of(rollout, "acting"), number_of(rollout, "live"));
    print_names(rollout, "behind", "behind");
    print_names(rollout, "refusing", "refuses it");
    print_names(rollout, "unheard", "unacknowledged, may act on an older version");
    if (state["halted"]) std::printf("  HALTED: %s\n", text_of(state, "halted_for").c_str());
}

// Polls until every live member acts on the version, or publishing has been halted because of it: a halt ends
// only by another command.
int wait_for_version(const std::vector<HostPort>& managers, std::uint64_t version) {
    std::string printed;
    while (true) {
        const Json state = fetch_state(managers, changes_path);
        if (is_leader_state(state) && number_of(state, "version") >= version) {
            if (const std::string current = state["reach"].dump() + state["halted"].dump();
                current != printed) {
                print_rollout(state);
                std::fflush(stdout);
                printed = current;
            }
            if (number_of(state, "in_force") >= version) {
                std::printf("version %llu is in force\n", static_cast<unsigned long long>(version));
                return exit_ok;
            }
            if (state["halted"] && number_of(state, "halted_version") == version) return exit_refused;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

std::string body_text(const Json& call) {
    try {
        return call.dump();
    } catch (const Json::exception&) {
        throw ConfigError("the request is not valid UTF-8; expected UTF-8 in keys, values and --asker");
    }
}

// Prints only effects of the request itself; effects on members are printed by `config show`.
void print_effect(const Json& effect) {
    const std::string what = text_of(effect, "what");
    if (what != "published" && what != "refused" && what != "resumed") return;
    std::printf("%s", what.c_str());
    if (what == "published") std::printf(" version %llu", number_of(effect, "version"));
    if (effect.contains("why")) std::printf(": %s", text_of(effect, "why").c_str());
    std::printf("\n");
}

// Sends the request and prints its effects. Returns the exit status.
int run(const ClientOptions& client, const ConfigOptions& options, const std::string& path, Json call) {
    const std::vector<HostPort> managers = client.manager_addresses();
    const std::string id = client.call_id();
    call["id"] = id;
    call["asker"] = client.requested_by;
    const Reply reply = query_managers(managers, path, body_text(call), client.timeout());
    const Json body = body_of(reply);
    if (!body.is_object()) return report_failure(reply, id);
    if (client.json) std::printf("%s\n", reply.body.c_str());
    int status = exit_ok;
    std::uint64_t version = 0;
    for (const Json& effect : body.value("effects", Json::array())) {
        if (effect["what"] == "published") version = number_of(effect, "version");
        if (effect["what"] == "refused") status = exit_refused;
        if (!client.json) print_effect(effect);
    }
    std::fflush(stdout);
    const bool wait = options.wait && status == exit_ok && version > 0;
    return wait ? wait_for_version(managers, version) : status;
}

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ConfigError("failed to read the file " + path);
    return text;
}

int show_entry(const ClientOptions& client, const std::string& key) {
    const Json call = {{"id", new_call_id()}, {"key", key}};
    const Reply reply =
        query_managers(client.manager_addresses(), "/fleet/entry", call.dump(), client.timeout());
    const Json body = body_of(reply);
    if (!body.is_object()) return report_failure(reply, "");
    if (client.json) return std::printf("%s\n", reply.body.c_str()) < 0;
    const std::string value = text_of(body, "value");
    return std::fwrite(value.data(), 1, value.size(), stdout) != value.size();
}

void print_changes(const Json& state) {
    if (number_of(state, "leader") == 0) std::printf("NO FLEET MANAGER LEADS: nothing can be published\n");
    print_rollout(state);
    std::printf("in force everywhere: version %llu\n", number_of(state, "in_force"));
    if (number_of(state, "held_for_ms") > 0)
        std::printf("agreement was interrupted: no version is reported in force for another %.1f s\n",
                    state["held_for_ms"].get<double>() / 1000);
    std::printf("\nversions\n");
    for (const Json& version : state["history"])
        std::printf("  %6llu  %4llu entries by %s%s\n", number_of(version, "version"),
                    number_of(version, "entries"), text_of(version, "asker").c_str(),
                    version["in_force"] ? ", in force" : "");
    std::printf("\nkeys\n");
    for (const Json& key : state["keys"])
        std::printf("  %s  %llu bytes\n", key[0].get<std::string>().c_str(),
                    key[1].get<unsigned long long>());
}

}  // namespace

int set_entries(const ClientOptions& client, const ConfigOptions& options) {
    if (options.entries.empty() && options.removed.empty()) {
        std::fprintf(stderr, "tealcart: nothing to publish; expected KEY=FILE or --remove KEY\n");
        return exit_usage;
    }
    Json call = {{"set", Json::object()}};
    for (const std::string& entry : options.entries) {
        const auto separator = entry.find('=');
        if (separator == 0 || separator == entry.npos) {
            std::fprintf(stderr, "tealcart: the argument '%s' is invalid; expected KEY=FILE\n",
                         entry.c_str());
            return exit_usage;
        }
        call["set"][entry.substr(0, separator)] = read_file(entry.substr(separator + 1));
    }
    if (!options.removed.empty()) call["removed"] = options.removed;
    if (options.based_on) call["based_on"] = *options.based_on;
    return run(client, options, "/fleet/publish", std::move(call));
}

int show_changes(const ClientOptions& client, const ConfigOptions& options) {
    if (!options.key.empty()) return show_entry(client, options.key);
    const std::vector<HostPort> managers = client.manager_addresses();
    const Json state = fetch_state(managers, changes_path);
    if (!state.is_object()) {
        // One more request, for the error to report, such as a file without a `changes` block.
        constexpr auto timeout = std::chrono::milliseconds(1000);
        return report_failure(query_managers(managers, changes_path, "", timeout), "");
    }
    if (client.json) return print_json(state);
    print_changes(state);
    return exit_ok;
}

int roll_back(const ClientOptions& client, const ConfigOptions& options) {
    return run(client, options, "/fleet/back", {{"to", options.version}});
}

int resume_publishing(const ClientOptions& client, const ConfigOptions& options) {
    return run(client, options, "/fleet/changes-resume", Json::object());
}

}  // namespace tealcart::fleet_manager
