// Watches the generations of agreed drains with long polls to the fleet managers. Each poll renews the
// member's lease.
#pragma once

#include <string_view>
#include <vector>

#include "wire/long_poll.hpp"
#include "wire/member_messages.hpp"
#include "wire/response_size_limit.hpp"

namespace tealcart {

// Provides the calls of a ManagerWatch and receives their answers.
class ManagerObserver {
  public:
    virtual ~ManagerObserver() = default;
    // Returns the call to send next.
    virtual MemberCall member_call() = 0;
    // The call that was sent at `sent` was answered with a lease. Call ManagerWatch::next once the answer has
    // been applied.
    virtual void on_grant(Nanos sent, const MemberAnswer& answer) = 0;
    // A later incarnation of the member's name is known. The watch retries the call.
    virtual void on_superseded(std::uint64_t last_incarnation) = 0;
};

// A long poll whose answers are generations of agreed drains.
class ManagerWatch final : private LongPollObserver {
  public:
    ManagerWatch(boost::asio::io_context& io, EventClock& time, ManagerObserver& observer,
                 std::vector<HostPort> managers, ResponseSizeLimit limit = {});

    // See the methods of LongPoll.
    void start() { poll_.start(); }
    void stop() { poll_.stop(); }
    void next() { poll_.next(); }
    void call_now() { poll_.call_now(); }
    const TrafficCounters& traffic() const { return poll_.traffic(); }

  private:
    Call next_call() override;
    bool read(std::string_view body) override;
    void on_answer(Nanos sent) override;
    void on_superseded(std::uint64_t last_incarnation) override { observer_.on_superseded(last_incarnation); }
    void on_unreachable(const char* reason) override;
    void on_reachable_again() override;

    ManagerObserver& observer_;
    LongPoll poll_;
    MemberAnswer answer_;  // the one read last
};

}  // namespace tealcart
