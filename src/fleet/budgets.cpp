#include "fleet/budgets.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::fleet {

std::size_t Limit::allowed(std::size_t all) const {
    // The share is configured as a decimal fraction, which a binary floating-point number only approximates.
    constexpr double rounding_slack = 1e-9;
    const double by_share = std::floor(max_share * static_cast<double>(all) + rounding_slack);
    return std::min(max_count, static_cast<std::size_t>(std::max(0.0, by_share)));
}

}  // namespace tealcart::fleet
