// Reads the fields of a JSON object and keeps the first error. Only included by the .cpp files of messages,
// since it includes the JSON library.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "router/query_router.hpp"
#include "wire/message_error.hpp"

namespace tealcart {

constexpr std::size_t max_name_bytes = 128;      // of the name of a member, relay, zone or data node
constexpr std::size_t max_list_items = 100'000;  // of one list in a message

// Returns whether the text consists of 1 to `max_bytes` printable ASCII characters without blanks.
bool is_name(std::string_view text, std::size_t max_bytes = max_name_bytes);
// Returns the value as a name, or nullopt if it is not a valid name.
std::optional<std::string> name_of(const nlohmann::json& value);

// Reads fields into variables. A variable keeps its value if its field is optional and missing. After the
// first error, further calls have no effect. `reason` is part of the protocol, since clients may compare it.
class JsonFields {
  public:
    enum class Presence : std::uint8_t { optional, required };
    enum class Nulls : std::uint8_t {
        missing,  // a null field counts as missing
        values    // null is a value, which no method below accepts
    };

    explicit JsonFields(const nlohmann::json& object, Nulls nulls = Nulls::missing);

    // Returns the value of a field, or nullptr if it is missing.
    const nlohmann::json* find(const char* key) const;

    void name(const char* key, std::string& to, Presence presence, const char* reason);
    void number(const char* key, std::uint64_t& to, const char* reason);
    void positive_number(const char* key, std::uint64_t& to, const char* reason);
    // Reads a duration, which is stated in whole milliseconds, of at most a year.
    void duration(const char* key, Nanos& to, const char* reason);
    void flag(const char* key, bool& to, const char* reason);
    // `accepts` returns whether the text may contain a byte; nullptr accepts all.
    void text(const char* key, std::string& to, std::size_t max_bytes, const char* reason,
              bool (*accepts)(char) = nullptr);
    // `read_item(item, to)` returns false for a malformed item.
    template <class Item, class ReadItem>
    void list(const char* key, std::vector<Item>& to, ReadItem read_item, const char* reason);

    void fail(const char* key, const char* reason);
    bool ok() const { return !error_; }
    // Returns the first error, or this message if there was none.
    template <class Message>
    ReadResult<Message> result(Message message) &&;

  private:
    const nlohmann::json& object_;
    const Nulls nulls_;
    std::optional<MessageError> error_;
};

template <class Item, class ReadItem>
void JsonFields::list(const char* key, std::vector<Item>& to, ReadItem read_item, const char* reason) {
    const nlohmann::json* items = find(key);
    if (error_ || items == nullptr) return;
    if (!items->is_array() || items->size() > max_list_items) return fail(key, reason);
    for (const nlohmann::json& item : *items)
        if (!read_item(item, to.emplace_back())) return fail(key, reason);
}

template <class Message>
ReadResult<Message> JsonFields::result(Message message) && {
    if (error_) return std::move(*error_);
    return message;
}

}  // namespace tealcart
