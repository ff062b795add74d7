// The outgoing frames of one connection to a data node, written in batches.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/attempt_message.hpp"

namespace tealcart {

// Queues frames until they are encoded into a batch, which is one write on the socket.
class FrameQueue {
  public:
    // Queues a frame of attempts. Frame numbers are above 0 and unique.
    void push_attempts(std::uint64_t number, std::vector<AttemptMessage> messages);
    // Queues a frame without attempts, for example a cancellation.
    void push_control(char type, std::string_view rest);

    // Removes an attempt that is not yet part of a batch. Returns false if it is not queued.
    bool withdraw(Handle attempt);
    // Removes all queued attempts for which `matches(message)` holds, and returns their handles.
    template <typename Predicate>
    std::vector<Handle> remove_if(Predicate matches);

    // Moves at most 64 frames from the queue into the next batch and encodes them. The buffers stay valid
    // until `finish_batch`. The queue must not be empty, and the previous batch must be finished.
    std::vector<boost::asio::const_buffer> begin_batch(Nanos now);
    void finish_batch();
    bool batch_has_attempts() const { return !batch_ends_.empty(); }

    // Returns whether a frame of attempts has been written, given the number of bytes of the current batch
    // that have been written.
    bool was_written(std::uint64_t frame, std::size_t batch_bytes_written) const;

    bool empty() const { return frames_.empty(); }
    std::size_t size() const { return frames_.size(); }
    void clear() { frames_.clear(); }

  private:
    struct Frame {
        std::uint64_t number = 0;  // 0 for frames without attempts
        std::vector<AttemptMessage> messages;
        std::string bytes;  // the encoded frame, if it has no attempts
    };

    void append(std::vector<boost::asio::const_buffer>& buffers, std::string_view bytes);
    void encode_attempts(const Frame& frame, Nanos now, std::vector<boost::asio::const_buffer>& buffers);

    std::deque<Frame> frames_;
    // The current batch: the number and end offset of each frame of attempts, and the bytes that the buffers
    // refer to.
    std::vector<std::pair<std::uint64_t, std::size_t>> batch_ends_;
    std::size_t batch_size_ = 0;  // in bytes
    std::deque<std::string> batch_bytes_;
    std::vector<std::shared_ptr<const QueryText>> batch_texts_;
};

template <typename Predicate>
std::vector<Handle> FrameQueue::remove_if(Predicate matches) {
    std::vector<Handle> removed;
    for (Frame& frame : frames_)
        std::erase_if(frame.messages, [&](const AttemptMessage& message) {
            if (!matches(message)) return false;
            removed.push_back(message.attempt);
            return true;
        });
    std::erase_if(frames_, [](const Frame& frame) { return frame.number != 0 && frame.messages.empty(); });
    return removed;
}

}  // namespace tealcart
