#include "router/outlier_detector.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace tealcart::router {
namespace {

constexpr Nanos first_ejection = 250 * millisecond;  // doubled for each consecutive failure
constexpr int max_doublings = 3;                     // limit on the doubling
constexpr int failures_to_report = 3;                // consecutive failures before one is logged
constexpr double ejecting_silence = 3.0;             // multiple of the usual latency
constexpr int silent_share_divisor = 4;  // the fleet responds if at most one in four ready nodes is silent

}  // namespace

void OutlierDetector::restart_node(NodeIndex node) {
    consecutive_failures_[node] = 0;
    ejected_until_[node] = 0;
}

void OutlierDetector::record_failure(NodeIndex node, Nanos now, DecisionSink& sink) {
    // Attempts that were sent before the ejection and fail during it are not counted again.
    if (ejected_until_[node] > now) return;
    int& failures = consecutive_failures_[node];
    const Nanos ejection = first_ejection << std::min(failures, max_doublings);
    ejected_until_[node] = now + ejection;
    ++failures;
    if (failures < failures_to_report || reported_as_failing_[node]) return;
    reported_as_failing_[node] = 1;
    std::array<char, 128> line;
    std::snprintf(line.data(), line.size(), "node %u ejected: %d consecutive failures, for %lld ms",
                  endpoints_.id(node), failures, static_cast<long long>(ejection / millisecond));
    sink.log(line.data());
}

void OutlierDetector::record_success(NodeIndex node, Nanos latency, DecisionSink& sink) {
    if (consecutive_failures_[node] == 0) return;
    --consecutive_failures_[node];
    if (consecutive_failures_[node] > 0 || !reported_as_failing_[node]) return;
    reported_as_failing_[node] = 0;
    std::array<char, 128> line;
    std::snprintf(line.data(), line.size(), "node %u healthy again: latency %d ms", endpoints_.id(node),
                  static_cast<int>(latency / millisecond));
    sink.log(line.data());
}

Nanos OutlierDetector::record_overloaded(NodeIndex node, Nanos now) {
    ejected_until_[node] = std::max(ejected_until_[node], now + first_ejection);
    return first_ejection;
}

void OutlierDetector::check_silence(Nanos now, DecisionSink& sink) {
    if (now - checked_at_ < check_interval_) return;
    checked_at_ = now;
    const std::vector<NodeIndex>& busy = activity_.busy();
    const auto silent = std::count_if(
        busy.begin(), busy.end(), [&](NodeIndex node) { return is_silent(node, suspicious_silence, now); });
    fleet_responds_ = silent_share_divisor * silent <= endpoints_.ready_nodes();
    if (!fleet_responds_) return;
    for (const NodeIndex node : busy)
        if (!is_ejected_or_probing(node, now) && is_silent(node, ejecting_silence, now))
            record_failure(node, now, sink);
}

bool OutlierDetector::is_silent(NodeIndex node, double times, Nanos now) const {
    if (activity_.in_flight(node) == 0) return false;
    const Nanos silence = now - activity_.last_heard(node);
    const double usual = std::max(latency_.node_latency(node, now), latency_.fleet_latency(now));
    return silence > times * usual;
}

}  // namespace tealcart::router
