// Decides from the live routers' reports which data nodes count as unresponsive.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/tally.hpp"

namespace tealcart::fleet {

// The number of live routers that report each node as unresponsive: by node, and sorted by that number.
struct VoteCounts {
    std::map<std::string, std::size_t> by_node;
    std::set<std::pair<std::size_t, std::string>> by_votes;

    friend bool operator==(const VoteCounts&, const VoteCounts&) = default;
};

// Counts the votes and evaluates the nodes whose votes have changed.
class UnresponsiveVotes {
  public:
    struct VoteResult {
        std::string node;
        bool unresponsive = false;
    };

    const VoteCounts& counts() const { return counts_; }
    // Adds or removes one router's vote.
    void count(const std::string& node, CountChange direction);
    void clear();
    // Includes the node in the next evaluation.
    void reconsider(const std::string& node) { nodes_to_evaluate_.insert(node); }

    // Evaluates the nodes whose votes have changed since the last call, and those for which the new threshold
    // may give another result. A node is unresponsive if it has at least one vote and at least `min_votes`.
    std::vector<VoteResult> evaluate(double min_votes);

  private:
    void reconsider_between(double min_votes, double last_min_votes);

    VoteCounts counts_;
    std::set<std::string> nodes_to_evaluate_;
    double last_min_votes_ = 0;
};

}  // namespace tealcart::fleet
