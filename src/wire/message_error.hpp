// The result of reading a message: the message, or an error that names the malformed field.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace tealcart {

// Describes why a body is not a valid message.
struct MessageError {
    std::string field;   // the malformed JSON member; empty if the body as a whole is malformed
    std::string reason;  // the sentence that is sent to the caller with status 400
};

// Either a message or the first error found while reading it.
template <class Message>
class ReadResult {
  public:
    ReadResult(Message message) : value_(std::in_place_index<0>, std::move(message)) {}
    ReadResult(MessageError error) : value_(std::in_place_index<1>, std::move(error)) {}

    explicit operator bool() const { return value_.index() == 0; }
    // Throws std::bad_variant_access if there is no message.
    Message& operator*() { return std::get<0>(value_); }
    const Message& operator*() const { return std::get<0>(value_); }
    Message* operator->() { return &std::get<0>(value_); }
    const Message* operator->() const { return &std::get<0>(value_); }
    // Throws std::bad_variant_access if there is a message.
    const MessageError& error() const { return std::get<1>(value_); }

  private:
    std::variant<Message, MessageError> value_;
};

}  // namespace tealcart
