// Many hollow query routers in one process: the program's own membership, lease, list and watches with their
// timers and their bytes on sockets, but no queries, no module and no clients.
//
// What is hollow: a router knows of discovery's list only the nodes it is started with (`seeded`) and what
// has changed since, as one that was started with a list that it had before; the whole list is read by one
// reader a process, with the program's own watch and list. All of them share one thread and one clock.
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

// A hollow fleet has a cell for each three data nodes, and a shard for each cell, which lies at three cells.
constexpr std::uint32_t hollow_zones = 12, hollow_width = 3, min_places = 74;
std::uint32_t hollow_places(std::uint32_t nodes);
// Its n-th data node.
ListedEndpoint hollow_node(std::uint32_t n, std::uint32_t places, const std::string& address);

struct HollowConfig {
    std::size_t from = 0, count = 0;  // routers r<from> to r<from + count - 1>
    std::uint16_t control = 0;        // where whoever started the process takes its reports
    HostPort discovery;
    std::vector<HostPort> managers;
    std::string zone, address;  // address: of each data node
    std::uint64_t generation = 0;
    std::uint32_t places = min_places, seeded = 0;  // seeded: the first so many data nodes
    bool whole = false;  // each router reads the whole list, in place of the reader alone
};

// As words of a command line and back; throws std::runtime_error on noise.
std::vector<std::string> write_hollow(const HollowConfig& config);
HollowConfig read_hollow(const std::vector<std::string>& words);

class HollowRouter final : private MemberHost, private DueHandler {
  public:
    HollowRouter(boost::asio::io_context& io, EventClock& time, const HollowConfig& config,
                 std::size_t number);
    ~HollowRouter() override { stop(); }

    void start();
    void stop();
    void update_serving_state();

    const Membership& member() const { return member_; }
    const DiscoveryWatch& discovery() const { return watch_; }
    bool holds() const { return member_.lease().serving_state(time_.now()) == ServingState::leased; }
    std::uint64_t lapses() const { return lapses_; }    // leases that were over before they were renewed
    std::uint64_t entries() const { return entries_; }  // of lists, that came to the module's door

  private:
    void on_endpoint_list(const EndpointList& list) override;
    void observe_outcomes(OutcomeObserver*) override {}
    void set_serving_state(ServingStateSource by, const MemberServingState& serving_state) override;
    Nanos next_round() const override;
    std::size_t unfinished_count() const override { return 0; }
    bool any_attempt_to(const std::function<bool(const std::string&)>&) const override { return false; }
    const std::string& node_name(std::uint32_t node) const override { return nodes_.name(node); }
    void on_due(Handle, std::uint64_t what) override;

    EventClock& time_;
    NodeTable nodes_;
    std::vector<Endpoint> arrived_;
    Nanos last_round_ = 0, lease_until_ = 0;
    TimerQueue::Ticket round_ = TimerQueue::none;
    std::uint64_t lapses_ = 0, entries_ = 0;
    const std::uint64_t generation_;
    Membership member_;
    DiscoveryWatch watch_;
};

// The process. Says `hello FROM` to the control port, then answers each line with one: "report" with figures
// as JSON, "cut" ends all connections, "heal" makes them anew, "restart N" starts the first N routers anew.
// Runs until the control connection ends.
class HollowProcess final : private EndpointListObserver {
  public:
    HollowProcess(boost::asio::io_context& io, HollowConfig config);

    void run();

  private:
    void on_endpoint_list(const EndpointList& list) override;
    void read();
    std::string answer(const std::string& line);
    std::string report() const;
    void start(std::size_t first, std::size_t count);

    boost::asio::io_context& io_;
    const HollowConfig config_;
    EventClock time_;
    std::vector<std::unique_ptr<HollowRouter>> routers_;
    std::vector<std::unique_ptr<HollowRouter>> ended_;  // what completes for them is still on its way
    NodeTable nodes_;
    DiscoveryWatch reader_;
    std::uint64_t lapses_before_ = 0;  // of routers that were started anew
    TrafficCounters manager_before_, discovery_before_;
    boost::asio::ip::tcp::socket control_;
    std::array<char, 256> buffer_;
    std::string in_;
    bool over_ = false;
};

}  // namespace tealcart::testing
