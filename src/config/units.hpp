// Durations and sizes as operators write them: a number with a unit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "router/query_router.hpp"

namespace tealcart {

// "250ms" or "1.5s", with one of ns us ms s m h. None where the text is no such duration, or one over a year.
std::optional<Nanos> parse_duration(std::string_view text);
// The shortest text for a duration, in the largest unit of which it is a whole multiple.
std::string format_duration(Nanos duration);

// "64KiB", with one of B KiB MiB GiB, in bytes. None where the text is no such size, or one over 10^15 bytes.
std::optional<std::uint64_t> parse_byte_size(std::string_view text);
std::string format_byte_size(std::uint64_t bytes);

// The shortest decimal text that reads back as this number.
std::string format_number(double number);

}  // namespace tealcart
