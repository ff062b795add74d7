// A snapshot is a CBOR map of arrays; the order of the elements of an array is the stored format.
#include "changes/snapshot.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "changes/codec_parts.hpp"
#include "replicated/codec_error.hpp"
#include "replicated/command_envelope.hpp"

namespace tealcart::changes {
namespace {

using nlohmann::json;
using replicated::CodecError;

// Incremented with every change that an earlier release can't read.
constexpr int snapshot_format_version = 1;
constexpr const char* snapshot_subject = "configuration change snapshot";

json json_of(const DocumentChange& change) {
    return json::array({json_of_entries(change.set), change.removed});
}
DocumentChange read_change(const json& in) {
    return {read_entries(in.at(0)), in.at(1).get<std::set<std::string>>()};
}

json json_of(const std::deque<KeptVersion>& kept) {
    json list = json::array();
    for (const KeptVersion& version : kept)
        list.push_back({version.version, version.published_at, version.requested_by, json_of(version.forward),
                        json_of(version.back), version.digest});
    return list;
}
std::deque<KeptVersion> read_kept(const json& in) {
    std::deque<KeptVersion> kept;
    for (const json& item : in)
        kept.push_back({item.at(0), item.at(1), item.at(2), read_change(item.at(3)), read_change(item.at(4)),
                        item.at(5)});
    return kept;
}

json json_of(const Member& member) {
    json attachments = json::array();
    for (const RelayAttachment& attachment : member.attachments)
        attachments.push_back(json::array({attachment.relay, attachment.exception}));
    return {member.incarnation,     member.reported_version,
            member.refused_version, member.refusal_emitted,
            member.refusal_reason,  member.lease_grace,
            std::move(attachments), member.lease_until,
            member.ended_at,        member.left};
}
Member read_member(const json& in, const std::map<std::string, Relay>& relays) {
    Member member;
    member.incarnation = in.at(0);
    member.reported_version = in.at(1);
    member.refused_version = in.at(2);
    member.refusal_emitted = in.at(3);
    member.refusal_reason = in.at(4);
    member.lease_grace = in.at(5);
    for (const json& attachment : in.at(6)) {
        member.attachments.push_back({attachment.at(0), attachment.at(1)});
        if (!relays.contains(member.attachments.back().relay))
            throw CodecError(CodecError::Fault::dangling_reference,
                             "configuration change snapshot: a member is attached to the unknown relay '" +
                                 member.attachments.back().relay + "'");
    }
    member.lease_until = in.at(7);
    member.ended_at = in.at(8);
    member.left = in.at(9);
    return member;
}

json json_of_members(const std::map<std::string, Member>& members) {
    json all = json::object();
    for (const auto& [name, member] : members) all[name] = json_of(member);
    return all;
}
std::map<std::string, Member> read_members(const json& in, const std::map<std::string, Relay>& relays) {
    std::map<std::string, Member> members;
    for (const auto& [name, member] : in.items()) members[name] = read_member(member, relays);
    return members;
}

json json_of_relays(const SnapshotView& view) {
    json all = json::object();
    for (const auto& [name, relay] : view.relays)
        all[name] = {relay.zone,        relay.incarnation, relay.number, view.lowest_by_relay.at(name),
                     relay.lease_until, relay.live};
    return all;
}
void read_relays(const json& in, Snapshot& snapshot) {
    for (const auto& [name, fields] : in.items()) {
        Relay& relay = snapshot.relays[name];
        relay.zone = fields.at(0);
        relay.incarnation = fields.at(1);
        relay.number = fields.at(2);
        snapshot.lowest_by_relay[name] = fields.at(3);
        relay.lease_until = fields.at(4);
        relay.live = fields.at(5);
    }
}

json json_of(const replicated::CommandHistory<Effect>& history) {
    json list = json::array();
    for (const std::string& id : history.ids()) {
        json effects = json::array();
        for (const Effect& effect : *history.find(id)) {
            const EffectRecord record = record_of(effect);
            effects.push_back(
                {static_cast<int>(record.code), record.version, record.reason, json(record.names)});
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
                                         record.at(2), record.at(3).get<std::vector<std::string>>()}));
        history.record(command.at(0), std::move(effects));
    }
    return history;
}

SnapshotScalars read_scalars(const json& in) {
    SnapshotScalars scalars;
    scalars.version = in.at("versions").at(0);
    scalars.applied_everywhere = in.at("versions").at(1);
    scalars.halted_version = in.at("versions").at(2);
    scalars.halted = in.at("halted");
    scalars.halt_reason = in.at("halted_for");
    scalars.now = in.at("times").at(0);
    scalars.hold_until = in.at("times").at(1);
    return scalars;
}

}  // namespace

std::vector<std::uint8_t> write_snapshot(const SnapshotView& view) {
    const SnapshotScalars& scalars = view.scalars;
    return json::to_cbor({{"form", snapshot_format_version},
                          {"limits", json_of(view.limits)},
                          {"document", json_of_entries(view.document)},
                          {"versions", {scalars.version, scalars.applied_everywhere, scalars.halted_version}},
                          {"kept", json_of(view.kept)},
                          {"halted", scalars.halted},
                          {"halted_for", scalars.halt_reason},
                          {"members", json_of_members(view.members)},
                          {"relays", json_of_relays(view)},
                          {"remembered", json_of(view.history)},
                          {"times", {scalars.now, scalars.hold_until}}});
}

Snapshot read_snapshot(const std::vector<std::uint8_t>& bytes) {
    try {
        const json document = json::from_cbor(bytes);
        replicated::check_format_version(document, snapshot_format_version, snapshot_subject);
        Snapshot snapshot;
        snapshot.limits = read_limits(document.at("limits"));
        snapshot.document = read_entries(document.at("document"));
        snapshot.kept = read_kept(document.at("kept"));
        read_relays(document.at("relays"), snapshot);
        snapshot.members = read_members(document.at("members"), snapshot.relays);
        snapshot.history = read_history(document.at("remembered"));
        snapshot.scalars = read_scalars(document);
        return snapshot;
    } catch (const json::exception& e) {
        throw replicated::malformed(snapshot_subject, e.what());
    }
}

}  // namespace tealcart::changes
