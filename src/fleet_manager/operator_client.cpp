#include "fleet_manager/operator_client.hpp"

#include <cstdio>
#include <random>

#include "fleet_manager/fleet_manager_config.hpp"

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::ordered_json;

constexpr auto state_timeout = std::chrono::milliseconds(1000);  // per fleet manager

// The state as one fleet manager has it; null if it does not answer with one.
Json fetch_state_of(boost::asio::io_context& io, const HostPort& manager, const std::string& path) {
    return body_of(query_manager(io, manager, path, "", state_timeout));
}

}  // namespace

std::chrono::milliseconds ClientOptions::timeout() const {
    return std::chrono::milliseconds(static_cast<long long>(timeout_s * 1000));
}

std::string ClientOptions::call_id() const { return id.empty() ? new_call_id() : id; }

std::vector<HostPort> ClientOptions::manager_addresses() const {
    std::vector<HostPort> addresses;
    for (const std::string& text : managers) {
        const auto address = parse_host_port(text);
        if (!address)
            throw ConfigError("the fleet manager address '" + text + "' is invalid; expected HOST:PORT");
        addresses.push_back(*address);
    }
    if (addresses.empty() && !file.empty())
        for (const auto& [manager_id, manager] : read_fleet_manager_file(file).managers)
            addresses.push_back(manager.http);
    if (addresses.empty())
        throw ConfigError(
            "no fleet manager is given; expected --stewards, TEALCART_STEWARDS, --file or "
            "TEALCART_FLEET_FILE");
    return addresses;
}

std::string new_call_id() {
    std::random_device random;
    char text[40];
    std::snprintf(text, sizeof text, "%08x%08x%08x%08x", random(), random(), random(), random());
    return text;
}

Json body_of(const Reply& reply) {
    if (reply.status != 200) return nullptr;
    Json body = Json::parse(reply.body, nullptr, false);
    return body.is_object() ? body : Json(nullptr);
}

int report_failure(const Reply& reply, const std::string& id) {
    const Json body = Json::parse(reply.body, nullptr, false);
    const std::string reason = body.is_object() ? body.value("error", "") : "";
    if (reply.status != 0) {
        std::fprintf(stderr, "tealcart: %s\n", reason.c_str());
        return exit_refused;
    }
    std::fprintf(stderr, "tealcart: no fleet manager served the request in time%s%s%s%s\n",
                 reason.empty() ? "" : ": ", reason.c_str(), id.empty() ? "" : "; retry with --id ",
                 id.c_str());
    return exit_unreachable;
}

Json fetch_state(const std::vector<HostPort>& managers, const std::string& path) {
    boost::asio::io_context io(1);
    Json found;
    for (const HostPort& manager : managers) {
        Json state = fetch_state_of(io, manager, path);
        if (!state.is_object()) continue;
        if (is_leader_state(state)) return state;
        found = std::move(state);
    }
    if (!found.is_object()) return found;
    // The leader may not be among the given addresses.
    if (const auto leader = parse_host_port(text_of(found, "leader_at"))) {
        Json state = fetch_state_of(io, *leader, path);
        if (state.is_object()) return state;
    }
    return found;
}

bool is_leader_state(const Json& state) {
    return state.is_object() && state.value("leader", Json()) == state.value("steward", Json());
}

unsigned long long number_of(const Json& object, const char* key) {
    return object.value(key, std::uint64_t{0});
}

std::string text_of(const Json& object, const char* key) { return object.at(key).get<std::string>(); }

int print_json(const Json& json) { return std::printf("%s\n", json.dump().c_str()) < 0; }

}  // namespace tealcart::fleet_manager
