#include "wire/member_messages.hpp"

#include "wire/json_fields.hpp"

namespace tealcart {
namespace {

using Json = nlohmann::json;
using Presence = JsonFields::Presence;

constexpr Nanos millisecond = 1'000'000;

Json write_targets(const std::vector<TargetName>& targets) {
    Json list = Json::array();
    for (const TargetName& target : targets) list.push_back({target.router ? "router" : "node", target.name});
    return list;
}

bool read_target(const Json& item, TargetName& to) {
    if (!item.is_array() || item.size() != 2) return false;
    auto name = name_of(item[1]);
    if (!name || (item[0] != "router" && item[0] != "node")) return false;
    to = {item[0] == "router", std::move(*name)};
    return true;
}

bool read_name(const Json& item, std::string& to) {
    auto name = name_of(item);
    if (!name) return false;
    to = std::move(*name);
    return true;
}

}  // namespace

std::string write_member_call(const MemberCall& call) {
    Json out = {{"name", call.name},
                {"role", call.role},
                {"life", call.incarnation},
                {"acts_on", call.applied_generation},
                {"knows", call.known_generation},
                {"wait_ms", call.wait / millisecond},
                {"queries", call.queries},
                {"failed", call.failed},
                {"serve_on_ms", call.lease_grace / millisecond}};
    // Empty fields are left out.
    if (!call.zone.empty()) out["zone"] = call.zone;
    if (!call.version.empty()) out["version"] = call.version;
    if (!call.digest.empty()) out["digest"] = call.digest;
    if (!call.in_flight.empty()) out["in_hand"] = write_targets(call.in_flight);
    if (!call.unresponsive_nodes.empty()) out["silent"] = call.unresponsive_nodes;
    if (call.leaving) out["leaves"] = true;
    return out.dump();
}

ReadResult<MemberCall> read_member_call(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json);
    MemberCall call;
    in.name("name", call.name, Presence::required, "'name' is missing or malformed");
    constexpr const char* bad_role = "'role' is neither 'router' nor 'control'";
    in.name("role", call.role, Presence::required, bad_role);
    if (call.role != "router" && call.role != "control") in.fail("role", bad_role);
    for (const auto& [key, to] :
         {std::pair("zone", &call.zone), {"version", &call.version}, {"digest", &call.digest}})
        in.name(key, *to, Presence::optional, "'zone', 'version' or 'digest' is malformed");
    in.positive_number("life", call.incarnation, "'life' is missing or no number above 0");
    for (const auto& [key, to] : {std::pair("acts_on", &call.applied_generation),
                                  {"knows", &call.known_generation},
                                  {"queries", &call.queries},
                                  {"failed", &call.failed}})
        in.number(key, *to, "a number is malformed");
    in.duration("serve_on_ms", call.lease_grace, "a span is no number of ms up to a year");
    in.duration("wait_ms", call.wait, "a span is no number of ms up to a year");
    in.list("in_hand", call.in_flight, read_target, "'in_hand' is malformed");
    in.list("silent", call.unresponsive_nodes, read_name, "'silent' is malformed");
    in.flag("leaves", call.leaving, "'leaves' is no truth value");
    return std::move(in).result(std::move(call));
}

std::string write_member_answer(const MemberAnswer& answer) {
    return Json{{"generation", answer.generation},
                {"lease_ms", answer.lease / millisecond},
                {"out", write_targets(answer.drained)},
                {"halted", answer.halted}}
        .dump();
}

ReadResult<MemberAnswer> read_member_answer(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json);
    MemberAnswer answer;
    for (const char* required : {"generation", "out", "halted"})
        if (in.find(required) == nullptr) in.fail(required, "a field is missing");
    in.number("generation", answer.generation, "'generation' is no number");
    in.duration("lease_ms", answer.lease, "'lease_ms' is no number of ms up to a year");
    if (answer.lease <= 0) in.fail("lease_ms", "'lease_ms' is missing or 0");
    in.list("out", answer.drained, read_target, "'out' is malformed");
    in.flag("halted", answer.halted, "'halted' is no truth value");
    return std::move(in).result(std::move(answer));
}

std::string write_superseded(std::uint64_t last_incarnation) {
    return Json{{"error", "a later life of this name is known"}, {"life", last_incarnation}}.dump();
}

std::optional<std::uint64_t> read_superseded(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json);
    std::uint64_t last_incarnation = 0;
    in.number("life", last_incarnation, "'life' is no number");
    if (!in.ok() || in.find("life") == nullptr) return std::nullopt;
    return last_incarnation;
}

std::string write_not_leader(std::string_view leader) {
    return Json{{"error", "another steward leads"}, {"leader", leader}}.dump();
}

std::optional<std::string> read_not_leader(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json);
    std::string leader;
    in.name("leader", leader, Presence::required, "'leader' is missing or malformed");
    if (!in.ok()) return std::nullopt;
    return leader;
}

}  // namespace tealcart
