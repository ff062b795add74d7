// The relay tier as processes on loopback: three fleet managers with a `changes` block, two relays for each
// of twelve zones, and one process of hollow followers per zone (see testing/hollow_follower.hpp).
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
    std::size_t followers = 300, zones = 12, relays_per_zone = 2, managers = 3;
    std::string lease = "10s", drift = "1s", election = "600ms";

    std::size_t relays() const { return zones * relays_per_zone; }
};

// What the followers' processes report, summed over all processes.
struct FollowerFigures {
    std::size_t followers = 0, lease_holders = 0;
    std::uint64_t lease_lapses = 0, order_violations = 0, rejected = 0, calls = 0;
    std::uint64_t min_version = UINT64_MAX;             // the lowest version that a follower has applied
    std::uint64_t min_version_of_holders = UINT64_MAX;  // the same, of the followers with a lease
    std::vector<std::uint64_t> digests;                 // the distinct digests of the followers' documents
};

// Starts the processes, publishes versions and collects the followers' figures.
class RelayRig {
  public:
    RelayRig(boost::asio::io_context& io, RelayRigOptions options);

    // Runs the event loop until the condition holds. Returns false if that takes longer than `within`.
    bool until(const std::function<bool()>& condition, std::chrono::milliseconds within);
    void run_for(std::chrono::milliseconds span);

    void start_manager(std::size_t i);
    void start_relay(std::size_t i);
    void start_followers();         // starts the processes that have not been started
    bool all_relays_hold_leases();  // whether each running relay has a lease

    // Returns the running fleet manager that last logged that it leads, or options.managers if there is none.
    std::size_t leader() const;
    // Returns the changes page of a fleet manager; null if it does not respond.
    nlohmann::json changes(std::size_t manager);
    // Returns the changes page of the leader; null if there is none.
    nlohmann::json changes();
    // Sends a command to every process of followers and returns their responses; null for a process that does
    // not respond within 20 s.
    std::vector<nlohmann::json> broadcast_command(const std::string& line);
    // Returns the sums of the processes' reports. The lowest version is 0 if a process does not respond.
    FollowerFigures followers();

    // The result of publishing a version.
    struct PublishResult {
        std::uint64_t version = 0;  // 0 if no version was published
        TimePoint requested_at, answered_at;
        int calls = 0;
    };
    // Publishes these entries as one version. Retries with the same id, at the next fleet manager each time.
    PublishResult publish(const std::string& id, const std::map<std::string, std::string>& entries,
                          std::chrono::milliseconds within);

    boost::asio::io_context& io;
    const RelayRigOptions options;
    EventLog event_log;
    TemporaryDirectory directory;
    // `processes` run the hollow followers.
    std::vector<std::unique_ptr<Process>> managers, relays, processes;

  private:
    bool receive_lines(Connection& connection, const std::shared_ptr<std::size_t>& process);
    std::size_t first_follower(std::size_t process) const {
        return options.followers * process / options.zones;
    }

    std::unique_ptr<HollowDiscovery> discovery_;
    std::vector<HostPort> manager_addresses_, relay_addresses_;
    std::string fleet_file_, config_file_;
    std::vector<std::weak_ptr<Connection>> control_connections_;  // to the followers' processes
    std::vector<std::string> responses_;
    std::size_t publish_manager_ = 0;  // the fleet manager that publishing tries first
    std::unique_ptr<LoopbackListener> control_listener_;
};

}  // namespace tealcart::testing
