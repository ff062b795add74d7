// What can be wrong with stored bytes: a command of the log or a snapshot.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace tealcart::replicated {

// Bytes are not of the form that the reader knows.
class CodecError : public std::runtime_error {
  public:
    enum class Fault : std::uint8_t {
        malformed,           // no such bytes were ever written: cut off, spoilt, or of something else
        unsupported_format,  // written by another release, under another number for the form
        unknown_command,     // a kind of command that this release does not have
        dangling_reference   // names something that the same bytes should hold and don't
    };

    CodecError(Fault fault, const std::string& message) : std::runtime_error(message), fault_(fault) {}

    Fault fault() const { return fault_; }

  private:
    Fault fault_;
};

}  // namespace tealcart::replicated
