// A test rig with real fleet managers as processes, a scripted discovery service and processes of hollow
// routers (see testing/hollow.hpp). It collects their figures, and starts, stops and drains them.
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

// The size and the settings of the fleet.
struct HollowPlan {
    std::string programs;                       // directory of the built programs
    std::string self;                           // the program that runs a hollow process with `--hollow ...`
    std::size_t routers = 300, processes = 12;  // one zone per process
    std::uint32_t nodes = 1000, known_nodes = 64;
    bool full_list = false;  // every hollow router reads the full list
    std::string lease = "10s", drift = "1s", election = "600ms";
    std::size_t managers = 3;
    // Real routers in addition, each with one client that sends queries for four shards, one query after the
    // other.
    std::size_t witnesses = 0;
    int query_gap_ms = 20;
};

// Figures of a process since its start, from the kernel.
struct ProcessFigures {
    double cpu_s = 0, rss_mb = 0, dirty_mb = 0;  // dirty: private memory that was written to
    std::size_t descriptors = 0;
    std::uint64_t disk = 0;  // bytes written to storage
};
ProcessFigures process_figures(pid_t pid);

// Figures of one hollow process.
struct HollowFigures {
    pid_t pid = -1;  // -1 if the process does not answer
    std::size_t routers = 0, holding = 0, reader_nodes = 0;
    std::uint64_t lapses = 0, entries = 0, acts_on_least = 0, acts_on_most = 0;
    TrafficCounters manager, discovery;
    double cpu_s = 0, dirty_mb = 0;
};

// Starts the processes and controls them.
class HollowRig {
  public:
    HollowRig(boost::asio::io_context& io, HollowPlan plan);
    ~HollowRig();

    // Runs the event loop until the condition holds. Returns false if that takes longer than `within`.
    bool until(const std::function<bool()>& condition, std::chrono::milliseconds within);
    void run_for(std::chrono::milliseconds span);

    void start_manager(std::size_t i);
    void start_hollow(std::size_t process);
    // The running manager that last logged that it leads; plan.managers if there is none.
    std::size_t leader() const;
    HostPort manager_address(std::size_t i) const { return http_[i]; }
    // Sends a command to a hollow process and returns its response; null if there is none within 20 s.
    nlohmann::json send_command(std::size_t process, const std::string& line);
    std::vector<HollowFigures> hollow();  // by process
    std::size_t holding();                // the number of routers that hold a lease
    bool all_hold_leases() { return holding() == plan.routers; }
    // The status page of a manager; null if it does not answer in time.
    nlohmann::json status(std::size_t manager);

    // The outcome of a drain.
    struct Drain {
        bool granted = false, done = false;
        double ms = -1;  // from grant to done
        std::string response;
    };
    // Drains a data node, waits until the drain is done, and lets the node back.
    Drain drain(std::uint32_t node, std::chrono::milliseconds within);

    boost::asio::io_context& io;
    const HollowPlan plan;
    EventLog event_log;
    TemporaryDirectory directory;
    std::unique_ptr<Fleet> fleet;  // answers at the addresses of the data nodes
    std::unique_ptr<HollowDiscovery> discovery;
    std::vector<std::unique_ptr<Process>> managers, processes, witnesses;
    std::map<int, std::uint64_t> answers;  // responses to the clients of the real routers, by status

  private:
    struct QueryClient {
        std::uint16_t port = 0;
        std::unique_ptr<Client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t sent_queries = 0;
    };
    void start_witness(std::size_t i, std::uint16_t port);
    void send_query(std::size_t i);
    bool receive(Connection& connection, const std::shared_ptr<std::size_t>& process);
    nlohmann::json call_operator_api(const std::string& operation, nlohmann::json body);
    TimePoint first_event(std::size_t from, const std::string& text) const;

    std::vector<HostPort> http_;
    std::string fleet_file_, config_file_;
    std::vector<std::weak_ptr<Connection>> control_connections_;  // to the hollow processes
    std::vector<std::string> responses_;
    std::uint64_t operator_calls_ = 0;
    std::deque<QueryClient> query_clients_;
    std::unique_ptr<LoopbackListener> control_;
};

}  // namespace tealcart::testing
