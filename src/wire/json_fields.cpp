#include "wire/json_fields.hpp"

#include <algorithm>

namespace tealcart {
namespace {

using Json = nlohmann::json;

constexpr Nanos millisecond = 1'000'000;
constexpr std::uint64_t max_duration_ms = 365ULL * 24 * 3600 * 1000;  // a year

}  // namespace

bool is_name(std::string_view text, std::size_t max_bytes) {
    return !text.empty() && text.size() <= max_bytes &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

std::optional<std::string> name_of(const Json& value) {
    if (!value.is_string() || !is_name(value.get_ref<const std::string&>())) return std::nullopt;
    return value.get<std::string>();
}

JsonFields::JsonFields(const Json& object, Nulls nulls) : object_(object), nulls_(nulls) {
    if (!object.is_object()) error_ = MessageError{"", "the body is no JSON object"};
}

const Json* JsonFields::find(const char* key) const {
    if (!object_.is_object()) return nullptr;
    const auto it = object_.find(key);
    if (it == object_.end() || (nulls_ == Nulls::missing && it->is_null())) return nullptr;
    return &*it;
}

void JsonFields::name(const char* key, std::string& to, Presence presence, const char* reason) {
    if (error_) return;
    const Json* value = find(key);
    if (value == nullptr) {
        if (presence == Presence::required) fail(key, reason);
        return;
    }
    auto name = name_of(*value);
    if (!name) return fail(key, reason);
    to = std::move(*name);
}

void JsonFields::number(const char* key, std::uint64_t& to, const char* reason) {
    const Json* value = find(key);
    if (error_ || value == nullptr) return;
    if (!value->is_number_unsigned()) return fail(key, reason);
    to = value->get<std::uint64_t>();
}

void JsonFields::positive_number(const char* key, std::uint64_t& to, const char* reason) {
    to = 0;
    number(key, to, reason);
    if (to == 0) fail(key, reason);
}

void JsonFields::duration(const char* key, Nanos& to, const char* reason) {
    std::uint64_t in_ms = static_cast<std::uint64_t>(to / millisecond);
    number(key, in_ms, reason);
    if (error_) return;
    if (in_ms > max_duration_ms) return fail(key, reason);
    to = static_cast<Nanos>(in_ms) * millisecond;
}

void JsonFields::flag(const char* key, bool& to, const char* reason) {
    const Json* value = find(key);
    if (error_ || value == nullptr) return;
    if (!value->is_boolean()) return fail(key, reason);
    to = value->get<bool>();
}

void JsonFields::text(const char* key, std::string& to, std::size_t max_bytes, const char* reason,
                      bool (*accepts)(char)) {
    const Json* value = find(key);
    if (error_ || value == nullptr) return;
    if (!value->is_string()) return fail(key, reason);
    const auto& read = value->get_ref<const std::string&>();
    if (read.size() > max_bytes) return fail(key, reason);
    if (accepts != nullptr && !std::all_of(read.begin(), read.end(), accepts)) return fail(key, reason);
    to = read;
}

void JsonFields::fail(const char* key, const char* reason) {
    if (!error_) error_ = MessageError{key, reason};
}

}  // namespace tealcart
