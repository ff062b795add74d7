// Whether a shard request may be sent again, by its query class's effect and idempotency window, the bound on
// attempts, and whether its query is suspected to bring nodes down.
#pragma once

#include <vector>

#include "router/query_class.hpp"
#include "router/query_router.hpp"
#include "router/query_table.hpp"

namespace tealcart::router {

class RetryPolicy {
  public:
    // `margin`: kept from the end of an idempotency window.
    RetryPolicy(const RouterConfig& config, Nanos margin)
        : max_attempts_(config.max_attempts), margin_(margin) {}

    // Whether the bound on attempts and the effect of those that may have run allow another.
    bool may_retry(const QueryClassConfig& config, const ShardRequest& shard_request, Nanos now) const;
    // Whether earlier legs have used up all attempts.
    bool is_exhausted(int attempts_used) const { return attempts_used >= max_attempts_; }
    RetryLimits limits(const QueryClassConfig& config) const;

    // An attempt broke its connection.
    void record_reset(Nanos now) { last_reset_at_ = now; }
    // Whether the shard requests of a query that is a marked retry go out one at a time, until one is
    // answered: soon after a reset, it may be the query that caused it.
    bool sends_one_at_a_time(bool is_retry, Nanos now) const;
    // Whether a query may be what brings nodes down: attempts of it ended in resets and none has come back.
    // It gets no further attempts. One answer clears it, so that an ordinary crash costs a query nothing.
    bool is_suspected_poison(const Query& query) const;

  private:
    int max_attempts_;
    Nanos margin_;
    Nanos last_reset_at_ = 0;
};

}  // namespace tealcart::router
