// Follows the fleet's configuration for a query router. It watches a relay, applies each version between two
// rounds either completely or not at all, and reports which version is in force or why one is refused.
// docs/changes.md describes the protocol.
#pragma once

#include "changes/document.hpp"
#include "members/config_overlay.hpp"
#include "members/member_lease.hpp"
#include "service/query_dispatcher.hpp"
#include "service/startup_config.hpp"
#include "wire/change_watch.hpp"

namespace tealcart {

// Created only if the `member` block names relays.
class ConfigFollower final : public TimerHandler, private ChangeObserver {
  public:
    ConfigFollower(boost::asio::io_context& io, EventClock& time, const StartupConfig& startup,
                   QueryDispatcher& dispatcher);

    void start() { relays_.start(); }
    void stop();

    // Must be called before each round. Updates the serving state that depends on the time.
    void update_serving_state();
    // Must be called after each round, in which the dispatcher has applied the settings that it was given.
    void after_round();
    Nanos next_change() const;
    // Tells the relay that the router leaves. Must be called until it returns true, which it does after the
    // relay's answer or a timeout.
    bool leave();
    void on_timer_due(Handle, std::uint64_t what) override;

    // Returns the version in force; 0 stands for the configuration at the start.
    std::uint64_t applied_version() const { return applied_version_; }
    std::uint64_t refused_version() const { return refused_version_; }

  private:
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;

    // Returns whether the answer advanced the copy.
    bool update_copy(const ChangesAnswer& answer);
    void apply_copy();
    void refuse(std::string reason);
    void log_relay_behind(const ChangesAnswer& answer);
    // Marks the answer as applied, which it is once the dispatcher has no round due.
    void finish_answer();

    EventClock& time_;
    const MemberConfig config_;
    const std::string name_;
    QueryDispatcher& dispatcher_;
    LogConfig log_;  // in force
    changes::DocumentCopy copy_;
    ConfigOverlay overlay_;
    MemberLease lease_;
    ChangeWatch relays_;
    // The accepted version was passed to the dispatcher, which applies it from its next round on.
    std::uint64_t accepted_version_ = 0, applied_version_ = 0;
    std::uint64_t refused_version_ = 0;  // 0: none
    std::string refusal_reason_;
    // An older version that the relay had; 0 if the relay is not behind.
    std::uint64_t logged_relay_version_ = 0;
    Nanos wait_ = 0;                 // of the last call
    int answers_without_lease_ = 0;  // in a row
    const Nanos ready_by_;           // the router counts as ready then even without a relay's answer
    bool caught_up_ = false;         // since the first answer with a lease whose version the copy had reached
    bool next_pending_ = false;      // the next call is sent after the round
    bool leaving_ = false, left_ = false;
    ServingState serving_state_ = ServingState::unregistered;
    Nanos leave_began_ = 0;  // 0 if the router is not leaving
    TimerQueue::TimerId pause_ = TimerQueue::none;
};

}  // namespace tealcart
