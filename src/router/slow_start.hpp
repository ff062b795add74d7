// Slow start: limits the attempts that a recently started node is sent until it is warm.
//
// A warming node can serve a growing fraction of its capacity, and load beyond a multiple of that makes it
// fail. It is sent few attempts at a time, and per window at most this router's share of what the fleet may
// send it. If that share is less than one attempt, a random draw per window decides whether this router sends
// one, so that the sum over all routers stays within the bound. The draw accounts for how many routers are
// likely to want an attempt there, which is estimated from this router's own traffic and the remaining
// replicas.
#pragma once

#include <deque>
#include <random>
#include <vector>

#include "router/endpoint_table.hpp"
#include "router/latency_estimator.hpp"
#include "router/node_activity.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

// Keeps the recent attempts of warming nodes.
class SlowStart {
  public:
    // The referenced objects must outlive this one. `random` is drawn from once per warming node and window.
    SlowStart(const RouterConfig& config, const EndpointTable& endpoints, const NodeActivity& activity,
              const LatencyEstimator& latency, std::knuth_b& random);

    // Starts to count traffic at `now`.
    void begin(Nanos now) { began_at_ = now; }
    void add_node(NodeIndex node) { reset_node(node, sent_at_, drawn_at_, drawn_); }

    // The fraction of its capacity that the node has at least; 1 if it is warm.
    double warm_fraction(NodeIndex node, Nanos now) const;
    // The fraction of a warm node's load that all routers together may send to the node.
    double capacity_share(NodeIndex node, Nanos now) const;

    // Whether the node may be sent an attempt now. `eligible_replicas` is the number of replicas that the
    // choice is among; 0 if the node is the only one left, so that every router that has waited wants an
    // attempt there.
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
    double usable_multiple_;  // of a warming node's capacity that all routers together may use per window
    Nanos window_;
    Nanos round_interval_;
    int routers_;
    int replicas_per_shard_;
    Nanos began_at_ = 0;
    DecayingValue attempts_;                  // to all nodes, per window
    std::vector<std::deque<Nanos>> sent_at_;  // recent attempts to a warming node
    std::vector<Nanos> drawn_at_;             // start of the node's window
    std::vector<double> drawn_;  // random number from 0 to 1 for the window; low ones admit attempts
};

}  // namespace tealcart::router
