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
struct HollowRigOptions {
    std::string programs;  // directory of the built programs
    std::string self;      // the program that runs a hollow process when started with `--hollow ...`
    std::size_t routers = 300, processes = 12;  // one zone per process
    std::uint32_t nodes = 1000;                 // in discovery's list
    std::uint32_t known_nodes = 64;             // that each hollow router knows at the start
    bool full_list = false;                     // if true, every hollow router reads the full list
    std::string lease = "10s", drift = "1s", election = "600ms";
    std::size_t managers = 3;
    // Real routers in addition to the hollow ones, each with one client that sends queries for four shards,
    // one query after the other.
    std::size_t real_routers = 0;
    int query_gap_ms = 20;
};

// What the kernel reports of a process: its use of resources since its start, and its memory now.
struct ProcessFigures {
    double cpu_s = 0, rss_mb = 0, dirty_mb = 0;  // dirty: private memory that was written to
    std::size_t descriptors = 0;
    std::uint64_t disk_write_bytes = 0;
};
ProcessFigures process_figures(pid_t pid);

// What one hollow process reports of its routers, and its memory.
struct HollowFigures {
    pid_t pid = -1;  // -1 if the process does not respond
    std::size_t routers = 0, lease_holders = 0;
    std::size_t reader_nodes = 0;  // nodes that its reader knows
    std::uint64_t lease_lapses = 0, list_entries = 0;
    std::uint64_t min_applied_generation = 0, max_applied_generation = 0;
    TrafficCounters manager, discovery;
    double cpu_s = 0, dirty_mb = 0;
};

// Starts the processes and controls them.
class HollowRig {
  public:
    HollowRig(boost::asio::io_context& io, HollowRigOptions rig_options);
    ~HollowRig();

    // Runs the event loop until the condition holds. Returns false if that takes longer than `within`.
    bool until(const std::function<bool()>& condition, std::chrono::milliseconds within);
    void run_for(std::chrono::milliseconds span);

    void start_manager(std::size_t index);
    void start_hollow_process(std::size_t process);
    // Returns the running manager that last logged that it leads, or options.managers if there is none.
    std::size_t leader() const;
    HostPort manager_address(std::size_t index) const { return manager_addresses_[index]; }
    // Sends a command to a hollow process and returns its response; null if there is none within 20 s.
    nlohmann::json send_command(std::size_t process, const std::string& line);
    std::vector<HollowFigures> hollow_figures();  // by process
    std::size_t lease_holders();                  // the number of routers that hold a lease
    bool all_hold_leases() { return lease_holders() == options.routers; }
    // Returns the status page of a manager; null if it does not respond in time.
    nlohmann::json status(std::size_t manager);

    // The outcome of a drain.
    struct Drain {
        bool granted = false, done = false;
        double grant_to_done_ms = -1;  // from grant to done
        std::string response;
    };
    // Drains a data node, waits until the drain is done, and undrains the node.
    Drain drain(std::uint32_t node, std::chrono::milliseconds within);

    boost::asio::io_context& io;
    const HollowRigOptions options;
    EventLog event_log;
    TemporaryDirectory directory;
    std::unique_ptr<Fleet> fleet;  // the data nodes' listeners
    std::unique_ptr<HollowDiscovery> discovery;
    // `processes` run the hollow routers.
    std::vector<std::unique_ptr<Process>> managers, processes, real_routers;
    // The responses to the clients of the real routers.
    std::map<int, std::uint64_t> responses_by_status;

  private:
    // A client that sends queries to one real router.
    struct QueryClient {
        std::uint16_t port = 0;
        std::unique_ptr<Client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t sent_queries = 0;
    };
    void start_real_router(std::size_t index, std::uint16_t port);
    void send_query(std::size_t index);
    bool receive_lines(Connection& connection, const std::shared_ptr<std::size_t>& process);
    nlohmann::json call_operator_api(const std::string& operation, nlohmann::json body);
    // Returns when a fleet manager logged the first line since event `from` that begins with this text.
    TimePoint first_event(std::size_t from, const std::string& text) const;

    std::vector<HostPort> manager_addresses_;
    std::string fleet_file_, config_file_;
    std::vector<std::weak_ptr<Connection>> control_connections_;  // to the hollow processes
    std::vector<std::string> responses_;
    std::uint64_t operator_calls_ = 0;
    std::deque<QueryClient> query_clients_;
    std::unique_ptr<LoopbackListener> control_listener_;
};

}  // namespace tealcart::testing
