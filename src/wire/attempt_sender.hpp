// The two interfaces between whoever decides on attempts and the connections that carry them.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "router/query_router.hpp"
#include "wire/attempt_message.hpp"
#include "wire/node_frames.hpp"
#include "wire/phase_frames.hpp"

namespace tealcart {

// Notified of what becomes of attempts that were sent. Implementations may call the AttemptSender from here.
class ConnectionObserver {
  public:
    virtual ~ConnectionObserver() = default;
    // An answer came on this connection. Returns false if no attempt that is in flight there awaits it.
    virtual bool on_node_answer(Handle connection, const NodeAnswer& answer) = 0;
    // The same in two phases.
    virtual bool on_phase_answer(Handle connection, const PhaseAnswer& answer) = 0;
    // A node answered its first frames in two phases by refusing them or by ending the connection. Returns
    // true if it is now taken for a node without that capability: then none of these attempts has run.
    virtual bool on_two_phase_refused(std::uint32_t node) = 0;
    // The attempt ended without an answer.
    virtual void on_attempt_lost(Handle attempt, Outcome outcome) = 0;
};

// Sends attempts to data nodes.
class AttemptSender {
  public:
    virtual ~AttemptSender() = default;
    // Queues one frame for a node, on a connection other than those to avoid, or on a new one if none has
    // capacity. Where no file descriptor is free the frame waits for one. Returns the connection.
    virtual Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> messages,
                        std::span<const Handle> avoid) = 0;
    // Removes an attempt whose frame has not begun to be written. Returns false if it may have run.
    virtual bool withdraw(Handle connection, Handle attempt) = 0;
    // Notifies the node that the answer to a shard request is no longer wanted.
    virtual void send_cancel(Handle connection, const QueryText& query, std::uint32_t shard,
                             std::uint8_t leg) = 0;
    // The attempt has its outcome and occupies no place on the connection any more.
    virtual void complete(Handle connection, Handle attempt) = 0;
    // The node's connections take no further attempts and close once none is in flight on them. With
    // `discard_unsent` what is not yet written is lost as well, so that nothing new reaches a node that
    // drains or is removed.
    virtual void retire(std::uint32_t node, bool discard_unsent) = 0;
};

}  // namespace tealcart
