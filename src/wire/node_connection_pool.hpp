// The connections to all data nodes. They are opened on demand, shared by attempts, and closed before the
// data node would close them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/router_config_reader.hpp"
#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/attempt_sender.hpp"
#include "wire/frame_receiver.hpp"
#include "wire/node_connection.hpp"

namespace tealcart {

// The limits of a NodeConnectionPool.
struct NodeConnectionLimits {
    std::size_t sockets = 0;  // open at a time; further connections wait
    // Sum of the cancellations that wait for nodes to read. Beyond it a node that has long read nothing loses
    // its connection.
    std::size_t queue_bytes = SIZE_MAX;
};

// Owns the connections. `release_if_ended` releases a connection once it is closed and no operation on its
// socket is in progress. Lookups with the handle of a released connection find nothing.
class NodeConnectionPool final : public AttemptSender, public TimerHandler {
  public:
    // All references must outlive the pool.
    NodeConnectionPool(boost::asio::io_context& io, EventClock& clock, const ConnectionConfig& config,
                       ConnectionObserver& observer, const NodeConnectionLimits& limits);

    Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> messages,
                std::span<const Handle> avoid) override;
    bool withdraw(Handle connection, Handle attempt) override;
    void send_cancel(Handle connection, const QueryText& query, std::uint32_t shard,
                     std::uint8_t leg) override;
    void complete(Handle connection, Handle attempt) override;
    void retire(std::uint32_t node, bool discard_unsent) override;
    // Closes all connections. The pool opens no connection after that.
    void close_all();

    // The numbers of open sockets and of connections that wait for a file descriptor.
    std::size_t open() const { return open_sockets_; }
    std::size_t waiting() const { return waiting_.size(); }
    void on_timer_due(Handle connection, std::uint64_t what) override;

  private:
    // Choosing a connection for a frame.
    Handle choose(std::uint32_t node, bool two_phase, std::span<const Handle> avoid);
    Handle add_connection(std::uint32_t node, const std::string& address, bool two_phase);
    std::vector<Handle> connections_of(std::uint32_t node) const;

    // Opening.
    void open_waiting();
    void close_one_idle();
    bool connect(Handle handle);
    void on_connected(Handle handle, const boost::system::error_code& failure);

    // Reading and writing.
    void read(Handle handle);
    void on_received(Handle handle, NodeConnection& connection, std::size_t size);
    void watch_incomplete_frame(Handle handle, NodeConnection& connection);
    void write(Handle handle);
    void on_written(Handle handle, const boost::system::error_code& failure, std::size_t size);
    bool queue_is_too_long(const NodeConnection& connection) const;
    void send_control(Handle handle, char type, std::string_view rest);
    template <typename Predicate>
    void discard_unsent(NodeConnection& connection, Predicate matches);

    // Silent connections.
    bool is_silent(const NodeConnection& connection) const;
    bool probe_is_pending(Handle handle);
    void close_silent(std::uint32_t node);

    // Ending.
    void close_if_unused(Handle handle);
    void fail_malformed(Handle handle, bool attempt_reported);
    void close(Handle handle, Outcome outcome, std::size_t bytes_written = SIZE_MAX);
    void release_if_ended(Handle handle);

    boost::asio::io_context& io_;
    EventClock& clock_;
    const Nanos connect_timeout_, idle_timeout_;
    const std::size_t max_frames_per_connection_;
    const NodeConnectionLimits limits_;
    const bool probing_;
    ConnectionObserver& observer_;
    FrameReceiver receiver_;
    SlotMap<NodeConnection> connections_;
    std::unordered_map<std::uint32_t, std::vector<Handle>> by_node_;  // only nodes with connections
    std::deque<Handle> waiting_;  // for a file descriptor, in request order; each has an attempt
    std::size_t open_sockets_ = 0;
    bool opening_suspended_ = false;  // while waiting connections are opened, and after close_all
    std::uint64_t last_frame_ = 0;
};

}  // namespace tealcart
