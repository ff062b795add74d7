// Pressure, by the design's word: whether so many shard requests end overloaded or timed out that the fleet
// has more load than it carries.
//
// The eighth of the nodes asked that has the most bad outcomes counts for one each at most, since the fault
// may be theirs. One each counts: a router of a large fleet asks many nodes once each.
#pragma once

#include <optional>
#include <vector>

#include "router/endpoint_table.hpp"

namespace tealcart::router {

class PressureDetector {
  public:
    // Observation starts at `now`.
    void begin(Nanos now) { evaluated_at_ = now; }
    void add_node(NodeIndex node) { reset_node(node, ended_at_node_, bad_at_node_); }

    // A shard request's attempt ended at the node; `bad`: overloaded or timed out.
    void record_outcome(NodeIndex node, bool bad);

    struct Evaluation {
        int ended = 0, bad = 0;  // outcomes since the last one
        bool pressure = false;
        bool has_changed = false;
    };
    // Evaluates once a second, where enough has ended to show such a share; else what was found holds.
    std::optional<Evaluation> evaluate(Nanos now);

    bool has_pressure() const { return has_pressure_; }
    // Whether outcomes of the node wait for the next evaluation.
    bool counts_node(NodeIndex node) const { return ended_at_node_[node] > 0; }

  private:
    int count_bad();

    Nanos evaluated_at_ = 0;
    bool has_pressure_ = false;
    // Since the last evaluation:
    int ended_ = 0;
    std::vector<NodeIndex> nodes_;  // with outcomes
    std::vector<int> ended_at_node_, bad_at_node_;
};

}  // namespace tealcart::router
