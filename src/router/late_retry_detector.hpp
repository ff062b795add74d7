// Distinguishes late client retries from first tries, since the deadlines of a late retry count from the
// first try of its client.
//
// A marked retry whose client waits for less time than clients of the same query class usually do is late. If
// clients don't mark their retries, queries with short timeouts count as late retries, up to the number of
// first tries that were recently rejected or failed.
#pragma once

#include <algorithm>
#include <vector>

#include "router/router_config.hpp"

namespace tealcart::router {

// Recognizes late retries by the clients' timeouts.
class LateRetryDetector {
  public:
    LateRetryDetector(const RouterConfig& config, Nanos margin)
        : retries_marked_(config.retries_marked), margin_(margin),
          max_client_timeout_(config.query_classes.size()) {}

    // Returns whether a query that has just arrived is a late retry. `client_timeout` is how long its client
    // still waits. `is_later_phase` marks a further phase of a known two-phase query, which is never a retry.
    bool is_late_retry(std::uint16_t query_class, Nanos client_timeout, bool is_marked, bool is_later_phase) {
        Nanos& longest = max_client_timeout_[query_class];
        longest = std::max(longest, client_timeout);
        if (is_later_phase || client_timeout >= longest - margin_) return false;
        if (is_marked) return true;
        if (expected_unmarked_ < 1) return false;
        expected_unmarked_ -= 1;
        return true;
    }

    // A query was rejected or failed. If it was a first try, its client may send a retry.
    void record_rejected_or_failed(bool was_late_retry) {
        if (!retries_marked_ && !was_late_retry) expected_unmarked_ += 1;
    }

    // Reduces the number of expected retries, since some clients never retry.
    void decay() { expected_unmarked_ *= expected_after_decay; }

  private:
    static constexpr double expected_after_decay = 0.8;  // share of the expected retries that remains

    bool retries_marked_;
    Nanos margin_;
    std::vector<Nanos> max_client_timeout_;  // longest seen, by query class
    double expected_unmarked_ = 0;           // unmarked retries that may still arrive
};

}  // namespace tealcart::router
