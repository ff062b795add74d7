// A snapshot of the fleet's agreed state: what it holds beyond what can be counted anew, as bytes and back.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/budgets.hpp"
#include "fleet/effects.hpp"
#include "fleet/member.hpp"
#include "fleet/node.hpp"
#include "fleet/removal_queue.hpp"
#include "replicated/command_history.hpp"

namespace tealcart::fleet {

// The single values of a snapshot.
struct SnapshotScalars {
    std::uint64_t generation = 0, last_fence = 0, last_request = 0;
    bool halted = false;
    std::string halt_reason;
    Nanos now = 0, hold_until = 0;
};

// All of the state that can't be derived from the rest of it.
struct Snapshot {
    Budgets budgets;
    std::map<std::string, Member> members;
    std::map<std::string, Node> nodes;
    RemovalQueue::Requests requests;
    RemovedTargets removed;
    std::set<std::string> unresponsive;  // data nodes
    std::set<std::string> tripped;       // conditions for a halt
    replicated::CommandHistory<Effect> history;
    SnapshotScalars scalars;
};

// The same, of a state that need not be copied. Lives no longer than that state.
struct SnapshotView {
    const Budgets& budgets;
    const std::map<std::string, Member>& members;
    const std::map<std::string, Node>& nodes;
    const RemovalQueue::Requests& requests;
    const RemovedTargets& removed;
    const std::set<std::string>& unresponsive;
    const std::set<std::string>& tripped;
    const replicated::CommandHistory<Effect>& history;
    SnapshotScalars scalars;
};

std::vector<std::uint8_t> write_snapshot(const SnapshotView& view);
// Throws replicated::CodecError on noise and on another form.
Snapshot read_snapshot(const std::vector<std::uint8_t>& bytes);

}  // namespace tealcart::fleet
