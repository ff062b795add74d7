// Durations and sizes in the notation of operators' files, which is a number with a unit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "router/query_router.hpp"

namespace tealcart {

// Parses a duration such as "250ms" or "1.5s", with one of the units ns us ms s m h. Returns none if the text
// is not a duration or exceeds a year.
std::optional<Nanos> parse_duration(std::string_view text);
// Formats a duration in the largest unit of which it is an integer multiple.
std::string format_duration(Nanos duration);

// Parses a size such as "64KiB", with one of the units B KiB MiB GiB, to bytes. Returns none if the text is
// not a size or exceeds 10^15 bytes.
std::optional<std::uint64_t> parse_byte_size(std::string_view text);
// Formats a size in the largest unit of which it is an integer multiple.
std::string format_byte_size(std::uint64_t bytes);

// Returns the shortest decimal text that parses to exactly this number.
std::string format_number(double number);

}  // namespace tealcart
