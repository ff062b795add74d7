// A query router's side of the fleet's changes of configuration: it watches a relay by version, takes each
// over between two rounds as a whole or not at all, and says which it acts on, or refuses and why. Made only
// where the `member` block names relays. docs/changes.md.
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
    ConfigFollower(boost::asio::io_context& io, EventClock& time, const StartupConfig& launch,
                   QueryDispatcher& dispatcher);

    void start() { watch_.start(); }
    void stop();

    // To be called before each round: what the clock alone has changed.
    void look();
    // And after it: what was taken over before is acted on.
    void after_round();
    Nanos next_change() const;
    // Says farewell; true once it was heard, or has been waited for long enough.
    bool farewell();
    void on_due(Handle, std::uint64_t what) override;

    // 0: what it was started with.
    std::uint64_t applied_version() const { return acts_on_; }
    std::uint64_t refused() const { return refused_; }

  private:
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;
    void take_over();
    void go_on();

    EventClock& time_;
    const MemberConfig config_;
    const std::string name_;
    QueryDispatcher& dispatcher_;
    LogConfig log_;  // that it acts on
    changes::Copy copy_;
    ConfigOverlay overlay_;
    MemberLease lease_;
    ChangeWatch watch_;
    std::uint64_t taken_ = 0, acts_on_ = 0, refused_ = 0;  // versions; taken: by the bridge, before its round
    std::string why_;                                      // of the refusal
    std::uint64_t told_behind_ = 0;  // the older version that a relay had, where that was told
    Nanos wait_ = 0;                 // of the call that is out, or was last
    int without_lease_ = 0;          // answers in a row
    const Nanos ready_by_;           // without the relays' word
    bool caught_up_ = false;         // with what the relays' first word told of
    bool owes_next_ = false, leaves_ = false, left_ = false;
    ServingState serving_state_ = ServingState::unheard;
    Nanos farewell_began_ = 0;
    TimerQueue::Ticket pause_ = TimerQueue::none;
};

}  // namespace tealcart
