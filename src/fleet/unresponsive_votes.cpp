#include "fleet/unresponsive_votes.hpp"

#include <algorithm>

namespace tealcart::fleet {

void UnresponsiveVotes::count(const std::string& node, CountChange direction) {
    const std::size_t now = tally(counts_.by_node, node, direction);
    const std::size_t before = direction == CountChange::increment ? now - 1 : now + 1;
    if (before > 0) counts_.by_votes.erase({before, node});
    if (now > 0) counts_.by_votes.emplace(now, node);
    nodes_to_evaluate_.insert(node);
}

void UnresponsiveVotes::clear() {
    counts_ = {};
    nodes_to_evaluate_.clear();
}

std::vector<UnresponsiveVotes::VoteResult> UnresponsiveVotes::evaluate(double min_votes) {
    reconsider_between(min_votes, last_min_votes_);
    last_min_votes_ = min_votes;
    std::vector<VoteResult> results;
    for (const std::string& node : nodes_to_evaluate_) {
        const auto votes = counts_.by_node.find(node);
        const bool unresponsive =
            votes != counts_.by_node.end() && static_cast<double>(votes->second) >= min_votes;
        results.push_back({node, unresponsive});
    }
    nodes_to_evaluate_.clear();
    return results;
}

void UnresponsiveVotes::reconsider_between(double min_votes, double last_min_votes) {
    const auto [from, to] = std::minmax(min_votes, last_min_votes);
    if (from >= to) return;
    auto it = counts_.by_votes.lower_bound({static_cast<std::size_t>(std::max(0.0, from)), {}});
    for (; it != counts_.by_votes.end() && static_cast<double>(it->first) < to; ++it)
        nodes_to_evaluate_.insert(it->second);
}

}  // namespace tealcart::fleet
