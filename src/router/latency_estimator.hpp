// Estimates how long an attempt takes at a node, from the latencies of this router's own attempts.
//
// Estimates decay over time: a node's toward that of its group (zone and machine kind), a group's toward the
// fleet's, and the fleet's toward the base latency. A router with little traffic would otherwise rely on
// outdated samples. Load that nodes report about themselves is not used. Times are in nanoseconds, as
// doubles.
#pragma once

#include <cstdint>
#include <vector>

#include "router/endpoint_table.hpp"
#include "router/node_activity.hpp"

namespace tealcart::router {

// A value and the time at which it was observed, from which it decays. A time of 0 means never.
struct DecayingValue {
    double value = 0;
    Nanos observed_at = 0;
};

// Keeps latency and failure estimates of nodes, groups and the fleet.
class LatencyEstimator {
  public:
    explicit LatencyEstimator(const NodeActivity& activity) : activity_(activity) {}

    void add_node(NodeIndex node);
    void set_group(NodeIndex node, std::uint32_t group);
    // The node is a new process. Its latency is assumed to be high until its attempts show otherwise.
    void restart_node(NodeIndex node, double warm_fraction, Nanos now);

    // Returns the cost of a shard request relative to the usual one, from its cost hint, and updates the
    // average hint.
    double relative_cost(Nanos hint);

    // An attempt of this relative cost succeeded. `in_flight_ahead` is the number of attempts that this
    // router had in flight at the node when it was sent.
    void record_success(NodeIndex node, Nanos latency, double cost, int in_flight_ahead, Nanos now);
    // An attempt was cancelled after `elapsed`, so that its latency would have been higher.
    void record_cancelled(NodeIndex node, Nanos elapsed, int in_flight_ahead, Nanos now);
    // An attempt ended for which it is known whether it failed.
    void record_outcome(NodeIndex node, bool failed, Nanos now);

    // The latency of the fastest attempts, as at nodes without a backlog; 0 before the first attempt
    // succeeds.
    double base_latency() const { return base_latency_; }
    // The base latency, or the average cost hint before the first attempt has succeeded.
    double base_latency_or_hint() const { return base_latency_ > 0 ? base_latency_ : usual_hint_; }
    double fleet_latency(Nanos now) const;
    double node_latency(NodeIndex node, Nanos now) const;

    // The expected latency of an attempt sent now, from the node's latency and the attempts in flight there.
    // It is at least the time for which a node with attempts in flight has been silent.
    double expected_latency(NodeIndex node, Nanos now) const;
    // The expected latency including the retries of failed attempts. It keeps a router with little traffic
    // away from nodes that fail some of their attempts quickly.
    double expected_until_served(NodeIndex node, Nanos now) const;

  private:
    double failure_share(NodeIndex node, Nanos now) const;
    void record_sample(NodeIndex node, double latency, int in_flight_ahead, Nanos now);

    const NodeActivity& activity_;
    IdIndex group_index_;
    std::vector<std::uint32_t> group_of_;
    std::vector<DecayingValue> node_latency_;
    std::vector<DecayingValue> failure_share_;  // share of a node's attempts that failed
    std::vector<double> in_flight_ahead_;       // average over the attempts that make up a node's latency
    std::vector<DecayingValue> group_latency_;
    DecayingValue fleet_latency_;
    double base_latency_ = 0;
    double usual_hint_ = 0;
};

}  // namespace tealcart::router
