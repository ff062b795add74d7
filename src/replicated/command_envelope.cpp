#include "replicated/command_envelope.hpp"

namespace tealcart::replicated {

using nlohmann::json;

std::vector<std::uint8_t> write_envelope(const CommandEnvelope& envelope, int format_version) {
    return json::to_cbor({{"form", format_version},
                          {"id", envelope.id},
                          {"at", envelope.proposed_at},
                          {"what", json::array({envelope.kind, envelope.body})}});
}

CommandEnvelope read_envelope(const std::uint8_t* bytes, std::size_t size, int format_version,
                              const std::string& subject) {
    const json document = json::from_cbor(bytes, bytes + size);
    check_format_version(document, format_version, subject);
    const json& kind_and_body = document.at("what");
    return {document.at("id"), document.at("at"), kind_and_body.at(0), kind_and_body.at(1)};
}

void check_format_version(const json& document, int supported, const std::string& subject) {
    const int format_version = document.at("form").get<int>();
    if (format_version == supported) return;
    throw CodecError(CodecError::Fault::unsupported_format,
                     subject + " has format version " + std::to_string(format_version) +
                         "; this program reads version " + std::to_string(supported));
}

CodecError unknown_command(const std::string& kind) {
    return {CodecError::Fault::unknown_command, "unknown command kind '" + kind + "'"};
}

CodecError malformed(const std::string& subject, const std::string& reason) {
    return {CodecError::Fault::malformed, "malformed " + subject + ": " + reason};
}

}  // namespace tealcart::replicated
