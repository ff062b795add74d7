// Runs many hollow followers of a fleet's configuration in one process, for measurements of large fleets. A
// hollow follower runs the program's own watch on the relays, document copy and lease, with their timers and
// real sockets, but it reads no settings from the document and has no decision module, queries or clients.
// All followers of a process share one thread and one clock.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "changes/document.hpp"
#include "members/member_lease.hpp"
#include "wire/change_watch.hpp"

namespace tealcart::testing {

// Returns the value of a changed entry: its sequence number, the time of its publish request by the machine's
// steady clock, and padding up to `bytes`.
std::string numbered_value(std::uint64_t number, Nanos published_at, std::size_t bytes);

// The configuration of a process with hollow followers.
struct FollowerConfig {
    std::size_t first_router = 0, follower_count = 0;  // routers r<first_router> and the following ones
    std::uint16_t control_port = 0;  // the port at which the rig accepts the process's control connection
    std::string zone;
    std::vector<HostPort> relays;  // of its zone; the followers start with them in turn
};

// Writes the configuration as command line arguments, and reads it back. Reading throws std::runtime_error
// for too few arguments and for a malformed address, and std::logic_error for a malformed number.
std::vector<std::string> write_follower_arguments(const FollowerConfig& config);
FollowerConfig read_follower_arguments(const std::vector<std::string>& arguments);

// One hollow follower: the watch on the relays, the document copy and the lease of a router.
class HollowFollower final : private ChangeObserver, private TimerHandler {
  public:
    // For each version, the times at which the followers first applied it or a later one, in ns of the steady
    // clock.
    using AppliedTimes = std::map<std::uint64_t, std::vector<Nanos>>;

    HollowFollower(boost::asio::io_context& io, EventClock& clock, const FollowerConfig& config,
                   std::size_t router_number, AppliedTimes& applied_times);
    ~HollowFollower() override;

    const changes::DocumentCopy& copy() const { return copy_; }
    std::uint64_t applied_version() const { return copy_.version(); }
    bool holds_lease() const { return lease_.serving_state(clock_.now()) == ServingState::leased; }
    // Returns how many leases expired before they were renewed.
    std::uint64_t lease_lapses() const { return lease_lapses_; }
    // Returns how often a version or an entry was received out of order.
    std::uint64_t order_violations() const { return order_violations_; }
    // Returns the number of calls to relays.
    std::uint64_t calls() const { return calls_; }
    // Returns how many responses could not be applied to the copy.
    std::uint64_t rejected() const { return rejected_; }

  private:
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override { lease_.superseded(last_incarnation); }
    void on_timer_due(Handle, std::uint64_t what) override;
    void check_order(const changes::Delta& delta);
    void send_next_call();

    EventClock& clock_;
    const MemberConfig config_;
    AppliedTimes& applied_times_;
    changes::DocumentCopy copy_;
    MemberLease lease_;
    ChangeWatch watch_;
    Nanos long_poll_wait_ = 0;
    TimerQueue::TimerId pause_timer_ = TimerQueue::none;
    int without_lease_ = 0;  // consecutive responses without a lease
    std::uint64_t last_sequence_number_ = 0, lease_lapses_ = 0, order_violations_ = 0, rejected_ = 0,
                  calls_ = 0;
};

// The process with hollow followers. It sends `hello FIRST_ROUTER` to the control port and then answers each
// command line with one line of JSON: "report" returns the state of its followers, "bytes" the bytes that
// their connections have carried, and "acted FROM TO" when its followers first applied each of these
// versions, in us of the steady clock. It runs until the control connection ends.
class FollowerProcess {
  public:
    FollowerProcess(boost::asio::io_context& io, FollowerConfig config);

    void run();

  private:
    void read_commands();
    std::string execute_command(const std::string& line);
    std::string report() const;
    std::string report_bytes() const;
    std::string report_applied_times(std::uint64_t from, std::uint64_t to) const;

    boost::asio::io_context& io_;
    const FollowerConfig config_;
    EventClock clock_;
    HollowFollower::AppliedTimes applied_times_;
    std::vector<std::unique_ptr<HollowFollower>> followers_;
    boost::asio::ip::tcp::socket control_socket_;
    std::array<char, 256> buffer_;
    std::string received_text_;
    bool disconnected_ = false;
};

}  // namespace tealcart::testing
