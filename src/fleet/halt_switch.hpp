// Whether grants are halted, by a person or by a condition of the fleet.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "fleet/budgets.hpp"
#include "fleet/member_table.hpp"
#include "fleet/node_table.hpp"

namespace tealcart::fleet {

using HaltConditions = std::map<std::string, std::string>;  // what holds, in words, by the condition's name

// The conditions of Budgets that hold now.
HaltConditions halt_conditions(const Budgets& budgets, const NodeCounts& nodes, const MemberCounts& members);

class HaltSwitch {
  public:
    bool halted() const { return halted_; }
    const std::string& reason() const { return reason_; }
    // Conditions that held when they were looked at last.
    const std::set<std::string>& tripped() const { return tripped_; }

    void halt(const std::string& reason);
    void resume();
    // A condition halts when it begins to hold, and one that a person has resumed over does not halt again
    // until it has ended. Gives whether it has halted now.
    bool trip(const HaltConditions& conditions);

    // From a snapshot.
    void restore(bool halted, std::string reason, std::set<std::string> tripped);

  private:
    bool halted_ = false;
    std::string reason_;
    std::set<std::string> tripped_;
};

}  // namespace tealcart::fleet
