// Watches the versions of a fleet's configuration by long polls: a follower's to the relays, or a relay's to
// the fleet managers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/change_messages.hpp"
#include "wire/long_poll.hpp"

namespace tealcart {

class ChangeObserver {
  public:
    virtual ~ChangeObserver() = default;
    // The call to send now: write_follower_call or write_relay_call, and its `wait`.
    virtual LongPollObserver::Call next_call() = 0;
    // The call that was sent at `sent` was answered. ChangeWatch::next is to be called once the answer has
    // been acted on.
    virtual void on_changes(Nanos sent, const ChangesAnswer& answer) = 0;
    // A later incarnation of the caller's name is known. The call is retried by itself.
    virtual void on_superseded(std::uint64_t last_incarnation) = 0;
};

class ChangeWatch final : private LongPollObserver {
  public:
    // `path`: follower_path or relay_path. `server_kind`: "relay" or "steward", for the log. Begins at the
    // address of index `first`, so that followers spread over the relays; `jitter_seed`: of its backoffs.
    ChangeWatch(boost::asio::io_context& io, EventClock& time, ChangeObserver& observer,
                std::string_view path, std::string_view server_kind, std::vector<HostPort> addresses,
                std::size_t first, std::uint64_t jitter_seed);

    // As those of LongPoll.
    void start() { poll_.start(); }
    void stop() { poll_.stop(); }
    void next() { poll_.next(); }
    void call_now() { poll_.call_now(); }
    void fail_over(const char* reason) { poll_.fail_over(reason); }
    // Only while a call is out does call_now send no more than one call.
    bool call_in_flight() const { return poll_.call_in_flight(); }
    const HostPort& address() const { return poll_.address(); }

  private:
    Call next_call() override { return observer_.next_call(); }
    bool read(std::string_view body) override;
    void on_answer(Nanos sent) override;
    void on_superseded(std::uint64_t last_incarnation) override { observer_.on_superseded(last_incarnation); }
    void on_unreachable(const char* reason) override;
    void on_reachable_again() override;

    ChangeObserver& observer_;
    const std::string server_kind_;
    LongPoll poll_;
    ChangesAnswer answer_;  // that was read last
};

}  // namespace tealcart
