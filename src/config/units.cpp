#include "config/units.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <span>

namespace tealcart {
namespace {

struct Unit {
    const char* name;
    double size;
};
constexpr std::array time_units = {Unit{"ns", 1},  Unit{"us", 1e3}, Unit{"ms", 1e6},
                                   Unit{"s", 1e9}, Unit{"m", 60e9}, Unit{"h", 3600e9}};
constexpr std::array byte_units = {Unit{"B", 1}, Unit{"KiB", 1024}, Unit{"MiB", 1 << 20},
                                   Unit{"GiB", 1 << 30}};
constexpr double max_duration_ns = 365 * 24 * 3600e9;
constexpr double max_bytes = 1e15;

// Parses a number with one of the units, as a multiple of the smallest unit.
std::optional<double> parse_with_unit(std::string_view text, std::span<const Unit> units, double max) {
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || !std::isfinite(number) || number < 0) return std::nullopt;
    const std::string_view name(end, static_cast<std::size_t>(text.data() + text.size() - end));
    const auto unit =
        std::find_if(units.begin(), units.end(), [name](const Unit& each) { return name == each.name; });
    if (unit == units.end()) return std::nullopt;
    const double value = number * unit->size;
    return value <= max ? std::optional(value) : std::nullopt;
}

// Returns the largest unit of which `value` is an integer multiple of at least one.
const Unit& largest_exact_unit(double value, std::span<const Unit> units) {
    const Unit* exact = &units.front();
    for (const Unit& unit : units)
        if (value >= unit.size && std::fmod(value, unit.size) == 0) exact = &unit;
    return *exact;
}

}  // namespace

std::optional<Nanos> parse_duration(std::string_view text) {
    const auto value = parse_with_unit(text, time_units, max_duration_ns);
    if (!value) return std::nullopt;
    return std::llround(*value);
}

std::string format_duration(Nanos duration) {
    const auto value = static_cast<double>(duration);
    const Unit& unit = largest_exact_unit(value, time_units);
    return format_number(value / unit.size) + unit.name;
}

std::optional<std::uint64_t> parse_byte_size(std::string_view text) {
    const auto value = parse_with_unit(text, byte_units, max_bytes);
    if (!value) return std::nullopt;
    return static_cast<std::uint64_t>(*value);
}

std::string format_byte_size(std::uint64_t bytes) {
    const Unit& unit = largest_exact_unit(static_cast<double>(bytes), byte_units);
    if (unit.size == 1) return std::to_string(bytes) + unit.name;
    return format_number(static_cast<double>(bytes) / unit.size) + unit.name;
}

std::string format_number(double number) {
    std::array<char, 32> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() ? std::string(text.data(), end) : "?";
}

}  // namespace tealcart
