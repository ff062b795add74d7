// Admission control: rejects a query early if too few of its shard requests are expected to be answered in
// time, and deselects shard requests that are expected to be late.
#pragma once

#include "router/latency_estimator.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/replica_selector.hpp"

namespace tealcart::router {

// Decides on a query by the latency that its shard requests are expected to have.
class Admission {
  public:
    // Both objects must outlive this one.
    Admission(const LatencyEstimator& latency, const ReplicaSelector& selector)
        : latency_(latency), selector_(selector) {}

    // Called once the query's first `width` shard requests are selected. Returns false if the query is to be
    // rejected because less weight than it needs is expected in time. Otherwise deselects light shard
    // requests that are expected to be late, since they would only add load to nodes that are late already.
    bool admit(const Query& query, const QueryClass& query_class, int width, QueryTable& queries,
               Nanos now) const;

  private:
    double max_expected_latency(const Query& query, const QueryClassConfig& config, Nanos now) const;

    const LatencyEstimator& latency_;
    const ReplicaSelector& selector_;
};

}  // namespace tealcart::router
