// A query router as a follower of the fleet's configuration: it watches a relay, applies each version between
// two rounds as a whole or not at all, and reports which version it acts on, or which it refuses and why.
// Made only where the `member` block names relays. docs/changes.md.
#pragma once

#include "changes/document.hpp"
#include "members/config_overlay.hpp"
#include "members/member_lease.hpp"
#include "service/query_dispatcher.hpp"
#include "service/startup_config.hpp"
#include "wire/change_watch.hpp"

namespace tealcart {

class ConfigFollower final : public DueHandler, private ChangeObserver {
  public:
    ConfigFollower(boost::asio::io_context& io, EventClock& time, const StartupConfig& startup,
                   QueryDispatcher& dispatcher);

    void start() { relays_.start(); }
    void stop();

    // To be called before each round: applies what the clock alone has changed.
    void update_serving_state();
    // And after it: the dispatcher acts on what it was given before.
    void after_round();
    Nanos next_change() const;
    // Tells the relay that the router leaves; true once it has answered, or after a time-out. To be called
    // until then.
    bool leave();
    void on_due(Handle, std::uint64_t what) override;

    // 0: what it was started with.
    std::uint64_t applied_version() const { return applied_version_; }
    std::uint64_t refused() const { return refused_version_; }

  private:
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;

    // Whether the copy has come further by this answer.
    bool update_copy(const ChangesAnswer& answer);
    void apply_copy();
    void refuse(std::string reason);
    void log_relay_behind(const ChangesAnswer& answer);
    // The answer has been acted on once the dispatcher has no round due.
    void finish_answer();

    EventClock& time_;
    const MemberConfig config_;
    const std::string name_;
    QueryDispatcher& dispatcher_;
    LogConfig log_;  // that the router acts on
    changes::DocumentCopy copy_;
    ConfigOverlay overlay_;
    MemberLease lease_;
    ChangeWatch relays_;
    // Versions. Accepted: given to the dispatcher, which acts on it from its next round on.
    std::uint64_t accepted_version_ = 0, applied_version_ = 0;
    std::uint64_t refused_version_ = 0;  // 0: none
    std::string refusal_reason_;
    std::uint64_t logged_relay_version_ = 0;  // an older version that a relay had; 0: it is not behind
    Nanos wait_ = 0;                          // of the last call
    int answers_without_lease_ = 0;           // in a row
    const Nanos ready_by_;                    // without an answer of the relays
    bool caught_up_ = false;                  // with the first answer that had a lease
    bool next_pending_ = false;               // the next call is due after the round
    bool leaving_ = false, left_ = false;
    ServingState serving_state_ = ServingState::unregistered;
    Nanos leave_began_ = 0;  // 0: not yet
    TimerQueue::Ticket pause_ = TimerQueue::none;
};

}  // namespace tealcart
