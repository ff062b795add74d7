// What the roles of a fleet cost beside the module, by size: a member's word and its answer, the log, the
// managers' state, discovery's list in a router's memory, connections of clients and to data nodes, and a
// leaf call on a kept connection and on one of its own: `make measure-role-cost`. Processor time is that of
// the measured thread, memory the heap in use; the kernel's share of a connection is not in it. Lines `point
// NAME SIZE FIGURE` are what `capacity --take` reads; the last line has them all.
#include <malloc.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "fleet/fleet_state.hpp"
#include "fleet_manager/endpoint_view.hpp"
#include "fleet_manager/operator_requests.hpp"
#include "fleet_manager/status_page.hpp"
#include "members/endpoint_overlay.hpp"
#include "tables/node_table.hpp"
#include "testing/fleet.hpp"
#include "wire/http_server.hpp"
#include "wire/node_connection_pool.hpp"

namespace {

using namespace tealcart;
using boost::asio::ip::tcp;

constexpr Nanos ms = 1'000'000;
std::string all;

void point(const char* name, std::size_t size, double figure) {
    std::printf("point %s %zu %.4g\n", name, size, figure);
    char text[128];
    std::snprintf(text, sizeof text, " %s@%zu=%.4g", name, size, figure);
    all += text;
}

double thread_us() {
    timespec t{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

double heap_bytes() {
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// Processor time of one turn, in us.
template <typename Turn>
double cost(int turns, Turn turn) {
    turn();  // the first one makes what the others use again
    const double began = thread_us();
    for (int i = 0; i < turns; ++i) turn();
    return (thread_us() - began) / turns;
}

std::string node_name(std::size_t n) {
    char text[64];
    std::snprintf(text, sizeof text, "dn-%05zu.r%zuz%zu", n, n % 12 % 5, n % 12);
    return text;
}

std::string router_name(std::size_t n) {
    char text[64];
    std::snprintf(text, sizeof text, "qr-%04zu.r%zuz%zu", n, n % 12 % 5, n % 12);
    return text;
}

MemberCall call_of(std::size_t n, std::size_t named) {
    MemberCall call;
    call.name = router_name(n), call.role = "router", call.zone = "r1z" + std::to_string(n % 12);
    call.version = "1.12.0", call.digest = "0123456789abcdef";
    call.incarnation = 1'764'649'382'000'000'000U + n, call.lease_grace = 86'400'000 * ms;
    call.applied_generation = call.known_generation = 1'234'567, call.wait = 2000 * ms;
    call.queries = 5560, call.failed = 12;
    for (std::size_t i = 0; i < named; ++i) call.unresponsive_nodes.push_back(node_name(i));
    return call;
}

void words() {
    std::size_t sink = 0;
    point("wire.head", 1, static_cast<double>(write_response_head({200, 1000}).size()));
    for (const std::size_t named : {0, 100, 1000}) {
        const MemberCall call = call_of(17, named);
        const std::string bytes = write_member_call(call);
        point("member.call_bytes", named, static_cast<double>(bytes.size()));
        point("member.call_write", named, cost(2000, [&] { sink += write_member_call(call).size(); }));
        point("steward.call_read", named, cost(2000, [&] { sink += read_member_call(bytes)->name.size(); }));
    }
    for (const std::size_t out : {0, 100, 1000, 7050}) {
        MemberAnswer answer{1'234'567, 10'000 * ms, {}, false};
        for (std::size_t i = 0; i < out; ++i) answer.drained.push_back({false, node_name(i)});
        const std::string bytes = write_member_answer(answer);
        const int turns = out > 1000 ? 100 : 1000;
        point("member.answer_bytes", out, static_cast<double>(bytes.size()));
        point("steward.answer_write", out, cost(turns, [&] { sink += write_member_answer(answer).size(); }));
        point("member.answer_read", out,
              cost(turns, [&] { sink += read_member_answer(bytes)->drained.size(); }));
    }
    for (const std::size_t batch : {1, 10, 100, 1000}) {
        fleet::ReportBatch many;
        for (std::size_t i = 0; i < batch; ++i)
            many.renewals.push_back(fleet_manager::renew_of(call_of(i, 0)));
        point("steward.log_bytes", batch,
              static_cast<double>(fleet::write_command({"", 1'764'649'382'000'000'000, many}).size()));
    }
    if (sink == 0) std::printf("nothing was written\n");
}

fleet::EndpointsObserved nodes_of(std::size_t nodes) {
    fleet::EndpointsObserved seen;
    for (std::size_t i = 0; i < nodes; ++i)
        seen.nodes[node_name(i)] = {"r1z" + std::to_string(i % 12),
                                    "kind-" + std::to_string(i % 4),
                                    {static_cast<std::uint32_t>(i / 3)},
                                    fleet::Health::healthy,
                                    0};
    return seen;
}

// A fleet of so many nodes and members, whose leases hold.
fleet::FleetState state_of(std::size_t nodes, std::size_t members) {
    fleet::Budgets budgets;
    budgets.nodes.max_count = 1;
    fleet::FleetState state(budgets);
    state.apply({"", 1, nodes_of(nodes)});
    for (std::size_t i = 0; i < members; ++i) {
        const MemberCall call = call_of(i, 0);
        fleet::ReportBatch one{{fleet_manager::join_of(call)}, {fleet_manager::renew_of(call)}};
        one.renewals[0].report.applied_generation = 0;
        state.apply({"", 2, std::move(one)});
    }
    return state;
}

// The managers' state: heap, bytes of its snapshot, and what it takes to write it and the status.
void state() {
    const auto measure = [](std::size_t nodes, std::size_t members, const char* heap, const char* snapshot,
                            std::size_t by) {
        const double before = heap_bytes();
        const fleet::FleetState kept = state_of(nodes, members);
        point(heap, by, (heap_bytes() - before) / 1e6);
        point(snapshot, by, static_cast<double>(kept.save().size()) / 1e6);
    };
    for (const std::size_t members : {300, 1200, 3600})
        measure(0, members, "steward.state_members", "steward.snapshot_members", members);
    for (const std::size_t nodes : {1000, 10'000, 40'000, 81'000}) {
        measure(nodes, 0, "steward.state_nodes", "steward.snapshot_nodes", nodes);
        const std::size_t members = nodes * 2 / 45;
        fleet::FleetState kept = state_of(nodes, members);
        std::size_t sink = 0;
        point("steward.snapshot_write", nodes, cost(3, [&] { sink += kept.save().size(); }) / 1e3);
        const std::string status = fleet_manager::write_status(kept, {}, false);
        point("steward.status_bytes", nodes, static_cast<double>(status.size()) / 1e6);
        point("steward.status_write", nodes,
              cost(3, [&] { sink += fleet_manager::write_status(kept, {}, false).size(); }) / 1e3);

        // Six members' words as one entry, with nothing queued and while a drain waits for another one.
        std::size_t turn = 0;
        const auto batch = [&] {
            fleet::ReportBatch six;
            for (std::size_t i = 0; i < 6; ++i) {
                six.renewals.push_back(fleet_manager::renew_of(call_of(turn++ % members, 0)));
                six.renewals.back().report.applied_generation = 0;
            }
            sink += kept.apply({"", 3, std::move(six)}).size();
        };
        point("fleet.batch", nodes, cost(200, batch) / 1e3);
        kept.apply({"a", 4, fleet::RequestRemoval{"me", {false, node_name(0)}}});
        kept.apply({"b", 4, fleet::RequestRemoval{"me", {false, node_name(1)}}});
        point("fleet.batch_queued", nodes, cost(20, batch) / 1e3);

        fleet::EndpointsObserved news{{}, false, {}};
        news.nodes[node_name(7)] = kept.nodes().at(node_name(7));
        std::size_t times = 0;
        const auto change = [&] {
            news.nodes.begin()->second.health =
                ++times % 2 > 0 ? fleet::Health::draining : fleet::Health::healthy;
            sink += kept.apply({"", 5, news}).size();
        };
        point("steward.node_news", nodes, cost(10, change) / 1e3);
        fleet::EndpointsObserved zone{{}, false, {}};
        for (std::size_t i = 12; i < nodes; i += 12) zone.removed.insert(node_name(i));
        const double began = thread_us();
        sink += kept.apply({"", 6, zone}).size();
        point("steward.zone_news", nodes, (thread_us() - began) / 1e3);
        fleet::FleetState fresh{fleet::Budgets{}};
        const auto bytes = fleet::write_command({"", 1, nodes_of(nodes)});
        const double from = thread_us();
        sink += fresh.apply(fleet::read_command(bytes.data(), bytes.size())).size();
        point("steward.whole_news", nodes, (thread_us() - from) / 1e3);
        if (sink == 0) std::printf("nothing was done\n");
    }
}

// A manager's look, ten times a second, at what discovery's list has that is not agreed: nothing here. Where
// each node is held against each shard that grows by their product, and the measure stops before it is long.
void view() {
    double last = 0;
    for (const std::size_t nodes : {1000, 3000, 10'000, 40'000, 81'000}) {
        if (last > 100) break;
        RouterConfig config;
        config.places = config.shards = static_cast<int>(nodes / 3);
        fleet_manager::EndpointView seen(config);
        EndpointList list{1, true, {}, 0};
        for (std::size_t i = 0; i < nodes / 3 * 3; ++i)
            list.nodes.push_back({node_name(i), "10.0.0.1:7300", "r1z1", "kind-1",
                                  static_cast<std::uint32_t>(i / 3), Lifecycle::ready, 0});
        seen.on_endpoints(list, 1);
        fleet::FleetState agreed{fleet::Budgets{}};
        if (auto news = seen.differences(agreed, 2)) agreed.apply({"", 2, std::move(*news)});
        bool any = false;
        last = cost(3, [&] { any |= seen.differences(agreed, 3).has_value(); }) / 1e3;
        if (any) std::printf("something was left to be agreed\n");
        point("steward.view", nodes, last);
        point("steward.view_product", nodes * (nodes / 3) / 1000, last);
    }
}

// A router's own tables of the list, beside the module's.
void lists() {
    const std::string gone = R"({"instanceId":")" + node_name(6750) + R"(","lifecycle":"removed"},)";
    point("router.gone_bytes", 1, static_cast<double>(gone.size()));
    for (const std::size_t nodes : {1000, 10'000, 40'000, 81'000}) {
        EndpointList list{1, true, {}, 0};
        std::size_t bytes = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            const std::string zone = "r1z" + std::to_string(i % 12), kind = "kind-" + std::to_string(i % 4);
            const std::string address = "10." + std::to_string(i % 12) + "." + std::to_string(i / 250 % 250) +
                                        "." + std::to_string(i % 250) + ":7300";
            list.nodes.push_back({node_name(i), address, zone, kind, static_cast<std::uint32_t>(i / 3),
                                  Lifecycle::ready, 1'764'649'382'000 * ms});
            bytes += (R"({"instanceId":")" + node_name(i) + R"(","hostPort":")" + address + R"(","cell":)" +
                      std::to_string(i / 3) + R"(,"zone":")" + zone + R"(","machineType":")" + kind +
                      R"(","lifecycle":"up","startedAtMs":1764649382000},)")
                         .size();
        }
        const double before = heap_bytes();
        auto known = std::make_unique<NodeTable>();
        known->apply(list);
        const double of_nodes = heap_bytes();
        auto agreed = std::make_unique<EndpointOverlay>();
        agreed->apply_discovered(list);
        point("router.list_bytes", nodes, static_cast<double>(bytes) / 1e6);
        point("router.list_memory", nodes, (of_nodes - before) / 1e6);
        point("router.agreed_memory", nodes, (heap_bytes() - of_nodes) / 1e6);
    }
}

struct Nobody final : RequestHandler {
    void on_request(Handle, Request&, Nanos) override {}
    void on_client_disconnected(Handle) override {}
};

void client_connections() {
    for (const std::size_t count : {100, 400, 1600}) {
        boost::asio::io_context io{1};
        EventClock time;
        Nobody taker;
        HttpServer front(io, time, taker, 10'000, 1000 * ms);
        front.listen("127.0.0.1", 0);
        std::vector<tcp::socket> clients;
        clients.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            clients.emplace_back(io);
            clients.back().open(tcp::v4());
        }
        const double before = heap_bytes();
        for (std::size_t i = 0; i < count; ++i) {
            clients[i].connect({boost::asio::ip::address_v4::loopback(), front.port()});
            while (front.open() <= i && io.run_one_for(std::chrono::seconds(5)) > 0) {
            }
        }
        point("router.client_memory", count, (heap_bytes() - before) / 1e6);
        front.close_all();
        io.poll();
    }
}

struct Caller final : ConnectionObserver {
    bool on_node_answer(Handle link, const NodeAnswer& answer) override {
        if (answer.outcome != Outcome::ok) return false;
        ++answered;
        links->complete(link, call);
        return true;
    }
    bool on_phase_answer(Handle, const PhaseAnswer&) override { return false; }
    bool on_two_phase_refused(std::uint32_t) override { return false; }
    void on_attempt_lost(Handle, Outcome) override { ++lost; }

    NodeConnectionPool* links = nullptr;
    Handle call;
    std::uint64_t answered = 0, lost = 0;
};

// Data nodes of a stand-in, in a process of their own, which goes with this one.
class Nodes {
  public:
    Nodes() {
        int ends[2];
        if (::pipe(ends) != 0) throw std::runtime_error("no pipe");
        child_ = ::fork();
        if (child_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            boost::asio::io_context io{1};
            testing::Fleet fleet(io, testing::read_script("fleet {\n shards = 8\n places = 2\n width = 1\n}\n"
                                                          "node \"a\" {\n place = 0\n}\n"
                                                          "node \"b\" {\n place = 1\n}\n",
                                                          "script"));
            for (const auto& node : fleet.nodes) {
                const std::string line = node.address() + '\n';
                if (::write(ends[1], line.data(), line.size()) < 0) ::_exit(1);
            }
            ::close(ends[1]);
            io.run();
            ::_exit(0);
        }
        ::close(ends[1]);
        std::string text;
        char buffer[256];
        for (ssize_t n = 0; (n = ::read(ends[0], buffer, sizeof buffer)) > 0;)
            text.append(buffer, static_cast<std::size_t>(n));
        ::close(ends[0]);
        std::istringstream lines(text);
        for (std::string& address : addresses_) std::getline(lines, address);
    }
    ~Nodes() {
        ::kill(child_, SIGKILL);
        ::waitpid(child_, nullptr, 0);
    }
    Nodes(const Nodes&) = delete;
    const std::string& address(std::size_t n) const { return addresses_[n]; }

  private:
    pid_t child_ = -1;
    std::string addresses_[2];
};

// Calls one after the other to two nodes in turn, with so many connections at most: with one, each call
// needs a connection of its own.
struct Called {
    double us = 0;
    bool sound = false;
};
Called calls(const Nodes& nodes, std::size_t most) {
    constexpr std::uint32_t count = 4000;
    boost::asio::io_context io{1};
    EventClock time;
    ConnectionConfig config;
    config.connect_timeout = 1000 * ms, config.idle_close = 30'000 * ms,
    config.max_calls_per_connection = 100;
    Caller caller;
    NodeConnectionPool links(io, time, config, caller, most);
    caller.links = &links;
    const double began = thread_us();
    for (std::uint32_t i = 0; i < count && caller.lost == 0; ++i) {
        const auto text = std::make_shared<QueryText>(
            QueryText{"q" + std::to_string(i), {}, "one line of what is looked for", {}});
        caller.call = Handle{i, 1};
        links.send(i % 2, nodes.address(i % 2),
                   {{caller.call, text, i % 8, time.now() + 1000 * ms, TimerQueue::never}}, {});
        while (caller.answered <= i && caller.lost == 0 && io.run_one_for(std::chrono::seconds(5)) > 0) {
        }
    }
    const double us = (thread_us() - began) / count;
    links.close_all();
    io.poll();
    return {us, caller.answered == count && caller.lost == 0};
}

void node_connections(const Nodes& nodes) {
    for (const std::size_t count : {100, 400, 1600}) {
        boost::asio::io_context io{1};
        EventClock time;
        ConnectionConfig config;
        config.connect_timeout = 5000 * ms, config.idle_close = 30'000 * ms,
        config.max_calls_per_connection = 100;
        Caller caller;
        NodeConnectionPool links(io, time, config, caller, 10'000);
        caller.links = &links;
        const double before = heap_bytes();
        for (std::uint32_t i = 0; i < count && caller.lost == 0; ++i) {
            const auto text = std::make_shared<QueryText>(QueryText{"q" + std::to_string(i), {}, "text", {}});
            caller.call = Handle{i, 1};
            links.send(i, nodes.address(0),
                       {{caller.call, text, 0, time.now() + 5000 * ms, TimerQueue::never}}, {});
            while (caller.answered <= i && caller.lost == 0 && io.run_one_for(std::chrono::seconds(5)) > 0) {
            }
        }
        point("router.link_memory", count, (heap_bytes() - before) / 1e6);
        links.close_all();
        io.poll();
    }
}

}  // namespace

int main() {
    const Nodes nodes;
    words();
    state();
    view();
    lists();
    client_connections();
    node_connections(nodes);
    bool sound = true;
    for (const int turn : {1, 2}) {
        const Called kept = calls(nodes, 2), made = calls(nodes, 1);
        sound &= kept.sound && made.sound;
        std::printf("turn %d: a call on a kept connection %.1f us, on one of its own %.1f us\n", turn,
                    kept.us, made.us);
        if (turn == 2) point("router.call_kept", 1, kept.us), point("router.call_made", 1, made.us);
    }
    std::printf("role_cost:%s %s\n", all.c_str(), sound ? "kept" : "MISSED");
    return sound ? 0 : 1;
}
