#include "wire/frame_queue.hpp"

#include <algorithm>

#include "wire/node_frames.hpp"
#include "wire/phase_frames.hpp"

namespace tealcart {
namespace {

constexpr std::size_t max_frames_per_batch = 64;
constexpr Nanos millisecond = 1'000'000;

using Buffers = std::vector<boost::asio::const_buffer>;

// Encodes the line that precedes an attempt's text.
std::string encode_line(const AttemptMessage& message, Nanos time_left) {
    const QueryText& query = *message.query;
    std::string line;
    if (message.frame_type == 'R')
        write_shard_request_line(
            line, {query.id, message.shard, time_left / millisecond, query.key, query.text.size()});
    else
        write_phase_request_line(line, {{query.id, message.shard, message.leg},
                                        time_left / millisecond,
                                        message.rows,
                                        message.wants_filter,
                                        query.text.size(),
                                        query.criteria.size()});
    return line;
}

}  // namespace

void FrameQueue::push_attempts(std::uint64_t number, std::vector<AttemptMessage> messages) {
    frames_.push_back({number, std::move(messages), {}});
}

void FrameQueue::push_control(char type, std::string_view rest) {
    std::string& bytes = frames_.emplace_back().bytes;
    append_frame_header(bytes, type, rest.size());
    bytes += rest;
}

bool FrameQueue::withdraw(Handle attempt) {
    for (auto frame = frames_.begin(); frame != frames_.end(); ++frame) {
        const auto removed = std::erase_if(
            frame->messages, [attempt](const AttemptMessage& message) { return message.attempt == attempt; });
        if (removed == 0) continue;
        if (frame->messages.empty()) frames_.erase(frame);
        return true;
    }
    return false;
}

std::vector<boost::asio::const_buffer> FrameQueue::begin_batch(Nanos now) {
    Buffers buffers;
    for (std::size_t i = 0; i < max_frames_per_batch && !frames_.empty(); ++i) {
        Frame frame = std::move(frames_.front());
        frames_.pop_front();
        if (frame.number == 0)
            append(buffers, batch_bytes_.emplace_back(std::move(frame.bytes)));
        else
            encode_attempts(frame, now, buffers);
    }
    return buffers;
}

void FrameQueue::append(Buffers& buffers, std::string_view bytes) {
    buffers.emplace_back(bytes.data(), bytes.size());
    batch_size_ += bytes.size();
}

void FrameQueue::encode_attempts(const Frame& frame, Nanos now, Buffers& buffers) {
    const bool two_phase = frame.messages.front().frame_type != 'R';
    std::vector<std::string> lines;
    std::size_t length = 0;
    for (const AttemptMessage& message : frame.messages) {
        // An attempt is always sent with at least 1 ms to run.
        lines.push_back(encode_line(message, std::max<Nanos>(message.deadline - now, millisecond)));
        length += lines.back().size() + message.query->text.size();
        if (two_phase) length += message.query->criteria.size();
    }
    std::string& head = batch_bytes_.emplace_back();
    append_frame_header(head, frame.messages.front().frame_type, length);
    append(buffers, head);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        append(buffers, batch_bytes_.emplace_back(std::move(lines[i])));
        const QueryText& query = *batch_texts_.emplace_back(frame.messages[i].query);
        append(buffers, query.text);
        if (two_phase) append(buffers, query.criteria);
    }
    batch_ends_.emplace_back(frame.number, batch_size_);
}

void FrameQueue::finish_batch() {
    batch_bytes_.clear();
    batch_texts_.clear();
    batch_ends_.clear();
    batch_size_ = 0;
}

bool FrameQueue::was_written(std::uint64_t frame, std::size_t batch_bytes_written) const {
    for (const Frame& queued : frames_)
        if (queued.number == frame) return false;
    for (const auto& [number, end] : batch_ends_)
        if (number == frame && batch_bytes_written < end) return false;
    return true;
}

}  // namespace tealcart
