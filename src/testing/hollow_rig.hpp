// Three real managers as processes, a discovery by script, and processes full of hollow routers
// (testing/hollow.hpp has what is hollow of them): their figures, and what is done to them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/client.hpp"
#include "testing/fleet.hpp"
#include "testing/hollow.hpp"
#include "testing/hollow_discovery.hpp"
#include "testing/rig.hpp"

namespace tealcart::testing {

struct HollowPlan {
    std::string programs;                       // folder of the built programs
    std::string self;                           // the program that runs a hollow process with `--hollow ...`
    std::size_t routers = 300, processes = 12;  // one zone each
    std::uint32_t nodes = 1000, seeded = 64;
    bool whole = false;  // each hollow router reads the whole list
    std::string lease = "10s", drift = "1s", election = "600ms";
    std::size_t managers = 3;
    // Real routers beside, each with one client that asks four shards at a time, one query after the other.
    std::size_t witnesses = 0;
    int gap_ms = 20;
};

// Of a process since its start, as the kernel counts them.
struct ProcessFigures {
    double cpu_s = 0, rss_mb = 0, dirty_mb = 0;  // dirty: private memory that was written
    std::size_t descriptors = 0;
    std::uint64_t disk = 0;  // bytes written to files
};
ProcessFigures figures_of(pid_t pid);

// So many ports that were free a moment ago, below those that the kernel gives to connections.
std::vector<std::uint16_t> quiet_ports(std::size_t count);

// Of one hollow process; the rig adds them up.
struct HollowFigures {
    pid_t pid = -1;  // -1: it does not answer
    std::size_t routers = 0, holding = 0, reader_nodes = 0;
    std::uint64_t lapses = 0, entries = 0, acts_on_least = 0, acts_on_most = 0;
    TrafficCounters manager, discovery;
    double cpu_s = 0, dirty_mb = 0;
};

class HollowRig {
  public:
    HollowRig(boost::asio::io_context& io, HollowPlan plan);
    ~HollowRig();

    bool until(const std::function<bool()>& holds, std::chrono::milliseconds within);
    void run_for(std::chrono::milliseconds span);

    void start_manager(std::size_t i);
    void start_hollow(std::size_t process);
    // The one that last said so and lives; the number of managers: none.
    std::size_t leader() const;
    HostPort manager_address(std::size_t i) const { return http_[i]; }
    // A word to a hollow process, and its answer; null where none came within 20 s.
    nlohmann::json say(std::size_t process, const std::string& line);
    std::vector<HollowFigures> hollow();  // by process
    std::size_t holding();                // routers that hold a lease
    bool all_hold() { return holding() == plan.routers; }
    // As a manager has it; null where it does not answer in time.
    nlohmann::json status(std::size_t manager);

    struct Drain {
        bool granted = false, done = false;
        double ms = -1;  // grant to done
        std::string said;
    };
    // Drains a data node, waits until that is done, and takes it back.
    Drain drain(std::uint32_t node, std::chrono::milliseconds within);

    boost::asio::io_context& io;
    const HollowPlan plan;
    EventLog event_log;
    TemporaryDirectory directory;
    std::unique_ptr<Fleet> fleet;  // what answers at the data nodes' addresses
    std::unique_ptr<HollowDiscovery> discovery;
    std::vector<std::unique_ptr<Process>> managers, processes, witnesses;
    std::map<int, std::uint64_t> answers;  // of the witnesses' clients, by status

  private:
    struct Asker {
        std::uint16_t port = 0;
        std::unique_ptr<Client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t asked = 0;
    };
    void start_witness(std::size_t i, std::uint16_t port);
    void ask(std::size_t i);
    bool take(Connection& c, const std::shared_ptr<std::size_t>& process);
    nlohmann::json operate(const std::string& what, nlohmann::json body);
    TimePoint said(std::size_t from, const std::string& words) const;

    std::vector<HostPort> http_;
    std::string fleet_file_, config_file_;
    std::vector<std::weak_ptr<Connection>> lines_;  // to the hollow processes
    std::vector<std::string> answers_;
    std::uint64_t asked_ = 0;
    std::deque<Asker> askers_;
    std::unique_ptr<LoopbackListener> control_;
};

}  // namespace tealcart::testing
