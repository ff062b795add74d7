// The relay tier as processes on loopback: three fleet managers with a `changes` block, two relays for each
// of twelve zones, and one process of simulated followers per zone (see testing/hollow_follower.hpp).
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/host_port.hpp"
#include "testing/fleet.hpp"
#include "testing/hollow_discovery.hpp"
#include "testing/rig.hpp"

namespace tealcart::testing {

// The size and the settings of the rig.
struct RelayRigOptions {
    std::string programs;  // directory of the built programs
    std::string self;      // the program that runs a process of followers when started with `--followers ...`
    std::size_t followers = 300, zones = 12, relays_a_zone = 2, managers = 3;
    std::string lease = "10s", drift = "1s", election = "600ms";

    std::size_t relays() const { return zones * relays_a_zone; }
};

// The sums over all followers' processes.
struct FollowerFigures {
    std::size_t followers = 0, holding = 0;
    std::uint64_t lapses = 0, faults = 0, refused = 0, calls = 0;
    std::uint64_t least = UINT64_MAX;     // the lowest version that a follower acts on
    std::uint64_t min_held = UINT64_MAX;  // the same among followers with a lease
    std::vector<std::uint64_t> digests;   // the distinct digests of the followers' documents
};

// Starts the processes, publishes versions and collects the followers' figures.
class RelayRig {
  public:
    RelayRig(boost::asio::io_context& io, RelayRigOptions options);

    bool until(const std::function<bool()>& holds, std::chrono::milliseconds within);
    void run_for(std::chrono::milliseconds span);

    void start_manager(std::size_t i);
    void start_relay(std::size_t i);
    void start_followers();  // starts the processes that have not been started
    bool relays_up();        // whether each running relay has a lease

    // The running fleet manager that last logged that it leads; the number of managers: none.
    std::size_t leader() const;
    // The changes page of a fleet manager; null if it does not answer.
    nlohmann::json changes(std::size_t manager);
    // The changes page of the leader; null: none leads.
    nlohmann::json changes();
    // Sends one line to every process of followers and returns their answers; null for a process that does
    // not answer within 20 s.
    std::vector<nlohmann::json> ask(const std::string& line);
    FollowerFigures followers();

    // The result of publishing a version.
    struct Published {
        std::uint64_t version = 0;  // 0: not published
        TimePoint asked, answered;
        int calls = 0;
    };
    // Publishes one version of these entries, with retries under one id at any fleet manager.
    Published publish(const std::string& id, const std::map<std::string, std::string>& entries,
                      std::chrono::milliseconds within);

    boost::asio::io_context& io;
    const RelayRigOptions options;
    EventLog event_log;
    TemporaryDirectory directory;
    std::vector<std::unique_ptr<Process>> managers, relays, processes;

  private:
    bool take(Connection& c, const std::shared_ptr<std::size_t>& process);
    std::size_t first_of(std::size_t process) const { return options.followers * process / options.zones; }

    std::unique_ptr<HollowDiscovery> discovery_;
    std::vector<HostPort> http_, relay_at_;
    std::string fleet_file_, config_file_;
    std::vector<std::weak_ptr<Connection>> lines_;  // connections to the followers' processes
    std::vector<std::string> answers_;
    std::size_t publish_manager_ = 0;  // the fleet manager that publishing tries first
    std::unique_ptr<LoopbackListener> control_;
};

}  // namespace tealcart::testing
