#include "service/startup_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "log/log.hpp"
#include "wire/bodies.hpp"

namespace tealcart {
namespace {

using Json = nlohmann::json;

const Json& required(const Json& in, const char* key) {
    const auto it = in.is_object() ? in.find(key) : in.end();
    if (!in.is_object() || it == in.end())
        throw ConfigError(std::string("the configuration lacks '") + key + "'");
    return *it;
}

std::string text(const Json& in, const char* key) {
    const Json& value = required(in, key);
    if (!value.is_string()) throw ConfigError(std::string("'") + key + "' in the configuration is no string");
    return value.get<std::string>();
}

HostPort address(const Json& in, const char* key) {
    const auto found = parse_host_port(text(in, key));
    if (!found)
        throw ConfigError(std::string("'") + key + "' in the configuration is no address with a port");
    return *found;
}

}  // namespace

StartupConfig read_startup_config(const std::string& configuration) {
    const Json in = Json::parse(configuration, nullptr, false);
    if (in.is_discarded()) throw ConfigError("the configuration is not JSON");
    StartupConfig launch;
    launch.name = text(in, "name");
    launch.listen = address(in, "listen");
    launch.discovery = address(in, "discovery");
    const std::string seed = text(in, "seed");
    const auto [end, ec] = std::from_chars(seed.data(), seed.data() + seed.size(), launch.seed, 16);
    if (ec != std::errc() || end != seed.data() + seed.size())
        throw ConfigError("'seed' in the configuration is no hexadecimal number of 64 bits");
    const Json& sockets = required(required(in, "limits"), "sockets");
    if (!sockets.is_number_unsigned() || sockets.get<std::uint64_t>() < 64)
        throw ConfigError("'limits.sockets' in the configuration is no number of at least 64");
    launch.sockets = sockets.get<std::size_t>();
    const Json& limits = in["limits"];
    if (const auto memory = limits.find("memory_mb"); memory != limits.end() && memory->is_number_unsigned())
        launch.memory = std::min<std::size_t>(memory->get<std::size_t>(), 1 << 24) * 1'000'000;
    launch.settings = required(in, "settings").dump();
    launch.config = read_router_config(launch.settings);
    launch.connection_config = read_connection_config(launch.settings);
    launch.list_bound = bound_of_list(launch.config, launch.memory);
    launch.agreed_bound = bound_of_agreed(launch.config, launch.memory);
    launch.phases.resize(launch.connection_config.query_classes.size());
    for (const QueryClassConfig& v : launch.config.query_classes)
        if (v.second_step_requests > 0)
            throw ConfigError("a vertical has a second step, which is not served on sockets yet");
    if (const auto known = in.find("known"); known != in.end() && !known->is_null()) {
        const std::string stated = known->dump();
        if (stated.size() > launch.list_bound.bytes) {
            log_line("'known' in the configuration, %zu bytes, is over its bound of %zu: %s; it is left out",
                     stated.size(), launch.list_bound.bytes, launch.list_bound.why.c_str());
        } else {
            auto list = read_endpoint_list(stated, static_cast<std::uint32_t>(launch.config.places));
            if (!list) throw ConfigError("'known' in the configuration is no list of data nodes");
            launch.known = std::move(*list);
        }
    }
    launch.known.full = true;
    return launch;
}

StartupConfig read_startup_config_file(const std::string& path) {
    if (path.empty()) throw ConfigError("ROUTER_CONFIG is not set");
    std::ifstream file(path);
    if (!file) throw ConfigError("the configuration " + path + " can't be read");
    return read_startup_config({std::istreambuf_iterator<char>(file), {}});
}

void follow_operators(StartupConfig& launch, OperatorConfig operators) {
    apply_call_config(operators.calls, launch.config, launch.connection_config);
    launch.phases =
        two_phase_by_query_class(operators, launch.config, launch.connection_config.query_classes);
    launch.operators = std::move(operators);
}

}  // namespace tealcart
