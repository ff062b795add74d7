// Early rejection: whether what a query needs can be in in time, and which of its shard requests can't.
#pragma once

#include "router/latency_estimator.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/replica_selector.hpp"

namespace tealcart::router {

class Admission {
  public:
    // The references outlive the object.
    Admission(const LatencyEstimator& latency, const ReplicaSelector& selector)
        : latency_(latency), selector_(selector) {}

    // Decides once the query's first `width` shard requests are selected. False where less than the weight
    // that it needs is expected in time, so that it is to be rejected. Else takes back light shard requests
    // that are expected late: they would load the very nodes that are late, and bring nothing.
    bool admit(const Query& query, const QueryClass& query_class, int width, QueryTable& queries,
               Nanos now) const;

  private:
    double max_expected_latency(const Query& query, const QueryClassConfig& config, Nanos now) const;

    const LatencyEstimator& latency_;
    const ReplicaSelector& selector_;
};

}  // namespace tealcart::router
