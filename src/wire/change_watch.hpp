// Watches the versions of a fleet's configuration with long polls. A follower polls the relays, and a relay
// polls the fleet managers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/change_messages.hpp"
#include "wire/long_poll.hpp"

namespace tealcart {

// Provides the calls of a ChangeWatch and receives their answers.
class ChangeObserver {
  public:
    virtual ~ChangeObserver() = default;
    // Returns the call to send next: the body from write_follower_call or write_relay_call, and its `wait`.
    virtual LongPollObserver::Call next_call() = 0;
    // The call that was sent at `sent` was answered. Call ChangeWatch::next once the answer has been applied.
    virtual void on_changes(Nanos sent, const ChangesAnswer& answer) = 0;
    // A later incarnation of the caller's name is known. The watch retries the call.
    virtual void on_superseded(std::uint64_t last_incarnation) = 0;
};

// A long poll whose answers are versions of the configuration.
class ChangeWatch final : private LongPollObserver {
  public:
    // `path` is follower_path or relay_path. `server_kind` is "relay" or "steward" and goes into log lines.
    // The first call goes to the address with index `first`, so that followers spread over the relays.
    // `jitter_seed` seeds the jitter of the backoffs.
    ChangeWatch(boost::asio::io_context& io, EventClock& time, ChangeObserver& observer,
                std::string_view path, std::string_view server_kind, std::vector<HostPort> addresses,
                std::size_t first, std::uint64_t jitter_seed);

    // See the methods of LongPoll.
    void start() { poll_.start(); }
    void stop() { poll_.stop(); }
    void next() { poll_.next(); }
    void call_now() { poll_.call_now(); }
    void fail_over(const char* reason) { poll_.fail_over(reason); }
    // Returns whether a call awaits its answer. Only then does call_now send no more than one call.
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
    ChangesAnswer answer_;  // the one read last
};

}  // namespace tealcart
