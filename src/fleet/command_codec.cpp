// Encodes and decodes the fleet's commands for the replicated log. The body of each kind is an array; the
// order of its elements is the stored format.
#include <nlohmann/json.hpp>
#include <utility>

#include "fleet/codec_parts.hpp"
#include "fleet/commands.hpp"
#include "replicated/command_envelope.hpp"

namespace tealcart::fleet {
namespace {

using nlohmann::json;

constexpr int command_format_version = 1;
constexpr const char* command_subject = "fleet command";

json json_of_node(const Node& node) {
    return {node.zone, node.kind, node.shards, static_cast<int>(node.health), node.started_at};
}
Node read_node(const json& in) {
    return {in.at(0), in.at(1), in.at(2).get<std::vector<std::uint32_t>>(),
            static_cast<Health>(in.at(3).get<int>()), in.at(4)};
}

json json_of_nodes(const std::map<std::string, Node>& nodes) {
    json all = json::object();
    for (const auto& [name, node] : nodes) all[name] = json_of_node(node);
    return all;
}
std::map<std::string, Node> read_nodes(const json& in) {
    std::map<std::string, Node> all;
    for (const auto& [name, node] : in.items()) all[name] = read_node(node);
    return all;
}

json json_of_report(const MemberReport& report) {
    json in_flight = json::array();
    for (const Target& target : report.in_flight) in_flight.push_back(json_of(target));
    return {report.applied_generation, std::move(in_flight), report.unresponsive, report.queries,
            report.failed};
}
MemberReport read_report(const json& in) {
    MemberReport report{in.at(0), {}, in.at(2).get<std::set<std::string>>(), in.at(3), in.at(4)};
    for (const json& target : in.at(1)) report.in_flight.insert(read_target(target));
    return report;
}

json json_of_join(const Join& join) {
    return {
        join.name,       static_cast<int>(join.role), join.zone, join.version, join.digest, join.incarnation,
        join.lease_grace};
}
Join read_join(const json& in) {
    return {in.at(0), static_cast<Role>(in.at(1).get<int>()), in.at(2), in.at(3), in.at(4), in.at(5),
            in.at(6)};
}

json json_of_renew(const Renew& renew) {
    return {renew.name, renew.incarnation, json_of_report(renew.report)};
}
Renew read_renew(const json& in) { return {in.at(0), in.at(1), read_report(in.at(2))}; }

ReportBatch read_batch(const json& in) {
    ReportBatch batch;
    for (const json& join : in.at(0)) batch.joins.push_back(read_join(join));
    for (const json& renew : in.at(1)) batch.renewals.push_back(read_renew(renew));
    return batch;
}

struct KindAndBody {
    const char* kind;
    json body;
};

struct ToKindAndBody {
    KindAndBody operator()(const Join& c) const { return {"join", json_of_join(c)}; }
    KindAndBody operator()(const Renew& c) const { return {"renew", json_of_renew(c)}; }
    KindAndBody operator()(const Leave& c) const { return {"leave", json::array({c.name, c.incarnation})}; }
    KindAndBody operator()(const Forget& c) const { return {"forget", json::array({c.name})}; }
    KindAndBody operator()(const EndpointsObserved& c) const {
        return {"nodes", json::array({json_of_nodes(c.nodes), c.full, c.removed})};
    }
    KindAndBody operator()(const RequestRemoval& c) const {
        return {"ask", json::array({c.requested_by, json_of(c.target)})};
    }
    KindAndBody operator()(const UndoRemoval& c) const { return {"undo", json::array({c.request})}; }
    KindAndBody operator()(const Halt& c) const { return {"halt", json::array({c.reason})}; }
    KindAndBody operator()(const Resume&) const { return {"resume", json::array()}; }
    KindAndBody operator()(const Tick&) const { return {"tick", json::array()}; }
    KindAndBody operator()(const SetBudgets& c) const { return {"allow", json_of(c.budgets)}; }
    KindAndBody operator()(const ReportBatch& c) const {
        json joins = json::array();
        json renewals = json::array();
        for (const Join& join : c.joins) joins.push_back(json_of_join(join));
        for (const Renew& renew : c.renewals) renewals.push_back(json_of_renew(renew));
        return {"words", json::array({std::move(joins), std::move(renewals)})};
    }
};

decltype(Command::payload) read_body(const std::string& kind, const json& in) {
    if (kind == "join") return read_join(in);
    if (kind == "renew") return read_renew(in);
    if (kind == "leave") return Leave{in.at(0), in.at(1)};
    if (kind == "forget") return Forget{in.at(0)};
    if (kind == "nodes")
        return EndpointsObserved{read_nodes(in.at(0)), in.at(1), in.at(2).get<std::set<std::string>>()};
    if (kind == "ask") return RequestRemoval{in.at(0), read_target(in.at(1))};
    if (kind == "undo") return UndoRemoval{in.at(0)};
    if (kind == "halt") return Halt{in.at(0)};
    if (kind == "resume") return Resume{};
    if (kind == "tick") return Tick{};
    if (kind == "allow") return SetBudgets{read_budgets(in)};
    if (kind == "words") return read_batch(in);
    throw replicated::unknown_command(kind);
}

}  // namespace

std::vector<std::uint8_t> write_command(const Command& command) {
    auto [kind, body] = std::visit(ToKindAndBody{}, command.payload);
    return replicated::write_envelope({command.id, command.proposed_at, kind, std::move(body)},
                                      command_format_version);
}

Command read_command(const std::uint8_t* bytes, std::size_t size) {
    try {
        const auto envelope = replicated::read_envelope(bytes, size, command_format_version, command_subject);
        return {envelope.id, envelope.proposed_at, read_body(envelope.kind, envelope.body)};
    } catch (const json::exception& e) {
        throw replicated::malformed(command_subject, e.what());
    }
}

}  // namespace tealcart::fleet
