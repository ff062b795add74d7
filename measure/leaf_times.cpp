// Measures how long attempts take over loopback, and what a fan-out of 74 shard requests makes of it: queries
// of one shard request and of 74, with and without hedged requests, from a router in this process to
// simulated data nodes in another: `make measure-leaf-times`. Times are wall-clock times and include the
// effect of whatever else the machine runs. `capacity --take` reads the lines `point NAME 1 FIGURE`. The exit
// status is 1 if a query got no answer, or if 1% or more of the queries failed.
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <deque>
#include <stdexcept>

#include "service/service.hpp"
#include "testing/client.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::testing;
using Clock = std::chrono::steady_clock;

constexpr int shards = 96, places = 24, replicas_per_shard = 3;
constexpr int fan_out = 74;  // shard requests of a query that fans out
constexpr int concurrent_clients = 8;
constexpr int query_deadline_ms = 2000;

std::string fleet_script() {
    std::string text = "fleet {\n shards = " + std::to_string(shards) +
                       "\n places = " + std::to_string(places) +
                       "\n width = " + std::to_string(replicas_per_shard) + "\n}\n";
    for (int n = 0; n < places; ++n)
        text += "node \"n" + std::to_string(n) + "\" {\n place = " + std::to_string(n) +
                "\n call_delay = \"3ms\"\n}\n";
    return text;
}

// A child process with the simulated fleet, which ends with this process.
struct FleetProcess {
    pid_t pid = -1;
    std::string discovery, entries;  // discovery's address, and the entries of the endpoint list

    FleetProcess() {
        int pipe_ends[2];
        if (::pipe(pipe_ends) != 0)
            throw std::runtime_error("cannot create the pipe from the fleet's process");
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            boost::asio::io_context io{1};
            Fleet fleet(io, read_script(fleet_script(), "script"));
            fleet.publish();
            const std::string message = fleet.discovery.address() + '\n' + fleet.entries();
            if (::write(pipe_ends[1], message.data(), message.size()) != static_cast<ssize_t>(message.size()))
                ::_exit(1);
            ::close(pipe_ends[1]);
            io.run();
            ::_exit(0);
        }
        ::close(pipe_ends[1]);
        std::string message;
        char buffer[1024];
        for (ssize_t n = 0; (n = ::read(pipe_ends[0], buffer, sizeof buffer)) > 0;)
            message.append(buffer, static_cast<std::size_t>(n));
        ::close(pipe_ends[0]);
        discovery = message.substr(0, message.find('\n'));
        entries = message.substr(message.find('\n') + 1);
    }
    ~FleetProcess() {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    FleetProcess(const FleetProcess&) = delete;
};

StartupConfig startup_config(const FleetProcess& fleet, bool may_hedge) {
    const std::string settings =
        R"({"extra":{"places":)" + std::to_string(places) + R"(,"ranges":)" + std::to_string(shards) +
        R"(,"width":)" + std::to_string(replicas_per_shard) +
        R"(,"floor_by_class":[1.0],"complete_from":[1.0],"parts_a_call":16},)"
        R"("limits":{"send_cap":3,"connect_timeout":250.0,"idle_close":30000.0,"streams_per_conn":100,)"
        R"("most_held":8000,"may_cancel":true,"second_copies":)" +
        (may_hedge ? "true" : "false") +
        R"(,"retry_after":true,"max_retry_after":500.0},"safety":{"drain_grace":500.0},"step":5.0,)"
        R"("services":[{"name":"whole","promise":500.0,"deadline":2000.0,"semantics":"repeatable"}]})";
    StartupConfig config = read_startup_config(
        R"({"name":"r","listen":"127.0.0.1:1","discovery":")" + fleet.discovery +
        R"(","seed":"00ff","limits":{"sockets":1024},"known":{"generation":1,)" +
        R"("reset":true,"instances":[)" + fleet.entries + "]},\"settings\":" + settings + "}");
    config.listen.port = 0;
    apply_operator_config(config, read_operator_config("log { level = \"error\" }", "operators"));
    return config;
}

// The latencies of the queries after the warm-up, in ascending order, and how all queries ended.
struct QueryResults {
    std::vector<double> latencies_ms;
    int sent = 0, answered = 0, failed = 0;

    // The latency that the given fraction of the queries does not exceed; 0 if there are none.
    double latency_ms(double fraction) const {
        const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(latencies_ms.size()));
        return latencies_ms.empty() ? 0 : latencies_ms[std::min(latencies_ms.size() - 1, rank)];
    }
};

// Sends the queries through a router, each client one after the other.
QueryResults run_queries(const FleetProcess& fleet, int shard_requests, int queries, int clients,
                         bool may_hedge) {
    boost::asio::io_context io{1};
    Service service(io, [&] { return startup_config(fleet, may_hedge); });
    QueryResults results;
    // A client and when it sent its last query; busy until that one is answered.
    struct ClientState {
        std::unique_ptr<Client> client;
        Clock::time_point sent_at;
        bool busy = false;
    };
    std::deque<ClientState> client_states(static_cast<std::size_t>(clients));
    const int warm_up_queries = queries / 10;
    for (ClientState& state : client_states)
        state.client = std::make_unique<Client>(
            io, service.port(), [&results, warm_up_queries, from = &state](ClientResponse response) {
                from->busy = false;
                results.failed += response.status != 200 || !response.complete;
                if (++results.answered > warm_up_queries)
                    results.latencies_ms.push_back(
                        std::chrono::duration<double, std::milli>(Clock::now() - from->sent_at).count());
            });
    const auto end = Clock::now() + std::chrono::seconds(90);
    while (results.answered < queries && Clock::now() < end) {
        for (ClientState& state : client_states) {
            if (state.busy || results.sent >= queries) continue;
            ClientQuery query;
            query.query_class = "whole", query.id = "q" + std::to_string(++results.sent);
            query.deadline_ms = query_deadline_ms, query.two_phase = false;
            for (int i = 0; i < shard_requests; ++i)
                query.shards.push_back(static_cast<std::uint32_t>((results.sent * 7 + i) % shards));
            state.sent_at = Clock::now(), state.busy = true;
            state.client->send(query);
        }
        service.turn();
    }
    std::sort(results.latencies_ms.begin(), results.latencies_ms.end());
    return results;
}

}  // namespace

int main() {
    const FleetProcess fleet;
    const QueryResults one = run_queries(fleet, 1, 20'000, concurrent_clients, false),
                       all = run_queries(fleet, fan_out, 3000, concurrent_clients, false),
                       hedged = run_queries(fleet, fan_out, 3000, concurrent_clients, true);
    const std::pair<const char*, const QueryResults*> cases[] = {
        {"one", &one}, {"all", &all}, {"copied", &hedged}};
    const std::pair<const char*, double> percentiles[] = {
        {"50", 0.5}, {"90", 0.9}, {"99", 0.99}, {"99.86", 0.99858}, {"99.986", 0.99986}};
    std::string figures;
    bool passed = true;
    for (const auto& [name, results] : cases) {
        std::printf("%s: %zu queries, %d failed\n", name, results->latencies_ms.size(), results->failed);
        passed &= results->answered == results->sent && results->failed * 100 < results->sent;
        for (const auto& [label, fraction] : percentiles) {
            std::printf("point leaf.%s_%s 1 %.4g\n", name, label, results->latency_ms(fraction));
            char text[64];
            std::snprintf(text, sizeof text, " %s_%s=%.4g", name, label, results->latency_ms(fraction));
            figures += text;
        }
    }
    std::printf("leaf_times:%s failed=%d/%d/%d %s\n", figures.c_str(), one.failed, all.failed, hedged.failed,
                passed ? "kept" : "MISSED");
    return passed ? 0 : 1;
}
