#include "wire/frame_receiver.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace tealcart {
namespace {

// Types of the frames that data nodes send; node_frames.hpp and phase_frames.hpp give their meaning.
constexpr std::string_view node_frame_types = "YNGT", phase_frame_types = "SWNGT";
constexpr char refusal = 'N', probe = 'G', probe_answer = 'T', node_answer = 'Y';
constexpr std::size_t type_position = 4;  // after the length
constexpr std::size_t max_logged_reason = 200;

}  // namespace

FrameReceiver::Result FrameReceiver::read_frames(Handle handle, NodeConnection& connection) {
    const std::string received = connection.take_received();
    const std::string_view known_types = connection.two_phase() ? phase_frame_types : node_frame_types;
    std::string_view rest = received;
    for (;;) {
        Frame frame;
        const FrameStatus framing = take_frame(rest, frame);
        if (framing == FrameStatus::incomplete &&
            (rest.size() <= type_position || known_types.find(rest[type_position]) != known_types.npos)) {
            connection.keep_received(rest);
            return Result::ok;
        }
        if (framing != FrameStatus::complete) {
            log_malformed(connection.node());
            return Result::malformed;
        }
        if (frame.type == probe || frame.type == probe_answer) continue;
        const Result result = read_frame(handle, connection, frame);
        if (result != Result::ok) return result;
    }
}

FrameReceiver::Result FrameReceiver::read_frame(Handle handle, NodeConnection& connection,
                                                const Frame& frame) {
    const AnswerStatus status = connection.two_phase() ? read_phase_frame(handle, connection, frame)
                                                       : read_node_frame(handle, connection, frame);
    if (connection.closed()) return Result::closed;
    if (status == AnswerStatus::accepted) return Result::ok;
    if (status == AnswerStatus::malformed) {
        log_malformed(connection.node());
        return Result::malformed_answer;
    }
    if (frame.type != refusal) {
        log_malformed(connection.node());
        return Result::malformed;
    }
    if (two_phase_refused(connection)) return Result::two_phase_refused;
    const auto logged = static_cast<int>(std::min(frame.payload.size(), max_logged_reason));
    log_line("data node %u rejected a frame: %.*s", connection.node(), logged, frame.payload.data());
    return Result::malformed;
}

FrameReceiver::AnswerStatus FrameReceiver::read_node_frame(Handle handle, NodeConnection& connection,
                                                           const Frame& frame) {
    if (frame.type != node_answer) return AnswerStatus::unexpected;
    const auto answer = read_node_answer(frame.payload);
    if (!answer) return AnswerStatus::unexpected;
    const bool in_flight = observer_.on_node_answer(handle, *answer);
    return classify_answer(connection, in_flight, answer->outcome, answer->malformed,
                           NodeConnection::request_hash(answer->query, answer->shard, 0));
}

FrameReceiver::AnswerStatus FrameReceiver::read_phase_frame(Handle handle, NodeConnection& connection,
                                                            const Frame& frame) {
    if (frame.type != summary_frame && frame.type != rows_frame) return AnswerStatus::unexpected;
    const auto answer = read_phase_answer(frame.type, frame.payload);
    if (!answer) return AnswerStatus::unexpected;
    connection.set_two_phase_answered();
    const bool in_flight = observer_.on_phase_answer(handle, *answer);
    return classify_answer(connection, in_flight, answer->outcome, answer->malformed,
                           NodeConnection::request_hash(answer->id.query, answer->id.shard, answer->id.leg));
}

FrameReceiver::AnswerStatus FrameReceiver::classify_answer(const NodeConnection& connection, bool in_flight,
                                                           Outcome outcome, bool malformed,
                                                           std::uint32_t request_hash) {
    if (connection.closed()) return AnswerStatus::accepted;
    if (in_flight && outcome == Outcome::ok) on_node_alive_(connection.node());
    const bool expected = in_flight || connection.was_completed(request_hash);
    if (expected && !malformed) return AnswerStatus::accepted;
    return in_flight ? AnswerStatus::malformed : AnswerStatus::unexpected;
}

bool FrameReceiver::two_phase_refused(const NodeConnection& connection) {
    return connection.two_phase() && !connection.two_phase_answered() &&
           connection.silence().awaits_answer() && observer_.on_two_phase_refused(connection.node());
}

void FrameReceiver::log_malformed(std::uint32_t node) {
    log_line("data node %u sent a malformed frame; its connection is closed", node);
}

}  // namespace tealcart
