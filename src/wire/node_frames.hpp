// The frames that query routers and data nodes exchange. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "router/query_router.hpp"

namespace tealcart {

// The longest frame accepted from a data node, in bytes: a value that no response could hold is not worth its
// memory.
constexpr std::size_t max_frame_bytes = 65UL * 1024;

// A frame as read from a data node.
struct Frame {
    char type = 0;  // its type
    std::string_view payload;
};

// What reading a frame came to: more bytes are needed, one was read, or the length can't be one.
enum class FrameStatus : std::uint8_t { incomplete, complete, malformed };

// Reads one frame from the front of `in`; the frame refers to its bytes.
FrameStatus take_frame(std::string_view& in, Frame& frame);

// Appends a frame's length and type; so many bytes must follow.
void append_frame_header(std::string& out, char type, std::size_t payload);

// The line of a shard request in a frame of attempts.
struct ShardRequestLine {
    std::string_view query;  // its id
    std::uint32_t shard = 0;
    std::int64_t wait_ms = 0;  // for how long the answer is waited for
    std::string_view key;      // empty for none
    std::size_t length = 0;    // of the query's text, which follows the line, in bytes
};
void write_shard_request_line(std::string& out, const ShardRequestLine& line);
void write_shard_request_id(std::string& out, std::string_view query, std::uint32_t shard);

// An answer of a data node to one shard request.
struct NodeAnswer {
    std::string_view query;
    std::uint32_t shard = 0;
    Outcome outcome = Outcome::error;
    std::string_view value;
    bool malformed = false;  // whose shard request it is can be told, but not how that ended
};

// None if the line can't be read. An end that is not known counts as an error: the shard request may have
// run. Of the load report nothing is asked.
std::optional<NodeAnswer> read_node_answer(std::string_view payload);

}  // namespace tealcart
