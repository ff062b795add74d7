// Encodes and decodes a snapshot of the fleet's replicated state. A snapshot holds everything that can't be
// derived from the rest of the state.
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

// The scalar values of a snapshot.
struct SnapshotScalars {
    std::uint64_t generation = 0, last_fence = 0, last_request = 0;
    bool halted = false;
    std::string halt_reason;
    Nanos now = 0, hold_until = 0;
};

// A decoded snapshot.
struct Snapshot {
    Budgets budgets;
    std::map<std::string, Member> members;
    std::map<std::string, Node> nodes;
    RemovalQueue::Requests requests;
    RemovedTargets removed;
    std::set<std::string> unresponsive;  // data nodes
    std::set<std::string> tripped;       // names of halt conditions that hold
    replicated::CommandHistory<Effect> history;
    SnapshotScalars scalars;
};

// The same contents as references, so that a state need not be copied to be written. It must not outlive the
// state.
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
// Throws replicated::CodecError for malformed bytes and for another format version.
Snapshot read_snapshot(const std::vector<std::uint8_t>& bytes);

}  // namespace tealcart::fleet
