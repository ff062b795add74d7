// What this router knows of the nodes, kept in step by endpoint lists, attempts sent and their results.
#pragma once

#include <random>
#include <span>

#include "router/decision_sink.hpp"
#include "router/endpoint_table.hpp"
#include "router/latency_estimator.hpp"
#include "router/node_activity.hpp"
#include "router/outlier_detector.hpp"
#include "router/pressure_detector.hpp"
#include "router/query_table.hpp"
#include "router/replica_selector.hpp"
#include "router/round_events.hpp"
#include "router/router_config.hpp"
#include "router/slow_start.hpp"

namespace tealcart::router {

// Owns what is kept of each node and passes on to each part what it learns from. Neither copied nor moved:
// the parts refer to each other.
class NodeTracker {
  public:
    // `random` outlives the tracker.
    NodeTracker(const RouterConfig& config, std::knuth_b& random);
    NodeTracker(const NodeTracker&) = delete;
    NodeTracker& operator=(const NodeTracker&) = delete;

    // The router's first round.
    void begin(Nanos now);
    // Ends the calls of the last round.
    void begin_round() { selector_.begin_round(); }
    // A list that could be had.
    void apply_list(ListKind kind, std::span<const Endpoint> entries, Nanos now);
    // Ejects nodes that have fallen silent.
    void check_silence(Nanos now, DecisionSink& sink) { outliers_.check_silence(now, sink); }

    // Chooses a replica for an attempt and counts the attempt as sent there. no_node where none may have it.
    NodeIndex send(ShardRequest& shard_request, Nanos now);
    // Learns from an attempt that has just ended. Returns the time in which the shard request should not be
    // sent again; 0 for none.
    Nanos record_result(const ShardRequest& shard_request, const Attempt& attempt,
                        const AttemptResult& result, Nanos now, DecisionSink& sink);
    // The shard request was still out at its query's latency objective: as good as timed out.
    void record_overdue(const ShardRequest& shard_request);

    const EndpointTable& endpoints() const { return endpoints_; }
    const NodeActivity& activity() const { return activity_; }
    const LatencyEstimator& latency() const { return latency_; }
    LatencyEstimator& latency() { return latency_; }
    const OutlierDetector& outliers() const { return outliers_; }
    const SlowStart& slow_start() const { return slow_start_; }
    const ReplicaSelector& selector() const { return selector_; }
    PressureDetector& pressure() { return pressure_; }

  private:
    void add_node(NodeIndex node);
    void update_endpoint(const Endpoint& entry, Nanos now);
    bool has_failed(const Attempt& attempt, const AttemptResult& result, Nanos now) const;

    EndpointTable endpoints_;
    NodeActivity activity_;
    LatencyEstimator latency_;
    OutlierDetector outliers_;
    SlowStart slow_start_;
    ReplicaSelector selector_;
    PressureDetector pressure_;
};

}  // namespace tealcart::router
