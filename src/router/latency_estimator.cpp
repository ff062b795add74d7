#include "router/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::router {
namespace {

constexpr double decay_time = 20 * second;  // an observation of this age keeps a weight of 1/e

// The weight of a new sample in each estimate.
constexpr double fleet_sample_share = 0.02;
constexpr double group_sample_share = 0.04;
constexpr double min_node_sample_share = 0.2;
constexpr double max_node_sample_share = 0.8;
constexpr double full_share_after = 6 * second;  // time constant of the growth of a node's sample weight
constexpr double in_flight_sample_share = 0.2;
constexpr double hint_sample_share = 0.02;

// The base latency moves toward a faster attempt by the first share of the difference, and grows with each
// slower attempt by the second share of itself.
constexpr double base_decrease_share = 0.2;
constexpr double base_increase_share = 0.01;

// Hints are estimates, so relative costs are clamped to these bounds.
constexpr double min_relative_cost = 0.25;
constexpr double max_relative_cost = 8.0;

double decayed(DecayingValue observed, double toward, Nanos now) {
    if (observed.observed_at == 0) return toward;
    const auto age = static_cast<double>(now - observed.observed_at);
    return toward + (observed.value - toward) * std::exp(-age / decay_time);
}

// The older the last sample of a node, the more a new one counts, so that even one sample in ten seconds
// moves the estimate.
double node_sample_share(Nanos last_sample_at, Nanos now) {
    const auto age = static_cast<double>(now - last_sample_at);
    return std::max(min_node_sample_share, max_node_sample_share * (1 - std::exp(-age / full_share_after)));
}

}  // namespace

void LatencyEstimator::add_node(NodeIndex node) {
    reset_node(node, group_of_, node_latency_, failure_share_, in_flight_ahead_);
}

void LatencyEstimator::set_group(NodeIndex node, std::uint32_t group) {
    group_of_[node] = group_index_.insert(group);
    group_latency_.resize(group_index_.size());
}

void LatencyEstimator::restart_node(NodeIndex node, double warm_fraction, Nanos now) {
    node_latency_[node] = {fleet_latency(now) / std::sqrt(warm_fraction), now};
    in_flight_ahead_[node] = 0;
}

double LatencyEstimator::relative_cost(Nanos hint) {
    const auto cost = static_cast<double>(hint);
    usual_hint_ += (cost - usual_hint_) * (usual_hint_ == 0 ? 1 : hint_sample_share);
    return std::clamp(cost / usual_hint_, min_relative_cost, max_relative_cost);
}

void LatencyEstimator::record_success(NodeIndex node, Nanos latency, double cost, int in_flight_ahead,
                                      Nanos now) {
    const auto sample = static_cast<double>(latency);
    if (base_latency_ == 0) {
        base_latency_ += sample;
    } else if (sample < base_latency_) {
        base_latency_ += (sample - base_latency_) * base_decrease_share;
    } else {
        base_latency_ += base_latency_ * base_increase_share;
    }
    record_sample(node, sample / cost, in_flight_ahead, now);
}

void LatencyEstimator::record_cancelled(NodeIndex node, Nanos elapsed, int in_flight_ahead, Nanos now) {
    const auto sample = static_cast<double>(elapsed);
    if (sample > node_latency(node, now)) record_sample(node, sample, in_flight_ahead, now);
}

void LatencyEstimator::record_outcome(NodeIndex node, bool failed, Nanos now) {
    const double before = failure_share(node, now);
    const double change = (failed ? 1 : 0) - before;
    failure_share_[node] = {before + change * node_sample_share(failure_share_[node].observed_at, now), now};
}

double LatencyEstimator::fleet_latency(Nanos now) const {
    return decayed(fleet_latency_, base_latency_, now);
}

double LatencyEstimator::node_latency(NodeIndex node, Nanos now) const {
    const double group = decayed(group_latency_[group_of_[node]], fleet_latency(now), now);
    return decayed(node_latency_[node], group, now);
}

double LatencyEstimator::expected_latency(NodeIndex node, Nanos now) const {
    const int in_flight = activity_.in_flight(node);
    const double more_ahead = in_flight - in_flight_ahead_[node];
    const double by_queue = std::max(base_latency_, node_latency(node, now) + more_ahead * base_latency_);
    if (in_flight == 0) return by_queue;
    return std::max(by_queue, static_cast<double>(now - activity_.last_heard(node)));
}

double LatencyEstimator::expected_until_served(NodeIndex node, Nanos now) const {
    return expected_latency(node, now) / (1 - failure_share(node, now));
}

double LatencyEstimator::failure_share(NodeIndex node, Nanos now) const {
    return decayed(failure_share_[node], 0, now);
}

void LatencyEstimator::record_sample(NodeIndex node, double latency, int in_flight_ahead, Nanos now) {
    DecayingValue& group_estimate = group_latency_[group_of_[node]];
    DecayingValue& node_estimate = node_latency_[node];
    const double fleet = fleet_latency(now);
    const double group = decayed(group_estimate, fleet, now);
    const double own = decayed(node_estimate, group, now);
    const double own_share = node_sample_share(node_estimate.observed_at, now);
    const bool is_first = fleet_latency_.observed_at == 0;
    fleet_latency_ = {is_first ? latency : fleet + (latency - fleet) * fleet_sample_share, now};
    group_estimate = {is_first ? latency : group + (latency - group) * group_sample_share, now};
    node_estimate = {is_first ? latency : own + (latency - own) * own_share, now};
    in_flight_ahead_[node] += (in_flight_ahead - in_flight_ahead_[node]) * in_flight_sample_share;
}

}  // namespace tealcart::router
