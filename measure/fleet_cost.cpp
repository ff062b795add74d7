// Measures the cost of the fleet's replicated state by the size of the fleet: `make measure-fleet_cost`. Each
// case states the time of one operation, by the numbers of data nodes and of query routers; snapshots and
// status pages also state their size in MB.

#include <benchmark/benchmark.h>

#include <chrono>

#include "fleet/fleet_state.hpp"
#include "fleet_manager/operator_requests.hpp"
#include "fleet_manager/status_page.hpp"

namespace {

using namespace tealcart::fleet;
using tealcart::fleet_manager::ManagerStatus;

constexpr Nanos second = 1'000'000'000;
constexpr int replicas_per_shard = 3, zones = 12, renewals_per_batch = 6;

std::string node_name(std::int64_t node) { return "node-" + std::to_string(node); }
std::string router_name(std::int64_t router) { return "router-" + std::to_string(router); }
std::string zone_name(std::int64_t index) { return "zone-" + std::to_string(index % zones); }

// The state of a fleet with healthy data nodes of four machine kinds and with routers that have all applied
// the latest generation. Each shard has three replicas.
struct Fleet {
    Fleet(std::int64_t node_count, std::int64_t router_count, std::size_t max_out)
        : nodes(node_count), routers(router_count), state(budgets(max_out)) {
        EndpointsObserved endpoints;
        for (std::int64_t i = 0; i < nodes; ++i) endpoints.nodes[node_name(i)] = node(i, Health::healthy);
        apply(std::move(endpoints));
        ReportBatch joins;
        for (std::int64_t i = 0; i < routers; ++i)
            joins.joins.push_back({router_name(i), Role::router, zone_name(i), "1.0", "d1", 1, 0});
        apply(std::move(joins));
    }

    static Budgets budgets(std::size_t max_out) {
        Budgets budgets;
        budgets.nodes = {max_out, 1};
        budgets.halt_failed_share = 0.5, budgets.halt_lost_share = 0.5;
        return budgets;
    }
    Node node(std::int64_t index, Health health) const {
        Node node{zone_name(index), "kind-" + std::to_string(index % 4), {}, health, 0};
        for (std::int64_t j = 0; j < replicas_per_shard; ++j)
            node.shards.push_back(static_cast<std::uint32_t>((index + nodes - j) % nodes));
        return node;
    }
    template <typename Payload>
    Effects apply(Payload payload) {
        return state.apply({"", now, std::move(payload)});
    }
    // The renewals of the next six routers in turn. The time advances so that each router renews well within
    // its lease.
    Command next_renewals() {
        ReportBatch batch;
        for (int i = 0; i < renewals_per_batch; ++i) {
            batch.renewals.push_back({router_name(next_router), 1, {state.generation(), {}, {}, 1000, 1}});
            next_router = (next_router + 1) % routers;
        }
        now += second * 2 * renewals_per_batch / routers;
        return {"", now, std::move(batch)};
    }

    const std::int64_t nodes, routers;
    Nanos now = 1000 * second;
    std::int64_t next_router = 0;
    FleetState state;
};

template <typename Operation>
double elapsed_s(Operation operation) {
    const auto started_at = std::chrono::steady_clock::now();
    operation();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
}

void renewal_batch(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    for (auto _ : run) {
        const Command command = fleet.next_renewals();
        run.SetIterationTime(elapsed_s([&] { fleet.state.apply(command); }));
    }
}

// One node is out, and the removal of a second one is queued because the budget allows one.
void renewal_batch_with_queued_removal(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 1);
    fleet.apply(RequestRemoval{"a", {false, node_name(0)}});
    fleet.apply(RequestRemoval{"a", {false, node_name(100)}});
    for (auto _ : run) {
        const Command command = fleet.next_renewals();
        run.SetIterationTime(elapsed_s([&] { fleet.state.apply(command); }));
    }
}

// Requests a drain that is granted at once, and undoes it, each time for another node. States the time of the
// undrain or that of the drain.
void drain_and_undrain(benchmark::State& run, bool time_undrain) {
    Fleet fleet(run.range(0), run.range(1), 20);
    std::int64_t node = 0;
    for (auto _ : run) {
        const Command drain{"", fleet.now, RequestRemoval{"a", {false, node_name(node++ % fleet.nodes)}}};
        const double drain_s = elapsed_s([&] { fleet.state.apply(drain); });
        const Command undrain{"", fleet.now, UndoRemoval{fleet.state.requests().begin()->first}};
        const double undrain_s = elapsed_s([&] { fleet.state.apply(undrain); });
        run.SetIterationTime(time_undrain ? undrain_s : drain_s);
    }
}
void drain(benchmark::State& run) { drain_and_undrain(run, false); }
void undrain(benchmark::State& run) { drain_and_undrain(run, true); }

void health_update_of_one_node(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    fleet.apply(RequestRemoval{"a", {false, node_name(0)}});
    bool cold = false;
    for (auto _ : run) {
        cold = !cold;
        const Command command{
            "", fleet.now,
            EndpointsObserved{
                {{node_name(7), fleet.node(7, cold ? Health::cold : Health::healthy)}}, false, {}}};
        run.SetIterationTime(elapsed_s([&] { fleet.state.apply(command); }));
    }
}

void save_snapshot(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    std::size_t bytes = 0;
    for (auto _ : run) bytes = fleet.state.save().size();
    run.counters["MB"] = static_cast<double>(bytes) / 1e6;
}

void load_snapshot(benchmark::State& run) {
    Fleet fleet(run.range(0), run.range(1), 20);
    const auto bytes = fleet.state.save();
    for (auto _ : run) fleet.state.load(bytes);
    run.counters["MB"] = static_cast<double>(bytes.size()) / 1e6;
}

void write_status_page(benchmark::State& run, bool all) {
    Fleet fleet(run.range(0), run.range(1), 20);
    std::size_t bytes = 0;
    for (auto _ : run)
        bytes = tealcart::fleet_manager::write_status(fleet.state, ManagerStatus{}, all).size();
    run.counters["MB"] = static_cast<double>(bytes) / 1e6;
}
void status_page_of_all(benchmark::State& run) { write_status_page(run, true); }
void status_page_of_exceptions(benchmark::State& run) { write_status_page(run, false); }

// The numbers of data nodes and of query routers.
void fleet_sizes(benchmark::internal::Benchmark* benchmark) {
    benchmark->Args({1000, 300})->Args({10'000, 300})->Args({10'000, 3600})->Args({81'000, 3600});
    benchmark->Unit(benchmark::kMillisecond)->MinTime(0.2);
}
void fleet_sizes_with_manual_time(benchmark::internal::Benchmark* benchmark) {
    fleet_sizes(benchmark);
    benchmark->UseManualTime();
}

BENCHMARK(renewal_batch)->Apply(fleet_sizes_with_manual_time);
BENCHMARK(renewal_batch_with_queued_removal)->Apply(fleet_sizes_with_manual_time);
BENCHMARK(drain)->Apply(fleet_sizes_with_manual_time);
BENCHMARK(undrain)->Apply(fleet_sizes_with_manual_time);
BENCHMARK(health_update_of_one_node)->Apply(fleet_sizes_with_manual_time);
BENCHMARK(save_snapshot)->Apply(fleet_sizes);
BENCHMARK(load_snapshot)->Apply(fleet_sizes);
BENCHMARK(status_page_of_all)->Apply(fleet_sizes);
BENCHMARK(status_page_of_exceptions)->Apply(fleet_sizes);

}  // namespace

BENCHMARK_MAIN();
