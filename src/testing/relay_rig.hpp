// The relay tier as processes on loopback: three real managers with a `changes` block, two real relays for
// each of twelve zones, and a process of hollow followers a zone (testing/hollow_follower.hpp has what is
// hollow of them): their figures, and what is published to them.
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

struct RelayRigOptions {
    std::string programs;  // folder of the built programs
    std::string self;      // the program that runs a process of followers with `--followers ...`
    std::size_t followers = 300, zones = 12, relays_a_zone = 2, managers = 3;
    std::string lease = "10s", drift = "1s", election = "600ms";

    std::size_t relays() const { return zones * relays_a_zone; }
};

// Of all followers' processes together.
struct FollowerFigures {
    std::size_t followers = 0, holding = 0;
    std::uint64_t lapses = 0, faults = 0, refused = 0, calls = 0;
    std::uint64_t least = UINT64_MAX;     // that any acts on
    std::uint64_t min_held = UINT64_MAX;  // the same of those that hold a lease
    std::vector<std::uint64_t> digests;   // that differ
};

class RelayRig {
  public:
    RelayRig(boost::asio::io_context& io, RelayRigOptions options);

    bool until(const std::function<bool()>& holds, std::chrono::milliseconds within);
    void run_for(std::chrono::milliseconds span);

    void start_manager(std::size_t i);
    void start_relay(std::size_t i);
    void start_followers();  // those that have none yet
    bool relays_up();        // each that lives has a lease

    std::size_t leader() const;  // the one that last said so and lives; the number of managers: none
    // As a manager has the changes; null where it does not answer.
    nlohmann::json changes(std::size_t manager);
    // As the leader has them; null: none.
    nlohmann::json changes();
    // One line to every process of followers, and their answers; null where none came within 20 s.
    std::vector<nlohmann::json> ask(const std::string& line);
    FollowerFigures followers();

    struct Published {
        std::uint64_t version = 0;  // 0: it was not
        TimePoint asked, answered;
        int calls = 0;
    };
    // One version of these entries, under one id at whichever manager takes it.
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
    std::vector<std::weak_ptr<Connection>> lines_;  // to the followers' processes
    std::vector<std::string> answers_;
    std::size_t asks_at_ = 0;  // the manager that took the last publishing
    std::unique_ptr<LoopbackListener> control_;
};

}  // namespace tealcart::testing
