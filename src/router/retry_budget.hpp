// The retry budget: limits the retries within a sliding window to a base number plus a share of the queries
// and shard requests that arrived in it. Both ends of the window keep a margin of one round.
#pragma once

#include <deque>

#include "router/router_config.hpp"

namespace tealcart::router {

// Records arrivals and retries of the window.
class RetryBudget {
  public:
    explicit RetryBudget(const RouterConfig& config)
        : is_enabled_(config.retry_budget_enabled), base_(config.retry_budget_base),
          ratio_(config.retry_budget_ratio), window_(config.retry_budget_window),
          margin_(config.round_interval) {}

    // Forgets arrivals and retries that have left the window.
    void begin_round(Nanos now) {
        while (!arrivals_.empty() && arrivals_.front().at <= now - window_ + margin_) {
            arrival_count_ -= arrivals_.front().count;
            arrivals_.pop_front();
        }
        while (!retried_at_.empty() && retried_at_.front() < now - window_ - margin_) retried_at_.pop_front();
    }

    // A query or a shard request arrived.
    void record_arrival(Nanos now) {
        if (!is_enabled_) return;
        if (arrivals_.empty() || arrivals_.back().at != now) arrivals_.push_back({now});
        ++arrivals_.back().count;
        ++arrival_count_;
    }
    void record_retry(Nanos now) {
        if (is_enabled_) retried_at_.push_back(now);
    }

    // Whether one more retry is within the budget.
    bool allows_retry() const {
        const double max_retries = base_ + ratio_ * static_cast<double>(arrival_count_);
        return !is_enabled_ || retried_at_.size() + 1.0 <= max_retries;
    }

  private:
    // The arrivals of one round. Their number depends on clients, that of rounds in a window does not.
    struct Arrivals {
        Nanos at = 0;
        std::size_t count = 0;
    };

    bool is_enabled_;
    double base_, ratio_;
    Nanos window_, margin_;
    std::deque<Arrivals> arrivals_;
    std::size_t arrival_count_ = 0;  // sum over `arrivals_`
    std::deque<Nanos> retried_at_;
};

}  // namespace tealcart::router
