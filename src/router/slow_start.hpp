// Slow start: how much a node that has started a while ago may be sent, until it is warm.
//
// A warming node carries a growing fraction of its capacity, and load beyond a multiple of that brings it
// down. It gets few attempts at a time, and in a window at most this router's share of what the fleet may
// send it. A share of under one attempt is drawn by chance once a window, so that the sum over all routers
// keeps to the bound: against how many routers are likely to want an attempt there, which is told from this
// router's own traffic and the replicas left.
#pragma once

#include <deque>
#include <random>
#include <vector>

#include "router/endpoint_table.hpp"
#include "router/latency_estimator.hpp"
#include "router/node_activity.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

class SlowStart {
  public:
    // The references outlive the object. `random` is drawn from once for each node and window.
    SlowStart(const RouterConfig& config, const EndpointTable& endpoints, const NodeActivity& activity,
              const LatencyEstimator& latency, std::knuth_b& random);

    // Traffic is counted from `now` on.
    void begin(Nanos now) { began_at_ = now; }
    void add_node(NodeIndex node) { reset_node(node, sent_at_, drawn_at_, drawn_); }

    // The least fraction of its capacity that the node has: 1 where it is warm.
    double warm_fraction(NodeIndex node, Nanos now) const;
    // The fraction of a warm node's load that all routers together may send the node.
    double capacity_share(NodeIndex node, Nanos now) const;

    // Whether the node may be sent an attempt now. `eligible_replicas`: among how many replicas the choice
    // is; 0 where the node is the only replica left, for which every router that has waited wants one.
    bool admits(NodeIndex node, std::ptrdiff_t eligible_replicas, Nanos now);

    void record_attempt(NodeIndex node, Nanos now);

  private:
    double max_attempts_in_window(double warm_fraction) const;
    double chance_wanted(std::ptrdiff_t eligible_replicas, Nanos now) const;
    double attempts_in_window(Nanos now) const;

    const EndpointTable& endpoints_;
    const NodeActivity& activity_;
    const LatencyEstimator& latency_;
    std::knuth_b& random_;
    double min_fraction_;
    Nanos duration_;
    double usable_multiple_;  // of a warming node's capacity, that all routers together may use in a window
    Nanos window_;
    Nanos round_interval_;
    int routers_;
    int replicas_per_shard_;
    Nanos began_at_ = 0;
    DecayingValue attempts_;                  // to all nodes, in a window
    std::vector<std::deque<Nanos>> sent_at_;  // attempts of the window to a warming node
    std::vector<Nanos> drawn_at_;             // start of the node's window ...
    std::vector<double> drawn_;               // ... and its number from 0 to 1: the less, the sooner
};

}  // namespace tealcart::router
