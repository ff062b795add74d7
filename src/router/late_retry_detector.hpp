// Tells a late retry from a first try, since a late retry's times count from its client's first try.
//
// A marked retry for which the client waits less than for others is a late one. Where clients don't mark
// their retries, as many short waits count as late retries as first tries were given up lately.
#pragma once

#include <algorithm>
#include <vector>

#include "router/router_config.hpp"

namespace tealcart::router {

class LateRetryDetector {
  public:
    LateRetryDetector(const RouterConfig& config, Nanos margin)
        : retries_marked_(config.retries_marked), margin_(margin),
          max_client_timeout_(config.query_classes.size()) {}

    // A query arrived whose client waits for `client_timeout`; true where it is a late retry.
    // `is_later_phase`: it is a leg of a query that is known, and no retry.
    bool is_late_retry(std::uint16_t query_class, Nanos client_timeout, bool is_marked, bool is_later_phase) {
        Nanos& longest = max_client_timeout_[query_class];
        longest = std::max(longest, client_timeout);
        if (is_later_phase || client_timeout >= longest - margin_) return false;
        if (is_marked) return true;
        if (expected_unmarked_ < 1) return false;
        expected_unmarked_ -= 1;
        return true;
    }

    // A query was given up: if it was a first try, its client may come again.
    void record_rejected_or_failed(bool was_late_retry) {
        if (!retries_marked_ && !was_late_retry) expected_unmarked_ += 1;
    }

    // Some of the expected retries will not come any more.
    void decay() { expected_unmarked_ *= expected_after_decay; }

  private:
    static constexpr double expected_after_decay = 0.8;  // of the retries expected before

    bool retries_marked_;
    Nanos margin_;
    std::vector<Nanos> max_client_timeout_;  // by query class
    double expected_unmarked_ = 0;           // retries
};

}  // namespace tealcart::router
