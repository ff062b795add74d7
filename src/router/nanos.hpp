// The time type of the decision module: whole nanoseconds of the caller's clock.
#pragma once

#include <cstdint>

namespace tealcart {

using Nanos = std::int64_t;  // a point in time of the caller's clock, or a duration

namespace router {

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos second = 1000 * millisecond;
constexpr Nanos never = INT64_MAX;

}  // namespace router
}  // namespace tealcart
