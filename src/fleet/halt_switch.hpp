// Whether grants of removals are halted, by an operator or by a condition of the fleet.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "fleet/budgets.hpp"
#include "fleet/member_table.hpp"
#include "fleet/node_table.hpp"

namespace tealcart::fleet {

// A description of each condition that holds, by its name.
using HaltConditions = std::map<std::string, std::string>;

// The conditions of Budgets that hold now.
HaltConditions halt_conditions(const Budgets& budgets, const NodeCounts& nodes, const MemberCounts& members);

// Halts and resumes grants, and remembers which conditions have already caused a halt.
class HaltSwitch {
  public:
    bool halted() const { return halted_; }
    const std::string& reason() const { return reason_; }
    // The conditions that held at the last evaluation.
    const std::set<std::string>& tripped() const { return tripped_; }

    void halt(const std::string& reason);
    void resume();
    // Halts if a condition has begun to hold. A condition that an operator has resumed over does not halt
    // again until it has ceased to hold. Returns whether this call has halted grants.
    bool trip(const HaltConditions& conditions);

    // Restores the state of a snapshot.
    void restore(bool halted, std::string reason, std::set<std::string> tripped);

  private:
    bool halted_ = false;
    std::string reason_;
    std::set<std::string> tripped_;
};

}  // namespace tealcart::fleet
