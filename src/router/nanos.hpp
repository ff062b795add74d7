// Time in the decision module: whole nanoseconds of the caller's clock.
#pragma once

#include <cstdint>

namespace tealcart {

using Nanos = std::int64_t;  // a time of the caller's clock, or a span of it

namespace router {

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos second = 1000 * millisecond;
constexpr Nanos never = INT64_MAX;

}  // namespace router
}  // namespace tealcart
