// Whether a target may be taken out of service now, by the operators' budgets.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "fleet/budgets.hpp"
#include "fleet/member_table.hpp"
#include "fleet/node_table.hpp"
#include "fleet/removal.hpp"

namespace tealcart::fleet {

// Lives no longer than what it was made of.
class BudgetCheck {
  public:
    BudgetCheck(const Budgets& budgets, const NodeTable& nodes, const MemberTable& members)
        : budgets_(budgets), nodes_(nodes), members_(members) {}

    // Why the target can never be taken out, however long one waits; nothing: it may be, some time.
    std::optional<std::string> permanent_refusal(const Target& target);
    // The limit that would be broken if the target went out now; nothing: none. What is out already, for
    // whatever reason, uses up nothing more.
    std::optional<std::string> blocking_limit(const Target& target);

    // Targets and shards that were looked at.
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
