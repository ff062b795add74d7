// Encodes and decodes the commands of configuration changes for the replicated log. The body of each kind is
// an array; the order of its elements is the stored format.
#include <nlohmann/json.hpp>
#include <utility>

#include "changes/codec_parts.hpp"
#include "changes/commands.hpp"
#include "replicated/command_envelope.hpp"

namespace tealcart::changes {
namespace {

using nlohmann::json;

constexpr int command_format_version = 1;
constexpr const char* command_subject = "configuration change command";

json json_of(const std::vector<MemberReport>& reports) {
    json list = json::array();
    for (const MemberReport& report : reports)
        list.push_back({report.name, report.incarnation, report.lease_grace, report.applied_version,
                        report.refused_version, report.refusal_reason});
    return list;
}
std::vector<MemberReport> read_member_reports(const json& in) {
    std::vector<MemberReport> reports;
    for (const json& item : in)
        reports.push_back({item.at(0), item.at(1), item.at(2), item.at(3), item.at(4), item.at(5)});
    return reports;
}

using Incarnations = std::vector<std::pair<std::string, std::uint64_t>>;

json json_of(const Incarnations& members) {
    json list = json::array();
    for (const auto& [name, incarnation] : members) list.push_back(json::array({name, incarnation}));
    return list;
}
Incarnations read_incarnations(const json& in) {
    Incarnations members;
    for (const json& item : in) members.emplace_back(item.at(0), item.at(1));
    return members;
}

json json_of(const RelayReport& report) {
    return json::array({report.relay, report.zone, report.incarnation, report.number, report.full,
                        json_of(report.joined), json_of(report.left), json_of(report.lost), report.lowest,
                        json_of(report.exceptions)});
}
RelayReport read_relay_report(const json& in) {
    RelayReport report;
    report.relay = in.at(0);
    report.zone = in.at(1);
    report.incarnation = in.at(2);
    report.number = in.at(3);
    report.full = in.at(4);
    report.joined = read_member_reports(in.at(5));
    report.left = read_incarnations(in.at(6));
    report.lost = read_incarnations(in.at(7));
    report.lowest = in.at(8);
    report.exceptions = read_member_reports(in.at(9));
    return report;
}

Publish read_publish(const json& in) {
    Publish command{in.at(0), read_entries(in.at(1)), in.at(2).get<std::set<std::string>>(), {}};
    if (!in.at(3).is_null()) command.based_on = in.at(3).get<std::uint64_t>();
    return command;
}

ReportBatch read_batch(const json& in) {
    ReportBatch batch;
    for (const json& report : in) batch.reports.push_back(read_relay_report(report));
    return batch;
}

struct KindAndBody {
    const char* kind;
    json body;
};

struct ToKindAndBody {
    KindAndBody operator()(const Publish& c) const {
        const json based_on = c.based_on ? json(*c.based_on) : json(nullptr);
        return {"publish", json::array({c.requested_by, json_of_entries(c.set), c.removed, based_on})};
    }
    KindAndBody operator()(const Rollback& c) const {
        return {"go_back", json::array({c.requested_by, c.to})};
    }
    KindAndBody operator()(const Resume&) const { return {"resume", json::array()}; }
    KindAndBody operator()(const ReportBatch& c) const {
        json list = json::array();
        for (const RelayReport& report : c.reports) list.push_back(json_of(report));
        return {"words", std::move(list)};
    }
    KindAndBody operator()(const Forget& c) const { return {"forget", json::array({c.name})}; }
    KindAndBody operator()(const SetLimits& c) const {
        return {"allow", tealcart::changes::json_of(c.limits)};
    }
    KindAndBody operator()(const Tick&) const { return {"tick", json::array()}; }
};

decltype(Command::payload) read_body(const std::string& kind, const json& in) {
    if (kind == "publish") return read_publish(in);
    if (kind == "go_back") return Rollback{in.at(0), in.at(1)};
    if (kind == "resume") return Resume{};
    if (kind == "words") return read_batch(in);
    if (kind == "forget") return Forget{in.at(0)};
    if (kind == "allow") return SetLimits{read_limits(in)};
    if (kind == "tick") return Tick{};
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

}  // namespace tealcart::changes
