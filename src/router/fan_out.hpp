// Fan-out, the design's mechanism: to how many of its k shard requests, the heaviest first, a query is sent.
//
// The design's p, the number sent, is kept for each query class against its k, the most shard requests that a
// query of it has had. Without pressure p climbs to k; under pressure it is cut by a share of k each second.
// A query gets at least one shard request, more where its two heaviest are close in weight (the design's
// margin), and as many as its least answer weight takes.
#pragma once

#include <span>
#include <vector>

#include "router/pressure_detector.hpp"
#include "router/query_class.hpp"

namespace tealcart::router {

class FanOut {
  public:
    explicit FanOut(std::size_t query_classes) : widths_(query_classes) {}

    void begin(Nanos now) { cut_at_ = now; }

    // Lets p climb by what has ended without pressure. A change of pressure makes the next cut due at once.
    void record_evaluation(const PressureDetector::Evaluation& evaluation);
    // Cuts p, each second that there is pressure.
    void cut_under_pressure(Nanos now);

    // How many shard requests to send, of a query of the class with these weights, heaviest first; at least
    // one. `min_weight`: the least sum of weights sent.
    int select(std::uint32_t query_class, std::span<const double> weights, double min_weight);

  private:
    struct Width {
        double p = 0, k = 0;  // shard requests; 0 until the first query
    };
    std::vector<Width> widths_;  // by query class
    Nanos cut_at_ = 0;
};

}  // namespace tealcart::router
