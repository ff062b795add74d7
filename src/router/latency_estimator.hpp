// How long an attempt is expected to take at a node, from the latency of this router's own attempts.
//
// Estimates decay by time: a node's toward that of its group (zone and machine kind), a group's toward the
// fleet's, the fleet's toward the base latency, so that a router that sees little traffic does not go by what
// is long over. What nodes report of themselves is not used. Times are in nanoseconds, as doubles.
#pragma once

#include <cstdint>
#include <vector>

#include "router/endpoint_table.hpp"
#include "router/node_activity.hpp"

namespace tealcart::router {

// A value that decays from the time at which it was observed; a time of 0 stands for never.
struct DecayingValue {
    double value = 0;
    Nanos observed_at = 0;
};

class LatencyEstimator {
  public:
    explicit LatencyEstimator(const NodeActivity& activity) : activity_(activity) {}

    void add_node(NodeIndex node);
    void set_group(NodeIndex node, std::uint32_t group);
    // The node is a new process: it is expected to be slow until its attempts say otherwise.
    void restart_node(NodeIndex node, double warm_fraction, Nanos now);

    // The cost of a shard request against the usual, by its hint; learns the usual hint.
    double relative_cost(Nanos hint);

    // A successful attempt of this relative cost, before which `in_flight_ahead` others of this router were
    // at the node.
    void record_success(NodeIndex node, Nanos latency, double cost, int in_flight_ahead, Nanos now);
    // An attempt that was cancelled after this time and would have taken longer still.
    void record_cancelled(NodeIndex node, Nanos elapsed, int in_flight_ahead, Nanos now);
    // Whether an attempt failed, where that is known.
    void record_outcome(NodeIndex node, bool failed, Nanos now);

    // Latency of the quickest attempts, as at nodes without a backlog; 0 before the first.
    double base_latency() const { return base_latency_; }
    // The same, or the usual hint before the first attempt has succeeded.
    double base_latency_or_hint() const { return base_latency_ > 0 ? base_latency_ : usual_hint_; }
    double fleet_latency(Nanos now) const;
    double node_latency(NodeIndex node, Nanos now) const;

    // How long an attempt sent now would take: by the node's latency and what is in flight there, and at
    // least as long as a node with attempts in flight has been silent.
    double expected_latency(NodeIndex node, Nanos now) const;
    // The same where a failed attempt goes again: guards thin traffic against nodes that fail some attempts
    // fast.
    double expected_until_served(NodeIndex node, Nanos now) const;

  private:
    double failure_share(NodeIndex node, Nanos now) const;
    void record_sample(NodeIndex node, double latency, int in_flight_ahead, Nanos now);

    const NodeActivity& activity_;
    IdIndex group_index_;
    std::vector<std::uint32_t> group_of_;
    std::vector<DecayingValue> node_latency_;
    std::vector<DecayingValue> failure_share_;  // of a node's attempts
    std::vector<double> in_flight_ahead_;       // of the attempts behind a node's latency, on average
    std::vector<DecayingValue> group_latency_;
    DecayingValue fleet_latency_;
    double base_latency_ = 0;
    double usual_hint_ = 0;
};

}  // namespace tealcart::router
