#include "router/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::router {
namespace {

constexpr double usable_share = 0.8;                     // of the load that may overload a warming node
constexpr double min_attempt_cost = 20.0 * millisecond;  // least node time assumed per attempt
constexpr int min_in_flight = 2;                         // limit at a node that has just started
constexpr int warm_in_flight = 3;                        // increase of the limit as the node gets warm

}  // namespace

SlowStart::SlowStart(const RouterConfig& config, const EndpointTable& endpoints, const NodeActivity& activity,
                     const LatencyEstimator& latency, std::knuth_b& random)
    : endpoints_(endpoints), activity_(activity), latency_(latency), random_(random),
      min_fraction_(config.slow_start_min_fraction), duration_(config.slow_start_duration),
      usable_multiple_(usable_share * config.overload_multiple), window_(config.overload_window),
      round_interval_(config.round_interval), routers_(std::max(1, config.routers)),
      replicas_per_shard_(config.replicas_per_shard) {}

double SlowStart::warm_fraction(NodeIndex node, Nanos now) const {
    const Nanos started_at = endpoints_.started_at(node);
    if (started_at == 0 || duration_ <= 0 || now - started_at >= duration_) return 1;
    const double age = std::max(0.0, (now - started_at) / static_cast<double>(duration_));
    return min_fraction_ + (1 - min_fraction_) * age;
}

double SlowStart::capacity_share(NodeIndex node, Nanos now) const {
    const double warm = warm_fraction(node, now);
    return warm < 1 ? usable_share * warm : 1;
}

bool SlowStart::admits(NodeIndex node, std::ptrdiff_t eligible_replicas, Nanos now) {
    const double warm = warm_fraction(node, now);
    if (warm >= 1) return true;
    std::deque<Nanos>& sent = sent_at_[node];
    while (!sent.empty() && sent.front() <= now - window_ - round_interval_) sent.pop_front();
    const double max_attempts = max_attempts_in_window(warm);
    if (activity_.in_flight(node) >= min_in_flight + static_cast<int>(warm_in_flight * warm)) return false;
    if (sent.size() + 1.0 > std::max(1.0, max_attempts)) return false;
    if (now - drawn_at_[node] >= window_) {
        drawn_at_[node] = now;
        const auto range = static_cast<double>(std::knuth_b::max());
        drawn_[node] = (random_() - std::knuth_b::min()) / range;
    }
    const double wanted = chance_wanted(eligible_replicas, now);
    return drawn_[node] < std::min(usable_multiple_ * warm, max_attempts / std::min(1.0, wanted));
}

void SlowStart::record_attempt(NodeIndex node, Nanos now) {
    if (warm_fraction(node, now) < 1) sent_at_[node].push_back(now);
    attempts_ = {attempts_in_window(now) + 1, now};
}

// This router's share of the attempts that all routers may send to the node per window.
double SlowStart::max_attempts_in_window(double warm_fraction) const {
    const double attempt_cost = std::max(latency_.base_latency_or_hint(), min_attempt_cost);
    return usable_multiple_ / routers_ * warm_fraction * window_ / attempt_cost;
}

// The expected number of attempts that this router wants to send to the node per window; may exceed 1.
double SlowStart::chance_wanted(std::ptrdiff_t eligible_replicas, Nanos now) const {
    if (eligible_replicas <= 0) return 1;
    const double observed_share = 1 - std::exp((began_at_ - now) / static_cast<double>(window_));
    const double attempts = attempts_in_window(now) / observed_share;
    return attempts / endpoints_.ready_nodes() * replicas_per_shard_ / eligible_replicas;
}

double SlowStart::attempts_in_window(Nanos now) const {
    return attempts_.value * std::exp((attempts_.observed_at - now) / static_cast<double>(window_));
}

}  // namespace tealcart::router
