// Parses the frames received from data nodes and passes their answers to the observer.
#pragma once

#include <cstdint>
#include <functional>

#include "wire/attempt_sender.hpp"
#include "wire/node_connection.hpp"

namespace tealcart {

// Tells valid answers from malformed or unexpected ones, and late answers from unknown ones.
class FrameReceiver {
  public:
    enum class Result : std::uint8_t {
        ok,                // all complete frames were read; the connection keeps an incomplete rest
        closed,            // the connection was closed by the observer
        malformed,         // the framing is broken, or a frame belongs to no attempt of this connection
        malformed_answer,  // the answer to an attempt is malformed; the attempt has ended with an error
        two_phase_refused  // the node lacks the two-phase capability; no attempt has run
    };

    // `on_node_alive` is called with the node after each of its successful answers.
    FrameReceiver(ConnectionObserver& observer, std::function<void(std::uint32_t node)> on_node_alive)
        : observer_(observer), on_node_alive_(std::move(on_node_alive)) {}

    // Reads what the connection has received. After any result but `ok` the connection must be closed.
    Result read_frames(Handle handle, NodeConnection& connection);

    // Returns whether a node that refused frames or closed the connection lacks the two-phase capability. It
    // can only lack it if it never gave a two-phase answer on this connection.
    bool two_phase_refused(const NodeConnection& connection);

    // Logs that a node sent a malformed frame.
    static void log_malformed(std::uint32_t node);

  private:
    // An answer is accepted (this includes late answers and those of hedges, which are ignored), a malformed
    // answer to an attempt in flight, or unexpected because it belongs to nothing that was sent.
    enum class AnswerStatus : std::uint8_t { accepted, malformed, unexpected };

    Result read_frame(Handle handle, NodeConnection& connection, const Frame& frame);
    AnswerStatus read_node_frame(Handle handle, NodeConnection& connection, const Frame& frame);
    AnswerStatus read_phase_frame(Handle handle, NodeConnection& connection, const Frame& frame);
    AnswerStatus classify_answer(const NodeConnection& connection, bool in_flight, Outcome outcome,
                                 bool malformed, std::uint32_t request_hash);

    ConnectionObserver& observer_;
    const std::function<void(std::uint32_t node)> on_node_alive_;
};

}  // namespace tealcart
