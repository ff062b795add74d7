// How many live routers find each data node unresponsive.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/tally.hpp"

namespace tealcart::fleet {

// How many live routers find each node unresponsive.
struct VoteCounts {
    std::map<std::string, std::size_t> by_node;
    std::set<std::pair<std::size_t, std::string>> by_votes;

    friend bool operator==(const VoteCounts&, const VoteCounts&) = default;
};

class UnresponsiveVotes {
  public:
    struct VoteResult {
        std::string node;
        bool unresponsive = false;
    };

    const VoteCounts& counts() const { return counts_; }
    void count(const std::string& node, CountChange direction);  // one router's vote
    void clear();
    // The node is judged again the next time.
    void reconsider(const std::string& node) { nodes_to_evaluate_.insert(node); }

    // Nodes whose votes have changed since the last call, and those that another threshold may judge
    // otherwise. A node with at least `min_votes` votes, and with one at all, is unresponsive.
    std::vector<VoteResult> evaluate(double min_votes);

  private:
    void reconsider_between(double min_votes, double last_min_votes);

    VoteCounts counts_;
    std::set<std::string> nodes_to_evaluate_;
    double last_min_votes_ = 0;
};

}  // namespace tealcart::fleet
