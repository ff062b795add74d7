#include "router/fan_out.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::router {
namespace {

constexpr double cut_share = 0.25;  // of k
constexpr Nanos cut_interval = second;
constexpr double climb_per_outcome = 0.125;   // shard requests, for each that has ended without pressure
constexpr double min_climb = 1;               // shard requests an evaluation
constexpr double max_climb_share = 0.5;       // of k, an evaluation
constexpr double close_weight_margin = 0.05;  // the design's margin between the two heaviest
constexpr int min_width_if_close = 3;         // the least p where they are closer

}  // namespace

void FanOut::record_evaluation(const PressureDetector::Evaluation& evaluation) {
    if (evaluation.has_changed) cut_at_ = 0;
    if (evaluation.pressure) return;
    for (Width& width : widths_) {
        const double max_climb = std::max(min_climb, max_climb_share * width.k);
        const double climb = std::clamp(climb_per_outcome * evaluation.ended, min_climb, max_climb);
        width.p = std::min(width.k, width.p + climb);
    }
}

void FanOut::cut_under_pressure(Nanos now) {
    if (now - cut_at_ < cut_interval) return;
    cut_at_ = now;
    for (Width& width : widths_) width.p = std::max(1.0, width.p - cut_share * width.k);
}

int FanOut::select(std::uint32_t query_class, std::span<const double> weights, double min_weight) {
    Width& width = widths_[query_class];
    const int k = static_cast<int>(weights.size());
    if (k > width.k) {
        width.p += k - width.k;
        width.k = k;
    }
    int p = std::clamp(static_cast<int>(std::lround(width.p * k / width.k)), 1, k);
    if (k >= min_width_if_close && weights[0] - weights[1] < close_weight_margin)
        p = std::max(p, min_width_if_close);
    double sum = 0;
    int summed = 0;
    while (summed < k && (summed < p || sum < min_weight)) {
        sum += weights[static_cast<std::size_t>(summed)];
        ++summed;
    }
    return std::max(p, summed);
}

}  // namespace tealcart::router
