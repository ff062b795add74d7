#include "config/router_config_reader.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace tealcart {
namespace {

using Json = nlohmann::json;

constexpr double nanos_per_ms = 1e6;
constexpr double max_duration_ms = 1e12;
constexpr int max_integer = 1'000'000;
constexpr double unlimited_quota = 1e9;  // queries per second

ConfigError wrong_setting(const std::string& key, const Json& value, const std::string& problem) {
    return {key, value.dump(), "setting '" + key + "' " + problem};
}

// Returns the member of `object`, or a null pointer if it is absent or JSON's null.
const Json* find(const Json& object, const char* key) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

const Json& required(const Json& object, const char* key) {
    const Json* value = object.is_object() ? find(object, key) : nullptr;
    if (value == nullptr) throw ConfigError(key, "", std::string("setting '") + key + "' is missing");
    return *value;
}

double as_number(const Json& value, const char* key) {
    if (!value.is_number()) throw wrong_setting(key, value, "is " + value.dump() + "; expected a number");
    return value.get<double>();
}

double optional_number(const Json& object, const char* key, double fallback) {
    const Json* value = find(object, key);
    return value == nullptr ? fallback : as_number(*value, key);
}

double required_number(const Json& object, const char* key) { return as_number(required(object, key), key); }

// Converts a duration from the settings, where it is in fractional milliseconds.
Nanos as_duration(double milliseconds, const char* key) {
    if (!(milliseconds >= 0 && milliseconds < max_duration_ms))
        throw wrong_setting(
            key, milliseconds,
            "is " + Json(milliseconds).dump() + "; expected a duration from 0 to below 1e12 ms");
    return std::llround(milliseconds * nanos_per_ms);
}

Nanos optional_duration(const Json& object, const char* key, double fallback_ms) {
    return as_duration(optional_number(object, key, fallback_ms), key);
}

Nanos required_duration(const Json& object, const char* key) {
    return as_duration(required_number(object, key), key);
}

int required_integer(const Json& object, const char* key, int min) {
    const double value = required_number(object, key);
    if (!(value >= min && value <= max_integer) || value != std::floor(value))
        throw wrong_setting(key, value,
                            "is " + Json(value).dump() + "; expected an integer from " + std::to_string(min) +
                                " to " + std::to_string(max_integer));
    return static_cast<int>(value);
}

// Returns false if the setting is absent or not a boolean.
bool flag(const Json& object, const char* key) {
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

// Returns the fallback if the setting is absent or not a string.
std::string text(const Json& object, const char* key, const char* fallback) {
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : fallback;
}

// Returns an element of a list with one number per query class, or the fallback if the list is too short.
double number_of_class(const Json& object, const char* key, std::size_t query_class, double fallback) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_array() || query_class >= found->size()) return fallback;
    const Json& value = (*found)[query_class];
    if (!value.is_number())
        throw wrong_setting(key, value, "has " + value.dump() + " as an element; expected numbers");
    return value.get<double>();
}

Effect read_effect(const std::string& semantics) {
    if (semantics == "repeatable") return Effect::idempotent;
    if (semantics == "by_key") return Effect::idempotent_with_key;
    if (semantics == "once") return Effect::not_idempotent;
    throw ConfigError(
        "semantics", semantics,
        "setting 'semantics' is \"" + semantics + "\"; expected one of \"repeatable\", \"by_key\", \"once\"");
}

int read_max_requests_per_call(const Json& extra) {
    constexpr const char* key = "parts_a_call";
    const double value = optional_number(extra, key, 1);
    if (!(value >= 1 && value <= max_integer) || value != std::floor(value))
        throw wrong_setting(
            key, value,
            "is " + Json(value).dump() + "; expected an integer from 1 to " + std::to_string(max_integer));
    return static_cast<int>(value);
}

QueryClassConfig read_query_class(const Json& service, const Json& extra, std::size_t index) {
    QueryClassConfig config;
    config.effect = read_effect(text(service, "semantics", ""));
    config.latency_objective = required_duration(service, "promise");
    config.deadline = required_duration(service, "deadline");
    config.idempotency_window = optional_duration(service, "repeat_window", 0);
    config.late_weight = optional_number(service, "late_worth", 0);
    config.complete_weight = number_of_class(extra, "complete_from", index, 1);
    config.min_answer_weight = number_of_class(extra, "floor_by_class", index, config.complete_weight);
    config.second_step_requests = static_cast<int>(number_of_class(extra, "second_step", index, 0));
    return config;
}

void read_query_classes(const Json& services, const Json& extra, RouterConfig& config) {
    if (!services.is_array() || services.empty())
        throw wrong_setting("services", services,
                            "is " + services.dump() + "; expected a non-empty list of query classes");
    for (std::size_t i = 0; i < services.size(); ++i)
        config.query_classes.push_back(read_query_class(services[i], extra, i));
}

void read_tenants(const Json& settings, RouterConfig& config) {
    const auto tenants = settings.find("projects");
    if (tenants != settings.end() && tenants->is_array())
        for (const Json& tenant : *tenants)
            config.tenant_quotas.push_back(optional_number(tenant, "allowance_per_s", unlimited_quota));
    config.over_quota_weight = optional_number(settings, "over_share_worth", 1);
}

void read_extra(const Json& extra, RouterConfig& config) {
    config.places = required_integer(extra, "places", 1);
    config.replicas_per_shard = std::min(required_integer(extra, "width", 1), config.places);
    config.shards = required_integer(extra, "ranges", 1);
    config.max_requests_per_call = read_max_requests_per_call(extra);
    config.call_overhead = optional_duration(extra, "call_cost", 0);
}

void read_limits(const Json& limits, RouterConfig& config) {
    config.max_attempts = required_integer(limits, "send_cap", 1);
    config.may_cancel = flag(limits, "may_cancel");
    config.may_hedge = flag(limits, "second_copies");
    config.sends_retry_after = flag(limits, "retry_after");
    config.max_retry_after = optional_duration(limits, "max_retry_after", 0);
}

void read_safety(const Json& safety, RouterConfig& config) {
    config.drain_grace = optional_duration(safety, "drain_grace", 0);
    config.max_poll_interval = optional_duration(safety, "ask_within", 0);
    config.slow_start_min_fraction = optional_number(safety, "cold_from", 1);
    config.slow_start_duration = optional_duration(safety, "cold", 0);
    config.overload_multiple = optional_number(safety, "tip_multiple", 1);
    config.overload_window = optional_duration(safety, "fall", 0);
    config.retry_budget_enabled = safety.contains("budget_window");
    config.retry_budget_base = optional_number(safety, "budget_free", 0);
    config.retry_budget_ratio = optional_number(safety, "resend_ratio", 0);
    config.retry_budget_window = optional_duration(safety, "budget_window", 0);
}

RouterConfig to_router_config(const Json& settings) {
    const Json& extra = required(settings, "extra");
    const Json& limits = required(settings, "limits");
    const Json& safety = required(settings, "safety");
    RouterConfig config;
    read_query_classes(required(settings, "services"), extra, config);
    read_tenants(settings, config);
    config.routers = std::max(1, static_cast<int>(optional_number(settings, "balancers", 1)));
    config.round_interval = required_duration(settings, "step");
    config.discovery = text(settings, "discovery", "push") == "ask" ? Discovery::poll : Discovery::push;
    read_extra(extra, config);
    read_limits(limits, config);
    if (const auto callers = settings.find("callers"); callers != settings.end())
        config.retries_marked = flag(*callers, "marks_retry");
    read_safety(safety, config);
    return config;
}

ConnectionConfig to_connection_config(const Json& settings) {
    ConnectionConfig config;
    const Json& limits = required(settings, "limits");
    for (const Json& service : required(settings, "services")) {
        config.query_classes.push_back(text(service, "name", ""));
        if (config.query_classes.back().empty())
            throw ConfigError("name", "", "an element of 'services' has no name; expected a string");
        config.max_wait = std::max(config.max_wait, required_duration(service, "deadline"));
    }
    config.connect_timeout = required_duration(limits, "connect_timeout");
    config.idle_close = required_duration(limits, "idle_close");
    config.max_calls_per_connection = required_integer(limits, "streams_per_conn", 1);
    config.max_in_flight = required_integer(limits, "most_held", 1);
    config.probing = flag(limits, "probing");
    const double max_requests_per_call = optional_number(required(settings, "extra"), "parts_a_call", 1);
    config.max_requests_per_call = std::max(1, static_cast<int>(max_requests_per_call));
    return config;
}

template <typename Read>
auto read_settings(std::string_view text, Read read) {
    try {
        return read(Json::parse(text));
    } catch (const Json::exception& error) {
        throw ConfigError(std::string("the settings can't be read: ") + error.what());
    }
}

}  // namespace

RouterConfig read_router_config(std::string_view text) { return read_settings(text, to_router_config); }

ConnectionConfig read_connection_config(std::string_view text) {
    return read_settings(text, to_connection_config);
}

}  // namespace tealcart
