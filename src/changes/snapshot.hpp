// Encodes and decodes a snapshot of the replicated state of configuration changes. A snapshot holds
// everything that can't be derived from the rest of the state.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "changes/effects.hpp"
#include "changes/limits.hpp"
#include "changes/member_table.hpp"
#include "changes/relay_table.hpp"
#include "changes/versioned_document.hpp"
#include "replicated/command_history.hpp"

namespace tealcart::changes {

// The scalar values of a snapshot.
struct SnapshotScalars {
    std::uint64_t version = 0, applied_everywhere = 0, halted_version = 0;
    bool halted = false;
    std::string halt_reason;
    Nanos now = 0, hold_until = 0;
};

// A decoded snapshot.
struct Snapshot {
    Limits limits;
    Document document;
    std::deque<KeptVersion> kept;
    std::map<std::string, Member> members;
    std::map<std::string, Relay> relays;
    std::map<std::string, std::uint64_t> lowest_by_relay;
    replicated::CommandHistory<Effect> history;
    SnapshotScalars scalars;
};

// The same contents as references, so that a state need not be copied to be written. It must not outlive the
// state.
struct SnapshotView {
    const Limits& limits;
    const Document& document;
    const std::deque<KeptVersion>& kept;
    const std::map<std::string, Member>& members;
    const std::map<std::string, Relay>& relays;
    const std::map<std::string, std::uint64_t>& lowest_by_relay;
    const replicated::CommandHistory<Effect>& history;
    SnapshotScalars scalars;
};

std::vector<std::uint8_t> write_snapshot(const SnapshotView& view);
// Throws replicated::CodecError for malformed bytes, for another format version, and if a member is attached
// to a relay that the snapshot doesn't contain.
Snapshot read_snapshot(const std::vector<std::uint8_t>& bytes);

}  // namespace tealcart::changes
