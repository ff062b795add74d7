// Attempts of shard requests from the decision that sends them to their one outcome.
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

// Every attempt ends once, in `end`: by its answer, its timeout, a cancellation, or the loss of its
// connection.
class AttemptDispatcher final : public DueHandler {
  public:
    struct Attempt {
        Handle query, connection;
        std::uint32_t shard_request = 0;  // its index in the query
        std::uint32_t node = 0;
        std::uint8_t number = 0;  // among those of its shard request
        char frame_type = 'R';    // the type of the frame that it goes into
        Nanos sent_at = 0, deadline = 0;
        TimerQueue::Ticket timeout = TimerQueue::none;  // none until it is handed to the sender
    };

    AttemptDispatcher(EventClock& clock, QueryTable& queries, EventQueue& events,
                      const StartupConfig& startup);
    void connect(AttemptSender& sender) { sender_ = &sender; }
    void set_observer(OutcomeObserver* observer) { outcomes_ = observer; }

    // Begins an attempt in the current round; `wait` is how long the module waits for it, 0 for as long as
    // the query does.
    Handle add(const QueryTable::ShardRequestPosition& position, std::uint32_t node, Nanos wait);
    // Queues an attempt for `send_queued`, in a frame of this type.
    void queue(Handle handle, char frame_type);
    // Hands over what the round has added. Attempts to one node travel together, as many in a frame as the
    // deployment allows. Nothing is written later than `attempts_until`.
    void send_queued(const NodeTable& nodes, Nanos attempts_until);

    const Attempt* find(Handle handle) const { return attempts_.find(handle); }
    // The attempt of a shard request that is in flight on a connection: late answers and those to an earlier
    // attempt find none.
    Handle find_in_flight(const ShardRequest& shard_request, Handle connection) const;

    // Ends an attempt as the module decided, withdrawn if it was not written.
    void cancel(const QueryTable::ShardRequestPosition& position, std::uint8_t number);
    // Ends attempts that are not written yet, of the query's shard requests from this index on.
    void withdraw_unsent(Query& query, std::size_t first);
    // Ends an attempt with its outcome. Does nothing for one that has ended.
    void end(Handle handle, Outcome outcome, std::string_view value = {});

    std::size_t in_flight() const { return attempts_.size(); }
    // Whether an attempt is in flight to a node for which `matches(node)` holds.
    template <typename Predicate>
    bool any_in_flight_to(Predicate matches) const {
        bool any = false;
        attempts_.for_each([&](Handle, const Attempt& attempt) { any |= matches(attempt.node); });
        return any;
    }

    void on_due(Handle handle, std::uint64_t what) override;

  private:
    struct Batch {
        std::vector<AttemptMessage> messages;
        std::vector<Handle> avoid;  // a second attempt on one connection could not be told from the first
    };

    bool is_queued(const Attempt* attempt) const {
        return attempt != nullptr && attempt->timeout == TimerQueue::none;
    }
    Batch gather_batch(std::size_t first, Nanos attempts_until);
    AttemptMessage make_message(Handle handle, const Attempt& attempt, Nanos attempts_until) const;
    Nanos send_by(const Query& query, const ShardRequest& shard_request, const Attempt& attempt,
                  Nanos attempts_until) const;
    bool keep_value(Query& query, ShardRequest& shard_request, std::string_view value);

    EventClock& clock_;
    QueryTable& queries_;
    EventQueue& events_;
    AttemptSender* sender_ = nullptr;
    OutcomeObserver* outcomes_ = nullptr;
    const std::size_t max_requests_per_call_;
    // By query class: whether retries are bound to a key's window, and how long that is, with a margin.
    std::vector<bool> with_key_;
    std::vector<Nanos> idempotency_window_;
    SlotMap<Attempt> attempts_;
    std::vector<Handle> queued_;  // of the current round
};

}  // namespace tealcart
