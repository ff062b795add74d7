// What can be proposed to the fleet's agreed state.
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
    Nanos lease_grace = 0;  // the member's own, see Member
};

// A member renews its lease and reports on itself.
struct Renew {
    std::string name;
    std::uint64_t incarnation;
    MemberReport report;
};

// What many members said in a short time, as one command. Joins are applied first.
struct ReportBatch {
    std::vector<Join> joins;
    std::vector<Renew> renewals;
};

// A member says farewell: its lease ends at once.
struct Leave {
    std::string name;
    std::uint64_t incarnation;
};

// A member whose lease is over, and which an operator knows not to come back.
struct Forget {
    std::string name;
};

// What discovery lists of the data nodes, as the leader sees it.
struct EndpointsObserved {
    std::map<std::string, Node> nodes;
    bool full = true;  // all nodes: one that is not among them is gone; else what is new ...
    std::set<std::string> removed = {};  // ... and what is gone
};

// An operator asks for a target to be drained.
struct RequestRemoval {
    std::string requested_by;
    Target target;
};

// Ends a request, or brings its target back.
struct UndoRemoval {
    std::uint64_t request;
};

// No removal is granted until Resume.
struct Halt {
    std::string reason;
};

// Ends a halt.
struct Resume {};

// Time goes on.
struct Tick {};

// From the operators' file. Takes nothing back; nothing more is granted until the budgets hold.
struct SetBudgets {
    Budgets budgets;
};

// One entry of the replicated log.
struct Command {
    std::string id;         // the proposer's own, tells that a command comes again; empty: not deduplicated
    Nanos proposed_at = 0;  // by the proposer's clock
    std::variant<Join, Renew, Leave, EndpointsObserved, RequestRemoval, UndoRemoval, Halt, Resume, Tick,
                 ReportBatch, Forget, SetBudgets>
        payload;
};

// A command as bytes of the log, and back. Reading throws replicated::CodecError on noise, on another form
// and on a kind of command that this release does not have.
std::vector<std::uint8_t> write_command(const Command& command);
Command read_command(const std::uint8_t* bytes, std::size_t size);

}  // namespace tealcart::fleet
