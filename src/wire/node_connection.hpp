// One connection to a data node: its socket, the frames that wait to be written, the attempts in flight on it
// and the bytes of a frame that is not complete yet. NodeConnectionPool owns it and decides what happens.
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

class NodeConnection {
  public:
    struct InFlightAttempt {
        Handle attempt;
        std::uint64_t frame = 0;
        std::uint32_t request_hash = 0;
    };

    NodeConnection(boost::asio::io_context& io, std::uint32_t node, std::string address, bool two_phase)
        : node_(node), address_(std::move(address)), two_phase_(two_phase), socket_(io) {}

    std::uint32_t node() const { return node_; }
    const std::string& address() const { return address_; }
    // Frames in two phases have connections of their own: a node without that capability may close one on
    // them, and no other attempt is to be lost with it.
    bool two_phase() const { return two_phase_; }

    // The socket's operations; each completion handler calls `operation_ended` once. The object must not be
    // released before all have ended.
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

    // Its states. It is connected until it is closed; a retired one takes no further attempts.
    void set_connected() { connected_ = true; }
    bool connected() const { return connected_; }
    void retire() { retired_ = true; }
    bool retired() const { return retired_; }
    void close();
    bool closed() const { return closed_; }
    void set_write_ended() { writing_ = false; }
    bool writing() const { return writing_; }
    // An answer in two phases has come on it.
    void set_two_phase_answered() { two_phase_answered_ = true; }
    bool two_phase_answered() const { return two_phase_answered_; }

    // Whether it takes one more frame of attempts, however many shard requests that holds, where so many
    // frames may be in flight. A connection on which a frame is incomplete takes no more: it may never end.
    bool has_capacity(std::size_t max_frames) const;

    // A hash by which an answer is told to belong to a shard request that was sent here.
    static std::uint32_t request_hash(std::string_view query, std::uint32_t shard, std::uint32_t leg);
    void add_in_flight(std::uint64_t frame, const AttemptMessage& message);
    // Ends one attempt; its shard request is remembered, since late answers and those of a hedge may follow.
    void complete(Handle attempt);
    const std::vector<InFlightAttempt>& in_flight() const { return in_flight_; }
    std::vector<InFlightAttempt> take_in_flight() { return std::exchange(in_flight_, {}); }
    bool was_completed(std::uint32_t request_hash) const;
    // Whether an attempt's frame was handed to the system, given how much of the current write was, in bytes.
    bool was_written(const InFlightAttempt& attempt, std::size_t bytes_written = SIZE_MAX) const {
        return queue_.was_written(attempt.frame, bytes_written);
    }

    FrameQueue& queue() { return queue_; }
    const FrameQueue& queue() const { return queue_; }
    SilenceDetector& silence() { return silence_; }
    const SilenceDetector& silence() const { return silence_; }

    // Received bytes that no complete frame has been read from.
    void append_received(std::size_t size) { received_.append(read_buffer_.data(), size); }
    std::string take_received() { return std::exchange(received_, {}); }
    void keep_received(std::string_view bytes) { received_ = bytes; }
    bool has_incomplete_frame() const { return !received_.empty(); }

    // While connecting: the connect timeout; while idle: when it is closed; with an incomplete frame: when
    // that is given up.
    TimerQueue::Ticket& timer() { return timer_; }

  private:
    const std::uint32_t node_;
    const std::string address_;
    const bool two_phase_;
    boost::asio::ip::tcp::socket socket_;
    int operations_ = 0;  // under way on the socket
    bool connected_ = false, retired_ = false, closed_ = false, writing_ = false;
    bool two_phase_answered_ = false;
    FrameQueue queue_;
    std::vector<InFlightAttempt> in_flight_;  // in the order of sending: those of one frame stand together
    std::vector<std::uint32_t> completed_;    // hashes of the last shard requests whose attempts have ended
    std::size_t completed_count_ = 0;
    SilenceDetector silence_;
    std::string received_;
    std::array<char, 8192> read_buffer_;
    TimerQueue::Ticket timer_ = TimerQueue::none;
};

}  // namespace tealcart
