#include "phases/budget.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart {

Nanos first_phase_end(const TwoPhaseConfig& config, Nanos now, Nanos useful_by) {
    const Nanos left = useful_by - config.response_reserve - now;
    const auto configured = static_cast<Nanos>(
        std::llround(config.first_phase_share * static_cast<double>(std::max<Nanos>(left, 0))));
    const Nanos first = std::clamp(configured, config.min_first_phase, config.max_first_phase);
    // The second phase gets at least as much time as the shortest first phase.
    return first + config.min_first_phase > left ? now : now + first;
}

}  // namespace tealcart
