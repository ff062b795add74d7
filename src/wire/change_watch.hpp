// A follower's calls to the relays, or a relay's to the managers: a watch by version, on LongPoll.
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
    // What is to be said now: write_follower_call or write_relay_call, and its `wait`.
    virtual LongPollObserver::Call next_call() = 0;
    // The call that was sent at `sent` was answered. ChangeWatch::next is to be called once the news is acted
    // on.
    virtual void on_changes(Nanos sent, const ChangesAnswer& answer) = 0;
    // A later incarnation of this name is known. The call is made again by itself.
    virtual void on_superseded(std::uint64_t last_incarnation) = 0;
};

class ChangeWatch final : private LongPollObserver {
  public:
    // `path`: follower_path or relay_path. `whom`: "relay" or "steward", for the log. Begins at the address
    // of this place, so that followers spread over the relays; `seed`: of the jitter in its pauses.
    ChangeWatch(boost::asio::io_context& io, EventClock& time, ChangeObserver& taker, std::string_view path,
                std::string_view whom, std::vector<HostPort> addresses, std::size_t first,
                std::uint64_t seed);

    void start() { watch_.start(); }
    void stop() { watch_.stop(); }
    // The next call, after an answer.
    void next() { watch_.next(); }
    // Whatever is out is dropped, and a call made anew: something has to be said at once.
    void call_now() { watch_.call_now(); }
    // In place of `next`: the answers are of no use, the next of the addresses is called.
    void pass_over(const char* why) { watch_.pass_over(why); }
    // A call is out, and its answer is waited for: only then is call_now no more than one call.
    bool waits() const { return watch_.waits(); }
    const HostPort& address() const { return watch_.address(); }

  private:
    Call call() override { return taker_.next_call(); }
    bool read(std::string_view body) override;
    void answered(Nanos sent) override;
    void superseded(std::uint64_t last_incarnation) override { taker_.on_superseded(last_incarnation); }
    void silent(const char* why) override;
    void heard_again() override;

    ChangeObserver& taker_;
    const std::string whom_;
    LongPoll watch_;
    ChangesAnswer answer_;
};

}  // namespace tealcart
