// The state that this router keeps about data nodes, updated from endpoint lists, attempts sent and their
// results.
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

// Owns the per-node components and passes events on to them. It can be neither copied nor moved, because the
// components refer to each other.
class NodeTracker {
  public:
    // `random` must outlive the tracker.
    NodeTracker(const RouterConfig& config, std::knuth_b& random);
    NodeTracker(const NodeTracker&) = delete;
    NodeTracker& operator=(const NodeTracker&) = delete;

    // Called once, in the router's first round.
    void begin(Nanos now);
    // Forgets which nodes were sent shard requests in the previous round.
    void begin_round() { selector_.begin_round(); }
    // Applies an endpoint list, which is of any kind but ListKind::failed.
    void apply_list(ListKind kind, std::span<const Endpoint> entries, Nanos now);
    // Ejects nodes that have stopped responding.
    void check_silence(Nanos now, DecisionSink& sink) { outliers_.check_silence(now, sink); }

    // Selects a replica for an attempt and records the attempt as sent there. Returns no_node if no replica
    // may receive it.
    NodeIndex send(ShardRequest& shard_request, Nanos now);
    // Records the result of an attempt that has just ended. Returns how long to wait before the shard request
    // is sent again; 0 for no wait.
    Nanos record_result(const ShardRequest& shard_request, const Attempt& attempt,
                        const AttemptResult& result, Nanos now, DecisionSink& sink);
    // The shard request was unanswered at its query's latency objective, which counts as a timeout.
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
