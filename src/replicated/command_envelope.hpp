// The envelope of a command in the replicated log: CBOR of {form, id, at, what: [kind, body]}. A kind is
// stored as a string, so that its meaning does not depend on the order of an enumeration. The format version
// ("form") is incremented with every change that an earlier release can't read.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "replicated/codec_error.hpp"
#include "replicated/state_clock.hpp"

namespace tealcart::replicated {

// The fields that every command carries, around the body of its kind.
struct CommandEnvelope {
    std::string id;
    Nanos proposed_at = 0;
    std::string kind;
    nlohmann::json body;
};

std::vector<std::uint8_t> write_envelope(const CommandEnvelope& envelope, int format_version);

// `subject` names the record in error messages. Throws CodecError (unsupported_format) and
// nlohmann::json::exception.
CommandEnvelope read_envelope(const std::uint8_t* bytes, std::size_t size, int format_version,
                              const std::string& subject);

// Throws CodecError (unsupported_format) if the document has another format version than `supported`.
void check_format_version(const nlohmann::json& document, int supported, const std::string& subject);

// The error for a kind of command that this release does not implement.
CodecError unknown_command(const std::string& kind);

// The error for bytes that can't be decoded as `subject`.
CodecError malformed(const std::string& subject, const std::string& reason);

}  // namespace tealcart::replicated
