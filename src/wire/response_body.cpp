#include "wire/response_body.hpp"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <utility>

namespace tealcart {
namespace {

constexpr unsigned char first_printable = 0x20;

bool needs_escape(char c) { return c == '"' || c == '\\' || static_cast<unsigned char>(c) < first_printable; }

void append_escape(std::string& out, char c) {
    out += '\\';
    if (c == '"' || c == '\\') {
        out += c;
        return;
    }
    constexpr char digits[] = "0123456789abcdef";
    out += "u00";
    out += digits[c >> 4];
    out += digits[c & 15];
}

void append_escaped(std::string& out, std::string_view text) {
    for (auto at = text.begin(); at != text.end();) {
        const auto escaped = std::find_if(at, text.end(), needs_escape);
        out.append(at, escaped);
        at = escaped;
        if (at != text.end()) append_escape(out, *at++);
    }
}

}  // namespace

QueryResponseBody::QueryResponseBody(bool complete)
    : out_(complete ? R"({"all_in":true,"matches":[)" : R"({"all_in":false,"matches":[)") {}

// Keeps the value's bytes as they are and escapes only what JSON requires.
void QueryResponseBody::add(std::uint32_t shard, std::string_view value) {
    if (!first_) out_ += ',';
    first_ = false;
    out_ += "{\"segment\":";
    out_ += std::to_string(shard);
    out_ += ",\"payload\":\"";
    append_escaped(out_, value);
    out_ += "\"}";
}

std::string QueryResponseBody::finish() { return std::move(out_ += "]}"); }

std::string QueryResponseBody::finish(const SectionCoverage& stated) {
    add_count("],\"answered\":", stated.answered);
    add_count("},\"pruned\":", stated.pruned);
    add_count("},\"missing\":", stated.missing);
    out_ += ",\"segments\":[";
    for (std::size_t i = 0; i < stated.missing_shards.size(); ++i)
        out_.append(i > 0 ? "," : "").append(std::to_string(stated.missing_shards[i]));
    return std::move(out_ += "]}}");
}

void QueryResponseBody::add_count(const char* opening, const SectionCoverage::Count& count) {
    char weight[32];
    const auto end = std::to_chars(weight, weight + sizeof weight, count.weight).ptr;
    out_.append(opening).append("{\"sections\":").append(std::to_string(count.sections));
    out_.append(",\"weight\":").append(weight, end);
}

bool is_utf8(std::string_view text) {
    using Utf8 = boost::locale::utf::utf_traits<char>;
    for (auto at = text.begin(); at != text.end();) {
        const auto code_point = Utf8::decode(at, text.end());
        if (code_point == boost::locale::utf::illegal || code_point == boost::locale::utf::incomplete)
            return false;
    }
    return true;
}

std::string write_error(std::string_view message) {
    std::string out = "{\"error\":\"";
    return out.append(message).append("\"}");
}

}  // namespace tealcart
