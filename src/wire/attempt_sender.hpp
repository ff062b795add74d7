// The interfaces between the dispatcher, which decides on attempts, and the connections that carry them.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "router/query_router.hpp"
#include "wire/attempt_message.hpp"
#include "wire/node_frames.hpp"
#include "wire/phase_frames.hpp"

namespace tealcart {

// Is notified of the answers to attempts and of lost attempts. Implementations may call the AttemptSender
// from within a notification.
class ConnectionObserver {
  public:
    virtual ~ConnectionObserver() = default;
    // An answer arrived on this connection. Returns false if it belongs to no attempt in flight there.
    virtual bool on_node_answer(Handle connection, const NodeAnswer& answer) = 0;
    // The same for an answer of a two-phase query.
    virtual bool on_phase_answer(Handle connection, const PhaseAnswer& answer) = 0;
    // A node refused its first two-phase frames or closed the connection on them. Returns true if the node is
    // now considered to lack the two-phase capability. In that case none of these attempts has run.
    virtual bool on_two_phase_refused(std::uint32_t node) = 0;
    // The attempt ended without an answer.
    virtual void on_attempt_lost(Handle attempt, Outcome outcome) = 0;
};

// Sends attempts to data nodes.
class AttemptSender {
  public:
    virtual ~AttemptSender() = default;
    // Queues one frame for a node and returns its connection: one that is not in `avoid`, or a new one if
    // none has capacity. If no file descriptor is free, the frame waits for one.
    virtual Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> messages,
                        std::span<const Handle> avoid) = 0;
    // Removes an attempt if the write of its frame has not begun. Returns false if the attempt may have run.
    virtual bool withdraw(Handle connection, Handle attempt) = 0;
    // Tells the node that the router no longer needs the answer to a shard request.
    virtual void send_cancel(Handle connection, const QueryText& query, std::uint32_t shard,
                             std::uint8_t leg) = 0;
    // Removes an attempt that has its outcome, which frees its capacity on the connection.
    virtual void complete(Handle connection, Handle attempt) = 0;
    // The node's connections take no further attempts and close once none is in flight on them. With
    // `discard_unsent`, attempts that are not yet written are lost as well, so that nothing new reaches a
    // node that drains or is removed.
    virtual void retire(std::uint32_t node, bool discard_unsent) = 0;
};

}  // namespace tealcart
