// Fan-out control: how many of a query's shard requests are sent, heaviest first.
//
// Each query class has a current width, which is the number of shard requests to send, and a maximum width,
// which is the most shard requests that a query of the class has had. Without pressure the width grows to the
// maximum; under pressure it is cut by a share of the maximum each second. A query gets at least one shard
// request, more if its two heaviest are close in weight, and always enough to reach its minimum answer
// weight.
//
// docs/design.md and the on-call engineers call the current width `p` and the maximum width `k`.
#pragma once

#include <span>
#include <vector>

#include "router/pressure_detector.hpp"
#include "router/query_class.hpp"

namespace tealcart::router {

// Keeps the width of each query class.
class FanOut {
  public:
    explicit FanOut(std::size_t query_classes) : widths_(query_classes) {}

    // Starts the control at the time of the router's first round.
    void begin(Nanos now) { cut_at_ = now; }

    // Widens by the number of attempts that ended without pressure. If pressure has changed, the next cut is
    // due at once.
    void record_evaluation(const PressureDetector::Evaluation& evaluation);
    // Cuts all widths, at most once per second. Called while there is pressure.
    void cut_under_pressure(Nanos now);

    // Returns how many shard requests of a query to send, at least one. `weights` are those of its shard
    // requests, heaviest first, and `min_weight` is the least sum of weights that has to be sent.
    int select(std::uint32_t query_class, std::span<const double> weights, double min_weight);

  private:
    // In shard requests; both are 0 until the first query of the class.
    struct Width {
        double current = 0, max = 0;
    };
    std::vector<Width> widths_;  // by query class
    Nanos cut_at_ = 0;
};

}  // namespace tealcart::router
