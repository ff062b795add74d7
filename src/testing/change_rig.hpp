// Changes of configuration on processes: three managers and relays, and in the rig's own process scripted
// followers, which see what reaches them and by when their lease is over.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "changes/document.hpp"
#include "testing/fleet_rig.hpp"
#include "wire/change_watch.hpp"

namespace tealcart::testing {

// Takes over what it is told, unless it refuses it; counts its lease from when it called.
class Follower final : private ChangeObserver {
  public:
    using Refuses = std::function<std::string(const changes::Document&)>;  // why; empty: it doesn't

    Follower(boost::asio::io_context& io, EventClock& time, EventLog& event_log, std::string name,
             std::vector<HostPort> relays, Refuses refuses = {});
    ~Follower() { watch_.stop(); }

    const std::string name;
    std::uint64_t applied_version = 0, refused = 0;
    changes::DocumentCopy copy;
    changes::Document acting;  // the document that it acts by
    Nanos lease_until = 0;
    bool version_decreased = false;  // never to be
    std::size_t pages = 0;           // that it was told
    std::size_t superseded = 0;      // times that a later incarnation was told
    std::string relay_port() const { return std::to_string(watch_.address().port); }
    bool has_lease() const { return lease_until > time_.now(); }
    void leave();

  private:
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t) override { ++superseded, ++incarnation_; }

    EventClock& time_;
    EventLog& event_log_;
    const Refuses refuses_;
    std::uint64_t incarnation_;
    Nanos lease_ = 0;
    bool leaves_ = false, left_ = false;
    std::string why_;
    ChangeWatch watch_;
};

struct ChangeRigOptions {
    std::string programs;
    std::size_t relays = 2;
    std::string lease = "2s", drift = "300ms";
    std::string changes;  // further attributes of the managers' block
    std::string relay;    // of each relay's
    bool router = false;  // the rig's query router, r0, follows the relays too
};

class ChangeRig {
  public:
    ChangeRig(boost::asio::io_context& io, ChangeRigOptions options);

    void start_relay(std::size_t i);
    // Calls these relays, the first one first.
    Follower& follow(const std::string& name, std::vector<std::size_t> relays,
                     Follower::Refuses refuses = {});
    bool until(const std::function<bool()>& holds,
               std::chrono::milliseconds within = std::chrono::seconds(20));
    // Runs the operators' command through these managers; its status.
    int config(std::vector<std::string> words, std::vector<std::size_t> through = {0, 1, 2});
    std::unique_ptr<Process> start_config_command(std::vector<std::string> words,
                                                  std::vector<std::size_t> through = {0, 1, 2});
    // KEY=FILE of this text.
    std::string entry(const std::string& key, const std::string& text);

    nlohmann::json changes() const;                    // as the leader has them; null: none leads
    nlohmann::json relay_status(std::size_t i) const;  // null: it does not answer
    bool in_force(std::uint64_t version);
    // Each follower whose lease holds by its own clock acts on what the leader says to be in force, but for
    // newcomers that have nothing yet, and none went back.
    bool followers_consistent();

  private:
    void tick();
    FleetRigOptions fleet_rig_options() const;

    EventClock time_;  // outlives the followers
    std::vector<std::uint16_t> ports_;

  public:
    ChangeRigOptions options;
    FleetRig rig;
    std::vector<std::unique_ptr<Process>> relays;
    std::vector<std::unique_ptr<Follower>> followers;

  private:
    boost::asio::io_context& io_;
    std::size_t files_ = 0;
    std::unique_ptr<boost::asio::steady_timer> timer_;
};

}  // namespace tealcart::testing
