// The outcome of reading a message: the message, or which of its fields is malformed.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace tealcart {

// Why a body is not the message that it should be.
struct MessageError {
    std::string field;   // the JSON member at fault; empty: the body as such
    std::string reason;  // one sentence, as it is answered to the caller with status 400
};

// Either a message or the first error found while reading it.
template <class Message>
class ReadResult {
  public:
    ReadResult(Message message) : value_(std::in_place_index<0>, std::move(message)) {}
    ReadResult(MessageError error) : value_(std::in_place_index<1>, std::move(error)) {}

    explicit operator bool() const { return value_.index() == 0; }
    // Only where there is a message; throws std::bad_variant_access otherwise.
    Message& operator*() { return std::get<0>(value_); }
    const Message& operator*() const { return std::get<0>(value_); }
    Message* operator->() { return &std::get<0>(value_); }
    const Message* operator->() const { return &std::get<0>(value_); }
    // Only where there is none; throws std::bad_variant_access otherwise.
    const MessageError& error() const { return std::get<1>(value_); }

  private:
    std::variant<Message, MessageError> value_;
};

}  // namespace tealcart
