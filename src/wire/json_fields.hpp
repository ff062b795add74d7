// Reads the fields of one JSON object and keeps the first error. For the .cpp files of messages only.
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

constexpr std::size_t max_name_bytes = 128;      // of a member, a relay, a zone, a data node
constexpr std::size_t max_list_items = 100'000;  // of a list in a message

// Whether it is 1 to `max_bytes` printable ASCII characters without blanks.
bool is_name(std::string_view text, std::size_t max_bytes = max_name_bytes);
// The name that a JSON value is; nothing where it is none.
std::optional<std::string> name_of(const nlohmann::json& value);

// A field that is missing keeps the value that it is given, unless it is required. After the first error the
// further calls change nothing. `reason` is a sentence of the protocol: clients may compare it.
class JsonFields {
  public:
    enum class Presence : std::uint8_t { optional, required };
    enum class Nulls : std::uint8_t {
        missing,  // a field whose value is null counts as missing
        values    // it is a value, which no reader below accepts
    };

    explicit JsonFields(const nlohmann::json& object, Nulls nulls = Nulls::missing);

    // The value of a field; nullptr where it is missing.
    const nlohmann::json* find(const char* key) const;

    void name(const char* key, std::string& to, Presence presence, const char* reason);
    void number(const char* key, std::uint64_t& to, const char* reason);
    void positive_number(const char* key, std::uint64_t& to, const char* reason);
    // In whole milliseconds on the wire, a year at most; nanoseconds here.
    void duration(const char* key, Nanos& to, const char* reason);
    void flag(const char* key, bool& to, const char* reason);
    // `accepts`: which bytes it may consist of; nullptr: any.
    void text(const char* key, std::string& to, std::size_t max_bytes, const char* reason,
              bool (*accepts)(char) = nullptr);
    // `read_item(item, to)` is false for a malformed item.
    template <class Item, class ReadItem>
    void list(const char* key, std::vector<Item>& to, ReadItem read_item, const char* reason);

    void fail(const char* key, const char* reason);
    bool ok() const { return !error_; }
    // The first error, or this message.
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
