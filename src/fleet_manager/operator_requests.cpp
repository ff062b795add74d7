#include "fleet_manager/operator_requests.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tealcart::manager {
namespace {

using Json = nlohmann::ordered_json;
constexpr Nanos ms = 1'000'000;

bool take_text(const Json& in, const char* key, std::string& to, std::size_t longest) {
    const auto it = in.find(key);
    if (it == in.end()) return true;
    if (!it->is_string()) return false;
    to = it->get<std::string>();
    return to.size() <= longest &&
           std::all_of(to.begin(), to.end(), [](char c) { return c >= ' ' && c != 0x7f; });
}

Json out_of(const fleet::Target& t) { return {t.router ? "router" : "node", t.name}; }

}  // namespace

const char* word_of(fleet::EffectCode code) {
    static const char* const words[] = {"asked",  "refused", "granted", "done",  "returned", "ended",
                                        "halted", "resumed", "over",    "stale", "forgotten"};
    return words[static_cast<int>(code)];
}

const char* word_of(fleet::Health health) {
    static const char* const words[] = {"whole", "draining", "cold", "gone", "unknown"};
    return words[static_cast<int>(health)];
}

std::optional<OperatorCall> read_operator_call(std::string_view body, std::string& wrong) {
    const Json in = Json::parse(body, nullptr, false);
    const auto fail = [&wrong](const char* words) {
        wrong = words;
        return std::nullopt;
    };
    if (in.is_discarded() || !in.is_object()) return fail("the body is no JSON object");
    OperatorCall call;
    if (!take_text(in, "id", call.id, 128) || call.id.empty()) return fail("'id' is missing or malformed");
    if (!take_text(in, "asker", call.asker, 128)) return fail("'asker' is malformed");
    if (!take_text(in, "why", call.why, 512)) return fail("'why' is malformed");
    if (!take_text(in, "zone", call.zone, 128)) return fail("'zone' is malformed");
    if (!take_text(in, "name", call.name, 128)) return fail("'name' is malformed");
    if (const auto targets = in.find("targets"); targets != in.end()) {
        if (!targets->is_array() || targets->size() > 1000) return fail("'targets' is no list of up to 1000");
        for (const Json& one : *targets) {
            if (!one.is_array() || one.size() != 2 || !one[0].is_string() || !one[1].is_string() ||
                (one[0] != "node" && one[0] != "router") || one[1].get<std::string>().size() > 128)
                return fail("a target is no [\"node\" or \"router\", NAME]");
            call.targets.push_back({one[0] == "router", one[1]});
        }
    }
    if (const auto requests = in.find("requests"); requests != in.end()) {
        if (!requests->is_array() || requests->size() > 1000)
            return fail("'requests' is no list of up to 1000");
        for (const Json& one : *requests) {
            if (!one.is_number_unsigned()) return fail("a request is no number");
            call.requests.push_back(one);
        }
    }
    return call;
}

std::string write_effects(const fleet::Effects& effects) {
    Json list = Json::array();
    for (const fleet::Effect& effect : effects) {
        const fleet::EffectRecord e = fleet::record_of(effect);
        Json one = {{"what", word_of(e.code)}};
        if (e.request > 0) one["request"] = e.request;
        if (e.fence > 0) one["fence"] = e.fence;
        one["generation"] = e.generation;
        if (!e.subject.empty()) one["about"] = e.subject;
        if (!e.reason.empty()) one["why"] = e.reason;
        list.push_back(std::move(one));
    }
    return Json{{"effects", list}}.dump();
}

std::string write_status(const fleet::FleetState& state, const ManagerFigures& figures, bool all) {
    Json out = {{"fleet", figures.fleet},
                {"steward", figures.id},
                {"leader", figures.leader},
                {"leader_at", figures.leader_address},
                {"applied", figures.applied},
                {"generation", state.generation()},
                {"halted", state.halted()},
                {"halted_for", state.halted_for()},
                {"held_for_ms", std::max<Nanos>(0, state.hold_until() - state.now()) / ms},
                {"discovery_silent_ms", figures.discovery_silent / ms}};
    Json requests = Json::array(), members = Json::array(), nodes = Json::array();
    for (const auto& [id, r] : state.requests()) {
        Json one = {
            {"request", id},          {"target", out_of(r.target)}, {"stage", fleet::stage_name(r.stage)},
            {"asker", r.asker},       {"fence", r.fence},           {"generation", r.generation},
            {"held_by", r.blocked_by}};
        one["waits_for"] = r.stage == fleet::Stage::granted ? state.waits_for(r) : std::vector<std::string>{};
        one["unheard"] = r.unacknowledged;
        requests.push_back(std::move(one));
    }
    // All of a list, or those that are not as they should be.
    const auto list = [&](const auto& from, Json& to, const auto& exception, const auto& write) {
        const bool each = all || from.size() <= max_listed_whole;
        std::size_t left_out = 0;
        for (const auto& [name, one] : from) {
            if (!each && !exception(name, one)) continue;
            if (!each && to.size() >= max_exceptions)
                ++left_out;
            else
                to.push_back(write(name, one));
        }
        return Json{{"listed", each ? "all" : "exceptions"}, {"exceptions_left_out", left_out}};
    };
    const auto member_exception = [&](const std::string& name, const fleet::Member& m) {
        return m.lost || m.left || m.word.applied_generation != state.generation() || state.out(true, name);
    };
    const auto write_member = [&](const std::string& name, const fleet::Member& m) {
        return Json({{"name", name},
                     {"role", m.role == fleet::Role::router ? "router" : "control"},
                     {"zone", m.zone},
                     {"version", m.version},
                     {"digest", m.digest},
                     {"life", m.incarnation},
                     {"acts_on", m.word.applied_generation},
                     {"lease_left_ms", (m.lease_until - state.now()) / ms},
                     {"lost", m.lost},
                     {"left", m.left},
                     {"out", state.out(true, name)},
                     {"queries", m.word.queries},
                     {"failed", m.word.failed}});
    };
    const auto node_exception = [&](const std::string& name, const fleet::Node&) {
        return state.counts_as_out(false, name);
    };
    const auto write_node = [&](const std::string& name, const fleet::Node& n) {
        return Json({{"name", name},
                     {"zone", n.zone},
                     {"kind", n.kind},
                     {"health", word_of(n.health)},
                     {"out", state.out(false, name)},
                     {"counts_as_out", state.counts_as_out(false, name)}});
    };
    const auto counts_of = [](const fleet::Counts::Share& share, const auto& zones) {
        Json by_zone = Json::object();
        for (const auto& [zone, s] : zones) by_zone[zone] = {{"all", s.all}, {"out", s.out}};
        return Json{{"all", share.all}, {"out", share.out}, {"zones", std::move(by_zone)}};
    };
    const fleet::Counts& counts = state.counts();
    out["members_listed"] = list(state.members(), members, member_exception, write_member);
    out["nodes_listed"] = list(state.nodes(), nodes, node_exception, write_node);
    out["routers_counted"] = counts_of(counts.routers, counts.router_zones);
    out["nodes_counted"] = counts_of(counts.nodes, counts.node_zones);
    out["requests"] = std::move(requests);
    out["members"] = std::move(members);
    out["nodes"] = std::move(nodes);
    return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

fleet::Join join_of(const MemberCall& c) {
    return {c.name,    c.role == "router" ? fleet::Role::router : fleet::Role::control,
            c.zone,    c.version,
            c.digest,  c.incarnation,
            c.serve_on};
}

fleet::Renew renew_of(const MemberCall& c) {
    fleet::Renew r{c.name,
                   c.incarnation,
                   {c.applied_generation, {}, {c.silent.begin(), c.silent.end()}, c.queries, c.failed}};
    for (const TargetName& t : c.in_flight) r.word.in_flight.insert({t.router, t.name});
    return r;
}

MemberAnswer answer_of(const fleet::FleetState& state) {
    MemberAnswer a{state.generation(), state.budgets().lease, {}, state.halted()};
    for (const auto& [target, request] : state.all_out()) a.out.push_back({target.router, target.name});
    return a;
}

}  // namespace tealcart::manager
