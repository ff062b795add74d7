// Tracks the attempts of shard requests, from the decision to send them until their outcome.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "members/member_host.hpp"
#include "service/event_queue.hpp"
#include "service/query_table.hpp"
#include "service/startup_config.hpp"
#include "tables/event_clock.hpp"
#include "tables/node_table.hpp"
#include "wire/attempt_sender.hpp"

namespace tealcart {

// Each attempt ends exactly once, in `end`, with its answer, a timeout, a cancellation or the loss of its
// connection.
class AttemptDispatcher final : public TimerHandler {
  public:
    // An attempt that has no outcome yet.
    struct Attempt {
        Handle query, connection;
        std::uint32_t shard_request = 0;  // index among the query's shard requests
        std::uint32_t node = 0;
        std::uint8_t number = 0;  // index among the attempts of its shard request
        char frame_type = 'R';    // type of the frame that contains it
        Nanos sent_at = 0, deadline = 0;
        TimerQueue::TimerId timeout = TimerQueue::none;  // none until the sender has the attempt
    };

    AttemptDispatcher(EventClock& clock, QueryTable& queries, EventQueue& events,
                      const StartupConfig& startup);
    void connect(AttemptSender& sender) { sender_ = &sender; }
    void set_observer(OutcomeObserver* observer) { outcomes_ = observer; }

    // Adds an attempt in the current round. `wait` is how long the router waits for it; 0 means until the
    // query's deadline.
    Handle add(const QueryTable::ShardRequestPosition& position, std::uint32_t node, Nanos wait);
    // Queues an attempt to be sent by `send_queued` in a frame of this type.
    void queue(Handle handle, char frame_type);
    // Passes the queued attempts of the round to the sender. Attempts to one node share a frame, up to the
    // limit in the settings. No attempt is written later than `attempts_until`.
    void send_queued(const NodeTable& nodes, Nanos attempts_until);

    const Attempt* find(Handle handle) const { return attempts_.find(handle); }
    // Returns the attempt of a shard request that is in flight on a connection. Returns no handle for a late
    // answer or one to an earlier attempt.
    Handle find_in_flight(const ShardRequest& shard_request, Handle connection) const;

    // Cancels an attempt as the router decided, or withdraws it if it was not written.
    void cancel(const QueryTable::ShardRequestPosition& position, std::uint8_t number);
    // Ends the unwritten attempts of the query's shard requests, starting with the shard request at index
    // `first`.
    void withdraw_unsent(Query& query, std::size_t first);
    // Ends an attempt with its outcome. Does nothing if it has already ended.
    void end(Handle handle, Outcome outcome, std::string_view value = {});

    std::size_t in_flight() const { return attempts_.size(); }
    // Returns whether an attempt is in flight to a node for which `matches(node)` is true.
    template <typename Predicate>
    bool any_in_flight_to(Predicate matches) const {
        bool any = false;
        attempts_.for_each([&](Handle, const Attempt& attempt) { any |= matches(attempt.node); });
        return any;
    }

    void on_timer_due(Handle handle, std::uint64_t what) override;

  private:
    // The attempts of one frame.
    struct Batch {
        std::vector<AttemptMessage> messages;
        // Two attempts of a shard request on one connection would be indistinguishable.
        std::vector<Handle> avoid;
    };

    bool is_queued(const Attempt* attempt) const {
        return attempt != nullptr && attempt->timeout == TimerQueue::none;
    }
    Batch gather_batch(std::size_t first, Nanos attempts_until);
    AttemptMessage make_message(Handle handle, const Attempt& attempt, Nanos attempts_until) const;
    Nanos send_by(const Query& query, const ShardRequest& shard_request, const Attempt& attempt,
                  Nanos attempts_until) const;
    bool store_value(Query& query, ShardRequest& shard_request, std::string_view value);

    EventClock& clock_;
    QueryTable& queries_;
    EventQueue& events_;
    AttemptSender* sender_ = nullptr;
    OutcomeObserver* outcomes_ = nullptr;
    const std::size_t max_requests_per_call_;
    // By query class: whether retries must stay within the idempotency window, and its length less a margin.
    std::vector<bool> with_key_;
    std::vector<Nanos> idempotency_window_;
    SlotMap<Attempt> attempts_;
    std::vector<Handle> queued_;  // in the current round
};

}  // namespace tealcart
