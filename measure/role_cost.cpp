// Measures what the roles of a fleet cost besides the decision module, by size: `make measure-role-cost`. It
// covers members' calls and their answers, the replicated log, the fleet managers' state, discovery's list in
// a router's memory, connections of clients and to data nodes, and attempts on a reused and on a new
// connection. Processor time is that of the measured thread; memory is the heap in use, without the kernel's
// share of a connection. `capacity --take` reads the lines `point NAME SIZE FIGURE`; the last line has all of
// their figures.
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

constexpr Nanos millisecond = 1'000'000;
std::string figures;  // all points, for the last line

void point(const char* name, std::size_t size, double figure) {
    std::printf("point %s %zu %.4g\n", name, size, figure);
    char text[128];
    std::snprintf(text, sizeof text, " %s@%zu=%.4g", name, size, figure);
    figures += text;
}

double thread_cpu_us() {
    timespec cpu_time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
    return static_cast<double>(cpu_time.tv_sec) * 1e6 + static_cast<double>(cpu_time.tv_nsec) / 1e3;
}

double heap_bytes() {
    const struct mallinfo2 heap = ::mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

// Returns the processor time of one run of the operation, in microseconds.
template <typename Operation>
double cpu_us_of(int runs, Operation operation) {
    operation();  // The first run allocates memory that the measured runs reuse.
    const double began = thread_cpu_us();
    for (int i = 0; i < runs; ++i) operation();
    return (thread_cpu_us() - began) / runs;
}

std::string node_name(std::size_t index) {
    char text[64];
    std::snprintf(text, sizeof text, "dn-%05zu.r%zuz%zu", index, index % 12 % 5, index % 12);
    return text;
}

std::string router_name(std::size_t index) {
    char text[64];
    std::snprintf(text, sizeof text, "qr-%04zu.r%zuz%zu", index, index % 12 % 5, index % 12);
    return text;
}

MemberCall member_call_of(std::size_t index, std::size_t unresponsive_nodes) {
    MemberCall call;
    call.name = router_name(index), call.role = "router", call.zone = "r1z" + std::to_string(index % 12);
    call.version = "1.12.0", call.digest = "0123456789abcdef";
    call.incarnation = 1'764'649'382'000'000'000U + index, call.lease_grace = 86'400'000 * millisecond;
    call.applied_generation = call.known_generation = 1'234'567, call.wait = 2000 * millisecond;
    call.queries = 5560, call.failed = 12;
    for (std::size_t i = 0; i < unresponsive_nodes; ++i) call.unresponsive_nodes.push_back(node_name(i));
    return call;
}

// Measures members' calls and their answers, and the log entries of batched reports.
void measure_member_messages() {
    std::size_t sink = 0;  // uses the results, so that no operation is optimised away
    point("wire.head", 1, static_cast<double>(write_response_head({200, 1000}).size()));
    for (const std::size_t unresponsive_nodes : {0, 100, 1000}) {
        const MemberCall call = member_call_of(17, unresponsive_nodes);
        const std::string bytes = write_member_call(call);
        point("member.call_bytes", unresponsive_nodes, static_cast<double>(bytes.size()));
        point("member.call_write", unresponsive_nodes,
              cpu_us_of(2000, [&] { sink += write_member_call(call).size(); }));
        point("steward.call_read", unresponsive_nodes,
              cpu_us_of(2000, [&] { sink += read_member_call(bytes)->name.size(); }));
    }
    for (const std::size_t drained : {0, 100, 1000, 7050}) {
        MemberAnswer answer{1'234'567, 10'000 * millisecond, {}, false};
        for (std::size_t i = 0; i < drained; ++i) answer.drained.push_back({false, node_name(i)});
        const std::string bytes = write_member_answer(answer);
        const int runs = drained > 1000 ? 100 : 1000;
        point("member.answer_bytes", drained, static_cast<double>(bytes.size()));
        point("steward.answer_write", drained,
              cpu_us_of(runs, [&] { sink += write_member_answer(answer).size(); }));
        point("member.answer_read", drained,
              cpu_us_of(runs, [&] { sink += read_member_answer(bytes)->drained.size(); }));
    }
    for (const std::size_t batch_size : {1, 10, 100, 1000}) {
        fleet::ReportBatch batch;
        for (std::size_t i = 0; i < batch_size; ++i)
            batch.renewals.push_back(fleet_manager::renew_of(member_call_of(i, 0)));
        point("steward.log_bytes", batch_size,
              static_cast<double>(fleet::write_command({"", 1'764'649'382'000'000'000, batch}).size()));
    }
    if (sink == 0) std::printf("error: all written members' calls and answers are empty\n");
}

fleet::EndpointsObserved observed_nodes(std::size_t count) {
    fleet::EndpointsObserved observed;
    for (std::size_t i = 0; i < count; ++i)
        observed.nodes[node_name(i)] = {"r1z" + std::to_string(i % 12),
                                        "kind-" + std::to_string(i % 4),
                                        {static_cast<std::uint32_t>(i / 3)},
                                        fleet::Health::healthy,
                                        0};
    return observed;
}

// Returns the state of a fleet with these numbers of nodes and members. All members hold a lease.
fleet::FleetState fleet_state_of(std::size_t nodes, std::size_t members) {
    fleet::Budgets budgets;
    budgets.nodes.max_count = 1;
    fleet::FleetState state(budgets);
    state.apply({"", 1, observed_nodes(nodes)});
    for (std::size_t i = 0; i < members; ++i) {
        const MemberCall call = member_call_of(i, 0);
        fleet::ReportBatch batch{{fleet_manager::join_of(call)}, {fleet_manager::renew_of(call)}};
        batch.renewals[0].report.applied_generation = 0;
        state.apply({"", 2, std::move(batch)});
    }
    return state;
}

// Measures the fleet managers' state: its heap, the size of its snapshot, the time to write the snapshot and
// the status, and the time to apply commands.
void measure_fleet_state() {
    const auto measure_memory = [](std::size_t nodes, std::size_t members, const char* heap_point,
                                   const char* snapshot_point, std::size_t size) {
        const double heap_before = heap_bytes();
        const fleet::FleetState state = fleet_state_of(nodes, members);
        point(heap_point, size, (heap_bytes() - heap_before) / 1e6);
        point(snapshot_point, size, static_cast<double>(state.save().size()) / 1e6);
    };
    for (const std::size_t members : {300, 1200, 3600})
        measure_memory(0, members, "steward.state_members", "steward.snapshot_members", members);
    for (const std::size_t nodes : {1000, 10'000, 40'000, 81'000}) {
        measure_memory(nodes, 0, "steward.state_nodes", "steward.snapshot_nodes", nodes);
        const std::size_t members = nodes * 2 / 45;
        fleet::FleetState state = fleet_state_of(nodes, members);
        std::size_t sink = 0;
        point("steward.snapshot_write", nodes, cpu_us_of(3, [&] { sink += state.save().size(); }) / 1e3);
        const std::string status = fleet_manager::write_status(state, {}, false);
        point("steward.status_bytes", nodes, static_cast<double>(status.size()) / 1e6);
        point("steward.status_write", nodes,
              cpu_us_of(3, [&] { sink += fleet_manager::write_status(state, {}, false).size(); }) / 1e3);

        // Applies the reports of six members as one log entry, first with no removal in the queue and then
        // while a queued removal waits for a granted one.
        std::size_t reports = 0;
        const auto apply_batch = [&] {
            fleet::ReportBatch batch;
            for (std::size_t i = 0; i < 6; ++i) {
                batch.renewals.push_back(fleet_manager::renew_of(member_call_of(reports++ % members, 0)));
                batch.renewals.back().report.applied_generation = 0;
            }
            sink += state.apply({"", 3, std::move(batch)}).size();
        };
        point("fleet.batch", nodes, cpu_us_of(200, apply_batch) / 1e3);
        state.apply({"a", 4, fleet::RequestRemoval{"me", {false, node_name(0)}}});
        state.apply({"b", 4, fleet::RequestRemoval{"me", {false, node_name(1)}}});
        point("fleet.batch_queued", nodes, cpu_us_of(20, apply_batch) / 1e3);

        fleet::EndpointsObserved node_update{{}, false, {}};
        node_update.nodes[node_name(7)] = state.nodes().at(node_name(7));
        std::size_t updates = 0;
        const auto apply_node_update = [&] {
            node_update.nodes.begin()->second.health =
                ++updates % 2 > 0 ? fleet::Health::draining : fleet::Health::healthy;
            sink += state.apply({"", 5, node_update}).size();
        };
        point("steward.node_news", nodes, cpu_us_of(10, apply_node_update) / 1e3);
        fleet::EndpointsObserved zone_removal{{}, false, {}};
        for (std::size_t i = 12; i < nodes; i += 12) zone_removal.removed.insert(node_name(i));
        const double zone_removal_began = thread_cpu_us();
        sink += state.apply({"", 6, zone_removal}).size();
        point("steward.zone_news", nodes, (thread_cpu_us() - zone_removal_began) / 1e3);
        fleet::FleetState empty_state{fleet::Budgets{}};
        const auto full_list = fleet::write_command({"", 1, observed_nodes(nodes)});
        const double full_list_began = thread_cpu_us();
        sink += empty_state.apply(fleet::read_command(full_list.data(), full_list.size())).size();
        point("steward.whole_news", nodes, (thread_cpu_us() - full_list_began) / 1e3);
        if (sink == 0) std::printf("error: the fleet state wrote no snapshot and no status\n");
    }
}

// Measures how long a fleet manager takes to compare discovery's list with the agreed state, which it does
// ten times a second; here there is no difference. If each node were compared with each shard, the time would
// grow with their product, so the measurement stops before it gets long.
void measure_endpoint_view() {
    double last_ms = 0;
    for (const std::size_t nodes : {1000, 3000, 10'000, 40'000, 81'000}) {
        if (last_ms > 100) break;
        RouterConfig config;
        config.places = config.shards = static_cast<int>(nodes / 3);
        fleet_manager::EndpointView view(config);
        EndpointList list{1, true, {}, 0};
        for (std::size_t i = 0; i < nodes / 3 * 3; ++i)
            list.nodes.push_back({node_name(i), "10.0.0.1:7300", "r1z1", "kind-1",
                                  static_cast<std::uint32_t>(i / 3), Lifecycle::ready, 0});
        view.on_endpoints(list, 1);
        fleet::FleetState state{fleet::Budgets{}};
        if (auto differences = view.differences(state, 2)) state.apply({"", 2, std::move(*differences)});
        bool any_difference = false;
        last_ms = cpu_us_of(3, [&] { any_difference |= view.differences(state, 3).has_value(); }) / 1e3;
        if (any_difference)
            std::printf("error: the agreed state differs from discovery's list after they were aligned\n");
        point("steward.view", nodes, last_ms);
        point("steward.view_product", nodes * (nodes / 3) / 1000, last_ms);
    }
}

// Measures a router's own tables of discovery's list, without those of the decision module.
void measure_endpoint_tables() {
    const std::string removed_entry = R"({"instanceId":")" + node_name(6750) + R"(","lifecycle":"removed"},)";
    point("router.gone_bytes", 1, static_cast<double>(removed_entry.size()));
    for (const std::size_t nodes : {1000, 10'000, 40'000, 81'000}) {
        EndpointList list{1, true, {}, 0};
        std::size_t list_bytes = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            const std::string zone = "r1z" + std::to_string(i % 12), kind = "kind-" + std::to_string(i % 4);
            const std::string address = "10." + std::to_string(i % 12) + "." + std::to_string(i / 250 % 250) +
                                        "." + std::to_string(i % 250) + ":7300";
            list.nodes.push_back({node_name(i), address, zone, kind, static_cast<std::uint32_t>(i / 3),
                                  Lifecycle::ready, 1'764'649'382'000 * millisecond});
            list_bytes +=
                (R"({"instanceId":")" + node_name(i) + R"(","hostPort":")" + address + R"(","cell":)" +
                 std::to_string(i / 3) + R"(,"zone":")" + zone + R"(","machineType":")" + kind +
                 R"(","lifecycle":"up","startedAtMs":1764649382000},)")
                    .size();
        }
        const double heap_before = heap_bytes();
        auto node_table = std::make_unique<NodeTable>();
        node_table->apply(list);
        const double heap_with_node_table = heap_bytes();
        auto overlay = std::make_unique<EndpointOverlay>();
        overlay->apply_discovered(list);
        point("router.list_bytes", nodes, static_cast<double>(list_bytes) / 1e6);
        point("router.list_memory", nodes, (heap_with_node_table - heap_before) / 1e6);
        point("router.agreed_memory", nodes, (heap_bytes() - heap_with_node_table) / 1e6);
    }
}

// Answers no request; the measured connections send none.
struct UnusedRequestHandler final : RequestHandler {
    void on_request(Handle, Request&, Nanos) override {}
    void on_client_disconnected(Handle) override {}
};

void measure_client_connections() {
    for (const std::size_t count : {100, 400, 1600}) {
        boost::asio::io_context io{1};
        EventClock clock;
        UnusedRequestHandler handler;
        HttpServer server(io, clock, handler, 10'000, 1000 * millisecond);
        server.listen("127.0.0.1", 0);
        std::vector<tcp::socket> clients;
        clients.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            clients.emplace_back(io);
            clients.back().open(tcp::v4());
        }
        const double heap_before = heap_bytes();
        for (std::size_t i = 0; i < count; ++i) {
            clients[i].connect({boost::asio::ip::address_v4::loopback(), server.port()});
            while (server.open() <= i && io.run_one_for(std::chrono::seconds(5)) > 0) {
            }
        }
        point("router.client_memory", count, (heap_bytes() - heap_before) / 1e6);
        server.close_all();
        io.poll();
    }
}

// Counts answered and lost attempts, of which one is in flight at a time.
struct AttemptObserver final : ConnectionObserver {
    bool on_node_answer(Handle connection, const NodeAnswer& answer) override {
        if (answer.outcome != Outcome::ok) return false;
        ++answered;
        connections->complete(connection, attempt);
        return true;
    }
    bool on_phase_answer(Handle, const PhaseAnswer&) override { return false; }
    bool on_two_phase_refused(std::uint32_t) override { return false; }
    void on_attempt_lost(Handle, Outcome) override { ++lost; }

    NodeConnectionPool* connections = nullptr;
    Handle attempt;
    std::uint64_t answered = 0, lost = 0;
};

// Two scripted data nodes in a child process, which is killed when this process ends.
class NodeProcess {
  public:
    NodeProcess() {
        int pipe_ends[2];
        if (::pipe(pipe_ends) != 0)
            throw std::runtime_error("can't create the pipe for the data nodes' addresses");
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
                if (::write(pipe_ends[1], line.data(), line.size()) < 0) ::_exit(1);
            }
            ::close(pipe_ends[1]);
            io.run();
            ::_exit(0);
        }
        ::close(pipe_ends[1]);
        std::string text;
        char buffer[256];
        for (ssize_t size = 0; (size = ::read(pipe_ends[0], buffer, sizeof buffer)) > 0;)
            text.append(buffer, static_cast<std::size_t>(size));
        ::close(pipe_ends[0]);
        std::istringstream lines(text);
        for (std::string& address : addresses_) std::getline(lines, address);
    }
    ~NodeProcess() {
        ::kill(child_, SIGKILL);
        ::waitpid(child_, nullptr, 0);
    }
    NodeProcess(const NodeProcess&) = delete;
    const std::string& address(std::size_t node) const { return addresses_[node]; }

  private:
    pid_t child_ = -1;
    std::string addresses_[2];
};

// The processor time of an attempt, and whether all attempts were answered.
struct AttemptCost {
    double cpu_us = 0;
    bool all_answered = false;
};

// Sends attempts one after the other to two nodes in turn, over at most `max_open` connections. With only
// one, each attempt needs a new connection.
AttemptCost measure_attempts(const NodeProcess& nodes, std::size_t max_open) {
    constexpr std::uint32_t count = 4000;
    boost::asio::io_context io{1};
    EventClock clock;
    ConnectionConfig config;
    config.connect_timeout = 1000 * millisecond, config.idle_close = 30'000 * millisecond,
    config.max_calls_per_connection = 100;
    AttemptObserver observer;
    NodeConnectionPool connections(io, clock, config, observer, max_open);
    observer.connections = &connections;
    const double began = thread_cpu_us();
    for (std::uint32_t i = 0; i < count && observer.lost == 0; ++i) {
        const auto query = std::make_shared<QueryText>(
            QueryText{"q" + std::to_string(i), {}, "one line of what is looked for", {}});
        observer.attempt = Handle{i, 1};
        connections.send(
            i % 2, nodes.address(i % 2),
            {{observer.attempt, query, i % 8, clock.now() + 1000 * millisecond, TimerQueue::never}}, {});
        while (observer.answered <= i && observer.lost == 0 && io.run_one_for(std::chrono::seconds(5)) > 0) {
        }
    }
    const double cpu_us = (thread_cpu_us() - began) / count;
    connections.close_all();
    io.poll();
    return {cpu_us, observer.answered == count && observer.lost == 0};
}

void measure_node_connections(const NodeProcess& nodes) {
    for (const std::size_t count : {100, 400, 1600}) {
        boost::asio::io_context io{1};
        EventClock clock;
        ConnectionConfig config;
        config.connect_timeout = 5000 * millisecond, config.idle_close = 30'000 * millisecond,
        config.max_calls_per_connection = 100;
        AttemptObserver observer;
        NodeConnectionPool connections(io, clock, config, observer, 10'000);
        observer.connections = &connections;
        const double heap_before = heap_bytes();
        for (std::uint32_t i = 0; i < count && observer.lost == 0; ++i) {
            const auto query =
                std::make_shared<QueryText>(QueryText{"q" + std::to_string(i), {}, "text", {}});
            observer.attempt = Handle{i, 1};
            connections.send(
                i, nodes.address(0),
                {{observer.attempt, query, 0, clock.now() + 5000 * millisecond, TimerQueue::never}}, {});
            while (observer.answered <= i && observer.lost == 0 &&
                   io.run_one_for(std::chrono::seconds(5)) > 0) {
            }
        }
        point("router.link_memory", count, (heap_bytes() - heap_before) / 1e6);
        connections.close_all();
        io.poll();
    }
}

}  // namespace

int main() {
    const NodeProcess nodes;
    measure_member_messages();
    measure_fleet_state();
    measure_endpoint_view();
    measure_endpoint_tables();
    measure_client_connections();
    measure_node_connections(nodes);
    bool all_answered = true;
    for (const int run : {1, 2}) {
        const AttemptCost reused = measure_attempts(nodes, 2), opened = measure_attempts(nodes, 1);
        all_answered &= reused.all_answered && opened.all_answered;
        std::printf(
            "run %d: an attempt takes %.1f us of CPU time on a reused connection and %.1f us on a new one\n",
            run, reused.cpu_us, opened.cpu_us);
        if (run == 2)
            point("router.call_kept", 1, reused.cpu_us), point("router.call_made", 1, opened.cpu_us);
    }
    std::printf("role_cost:%s %s\n", figures.c_str(), all_answered ? "kept" : "MISSED");
    return all_answered ? 0 : 1;
}
