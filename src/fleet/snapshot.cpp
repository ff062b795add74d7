// A snapshot is a CBOR map with sorted keys. Members and nodes, which make up nearly all of it, are written
// and read directly, without a JSON document in memory.
#include "fleet/snapshot.hpp"

#include <cstddef>
#include <exception>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "fleet/codec_parts.hpp"
#include "replicated/cbor.hpp"
#include "replicated/codec_error.hpp"
#include "replicated/command_envelope.hpp"

namespace tealcart::fleet {
namespace {

using nlohmann::json;
using replicated::CborReader;
using replicated::CborWriter;
using replicated::CodecError;

// Incremented with every change that an earlier release can't read.
constexpr int snapshot_format_version = 2;
constexpr const char* snapshot_subject = "fleet snapshot";
constexpr const char* members_key = "members";
constexpr const char* nodes_key = "nodes";
constexpr std::size_t node_fields = 5, member_fields = 10, report_fields = 5, target_fields = 2;

void write_nodes(CborWriter& out, const std::map<std::string, Node>& nodes) {
    out.map(nodes.size());
    for (const auto& [name, node] : nodes) {
        out.text(name);
        out.array(node_fields);
        out.text(node.zone);
        out.text(node.kind);
        out.array(node.shards.size());
        for (const std::uint32_t shard : node.shards) out.number(std::uint64_t{shard});
        out.number(static_cast<std::uint64_t>(node.health));
        out.number(node.started_at);
    }
}

std::map<std::string, Node> read_nodes(CborReader in) {
    std::map<std::string, Node> nodes;
    for (std::size_t left = in.map(); left > 0; --left) {
        const std::string name = in.text();
        in.array(node_fields);
        Node& node = nodes.emplace_hint(nodes.end(), name, Node{})->second;
        node.zone = in.text();
        node.kind = in.text();
        node.shards.resize(in.array());
        for (std::uint32_t& shard : node.shards) shard = static_cast<std::uint32_t>(in.unsigned_number());
        node.health = static_cast<Health>(in.unsigned_number());
        node.started_at = in.signed_number();
    }
    return nodes;
}

void write_report(CborWriter& out, const MemberReport& report) {
    out.array(report_fields);
    out.number(report.applied_generation);
    out.array(report.in_flight.size());
    for (const Target& target : report.in_flight) {
        out.array(target_fields);
        out.flag(target.router);
        out.text(target.name);
    }
    out.array(report.unresponsive.size());
    for (const std::string& node : report.unresponsive) out.text(node);
    out.number(report.queries);
    out.number(report.failed);
}

MemberReport read_report(CborReader& in) {
    MemberReport report;
    in.array(report_fields);
    report.applied_generation = in.unsigned_number();
    for (std::size_t left = in.array(); left > 0; --left) {
        in.array(target_fields);
        const bool router = in.flag();
        report.in_flight.insert({router, in.text()});
    }
    for (std::size_t left = in.array(); left > 0; --left) report.unresponsive.insert(in.text());
    report.queries = in.unsigned_number();
    report.failed = in.unsigned_number();
    return report;
}

void write_members(CborWriter& out, const std::map<std::string, Member>& members) {
    out.map(members.size());
    for (const auto& [name, member] : members) {
        out.text(name);
        out.array(member_fields);
        out.number(static_cast<std::uint64_t>(member.role));
        out.text(member.zone);
        out.text(member.version);
        out.text(member.digest);
        out.number(member.incarnation);
        out.number(member.lease_grace);
        out.number(member.lease_until);
        out.flag(member.lost);
        out.flag(member.left);
        write_report(out, member.report);
    }
}

std::map<std::string, Member> read_members(CborReader in) {
    std::map<std::string, Member> members;
    for (std::size_t left = in.map(); left > 0; --left) {
        const std::string name = in.text();
        in.array(member_fields);
        Member& member = members.emplace_hint(members.end(), name, Member{})->second;
        member.role = static_cast<Role>(in.unsigned_number());
        member.zone = in.text();
        member.version = in.text();
        member.digest = in.text();
        member.incarnation = in.unsigned_number();
        member.lease_grace = in.signed_number();
        member.lease_until = in.signed_number();
        member.lost = in.flag();
        member.left = in.flag();
        member.report = read_report(in);
    }
    return members;
}

json json_of(const RemovalQueue::Requests& requests) {
    json list = json::array();
    for (const auto& [id, request] : requests)
        list.push_back({id, request.requested_by, json_of(request.target), static_cast<int>(request.stage),
                        request.fence, request.generation, request.blocked_by, request.unacknowledged});
    return list;
}

RemovalQueue::Requests read_requests(const json& in) {
    RemovalQueue::Requests requests;
    for (const json& item : in)
        requests[item.at(0)] = {item.at(1),
                                read_target(item.at(2)),
                                static_cast<Stage>(item.at(3).get<int>()),
                                item.at(4),
                                item.at(5),
                                item.at(6),
                                item.at(7).get<std::set<std::string>>()};
    return requests;
}

json json_of(const RemovedTargets& removed) {
    json list = json::array();
    for (const auto& [target, request] : removed) list.push_back({json_of(target), request});
    return list;
}

RemovedTargets read_removed(const json& in) {
    RemovedTargets removed;
    for (const json& item : in) removed[read_target(item.at(0))] = item.at(1);
    return removed;
}

json json_of(const replicated::CommandHistory<Effect>& history) {
    json list = json::array();
    for (const std::string& id : history.ids()) {
        json effects = json::array();
        for (const Effect& effect : *history.find(id)) {
            const EffectRecord record = record_of(effect);
            effects.push_back({static_cast<int>(record.code), record.request, record.fence, record.generation,
                               record.subject, record.reason});
        }
        list.push_back({id, std::move(effects)});
    }
    return list;
}

replicated::CommandHistory<Effect> read_history(const json& in) {
    replicated::CommandHistory<Effect> history;
    for (const json& command : in) {
        Effects effects;
        for (const json& record : command.at(1))
            effects.push_back(effect_of({static_cast<EffectCode>(record.at(0).get<int>()), record.at(1),
                                         record.at(2), record.at(3), record.at(4), record.at(5)}));
        history.record(command.at(0), std::move(effects));
    }
    return history;
}

SnapshotScalars read_scalars(const json& in) {
    SnapshotScalars scalars;
    scalars.generation = in.at("numbers").at(0);
    scalars.last_fence = in.at("numbers").at(1);
    scalars.last_request = in.at("numbers").at(2);
    scalars.halted = in.at("halted");
    scalars.halt_reason = in.at("halted_for");
    scalars.now = in.at("times").at(0);
    scalars.hold_until = in.at("times").at(1);
    return scalars;
}

// Everything except members and nodes.
json document_of(const SnapshotView& view) {
    const SnapshotScalars& scalars = view.scalars;
    return {{"form", snapshot_format_version},
            {"budgets", json_of(view.budgets)},
            {"requests", json_of(view.requests)},
            {"out", json_of(view.removed)},
            {"remembered", json_of(view.history)},
            {"numbers", {scalars.generation, scalars.last_fence, scalars.last_request}},
            {"halted", scalars.halted},
            {"halted_for", scalars.halt_reason},
            {"tripped", view.tripped},
            {"silent", view.unresponsive},
            {"times", {scalars.now, scalars.hold_until}}};
}

// The parts of a snapshot: the document, and readers positioned at the tables.
struct Parts {
    json document = json::object();
    std::map<std::string, CborReader> tables;  // members and nodes
};

Parts find_parts(const std::vector<std::uint8_t>& bytes) {
    Parts parts;
    CborReader in(bytes.data(), bytes.size());
    for (std::size_t left = in.map(); left > 0; --left) {
        const std::string key = in.text();
        const std::uint8_t* const begin = in.position();
        in.skip();
        if (key == members_key || key == nodes_key)
            parts.tables.insert_or_assign(key,
                                          CborReader(begin, static_cast<std::size_t>(in.position() - begin)));
        else
            parts.document[key] = json::from_cbor(begin, in.position());
    }
    replicated::check_format_version(parts.document, snapshot_format_version, snapshot_subject);
    if (parts.tables.size() != 2 || in.position() != bytes.data() + bytes.size())
        throw CodecError(CodecError::Fault::malformed, "a part is missing, or bytes are left over");
    return parts;
}

Snapshot read_parts(const Parts& parts) {
    const json& document = parts.document;
    Snapshot snapshot;
    snapshot.members = read_members(parts.tables.at(members_key));
    snapshot.nodes = read_nodes(parts.tables.at(nodes_key));
    snapshot.budgets = read_budgets(document.at("budgets"));
    snapshot.requests = read_requests(document.at("requests"));
    snapshot.removed = read_removed(document.at("out"));
    snapshot.history = read_history(document.at("remembered"));
    snapshot.tripped = document.at("tripped").get<std::set<std::string>>();
    snapshot.unresponsive = document.at("silent").get<std::set<std::string>>();
    snapshot.scalars = read_scalars(document);
    return snapshot;
}

}  // namespace

std::vector<std::uint8_t> write_snapshot(const SnapshotView& view) {
    const json document = document_of(view);
    CborWriter out;
    out.map(document.size() + 2);
    bool tables_written = false;
    for (const auto& [key, part] : document.items()) {
        if (key > members_key && !std::exchange(tables_written, true)) {
            out.text(members_key);
            write_members(out, view.members);
            out.text(nodes_key);
            write_nodes(out, view.nodes);
        }
        out.text(key);
        json::to_cbor(part, out.bytes());
    }
    return std::move(out.bytes());
}

Snapshot read_snapshot(const std::vector<std::uint8_t>& bytes) {
    try {
        return read_parts(find_parts(bytes));
    } catch (const CodecError& e) {
        if (e.fault() == CodecError::Fault::unsupported_format) throw;
        throw replicated::malformed(snapshot_subject, e.what());
    } catch (const std::exception& e) {
        throw replicated::malformed(snapshot_subject, e.what());
    }
}

}  // namespace tealcart::fleet
