// Measures what the fleet's state machine costs by the size of the fleet: `make measure-fleet_cost`. Each
// case is a time per command, by data nodes and query routers; snapshots tell their size in MB.

#include <benchmark/benchmark.h>

#include <chrono>

#include "fleet/fleet_state.hpp"
#include "fleet_manager/operator_requests.hpp"
#include "fleet_manager/status_page.hpp"

namespace {

using namespace tealcart::fleet;
using tealcart::fleet_manager::ManagerStatus;

constexpr Nanos second = 1'000'000'000;
constexpr int width = 3, zones = 12, words = 6;

std::string node_name(std::int64_t n) { return "node-" + std::to_string(n); }
std::string router_name(std::int64_t r) { return "router-" + std::to_string(r); }
std::string zone_name(std::int64_t n) { return "zone-" + std::to_string(n % zones); }

// Each shard is held by three nodes, four machine kinds; all whole, all routers go by the last generation.
struct Fleet {
    Fleet(std::int64_t n, std::int64_t r, std::size_t max_out)
        : nodes(n), routers(r), state(budgets(max_out)) {
        EndpointsObserved seen;
        for (std::int64_t i = 0; i < nodes; ++i) seen.nodes[node_name(i)] = node(i, Health::healthy);
        tell(std::move(seen));
        ReportBatch all;
        for (std::int64_t i = 0; i < routers; ++i)
            all.joins.push_back({router_name(i), Role::router, zone_name(i), "1.0", "d1", 1, 0});
        tell(std::move(all));
    }

    static Budgets budgets(std::size_t max_out) {
        Budgets b;
        b.nodes = {max_out, 1};
        b.halt_failed_share = 0.5, b.halt_lost_share = 0.5;
        return b;
    }
    Node node(std::int64_t i, Health health) const {
        Node n{zone_name(i), "kind-" + std::to_string(i % 4), {}, health, 0};
        for (std::int64_t j = 0; j < width; ++j)
            n.shards.push_back(static_cast<std::uint32_t>((i + nodes - j) % nodes));
        return n;
    }
    template <typename What>
    Effects tell(What what) {
        return state.apply({"", now, std::move(what)});
    }
    // The next six members in turn; time goes on so that each renews well within its lease.
    Command batch() {
        ReportBatch some;
        for (int i = 0; i < words; ++i) {
            some.renewals.push_back({router_name(next), 1, {state.generation(), {}, {}, 1000, 1}});
            next = (next + 1) % routers;
        }
        now += second * 2 * words / routers;
        return {"", now, std::move(some)};
    }

    const std::int64_t nodes, routers;
    Nanos now = 1000 * second;
    std::int64_t next = 0;
    FleetState state;
};

template <typename Work>
double seconds_of(Work work) {
    const auto began = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

void batch_of_words(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    for (auto _ : run) {
        const Command c = fleet.batch();
        run.SetIterationTime(seconds_of([&] { fleet.state.apply(c); }));
    }
}

// One is out, and a second waits since no more may be.
void batch_of_words_while_one_waits(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 1);
    fleet.tell(RequestRemoval{"a", {false, node_name(0)}});
    fleet.tell(RequestRemoval{"a", {false, node_name(100)}});
    for (auto _ : run) {
        const Command c = fleet.batch();
        run.SetIterationTime(seconds_of([&] { fleet.state.apply(c); }));
    }
}

// A drain that is granted at once, and its way back, each time of another node.
void ask(benchmark::State& run, bool back) {
    Fleet fleet(run.range(0), run.range(1), 20);
    std::int64_t n = 0;
    for (auto _ : run) {
        const Command c{"", fleet.now, RequestRemoval{"a", {false, node_name(n++ % fleet.nodes)}}};
        const double asked = seconds_of([&] { fleet.state.apply(c); });
        const Command undo{"", fleet.now, UndoRemoval{fleet.state.requests().begin()->first}};
        const double undone = seconds_of([&] { fleet.state.apply(undo); });
        run.SetIterationTime(back ? undone : asked);
    }
}
void drain_asked(benchmark::State& run) { ask(run, false); }
void drain_undone(benchmark::State& run) { ask(run, true); }

void news_of_one_node(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    fleet.tell(RequestRemoval{"a", {false, node_name(0)}});
    bool cold = false;
    for (auto _ : run) {
        cold = !cold;
        const Command c{
            "", fleet.now,
            EndpointsObserved{
                {{node_name(7), fleet.node(7, cold ? Health::cold : Health::healthy)}}, false, {}}};
        run.SetIterationTime(seconds_of([&] { fleet.state.apply(c); }));
    }
}

void snapshot_saved(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    std::size_t bytes = 0;
    for (auto _ : run) bytes = fleet.state.save().size();
    run.counters["MB"] = static_cast<double>(bytes) / 1e6;
}

void snapshot_loaded(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    const auto bytes = fleet.state.save();
    for (auto _ : run) fleet.state.load(bytes);
    run.counters["MB"] = static_cast<double>(bytes.size()) / 1e6;
}

void status(benchmark::State& run, bool all) {
    Fleet fleet(run.range(0), run.range(1), 20);
    std::size_t bytes = 0;
    for (auto _ : run)
        bytes = tealcart::fleet_manager::write_status(fleet.state, ManagerStatus{}, all).size();
    run.counters["MB"] = static_cast<double>(bytes) / 1e6;
}
void status_of_all(benchmark::State& run) { status(run, true); }
void status_of_exceptions(benchmark::State& run) { status(run, false); }

void sizes(benchmark::internal::Benchmark* b) {
    b->Args({1000, 300})->Args({10'000, 300})->Args({10'000, 3600})->Args({81'000, 3600});
    b->Unit(benchmark::kMillisecond)->MinTime(0.2);
}
void timed(benchmark::internal::Benchmark* b) {
    sizes(b);
    b->UseManualTime();
}

BENCHMARK(batch_of_words)->Apply(timed);
BENCHMARK(batch_of_words_while_one_waits)->Apply(timed);
BENCHMARK(drain_asked)->Apply(timed);
BENCHMARK(drain_undone)->Apply(timed);
BENCHMARK(news_of_one_node)->Apply(timed);
BENCHMARK(snapshot_saved)->Apply(sizes);
BENCHMARK(snapshot_loaded)->Apply(sizes);
BENCHMARK(status_of_all)->Apply(sizes);
BENCHMARK(status_of_exceptions)->Apply(sizes);

}  // namespace

BENCHMARK_MAIN();
