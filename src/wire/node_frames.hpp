// The frames that query routers and data nodes exchange. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "router/query_router.hpp"

namespace tealcart {

// The longest frame let in from a data node: a value that no answer could hold is not worth its memory.
constexpr std::size_t max_frame = 64 * 1024 + 1024;

struct Frame {
    char letter = 0;
    std::string_view rest;
};

enum class Framing : std::uint8_t { more, frame, lost };

// Takes one frame from the front of `in`, which keeps its bytes.
Framing take_frame(std::string_view& in, Frame& frame);

void start_frame(std::string& out, char letter, std::size_t rest);

// A shard request's line in a frame of calls; so many bytes of text follow it.
struct PartLine {
    std::string_view query;  // its id
    std::uint32_t shard = 0;
    std::int64_t wait_ms = 0;
    std::string_view key;  // empty for none
    std::size_t length = 0;
};
void write_shard_request_line(std::string& out, const PartLine& line);
void write_shard_request_id(std::string& out, std::string_view query, std::uint32_t shard);

struct NodeAnswer {
    std::string_view query;
    std::uint32_t shard = 0;
    Outcome outcome = Outcome::error;
    std::string_view value;
    bool malformed = false;  // whose shard request it is can be told, but not how that ended
};

// None if the line can't be read. An end that is not known counts as an error: the shard request may have
// run. Of the load report nothing is asked.
std::optional<NodeAnswer> read_node_answer(std::string_view rest);

}  // namespace tealcart
