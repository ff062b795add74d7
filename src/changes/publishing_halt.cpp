#include "changes/publishing_halt.hpp"

#include <utility>

namespace tealcart::changes {

bool PublishingHalt::trip(std::uint64_t latest, std::size_t refusing, std::size_t live,
                          const Limits& limits) {
    const double max_refusing = limits.halt_refused_share * static_cast<double>(live);
    if (version_ == latest || refusing == 0 || refusing < limits.halt_min_refusals ||
        static_cast<double>(refusing) <= max_refusing)
        return false;
    version_ = latest;
    halted_ = true;
    reason_ = std::to_string(refusing) + " of " + std::to_string(live) + " members refuse version " +
              std::to_string(latest);
    return true;
}

void PublishingHalt::resume() {
    halted_ = false;
    reason_.clear();
}

void PublishingHalt::restore(bool halted, std::string reason, std::uint64_t version) {
    halted_ = halted;
    reason_ = std::move(reason);
    version_ = version;
}

}  // namespace tealcart::changes
