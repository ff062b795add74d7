// What stands around a command in the log: CBOR of {form, id, at, what: [kind, body]}. Each kind has a word
// of its own, so that none changes its meaning with the order of a list. The number for the form goes up with
// every change that an earlier release can't read.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "replicated/codec_error.hpp"
#include "replicated/state_clock.hpp"

namespace tealcart::replicated {

// What every command carries beside its own fields.
struct CommandEnvelope {
    std::string id;
    Nanos proposed_at = 0;
    std::string kind;
    nlohmann::json body;
};

std::vector<std::uint8_t> write_envelope(const CommandEnvelope& envelope, int format_version);

// `subject` names in errors what is read. Throws CodecError (unsupported_form) and nlohmann::json::exception.
CommandEnvelope read_envelope(const std::uint8_t* bytes, std::size_t size, int format_version,
                              const std::string& subject);

// Throws CodecError (unsupported_form) where the document is of another form than this release reads.
void check_format_version(const nlohmann::json& document, int supported, const std::string& subject);

// The error for a kind of command that this release does not have.
CodecError unknown_command(const std::string& kind);

// The error for bytes that are not what `subject` looks like.
CodecError malformed(const std::string& subject, const std::string& why);

}  // namespace tealcart::replicated
