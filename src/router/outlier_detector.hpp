// Ejects nodes whose attempts fail or that fall silent, and lets them back by a single trial attempt.
//
// A failure of any kind ejects the node for a time that doubles with each in a row; each success takes one
// step back. Only results of this router's own attempts count, so that silent, slow and fast-failing nodes
// are told alike. Where much of the fleet is silent at once, the fleet is slow and no node is ejected for it.
#pragma once

#include <vector>

#include "router/decision_sink.hpp"
#include "router/endpoint_table.hpp"
#include "router/latency_estimator.hpp"
#include "router/node_activity.hpp"

namespace tealcart::router {

// Times the usual latency: after such a silence a node may be in trouble.
constexpr double suspicious_silence = 2.0;

class OutlierDetector {
  public:
    // The references outlive the detector. `check_interval`: the least time between checks for silence.
    OutlierDetector(const EndpointTable& endpoints, const NodeActivity& activity,
                    const LatencyEstimator& latency, Nanos check_interval)
        : endpoints_(endpoints), activity_(activity), latency_(latency), check_interval_(check_interval) {}

    void add_node(NodeIndex node) {
        reset_node(node, ejected_until_, consecutive_failures_, reported_as_failing_);
    }
    // The node is a new process: what the old one did counts no longer.
    void restart_node(NodeIndex node);

    void record_failure(NodeIndex node, Nanos now, DecisionSink& sink);
    void record_success(NodeIndex node, Nanos latency, DecisionSink& sink);
    // The node turned an attempt away: it gets no other for the first ejection's time, which this returns.
    Nanos record_overloaded(NodeIndex node, Nanos now);

    // Ejects nodes that have been silent for long, unless too many are. Does so at most once an interval.
    void check_silence(Nanos now, DecisionSink& sink);

    // A node with attempts in flight that has said nothing for so many times the usual latency.
    bool is_silent(NodeIndex node, double times, Nanos now) const;
    // Whether at the last check few enough nodes were silent for silence to tell of a node.
    bool fleet_responds() const { return fleet_responds_; }

    // Ejected, or let back with its first attempt still in flight: one attempt probes the node, others wait.
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
    std::vector<int> consecutive_failures_;  // less one for each success since
    std::vector<char> reported_as_failing_;  // in the log
};

}  // namespace tealcart::router
