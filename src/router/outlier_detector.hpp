// Ejects nodes whose attempts fail or that stop responding, and readmits them by a single probe attempt.
//
// A failure of any kind ejects the node for a time that doubles with each consecutive failure; each success
// undoes one failure. Only results of this router's own attempts count, so that silent, slow and fast-failing
// nodes are detected in the same way. If a large part of the fleet is silent at once, the fleet is slow and
// no node is ejected for its silence.
#pragma once

#include <vector>

#include "router/decision_sink.hpp"
#include "router/endpoint_table.hpp"
#include "router/latency_estimator.hpp"
#include "router/node_activity.hpp"

namespace tealcart::router {

// Multiple of the usual latency after which a silent node may be faulty.
constexpr double suspicious_silence = 2.0;

// Keeps the failures and the ejection of each node.
class OutlierDetector {
  public:
    // The referenced objects must outlive the detector. `check_interval` is the least time between two checks
    // for silent nodes.
    OutlierDetector(const EndpointTable& endpoints, const NodeActivity& activity,
                    const LatencyEstimator& latency, Nanos check_interval)
        : endpoints_(endpoints), activity_(activity), latency_(latency), check_interval_(check_interval) {}

    void add_node(NodeIndex node) {
        reset_node(node, ejected_until_, consecutive_failures_, reported_as_failing_);
    }
    // The node is a new process, so the failures of the old one no longer count.
    void restart_node(NodeIndex node);

    void record_failure(NodeIndex node, Nanos now, DecisionSink& sink);
    void record_success(NodeIndex node, Nanos latency, DecisionSink& sink);
    // The node rejected an attempt as overloaded. It is ejected for the duration of a first ejection, which
    // is returned.
    Nanos record_overloaded(NodeIndex node, Nanos now);

    // Ejects nodes that have been silent for long, unless too many are. Runs at most once per check interval.
    void check_silence(Nanos now, DecisionSink& sink);

    // Whether a node with attempts in flight has not responded for `times` the usual latency.
    bool is_silent(NodeIndex node, double times, Nanos now) const;
    // Whether so few nodes were silent at the last check that silence indicates a fault of the node itself.
    bool fleet_responds() const { return fleet_responds_; }

    // Whether the node is ejected, or its ejection has ended and the one attempt that probes it is in flight.
    bool is_ejected_or_probing(NodeIndex node, Nanos now) const {
        if (ejected_until_[node] > now) return true;
        return consecutive_failures_[node] > 0 && activity_.in_flight(node) > 0 &&
               activity_.last_heard(node) < ejected_until_[node];
    }
    Nanos remaining_ejection(NodeIndex node, Nanos now) const {
        return ejected_until_[node] > now ? ejected_until_[node] - now : 0;
    }
    bool has_failures(NodeIndex node) const { return consecutive_failures_[node] > 0; }

  private:
    const EndpointTable& endpoints_;
    const NodeActivity& activity_;
    const LatencyEstimator& latency_;
    Nanos check_interval_;
    Nanos checked_at_ = 0;
    bool fleet_responds_ = true;
    std::vector<Nanos> ejected_until_;
    std::vector<int> consecutive_failures_;  // less one for each later success
    std::vector<char> reported_as_failing_;  // whether the log has the ejection
};

}  // namespace tealcart::router
