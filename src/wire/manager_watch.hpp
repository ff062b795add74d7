// A member's calls to the managers: one after the other on a kept connection, each of which renews the lease
// and waits for news; made anew, at the next manager, when it breaks or stays silent for longer than it may
// wait.
#pragma once

#include <string_view>
#include <vector>

#include "wire/list_bound.hpp"
#include "wire/long_poll.hpp"
#include "wire/member_messages.hpp"

namespace tealcart {

class ManagerObserver {
  public:
    virtual ~ManagerObserver() = default;
    // What is to be said now.
    virtual MemberCall word() = 0;
    // The call that was sent at `sent` was granted. ManagerWatch::next is to be called once the news is
    // acted on.
    virtual void on_grant(Nanos sent, const MemberAnswer& answer) = 0;
    virtual void on_superseded(std::uint64_t last_incarnation) = 0;
};

class ManagerWatch final : private LongPollObserver {
  public:
    ManagerWatch(boost::asio::io_context& io, EventClock& time, ManagerObserver& taker,
                 std::vector<HostPort> managers, ListBound bound = {});

    void start() { watch_.start(); }
    void stop() { watch_.stop(); }
    // The next call, after an answer.
    void next() { watch_.next(); }
    // Whatever is out is dropped, and a call made anew: something has to be said at once.
    void call_now() { watch_.call_now(); }
    const WireCount& wire() const { return watch_.wire(); }

  private:
    Call call() override;
    bool read(std::string_view body) override;
    void answered(Nanos sent) override;
    void superseded(std::uint64_t last_incarnation) override { taker_.on_superseded(last_incarnation); }
    void silent(const char* why) override;
    void heard_again() override;

    ManagerObserver& taker_;
    LongPoll watch_;
    MemberAnswer answer_;
};

}  // namespace tealcart
