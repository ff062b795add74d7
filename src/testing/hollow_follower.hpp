// Many hollow followers of a fleet's configuration in one process: the program's own watch on the relays,
// copy and lease with their timers and their bytes on sockets, but no settings that are read from what came,
// no module, no queries and no clients. All of a process share one thread and one clock.
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

// A changed entry's value: its number in the order that it was published in, when that was asked for by the
// machine's steady clock, and what fills it up to so many bytes.
std::string numbered_value(std::uint64_t number, Nanos at, std::size_t bytes);

struct FollowerConfig {
    std::size_t from = 0, count = 0;  // routers r<from> to r<from + count - 1>
    std::uint16_t control = 0;        // where whoever started the process takes its reports
    std::string zone;
    std::vector<HostPort> relays;  // of its zone; followers begin at them in turn
};

// As words of a command line and back; throws std::runtime_error on noise.
std::vector<std::string> write_followers(const FollowerConfig& config);
FollowerConfig read_followers(const std::vector<std::string>& words);

class HollowFollower final : private ChangeObserver, private DueHandler {
  public:
    // By version, when followers first acted on it or a later one: steady clock, in ns.
    using Acted = std::map<std::uint64_t, std::vector<Nanos>>;

    HollowFollower(boost::asio::io_context& io, EventClock& time, const FollowerConfig& config,
                   std::size_t number, Acted& acted);
    ~HollowFollower() override;

    const changes::DocumentCopy& copy() const { return copy_; }
    std::uint64_t applied_version() const { return copy_.version(); }
    bool holds() const { return lease_.serving_state(time_.now()) == ServingState::leased; }
    std::uint64_t lapses() const { return lapses_; }    // leases that were over before they were renewed
    std::uint64_t faults() const { return faults_; }    // versions or entries that came out of order
    std::uint64_t calls() const { return calls_; }      // to relays
    std::uint64_t refused() const { return refused_; }  // answers that did not fit the copy

  private:
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override { lease_.superseded(last_incarnation); }
    void on_due(Handle, std::uint64_t what) override;
    void look_at(const changes::Delta& delta);
    void go_on();

    EventClock& time_;
    const MemberConfig config_;
    Acted& acted_;
    changes::DocumentCopy copy_;
    MemberLease lease_;
    ChangeWatch watch_;
    Nanos wait_ = 0;
    TimerQueue::Ticket pause_ = TimerQueue::none;
    int without_lease_ = 0;  // answers in a row
    std::uint64_t last_number_ = 0, lapses_ = 0, faults_ = 0, refused_ = 0, calls_ = 0;
};

// The process. Says `hello FROM` to the control port, then answers each line with one, as JSON: "report" with
// how its followers stand, "bytes" with what their connections have carried, "acted FROM TO" with when its
// followers first acted on each of these versions, in us of the steady clock. Runs until the control
// connection ends.
class FollowerProcess {
  public:
    FollowerProcess(boost::asio::io_context& io, FollowerConfig config);

    void run();

  private:
    void read();
    std::string answer(const std::string& line);
    std::string report() const;
    std::string bytes() const;
    std::string acted(std::uint64_t from, std::uint64_t to) const;

    boost::asio::io_context& io_;
    const FollowerConfig config_;
    EventClock time_;
    HollowFollower::Acted acted_;
    std::vector<std::unique_ptr<HollowFollower>> followers_;
    boost::asio::ip::tcp::socket control_;
    std::array<char, 256> buffer_;
    std::string in_;
    bool over_ = false;
};

}  // namespace tealcart::testing
