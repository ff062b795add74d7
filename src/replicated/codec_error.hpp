// The error for stored bytes that can't be decoded: a command of the replicated log, or a snapshot.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace tealcart::replicated {

// Thrown when stored bytes are not in a format that the reader supports.
class CodecError : public std::runtime_error {
  public:
    enum class Fault : std::uint8_t {
        malformed,           // truncated, corrupted, or not this kind of record at all
        unsupported_format,  // written by another release, under another format version
        unknown_command,     // a kind of command that this release does not implement
        dangling_reference   // refers to an item that the same bytes should contain but don't
    };

    CodecError(Fault fault, const std::string& message) : std::runtime_error(message), fault_(fault) {}

    Fault fault() const { return fault_; }

  private:
    Fault fault_;
};

}  // namespace tealcart::replicated
