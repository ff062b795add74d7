#include "service/startup_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "log/log.hpp"
#include "wire/endpoint_list_codec.hpp"

namespace tealcart {
namespace {

using Json = nlohmann::json;

const Json& required_member(const Json& in, const char* key) {
    const auto it = in.is_object() ? in.find(key) : in.end();
    if (!in.is_object() || it == in.end())
        throw ConfigError(std::string("the configuration lacks '") + key + "'");
    return *it;
}

std::string required_text(const Json& in, const char* key) {
    const Json& value = required_member(in, key);
    if (!value.is_string())
        throw ConfigError(std::string("'") + key + "' in the configuration is " + value.dump() +
                          "; expected a string");
    return value.get<std::string>();
}

HostPort required_address(const Json& in, const char* key) {
    const std::string address = required_text(in, key);
    const auto found = parse_host_port(address);
    if (!found)
        throw ConfigError(std::string("'") + key + "' in the configuration is \"" + address +
                          "\"; expected HOST:PORT, such as 127.0.0.1:8080");
    return *found;
}

std::uint64_t required_hexadecimal(const Json& in, const char* key) {
    const std::string digits = required_text(in, key);
    std::uint64_t number = 0;
    const char* const last = digits.data() + digits.size();
    const auto [end, failure] = std::from_chars(digits.data(), last, number, 16);
    if (failure != std::errc() || end != last)
        throw ConfigError(std::string("'") + key + "' in the configuration is \"" + digits +
                          "\"; expected a hexadecimal number of up to 64 bits");
    return number;
}

constexpr std::size_t min_sockets = 64;
constexpr std::size_t max_memory_mb = 1 << 24, bytes_per_mb = 1'000'000;

void read_limits(const Json& limits, StartupConfig& startup) {
    const Json& sockets = required_member(limits, "sockets");
    if (!sockets.is_number_unsigned() || sockets.get<std::uint64_t>() < min_sockets)
        throw ConfigError("'limits.sockets' in the configuration is " + sockets.dump() +
                          "; expected an integer of at least " + std::to_string(min_sockets));
    startup.max_descriptors = sockets.get<std::size_t>();
    if (const auto memory = limits.find("memory_mb"); memory != limits.end() && memory->is_number_unsigned())
        startup.memory_bytes = std::min(memory->get<std::size_t>(), max_memory_mb) * bytes_per_mb;
}

void read_settings(const Json& settings, StartupConfig& startup) {
    startup.settings_text = settings.dump();
    startup.config = read_router_config(startup.settings_text);
    startup.connection_config = read_connection_config(startup.settings_text);
    startup.endpoint_list_limit = endpoint_list_size_limit(startup.config, startup.memory_bytes);
    startup.manager_response_limit = manager_response_size_limit(startup.config, startup.memory_bytes);
    startup.two_phase_configs.resize(startup.connection_config.query_classes.size());
    for (std::size_t i = 0; i < startup.config.query_classes.size(); ++i)
        if (startup.config.query_classes[i].second_step_requests > 0)
            throw ConfigError("query class '" + startup.connection_config.query_classes[i] +
                              "' has a second step, which the service does not support");
}

EndpointList read_cached_endpoints(const Json& known, const StartupConfig& startup) {
    const std::string known_text = known.dump();
    if (known_text.size() > startup.endpoint_list_limit.bytes) {
        log_line(
            "'known' in the configuration has %zu bytes, over the limit of %zu bytes (%s); it is ignored",
            known_text.size(), startup.endpoint_list_limit.bytes, startup.endpoint_list_limit.reason.c_str());
        return {};
    }
    auto list = read_endpoint_list(known_text, static_cast<std::uint32_t>(startup.config.places));
    if (!list) throw ConfigError("'known' in the configuration is not a list of data nodes");
    return std::move(*list);
}

}  // namespace

StartupConfig read_startup_config(const std::string& configuration) {
    const Json in = Json::parse(configuration, nullptr, false);
    if (in.is_discarded()) throw ConfigError("the configuration is not JSON");
    StartupConfig startup;
    startup.name = required_text(in, "name");
    startup.listen = required_address(in, "listen");
    startup.discovery = required_address(in, "discovery");
    startup.seed = required_hexadecimal(in, "seed");
    read_limits(required_member(in, "limits"), startup);
    read_settings(required_member(in, "settings"), startup);
    if (const auto known = in.find("known"); known != in.end() && !known->is_null())
        startup.cached_endpoints = read_cached_endpoints(*known, startup);
    startup.cached_endpoints.full = true;
    return startup;
}

StartupConfig read_startup_config_file(const std::string& path) {
    if (path.empty())
        throw ConfigError("no configuration is given: set ROUTER_CONFIG or --config to its path");
    std::ifstream file(path);
    if (!file) throw ConfigError("failed to read the configuration " + path);
    return read_startup_config({std::istreambuf_iterator<char>(file), {}});
}

void apply_operator_config(StartupConfig& startup, OperatorConfig operators) {
    apply_call_config(operators.calls, startup.config, startup.connection_config);
    startup.two_phase_configs =
        two_phase_by_query_class(operators, startup.config, startup.connection_config.query_classes);
    startup.operator_config = std::move(operators);
}

}  // namespace tealcart
