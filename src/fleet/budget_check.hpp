// Checks whether the operators' budgets allow a target to be taken out of service now.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "fleet/budgets.hpp"
#include "fleet/member_table.hpp"
#include "fleet/node_table.hpp"
#include "fleet/removal.hpp"

namespace tealcart::fleet {

// Evaluates the budgets against the current counts. It holds references, so it must not outlive the objects
// that it was constructed from.
class BudgetCheck {
  public:
    BudgetCheck(const Budgets& budgets, const NodeTable& nodes, const MemberTable& members)
        : budgets_(budgets), nodes_(nodes), members_(members) {}

    // Why the target can never be taken out, however long the request waits; nullopt if it can at some time.
    std::optional<std::string> permanent_refusal(const Target& target);
    // The limit that would be exceeded if the target were taken out now; nullopt if there is none. A target
    // that is already out, for whatever reason, uses no further budget.
    std::optional<std::string> blocking_limit(const Target& target);

    // The number of targets and shards that the checks have visited.
    std::size_t visited_count() const { return visited_count_; }

  private:
    std::optional<std::string> permanent_refusal_of_router(const std::string& name) const;
    std::optional<std::string> permanent_refusal_of_node(const std::string& name);
    std::optional<std::string> blocking_limit_of_router(const std::string& name) const;
    std::optional<std::string> blocking_limit_of_node(const std::string& name);
    std::optional<std::string> blocking_shard(const Node& node, bool was_healthy);

    const Budgets& budgets_;
    const NodeTable& nodes_;
    const MemberTable& members_;
    std::size_t visited_count_ = 0;
};

}  // namespace tealcart::fleet
