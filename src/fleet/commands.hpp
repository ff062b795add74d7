// The commands that can be proposed to the fleet's replicated state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fleet/budgets.hpp"
#include "fleet/member.hpp"
#include "fleet/node.hpp"
#include "fleet/removal.hpp"

namespace tealcart::fleet {

// A member has started: registers its incarnation.
struct Join {
    std::string name;
    Role role;
    std::string zone, version, digest;
    std::uint64_t incarnation;
    Nanos lease_grace = 0;  // as the member is configured, see Member::lease_grace
};

// A member renews its lease and reports its state.
struct Renew {
    std::string name;
    std::uint64_t incarnation;
    MemberReport report;
};

// The joins and renewals that arrived within a short time, as one command. Joins are applied first.
struct ReportBatch {
    std::vector<Join> joins;
    std::vector<Renew> renewals;
};

// A member announces that it stops: its lease ends at once.
struct Leave {
    std::string name;
    std::uint64_t incarnation;
};

// Removes a member whose lease has expired and which, as an operator knows, will not come back.
struct Forget {
    std::string name;
};

// The data nodes that discovery lists, as the leading fleet manager sees them.
struct EndpointsObserved {
    std::map<std::string, Node> nodes;
    // If true, `nodes` are all nodes and any other node is gone. If false, `nodes` are those that have
    // changed and `removed` those that are gone.
    bool full = true;
    std::set<std::string> removed = {};
};

// An operator requests that a target be drained.
struct RequestRemoval {
    std::string requested_by;
    Target target;
};

// Cancels a queued request, or returns the target of a granted one.
struct UndoRemoval {
    std::uint64_t request;
};

// Stops granting removals until Resume.
struct Halt {
    std::string reason;
};

// Ends a halt.
struct Resume {};

// Advances the time and does nothing else.
struct Tick {};

// Replaces the budgets with those of the operators' file. What is out stays out; no further removal is
// granted until the budgets hold.
struct SetBudgets {
    Budgets budgets;
};

// One entry of the replicated log.
struct Command {
    std::string id;         // chosen by the proposer, for deduplication; empty: not deduplicated
    Nanos proposed_at = 0;  // by the proposer's clock
    std::variant<Join, Renew, Leave, EndpointsObserved, RequestRemoval, UndoRemoval, Halt, Resume, Tick,
                 ReportBatch, Forget, SetBudgets>
        payload;
};

// Encodes a command for the replicated log, and decodes it. Decoding throws replicated::CodecError for
// malformed bytes, another format version and a kind of command that this release does not implement.
std::vector<std::uint8_t> write_command(const Command& command);
Command read_command(const std::uint8_t* bytes, std::size_t size);

}  // namespace tealcart::fleet
