// Typed access to the members of a JSON object that a peer sent. These functions don't throw.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace tealcart {

// Returns null if the value is not an object or lacks the member.
inline const nlohmann::json* json_member(const nlohmann::json& object, const char* key) {
    if (!object.is_object()) return nullptr;
    const auto found = object.find(key);
    return found == object.end() ? nullptr : &*found;
}

inline std::optional<std::string> json_text(const nlohmann::json& object, const char* key) {
    const nlohmann::json* value = json_member(object, key);
    if (value == nullptr || !value->is_string()) return std::nullopt;
    return value->get<std::string>();
}

// Returns the member if it is a finite number of at least 0.
inline std::optional<double> json_amount(const nlohmann::json& object, const char* key) {
    const nlohmann::json* value = json_member(object, key);
    if (value == nullptr || !value->is_number()) return std::nullopt;
    const double number = value->get<double>();
    if (!std::isfinite(number) || number < 0) return std::nullopt;
    return number;
}

// Returns the member if it is a whole number from 0 to `limit` - 1.
inline std::optional<std::uint32_t> json_index(const nlohmann::json& object, const char* key,
                                               std::uint32_t limit) {
    const nlohmann::json* value = json_member(object, key);
    if (value == nullptr || !value->is_number_unsigned()) return std::nullopt;
    const auto number = value->get<std::uint64_t>();
    if (number >= limit) return std::nullopt;
    return static_cast<std::uint32_t>(number);
}

}  // namespace tealcart
