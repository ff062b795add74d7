// How the time of a query in two phases is divided. Pure.
#pragma once

#include "phases/two_phase_config.hpp"

namespace tealcart {

// When a first phase that begins now has to end: `now` where there is no time for one. What it doesn't use is
// left to the second, which counts by the same clock. `useful_by` is when the answer is due: the SLO time or,
// once that is over, the end of the client's patience.
Nanos first_phase_end(const TwoPhaseConfig& config, Nanos now, Nanos useful_by);

}  // namespace tealcart
