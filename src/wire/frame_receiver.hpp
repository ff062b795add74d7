// Reads the frames that come on connections to data nodes and hands the answers in them to the observer.
#pragma once

#include <cstdint>
#include <functional>

#include "wire/attempt_sender.hpp"
#include "wire/node_connection.hpp"

namespace tealcart {

class FrameReceiver {
  public:
    enum class Result : std::uint8_t {
        ok,                // all complete frames are read; the connection keeps what is incomplete
        closed,            // the connection was closed meanwhile
        malformed,         // framing is lost, or a frame belongs to no attempt of this connection
        malformed_answer,  // an answer to an attempt can't be read; its attempt has ended with an error
        two_phase_refused  // the node is without the two-phase capability: no attempt has run
    };

    // `on_node_alive` is called with the node after each of its good answers.
    FrameReceiver(ConnectionObserver& observer, std::function<void(std::uint32_t node)> on_node_alive)
        : observer_(observer), on_node_alive_(std::move(on_node_alive)) {}

    // Reads what the connection has received. With any result but `ok` the connection is of no more use.
    Result process(Handle handle, NodeConnection& connection);

    // The node refused a connection, or ended it, on which it has never answered in two phases.
    bool two_phase_refused(const NodeConnection& connection);

    // Logs that what a node sent can't be read.
    static void log_malformed(std::uint32_t node);

  private:
    // Whether an answer is accepted (or passed over, being late or of a hedge), is one of ours that can't be
    // read, or belongs to nothing that was sent.
    enum class AnswerStatus : std::uint8_t { accepted, malformed, unexpected };

    Result process_frame(Handle handle, NodeConnection& connection, const Frame& frame);
    AnswerStatus process_node_answer(Handle handle, NodeConnection& connection, const Frame& frame);
    AnswerStatus process_phase_answer(Handle handle, NodeConnection& connection, const Frame& frame);
    AnswerStatus judge_answer(const NodeConnection& connection, bool in_flight, Outcome outcome,
                              bool malformed, std::uint32_t request_hash);

    ConnectionObserver& observer_;
    const std::function<void(std::uint32_t node)> on_node_alive_;
};

}  // namespace tealcart
