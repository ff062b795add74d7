// Divides the remaining time of a two-phase query between its phases. Pure functions.
#pragma once

#include "phases/two_phase_config.hpp"

namespace tealcart {

// Returns the deadline of a first phase that starts now, or `now` if there is not enough time for one. Time
// that the first phase leaves unused is available to the second, because both measure time on the same clock.
// `useful_by` is when the response is due: the time of the latency objective or, after that has passed, the
// client's deadline.
Nanos first_phase_end(const TwoPhaseConfig& config, Nanos now, Nanos useful_by);

}  // namespace tealcart
