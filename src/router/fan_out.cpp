#include "router/fan_out.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::router {
namespace {

constexpr double cut_share = 0.25;  // of the maximum width
constexpr Nanos cut_interval = second;
constexpr double growth_per_outcome = 0.125;  // shard requests, for each attempt that ended without pressure
constexpr double min_growth = 1;              // shard requests per evaluation
constexpr double max_growth_share = 0.5;      // of the maximum width, per evaluation
constexpr double close_weight_margin = 0.05;  // the two heaviest weights are close if they differ by less
constexpr int min_width_if_close = 3;         // least number of shard requests sent in that case

}  // namespace

void FanOut::record_evaluation(const PressureDetector::Evaluation& evaluation) {
    if (evaluation.has_changed) cut_at_ = 0;
    if (evaluation.pressure) return;
    for (Width& width : widths_) {
        const double max_growth = std::max(min_growth, max_growth_share * width.max);
        const double growth = std::clamp(growth_per_outcome * evaluation.ended, min_growth, max_growth);
        width.current = std::min(width.max, width.current + growth);
    }
}

void FanOut::cut_under_pressure(Nanos now) {
    if (now - cut_at_ < cut_interval) return;
    cut_at_ = now;
    for (Width& width : widths_) width.current = std::max(1.0, width.current - cut_share * width.max);
}

int FanOut::select(std::uint32_t query_class, std::span<const double> weights, double min_weight) {
    Width& width = widths_[query_class];
    const int shard_requests = static_cast<int>(weights.size());
    if (shard_requests > width.max) {
        width.current += shard_requests - width.max;
        width.max = shard_requests;
    }
    int selected = std::clamp(static_cast<int>(std::lround(width.current * shard_requests / width.max)), 1,
                              shard_requests);
    if (shard_requests >= min_width_if_close && weights[0] - weights[1] < close_weight_margin)
        selected = std::max(selected, min_width_if_close);
    double sum = 0;
    int summed = 0;
    while (summed < shard_requests && (summed < selected || sum < min_weight)) {
        sum += weights[static_cast<std::size_t>(summed)];
        ++summed;
    }
    return std::max(selected, summed);
}

}  // namespace tealcart::router
