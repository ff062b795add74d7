#include "wire/node_frames.hpp"

#include <charconv>

#include "wire/response_body.hpp"

namespace tealcart {

FrameStatus take_frame(std::string_view& in, Frame& frame) {
    if (in.size() < 4) return FrameStatus::incomplete;
    std::uint32_t length = 0;
    for (int i = 3; i >= 0; --i) length = length << 8 | static_cast<unsigned char>(in[i]);
    if (length == 0 || length > max_frame_bytes) return FrameStatus::malformed;
    if (in.size() < 4 + std::size_t{length}) return FrameStatus::incomplete;
    frame = {in[4], in.substr(5, length - 1)};
    in.remove_prefix(4 + std::size_t{length});
    return FrameStatus::complete;
}

void append_frame_header(std::string& out, char type, std::size_t rest) {
    const auto length = static_cast<std::uint32_t>(rest + 1);
    for (int i = 0; i < 4; ++i) out += static_cast<char>(length >> (8 * i) & 0xff);
    out += type;
}

void write_shard_request_id(std::string& out, std::string_view query, std::uint32_t shard) {
    out.append(query).append(1, '.').append(std::to_string(shard));
}

void write_shard_request_line(std::string& out, const ShardRequestLine& line) {
    write_shard_request_id(out, line.query, line.shard);
    out.append(1, ' ').append(std::to_string(line.shard));
    out.append(" d=").append(std::to_string(line.wait_ms));
    if (!line.key.empty()) out.append(",k=").append(line.key);
    out.append(1, ' ').append(std::to_string(line.length)).append(1, '\n');
}

std::optional<NodeAnswer> read_node_answer(std::string_view rest) {
    const auto end = rest.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view line = rest.substr(0, end);
    const auto next_word = [&line] {
        const auto space = line.find(' ');
        const std::string_view taken = line.substr(0, space);
        line.remove_prefix(space == std::string_view::npos ? line.size() : space + 1);
        return taken;
    };
    // The score and the load report are not used, since the outcomes are more informative.
    const std::string_view id = next_word(), status = next_word(), score = next_word();
    const auto dot = id.rfind('.');
    if (dot == std::string_view::npos || dot == 0 || status.empty()) return std::nullopt;
    NodeAnswer answer;
    answer.query = id.substr(0, dot);
    const std::string_view shard = id.substr(dot + 1);
    const auto [at, ec] = std::from_chars(shard.data(), shard.data() + shard.size(), answer.shard);
    if (ec != std::errc() || at != shard.data() + shard.size()) return std::nullopt;
    const bool scored =
        !score.empty() && score.find_first_not_of("0123456789") == score.npos && !line.empty();
    answer.value = rest.substr(end + 1);
    if (status == "OK") answer.outcome = Outcome::ok;
    if (status == "REJECTED") answer.outcome = Outcome::overloaded;
    answer.malformed = !scored || (status != "OK" && status != "REJECTED" && status != "ERROR") ||
                       (answer.outcome == Outcome::ok && !is_utf8(answer.value));
    if (answer.malformed) answer.outcome = Outcome::error;
    return answer;
}

}  // namespace tealcart
