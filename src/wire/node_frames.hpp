// Encodes and decodes the frames between query routers and data nodes. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "router/query_router.hpp"

namespace tealcart {

// The longest frame accepted from a data node. A longer value would not fit into a response to a client, so
// it is not worth its memory.
constexpr std::size_t max_frame_bytes = 65UL * 1024;

// A frame received from a data node.
struct Frame {
    char type = 0;  // a letter
    std::string_view payload;
};

// The result of reading a frame. A frame is malformed if its stated length is impossible.
enum class FrameStatus : std::uint8_t { incomplete, complete, malformed };

// Removes one frame from the front of `in`. The frame refers to the bytes of `in`.
FrameStatus take_frame(std::string_view& in, Frame& frame);

// Appends a frame's length and type. The caller must append `payload` bytes after them.
void append_frame_header(std::string& out, char type, std::size_t payload);

// The line of a shard request in a frame of attempts. The query's text follows it.
struct ShardRequestLine {
    std::string_view query;  // the query's id
    std::uint32_t shard = 0;
    std::int64_t wait_ms = 0;  // how long the router waits for the answer
    std::string_view key;      // the idempotency key; empty for none
    std::size_t length = 0;    // of the query's text in bytes
};
void write_shard_request_line(std::string& out, const ShardRequestLine& line);
void write_shard_request_id(std::string& out, std::string_view query, std::uint32_t shard);

// A data node's answer to a shard request.
struct NodeAnswer {
    std::string_view query;
    std::uint32_t shard = 0;
    Outcome outcome = Outcome::error;
    std::string_view value;
    bool malformed = false;  // the shard request is known, but not its outcome
};

// Returns nullopt if the line is malformed. An unknown outcome counts as an error, since the shard request
// may have run. The load report may have any content.
std::optional<NodeAnswer> read_node_answer(std::string_view payload);

}  // namespace tealcart
