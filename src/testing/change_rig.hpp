// Changes of configuration on processes: three fleet managers and relays. Followers run in the test's own
// process, so that checks see what they receive and when their leases expire.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "changes/document.hpp"
#include "testing/fleet_rig.hpp"
#include "wire/change_watch.hpp"

namespace tealcart::testing {

// A scripted follower: applies what it receives unless it refuses it. Its lease counts from when it sent the
// call.
class Follower final : private ChangeObserver {
  public:
    using RefusalCheck = std::function<std::string(const changes::Document&)>;  // the reason; empty: accepts

    Follower(boost::asio::io_context& io, EventClock& time, EventLog& event_log, std::string name,
             std::vector<HostPort> relays, RefusalCheck refusal_check = {});
    ~Follower() { watch_.stop(); }

    const std::string name;
    std::uint64_t applied_version = 0, refused = 0;
    changes::DocumentCopy copy;
    changes::Document applied_document;
    Nanos lease_until = 0;
    bool version_decreased = false;  // must stay false
    std::size_t pages = 0;           // pages that it received
    std::size_t superseded = 0;      // answers that a later incarnation is known
    std::string relay_port() const { return std::to_string(watch_.address().port); }
    bool has_lease() const { return lease_until > time_.now(); }
    void leave();

  private:
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t) override { ++superseded, ++incarnation_; }

    EventClock& time_;
    EventLog& event_log_;
    const RefusalCheck check_refusal_;
    std::uint64_t incarnation_;
    Nanos lease_ = 0;
    bool leaves_ = false, left_ = false;
    std::string refusal_reason_;
    ChangeWatch watch_;
};

// The size and the settings of the rig.
struct ChangeRigOptions {
    std::string programs;
    std::size_t relays = 2;
    std::string lease = "2s", drift = "300ms";
    std::string changes;  // further attributes of the fleet managers' `changes` block
    std::string relay;    // further attributes of each relay's block
    bool router = false;  // the rig's query router, r0, follows the relays too
};

// Starts the processes and creates followers.
class ChangeRig {
  public:
    ChangeRig(boost::asio::io_context& io, ChangeRigOptions options);

    void start_relay(std::size_t i);
    // Creates a follower that calls these relays, starting with the first.
    Follower& follow(const std::string& name, std::vector<std::size_t> relays,
                     Follower::RefusalCheck refusal_check = {});
    bool until(const std::function<bool()>& holds,
               std::chrono::milliseconds within = std::chrono::seconds(20));
    // Runs a `config` command through these fleet managers and returns its exit status.
    int config(std::vector<std::string> arguments, std::vector<std::size_t> through = {0, 1, 2});
    std::unique_ptr<Process> start_config_command(std::vector<std::string> arguments,
                                                  std::vector<std::size_t> through = {0, 1, 2});
    // Writes the text to a file and returns the argument KEY=FILE.
    std::string entry(const std::string& key, const std::string& text);

    nlohmann::json changes() const;                    // the leader's changes page; null: none leads
    nlohmann::json relay_status(std::size_t i) const;  // null: the relay does not answer
    // Waits until the version is in force.
    bool in_force(std::uint64_t version);
    // Whether each follower with a valid lease acts on the version that the leader reports as in force, or a
    // later one, and none went back. New followers that have no version yet are excepted.
    bool followers_consistent();

  private:
    void fire_timers();
    FleetRigOptions fleet_rig_options() const;

    EventClock time_;  // outlives the followers
    std::vector<std::uint16_t> ports_;

  public:
    ChangeRigOptions options;
    FleetRig fleet_rig;
    std::vector<std::unique_ptr<Process>> relays;
    std::vector<std::unique_ptr<Follower>> followers;

  private:
    boost::asio::io_context& io_;
    std::size_t files_ = 0;
    std::unique_ptr<boost::asio::steady_timer> timer_;
};

}  // namespace tealcart::testing
