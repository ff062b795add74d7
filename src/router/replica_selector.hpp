// Replica selection: chooses the replica that an attempt is sent to.
//
// Replicas are selected round-robin. A replica is skipped if it is ejected (unless all are), if it is
// expected to be much slower than the best one, if it is warming up and has received its share, or if it has
// been sent the shard request already. If each call costs a node extra work, a replica that receives a call
// in this round anyway is preferred over the next in turn, unless it is slower than the best by more than
// that cost.
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

// Keeps the round-robin position of each shard.
class ReplicaSelector {
  public:
    // The referenced objects must outlive the selector. `random` is drawn from once per shard, for its
    // initial round-robin position.
    ReplicaSelector(const RouterConfig& config, const EndpointTable& endpoints,
                    const LatencyEstimator& latency, const OutlierDetector& outliers, SlowStart& slow_start,
                    std::knuth_b& random);

    // Forgets which nodes were sent shard requests in the previous round.
    void begin_round();
    void add_node(NodeIndex node) { reset_node(node, sent_this_round_); }

    // Selects a replica for the shard request and advances its shard's position. Returns no_node if no
    // replica may receive it now.
    NodeIndex select(const ShardRequest& shard_request, Nanos now);
    // Counts a shard request as part of this round's call to the node.
    void record_sent(NodeIndex node);

    // The result of best_replica.
    struct Best {
        NodeIndex node = no_node;
        double answer_in = 0;  // nanoseconds; infinite if there is no node
    };
    // The ready replica that is expected to answer first, and in what time.
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
    std::vector<int> sent_this_round_;  // by node: shard requests in this round's call
    std::vector<NodeIndex> called_this_round_;
};

}  // namespace tealcart::router
