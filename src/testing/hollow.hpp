// Runs many hollow query routers in one process, for measurements of large fleets. A hollow router runs the
// program's own membership, lease, endpoint list and watches, with their timers and real sockets, but no
// queries, no decision module and no clients.
//
// A hollow router knows only the data nodes that it is started with (`known_nodes`) and the changes since
// then, like a router that is restarted with a list it had before. The full list is read by one reader per
// process, with the program's own watch and list. All routers of a process share one thread and one clock.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "service/membership.hpp"
#include "tables/node_table.hpp"
#include "wire/discovery_watch.hpp"

namespace tealcart::testing {

// A hollow fleet has one place for every three data nodes, but at least `min_places`, and one shard per
// place, which is replicated at three places.
constexpr std::uint32_t hollow_zones = 12, hollow_replicas = 3, min_places = 74;
// Returns the number of places in a fleet with this many data nodes.
std::uint32_t hollow_place_count(std::uint32_t nodes);
// Returns the data node at this index of a hollow fleet's list.
ListedEndpoint hollow_data_node(std::uint32_t index, std::uint32_t places, const std::string& address);

// The configuration of a process with hollow routers.
struct HollowConfig {
    std::size_t first_router = 0, router_count = 0;  // routers r<first_router> and the following ones
    std::uint16_t control_port = 0;  // the port at which the rig accepts the process's control connection
    HostPort discovery;
    std::vector<HostPort> managers;
    std::string zone;
    std::string node_address;           // of every data node that the routers know at the start
    std::uint64_t list_generation = 0;  // of the list that the routers know at the start
    std::uint32_t places = min_places;
    std::uint32_t known_nodes = 0;  // how many data nodes a router knows at the start
    bool full_list = false;         // if true, every router reads the full list, not only the reader
};

// Writes the configuration as command line arguments, and reads it back. Reading throws std::runtime_error
// for too few arguments and for a malformed address, and std::logic_error for a malformed number.
std::vector<std::string> write_hollow_arguments(const HollowConfig& config);
HollowConfig read_hollow_arguments(const std::vector<std::string>& arguments);

// One hollow router: the membership and the discovery watch of a router, which discards the list entries that
// it receives.
class HollowRouter final : private MemberHost, private TimerHandler {
  public:
    HollowRouter(boost::asio::io_context& io, EventClock& clock, const HollowConfig& config,
                 std::size_t router_number);
    ~HollowRouter() override { stop(); }

    void start();
    void stop();
    void update_serving_state();

    const Membership& member() const { return member_; }
    const DiscoveryWatch& discovery() const { return watch_; }
    bool holds_lease() const { return member_.lease().serving_state(clock_.now()) == ServingState::leased; }
    // Returns how many leases expired before they were renewed.
    std::uint64_t lease_lapses() const { return lease_lapses_; }
    // Returns how many list entries would have been passed to the decision module.
    std::uint64_t list_entries() const { return list_entries_; }

  private:
    void on_endpoint_list(const EndpointList& list) override;
    void observe_outcomes(OutcomeObserver*) override {}
    void set_serving_state(ServingStateSource source, const MemberServingState& serving_state) override;
    Nanos next_round() const override;
    std::size_t unfinished_count() const override { return 0; }
    bool any_attempt_to(const std::function<bool(const std::string&)>&) const override { return false; }
    const std::string& node_name(std::uint32_t node) const override { return nodes_.name(node); }
    void on_timer_due(Handle, std::uint64_t what) override;

    EventClock& clock_;
    NodeTable nodes_;
    std::vector<Endpoint> pending_entries_;
    Nanos last_round_ = 0, lease_until_ = 0;
    TimerQueue::TimerId round_timer_ = TimerQueue::none;
    std::uint64_t lease_lapses_ = 0, list_entries_ = 0;
    const std::uint64_t start_generation_;
    Membership member_;
    DiscoveryWatch watch_;
};

// The process with hollow routers. It sends `hello FIRST_ROUTER` to the control port and then answers each
// command line with one line: "report" returns its figures as JSON, "cut" closes all connections, "heal"
// opens them again, and "restart N" restarts the first N routers. It runs until the control connection ends.
class HollowProcess final : private EndpointListObserver {
  public:
    HollowProcess(boost::asio::io_context& io, HollowConfig config);

    void run();

  private:
    void on_endpoint_list(const EndpointList& list) override;
    void read_commands();
    std::string execute_command(const std::string& line);
    std::string report() const;
    void start_routers(std::size_t first, std::size_t count);

    boost::asio::io_context& io_;
    const HollowConfig config_;
    EventClock clock_;
    std::vector<std::unique_ptr<HollowRouter>> routers_;
    // Routers that were stopped; retained until their pending handlers have run.
    std::vector<std::unique_ptr<HollowRouter>> stopped_routers_;
    NodeTable nodes_;
    DiscoveryWatch list_reader_;
    // The figures of routers that a restart replaced.
    std::uint64_t replaced_lease_lapses_ = 0;
    TrafficCounters replaced_manager_traffic_, replaced_discovery_traffic_;
    boost::asio::ip::tcp::socket control_socket_;
    std::array<char, 256> buffer_;
    std::string received_text_;
    bool disconnected_ = false;
};

}  // namespace tealcart::testing
