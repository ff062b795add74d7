// Which replica of its shard an attempt goes to.
//
// Replicas take turns. Passed over is one that is ejected, unless all are; one that is expected to take much
// longer than the best; one that is warming up and has had enough; one that has been sent the shard request
// already. Where a call costs a node work of its own, a replica that this round's call already goes to is
// taken before the next in turn, unless it is slower than the best by more than that cost.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "router/endpoint_table.hpp"
#include "router/latency_estimator.hpp"
#include "router/outlier_detector.hpp"
#include "router/query_table.hpp"
#include "router/router_config.hpp"
#include "router/slow_start.hpp"

namespace tealcart::router {

class ReplicaSelector {
  public:
    // The references outlive the selector. `random` is drawn from once for each shard, for its first turn.
    ReplicaSelector(const RouterConfig& config, const EndpointTable& endpoints,
                    const LatencyEstimator& latency, const OutlierDetector& outliers, SlowStart& slow_start,
                    std::knuth_b& random);

    // Ends the calls of the last round.
    void begin_round();
    void add_node(NodeIndex node) { reset_node(node, sent_this_round_); }

    // Takes a turn for the shard request; no_node where no replica may be sent it now.
    NodeIndex select(const ShardRequest& shard_request, Nanos now);
    // Counts a shard request that goes with this round's call to the node.
    void record_sent(NodeIndex node);

    struct Best {
        NodeIndex node = no_node;
        double answer_in = 0;  // nanoseconds; infinite where there is no node
    };
    // The ready replica that an answer would come from first, and when.
    Best best_replica(std::uint32_t shard, Nanos now) const;

  private:
    struct Candidates;
    Candidates find_candidates(const ShardRequest& shard_request, Nanos now) const;
    void judge(Candidates& candidates, Nanos now) const;
    bool is_eligible(const Candidates& candidates, NodeIndex node, Nanos now) const;
    bool is_near(const Candidates& candidates, NodeIndex node, Nanos now) const;
    bool joins_call(const Candidates& candidates, NodeIndex node, Nanos now) const;
    std::size_t first_in_turn(const Candidates& candidates, std::uint32_t turn, Nanos now) const;

    const EndpointTable& endpoints_;
    const LatencyEstimator& latency_;
    const OutlierDetector& outliers_;
    SlowStart& slow_start_;
    int max_requests_per_call_;
    double call_overhead_;
    std::vector<std::uint32_t> turns_;  // by shard
    std::vector<int> sent_this_round_;  // by node: shard requests of this round's call
    std::vector<NodeIndex> called_this_round_;
};

}  // namespace tealcart::router
