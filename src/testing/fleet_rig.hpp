// A whole fleet of processes: managers, query routers, and in the rig's own process the data nodes (which are
// the observer outside: they see what really reaches them), discovery and clients with steady traffic.
#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <random>

#include "testing/client.hpp"
#include "testing/fleet.hpp"
#include "testing/rig.hpp"

namespace tealcart::testing {

struct FleetRigOptions {
    std::string programs;  // folder of the built programs
    std::size_t managers = 3, routers = 6, nodes = 12;
    std::string lease = "2s", drift = "300ms", election = "300ms";
    std::string budgets;     // blocks of the managers' file
    std::string member;      // further attributes of the routers' member block
    bool membership = true;  // routers are members
    int gap_ms = 20;         // between two queries of a client; each router has one
};

// The platform's settings for so many routers, shards and cells; each shard lies at `held_at` cells in a row.
nlohmann::json platform_settings(std::size_t routers, std::size_t places, int ranges, int held_at);

// Leaf calls as data nodes saw them.
struct ReceivedCall {
    TimePoint at;
    std::size_t node = 0;
};

class FleetRig {
  public:
    FleetRig(boost::asio::io_context& io, FleetRigOptions options);
    ~FleetRig();

    // Runs until it holds; false after so long.
    bool until(const std::function<bool()>& holds,
               std::chrono::milliseconds within = std::chrono::seconds(20));
    void run_for(std::chrono::milliseconds span);

    // `before`: words of a command that runs the program, as one that limits it.
    void start_manager(std::size_t i, std::vector<std::string> more = {},
                       std::vector<std::string> before = {});
    void start_router(std::size_t i);
    void stop_traffic() { traffic_ = false; }
    bool all_ready();

    // As a manager has it, asked past all relays; null where it does not answer.
    nlohmann::json status(std::size_t manager) const { return get_json(manager, "/fleet/status"); }
    nlohmann::json get_json(std::size_t manager, const std::string& path) const;
    // Where members and relays reach it, through what can be cut.
    std::string manager_address(std::size_t manager) const;
    std::size_t leader() const;  // the one that says so; the number of managers: none
    nlohmann::json leader_status() const;
    nlohmann::json request_for(const std::string& node) const;  // of the leader; null: none is open
    // An operator's command, through these managers in this order.
    std::unique_ptr<Process> command(std::vector<std::string> words, std::vector<std::size_t> through);

    // What is said between this manager and the others, in both directions or only by it.
    void cut_off(std::size_t manager, bool inbound = true, bool outbound = true);
    // Between a router and all managers.
    void cut_off_member(std::size_t router, bool to, bool from) {
        cut_off_member("r" + std::to_string(router), to, from);
    }
    void cut_off_member(const std::string& name, bool to, bool from);  // a router or a relay
    void heal();

    boost::asio::io_context& io;
    const FleetRigOptions options;
    EventLog event_log;
    TemporaryDirectory directory;
    std::vector<std::unique_ptr<Process>> managers, routers;
    std::unique_ptr<Fleet> fleet;
    std::vector<ReceivedCall> calls;
    std::map<int, std::uint64_t> answers;  // of clients, by status; 0: the connection ended without one

  private:
    struct Asker {
        std::unique_ptr<Client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t asked = 0;
    };
    void ask(std::size_t router);

    std::vector<std::uint16_t> raft_, http_, http_real_, serve_;
    std::vector<std::unique_ptr<FaultProxy>> raft_proxies_, http_proxies_;
    std::string fleet_file_;
    std::deque<Asker> askers_;
    bool traffic_ = true;
};

}  // namespace tealcart::testing
