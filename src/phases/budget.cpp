#include "phases/budget.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart {

Nanos first_phase_end(const TwoPhaseConfig& config, Nanos now, Nanos useful_by) {
    const Nanos left = useful_by - config.keep - now;
    const auto stated =
        static_cast<Nanos>(std::llround(config.share * static_cast<double>(std::max<Nanos>(left, 0))));
    const Nanos first = std::clamp(stated, config.least, config.most);
    // The second phase gets no less than the first at its least.
    return first + config.least > left ? now : now + first;
}

}  // namespace tealcart
