#include "wire/member_messages.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tealcart {
namespace {

using Json = nlohmann::json;
constexpr Nanos ms = 1'000'000;
constexpr std::int64_t year_ms = 365LL * 24 * 3600 * 1000;
constexpr std::size_t max_name = 128, max_names = 100'000;

const Json* member(const Json& in, const char* key) {
    if (!in.is_object()) return nullptr;
    const auto it = in.find(key);
    return it == in.end() || it->is_null() ? nullptr : &*it;
}

bool take_name(const Json& in, std::string& to) {
    if (!in.is_string()) return false;
    to = in.get_ref<const std::string&>();
    return !to.empty() && to.size() <= max_name &&
           std::all_of(to.begin(), to.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool take_number(const Json& in, const char* key, std::uint64_t& to) {
    const Json* value = member(in, key);
    if (value == nullptr) return true;  // 0 then
    if (!value->is_number_unsigned()) return false;
    to = value->get<std::uint64_t>();
    return true;
}

bool take_span(const Json& in, const char* key, Nanos& to) {
    std::uint64_t span = 0;
    if (!take_number(in, key, span) || span > static_cast<std::uint64_t>(year_ms)) return false;
    to = static_cast<Nanos>(span) * ms;
    return true;
}

Json targets(const std::vector<TargetName>& all) {
    Json list = Json::array();
    for (const TargetName& t : all) list.push_back({t.router ? "router" : "node", t.name});
    return list;
}

bool take_targets(const Json& in, const char* key, std::vector<TargetName>& to) {
    const Json* list = member(in, key);
    if (list == nullptr) return true;
    if (!list->is_array() || list->size() > max_names) return false;
    for (const Json& one : *list) {
        TargetName t;
        if (!one.is_array() || one.size() != 2 || !take_name(one[1], t.name)) return false;
        t.router = one[0] == "router";
        if (!t.router && one[0] != "node") return false;
        to.push_back(std::move(t));
    }
    return true;
}

bool take_names(const Json& in, const char* key, std::vector<std::string>& to) {
    const Json* list = member(in, key);
    if (list == nullptr) return true;
    if (!list->is_array() || list->size() > max_names) return false;
    for (const Json& one : *list)
        if (!take_name(one, to.emplace_back())) return false;
    return true;
}

bool take_text(const Json& in, const char* key, std::string& to, bool needed) {
    const Json* value = member(in, key);
    if (value == nullptr) return !needed;
    return take_name(*value, to);
}

}  // namespace

std::string write_member_call(const MemberCall& c) {
    Json out = {{"name", c.name},
                {"role", c.role},
                {"life", c.incarnation},
                {"acts_on", c.applied_generation},
                {"knows", c.knows},
                {"wait_ms", c.wait / ms},
                {"queries", c.queries},
                {"failed", c.failed},
                {"serve_on_ms", c.serve_on / ms}};
    // What is not stated is left out.
    const auto state = [&out](const char* key, const std::string& value) {
        if (!value.empty()) out[key] = value;
    };
    state("zone", c.zone), state("version", c.version), state("digest", c.digest);
    if (!c.in_flight.empty()) out["in_hand"] = targets(c.in_flight);
    if (!c.silent.empty()) out["silent"] = c.silent;
    if (c.leaves) out["leaves"] = true;
    return out.dump();
}

std::optional<MemberCall> read_member_call(std::string_view body, std::string& wrong) {
    const Json in = Json::parse(body, nullptr, false);
    MemberCall c;
    const auto fail = [&wrong](const char* words) {
        wrong = words;
        return std::nullopt;
    };
    if (in.is_discarded() || !in.is_object()) return fail("the body is no JSON object");
    if (!take_text(in, "name", c.name, true)) return fail("'name' is missing or malformed");
    if (!take_text(in, "role", c.role, true) || (c.role != "router" && c.role != "control"))
        return fail("'role' is neither 'router' nor 'control'");
    if (!take_text(in, "zone", c.zone, false) || !take_text(in, "version", c.version, false) ||
        !take_text(in, "digest", c.digest, false))
        return fail("'zone', 'version' or 'digest' is malformed");
    if (!take_number(in, "life", c.incarnation) || c.incarnation == 0)
        return fail("'life' is missing or no number above 0");
    if (!take_number(in, "acts_on", c.applied_generation) || !take_number(in, "knows", c.knows) ||
        !take_number(in, "queries", c.queries) || !take_number(in, "failed", c.failed))
        return fail("a number is malformed");
    if (!take_span(in, "serve_on_ms", c.serve_on) || !take_span(in, "wait_ms", c.wait))
        return fail("a span is no number of ms up to a year");
    if (!take_targets(in, "in_hand", c.in_flight)) return fail("'in_hand' is malformed");
    if (!take_names(in, "silent", c.silent)) return fail("'silent' is malformed");
    if (const Json* leaves = member(in, "leaves")) {
        if (!leaves->is_boolean()) return fail("'leaves' is no truth value");
        c.leaves = leaves->get<bool>();
    }
    return c;
}

std::string write_member_answer(const MemberAnswer& a) {
    return Json{{"generation", a.generation},
                {"lease_ms", a.lease / ms},
                {"out", targets(a.out)},
                {"halted", a.halted}}
        .dump();
}

std::optional<MemberAnswer> read_member_answer(std::string_view body) {
    const Json in = Json::parse(body, nullptr, false);
    MemberAnswer a;
    const Json* halted = member(in, "halted");
    if (member(in, "generation") == nullptr || !take_number(in, "generation", a.generation) ||
        !take_span(in, "lease_ms", a.lease) || a.lease <= 0 || member(in, "out") == nullptr ||
        !take_targets(in, "out", a.out) || halted == nullptr || !halted->is_boolean())
        return std::nullopt;
    a.halted = halted->get<bool>();
    return a;
}

std::string write_outlived(std::uint64_t last_incarnation) {
    return Json{{"error", "a later life of this name is known"}, {"life", last_incarnation}}.dump();
}

std::optional<std::uint64_t> read_outlived(std::string_view body) {
    const Json in = Json::parse(body, nullptr, false);
    std::uint64_t incarnation = 0;
    if (member(in, "life") == nullptr || !take_number(in, "life", incarnation)) return std::nullopt;
    return incarnation;
}

std::string write_elsewhere(std::string_view leader) {
    return Json{{"error", "another steward leads"}, {"leader", leader}}.dump();
}

std::optional<std::string> read_elsewhere(std::string_view body) {
    const Json in = Json::parse(body, nullptr, false);
    std::string leader;
    if (!take_text(in, "leader", leader, true)) return std::nullopt;
    return leader;
}

}  // namespace tealcart
