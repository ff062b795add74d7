#include "config/router_config_reader.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace tealcart {
namespace {

using Json = nlohmann::json;

const Json& required(const Json& in, const char* key) {
    const auto it = in.is_object() ? in.find(key) : in.end();
    if (!in.is_object() || it == in.end() || it->is_null())
        throw Malformed(std::string("the settings lack '") + key + "'");
    return *it;
}

// An optional number, or `otherwise` where it is absent.
double number(const Json& in, const char* key, double otherwise) {
    const auto it = in.find(key);
    if (it == in.end() || it->is_null()) return otherwise;
    if (!it->is_number()) throw Malformed(std::string("setting '") + key + "' is not a number");
    return it->get<double>();
}
double number(const Json& in, const char* key) {
    required(in, key);
    return number(in, key, 0);
}
Nanos span(const Json& in, const char* key, double otherwise) {
    const double value = number(in, key, otherwise);
    if (!(value >= 0 && value < 1e12)) throw Malformed(std::string("setting '") + key + "' is not a time");
    return std::llround(value * 1e6);
}
Nanos span(const Json& in, const char* key) {
    required(in, key);
    return span(in, key, 0);
}
int whole(const Json& in, const char* key, int least) {
    const double value = number(in, key);
    if (!(value >= least && value <= 1e6) || value != std::floor(value))
        throw Malformed(std::string("setting '") + key + "' is out of range");
    return static_cast<int>(value);
}
bool flag(const Json& in, const char* key) {
    const auto it = in.find(key);
    return it != in.end() && it->is_boolean() && it->get<bool>();
}
std::string text(const Json& in, const char* key, const char* otherwise) {
    const auto it = in.find(key);
    return it != in.end() && it->is_string() ? it->get<std::string>() : otherwise;
}
double of_class(const Json& in, const char* key, std::size_t i, double otherwise) {
    const auto it = in.find(key);
    if (it == in.end() || !it->is_array() || i >= it->size()) return otherwise;
    if (!(*it)[i].is_number()) throw Malformed(std::string("setting '") + key + "' holds no numbers");
    return (*it)[i].get<double>();
}

Effect effect_of(const std::string& name) {
    if (name == "repeatable") return Effect::idempotent;
    if (name == "by_key") return Effect::idempotent_with_key;
    if (name == "once") return Effect::not_idempotent;
    throw Malformed("unknown semantics '" + name + "'");
}

RouterConfig router_config_of(const Json& in) {
    RouterConfig t;
    const Json& extra = required(in, "extra");
    const Json& limits = required(in, "limits");
    const Json& safety = required(in, "safety");
    const Json& services = required(in, "services");
    if (!services.is_array() || services.empty())
        throw Malformed("setting 'services' is not a list of classes");
    for (std::size_t i = 0; i < services.size(); ++i) {
        const Json& s = services[i];
        QueryClassConfig v;
        v.effect = effect_of(text(s, "semantics", ""));
        v.latency_objective = span(s, "promise");
        v.deadline = span(s, "deadline");
        v.idempotency_window = span(s, "repeat_window", 0);
        v.late_weight = number(s, "late_worth", 0);
        v.complete_weight = of_class(extra, "complete_from", i, 1);
        v.min_answer_weight = of_class(extra, "floor_by_class", i, v.complete_weight);
        v.second_step_requests = static_cast<int>(of_class(extra, "second_step", i, 0));
        t.query_classes.push_back(v);
    }
    if (const auto projects = in.find("projects"); projects != in.end() && projects->is_array())
        for (const Json& tenant : *projects)
            t.tenant_quotas.push_back(number(tenant, "allowance_per_s", 1e9));
    t.over_quota_weight = number(in, "over_share_worth", 1);
    t.routers = std::max(1, static_cast<int>(number(in, "balancers", 1)));
    t.round_interval = span(in, "step");
    t.discovery = text(in, "discovery", "push") == "ask" ? Discovery::poll : Discovery::push;
    t.places = whole(extra, "places", 1);
    t.replicas_per_shard = std::min(whole(extra, "width", 1), t.places);
    t.shards = whole(extra, "ranges", 1);
    t.max_attempts = whole(limits, "send_cap", 1);
    const double max_requests_per_call = number(extra, "parts_a_call", 1);
    if (!(max_requests_per_call >= 1 && max_requests_per_call <= 1e6) ||
        max_requests_per_call != std::floor(max_requests_per_call))
        throw Malformed("setting 'parts_a_call' is not a whole number of at least 1");
    t.max_requests_per_call = static_cast<int>(max_requests_per_call);
    t.call_overhead = span(extra, "call_cost", 0);
    t.may_cancel = flag(limits, "may_cancel");
    t.may_hedge = flag(limits, "second_copies");
    t.retry_after = flag(limits, "retry_after");
    if (const auto callers = in.find("callers"); callers != in.end())
        t.retries_marked = flag(*callers, "marks_retry");
    t.max_retry_after = span(limits, "max_retry_after", 0);
    t.drain_grace = span(safety, "drain_grace", 0);
    t.max_poll_interval = span(safety, "ask_within", 0);
    t.slow_start_min_fraction = number(safety, "cold_from", 1);
    t.slow_start_duration = span(safety, "cold", 0);
    t.overload_multiple = number(safety, "tip_multiple", 1);
    t.overload_window = span(safety, "fall", 0);
    t.retry_budget_enabled = safety.contains("budget_window");
    t.retry_budget_free = number(safety, "budget_free", 0);
    t.retry_budget_ratio = number(safety, "resend_ratio", 0);
    t.retry_budget_window = span(safety, "budget_window", 0);
    return t;
}

ConnectionConfig connection_config_of(const Json& in) {
    ConnectionConfig t;
    const Json& limits = required(in, "limits");
    for (const Json& s : required(in, "services")) {
        t.query_classes.push_back(text(s, "name", ""));
        if (t.query_classes.back().empty()) throw Malformed("a service has no name");
        t.max_wait = std::max(t.max_wait, span(s, "deadline"));
    }
    t.connect_timeout = span(limits, "connect_timeout");
    t.idle_close = span(limits, "idle_close");
    t.max_calls_per_connection = whole(limits, "streams_per_conn", 1);
    t.max_in_flight = whole(limits, "most_held", 1);
    t.probing = flag(limits, "probing");
    t.max_requests_per_call = std::max(1, static_cast<int>(number(required(in, "extra"), "parts_a_call", 1)));
    return t;
}

}  // namespace

RouterConfig read_router_config(std::string_view text) {
    try {
        return router_config_of(Json::parse(text));
    } catch (const Json::exception& e) {
        throw Malformed(std::string("the settings can't be read: ") + e.what());
    }
}

ConnectionConfig read_connection_config(std::string_view text) {
    try {
        return connection_config_of(Json::parse(text));
    } catch (const Json::exception& e) {
        throw Malformed(std::string("the settings can't be read: ") + e.what());
    }
}

}  // namespace tealcart
