// A connection to a data node: its socket, the frames that wait to be written, the attempts in flight and the
// bytes of an incomplete frame. The NodeConnectionPool owns connections and decides what to do on them.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tables/slot_map.hpp"
#include "tables/timer_queue.hpp"
#include "wire/frame_queue.hpp"
#include "wire/silence_detector.hpp"

namespace tealcart {

// The state of one connection; contains no policy.
class NodeConnection {
  public:
    // An attempt without an outcome, and the frame that carries it.
    struct InFlightAttempt {
        Handle attempt;
        std::uint64_t frame = 0;
        std::uint32_t request_hash = 0;
    };

    NodeConnection(boost::asio::io_context& io, std::uint32_t node, std::string address, bool two_phase)
        : node_(node), address_(std::move(address)), two_phase_(two_phase), socket_(io) {}

    std::uint32_t node() const { return node_; }
    const std::string& address() const { return address_; }
    // Two-phase frames have separate connections: a node without the two-phase capability may close a
    // connection on which it receives one, and no other attempt should be lost with it.
    bool two_phase() const { return two_phase_; }

    // The socket's operations. Each completion handler calls `operation_ended` once. The object must not be
    // released before all operations have ended.
    boost::system::error_code open(const boost::asio::ip::address& host);
    template <typename Handler>
    void async_connect(const boost::asio::ip::tcp::endpoint& endpoint, Handler&& handler) {
        ++operations_;
        socket_.async_connect(endpoint, std::forward<Handler>(handler));
    }
    template <typename Handler>
    void async_read(Handler&& handler) {
        ++operations_;
        socket_.async_read_some(boost::asio::buffer(read_buffer_), std::forward<Handler>(handler));
    }
    template <typename Handler>
    void async_write(const std::vector<boost::asio::const_buffer>& buffers, Handler&& handler) {
        ++operations_;
        writing_ = true;
        boost::asio::async_write(socket_, buffers, std::forward<Handler>(handler));
    }
    void operation_ended() { --operations_; }
    bool is_open() const { return socket_.is_open(); }
    bool may_be_released() const { return closed_ && operations_ == 0; }

    // The connection's states. A connected one stays so until it is closed; a retired one takes no further
    // attempts.
    void set_connected() { connected_ = true; }
    bool connected() const { return connected_; }
    void retire() { retired_ = true; }
    bool retired() const { return retired_; }
    void close();
    bool closed() const { return closed_; }
    void set_write_ended() { writing_ = false; }
    bool writing() const { return writing_; }
    // Whether a two-phase answer has arrived on the connection.
    void set_two_phase_answered() { two_phase_answered_ = true; }
    bool two_phase_answered() const { return two_phase_answered_; }

    // Returns whether the connection takes one more frame of attempts, given the limit of frames in flight.
    // The number of shard requests in the frame doesn't count. A connection with an incomplete incoming frame
    // takes no more, since that frame may never be completed.
    bool has_capacity(std::size_t max_frames) const;

    // Returns a hash that matches an answer with a shard request that was sent on this connection.
    static std::uint32_t request_hash(std::string_view query, std::uint32_t shard, std::uint32_t leg);
    void add_in_flight(std::uint64_t frame, const AttemptMessage& message);
    // Removes an attempt that has ended. Its shard request is kept, since late answers or those to a hedge
    // may follow.
    void complete(Handle attempt);
    const std::vector<InFlightAttempt>& in_flight() const { return in_flight_; }
    std::vector<InFlightAttempt> take_in_flight() { return std::exchange(in_flight_, {}); }
    bool was_completed(std::uint32_t request_hash) const;
    // Returns whether an attempt's frame was passed to the operating system, given the number of bytes of the
    // current write that were.
    bool was_written(const InFlightAttempt& attempt, std::size_t bytes_written = SIZE_MAX) const {
        return queue_.was_written(attempt.frame, bytes_written);
    }

    FrameQueue& queue() { return queue_; }
    const FrameQueue& queue() const { return queue_; }
    SilenceDetector& silence() { return silence_; }
    const SilenceDetector& silence() const { return silence_; }

    // The received bytes after the last complete frame.
    void append_received(std::size_t size) { received_.append(read_buffer_.data(), size); }
    std::string take_received() { return std::exchange(received_, {}); }
    void keep_received(std::string_view bytes) { received_ = bytes; }
    bool has_incomplete_frame() const { return !received_.empty(); }

    // The connect timeout while connecting, the idle timeout while idle, or the timeout of an incomplete
    // frame.
    TimerQueue::TimerId& timer() { return timer_; }

  private:
    const std::uint32_t node_;
    const std::string address_;
    const bool two_phase_;
    boost::asio::ip::tcp::socket socket_;
    int operations_ = 0;  // in progress on the socket
    bool connected_ = false, retired_ = false, closed_ = false, writing_ = false;
    bool two_phase_answered_ = false;
    FrameQueue queue_;
    std::vector<InFlightAttempt> in_flight_;  // in sending order, so attempts of one frame are adjacent
    std::vector<std::uint32_t> completed_;    // hashes of the most recently ended shard requests
    std::size_t completed_count_ = 0;
    SilenceDetector silence_;
    std::string received_;
    std::array<char, 8192> read_buffer_;
    TimerQueue::TimerId timer_ = TimerQueue::none;
};

}  // namespace tealcart
