// Detects pressure: so many attempts end as overloaded or timed out that the fleet has more load than it can
// serve. "Pressure" is the term of docs/design.md.
//
// The eighth of the nodes with the most bad outcomes counts at most one bad outcome per node, since these
// nodes may be faulty themselves. One each still counts, because a router of a large fleet sends many nodes
// only one attempt.
#pragma once

#include <optional>
#include <vector>

#include "router/endpoint_table.hpp"

namespace tealcart::router {

// Counts outcomes by node and evaluates them periodically.
class PressureDetector {
  public:
    // Starts the observation at `now`.
    void begin(Nanos now) { evaluated_at_ = now; }
    void add_node(NodeIndex node) { reset_node(node, ended_at_node_, bad_at_node_); }

    // An attempt ended at the node. `bad` is true if it was overloaded or timed out.
    void record_outcome(NodeIndex node, bool bad);

    // The result of an evaluation.
    struct Evaluation {
        int ended = 0, bad = 0;  // outcomes since the last evaluation
        bool pressure = false;
        bool has_changed = false;
    };
    // Evaluates at most once per second, and only if enough attempts have ended to measure the share of bad
    // outcomes. Otherwise returns none, and the previous state holds.
    std::optional<Evaluation> evaluate(Nanos now);

    bool has_pressure() const { return has_pressure_; }
    // Whether there are outcomes of the node that have not been evaluated yet.
    bool counts_node(NodeIndex node) const { return ended_at_node_[node] > 0; }

  private:
    int count_bad();

    Nanos evaluated_at_ = 0;
    bool has_pressure_ = false;
    // The members below count since the last evaluation.
    int ended_ = 0;
    std::vector<NodeIndex> nodes_;  // nodes with outcomes
    std::vector<int> ended_at_node_, bad_at_node_;
};

}  // namespace tealcart::router
