// A snapshot of the agreed state of configuration changes: what it holds beyond what can be counted anew, as
// bytes and back.
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

// The single values of a snapshot.
struct SnapshotScalars {
    std::uint64_t version = 0, applied_everywhere = 0, halted_version = 0;
    bool halted = false;
    std::string halt_reason;
    Nanos now = 0, hold_until = 0;
};

// All of the state that can't be derived from the rest of it.
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

// The same, of a state that need not be copied. Lives no longer than that state.
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
// Throws replicated::CodecError on noise, on another form, and where a member names a relay that is not
// there.
Snapshot read_snapshot(const std::vector<std::uint8_t>& bytes);

}  // namespace tealcart::changes
