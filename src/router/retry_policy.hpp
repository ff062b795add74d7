// Decides whether a shard request may be sent again, from the effect and idempotency window of its query
// class, the bound on attempts, and whether its query is suspected to crash nodes.
#pragma once

#include <vector>

#include "router/query_class.hpp"
#include "router/query_router.hpp"
#include "router/query_table.hpp"

namespace tealcart::router {

// Holds the retry rules and the time of the last connection reset.
class RetryPolicy {
  public:
    // `margin` is subtracted from idempotency windows.
    RetryPolicy(const RouterConfig& config, Nanos margin)
        : max_attempts_(config.max_attempts), margin_(margin) {}

    // Whether another attempt is allowed by the bound on attempts and by the effect of those that may have
    // run.
    bool may_retry(const QueryClassConfig& config, const ShardRequest& shard_request, Nanos now) const;
    // Whether earlier phases have used up all attempts.
    bool is_exhausted(int attempts_used) const { return attempts_used >= max_attempts_; }
    RetryLimits limits(const QueryClassConfig& config) const;

    // An attempt ended because its connection was reset.
    void record_reset(Nanos now) { last_reset_at_ = now; }
    // Whether the shard requests of a query are sent one at a time until one is answered. This holds for a
    // marked retry soon after a reset, since it may be the query that caused the reset.
    bool sends_one_at_a_time(bool is_retry, Nanos now) const;
    // Whether the query may be one that crashes nodes: its attempts ended in resets and none was answered.
    // Such a query gets no further attempts. One answer clears the suspicion, so that a query survives an
    // ordinary crash of a node.
    bool is_suspected_poison(const Query& query) const;

  private:
    int max_attempts_;
    Nanos margin_;
    Nanos last_reset_at_ = 0;
};

}  // namespace tealcart::router
