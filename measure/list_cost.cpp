// Measures what lists of data nodes cost by the number of nodes, in one process without sockets: `make
// measure-list-cost`. Times are the least of several runs, in ms; memory is what operator new has allocated
// beyond what was allocated before, at its peak and after the read. Prints a table and one last line. The
// exit status is 1 if a list could not be read.

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <optional>
#include <set>

#include "members/endpoint_overlay.hpp"
#include "tables/node_table.hpp"
#include "wire/endpoint_list_codec.hpp"

namespace {
std::size_t allocated_bytes = 0, peak_bytes = 0;
}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
    void* const memory = std::malloc(size > 0 ? size : 1);
    if (memory == nullptr) throw std::bad_alloc();
    allocated_bytes += malloc_usable_size(memory);
    peak_bytes = std::max(peak_bytes, allocated_bytes);
    return memory;
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
    if (memory != nullptr) allocated_bytes -= malloc_usable_size(memory);
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }

namespace {

using namespace tealcart;
using Clock = std::chrono::steady_clock;

constexpr int zones = 12;
constexpr Nanos round_interval = 5'000'000;

std::string node_name(int node) { return "s-" + std::to_string(0x5be20000 + node); }

// Discovery's full list of ready nodes, as JSON.
std::string endpoint_list_json(int nodes) {
    std::string json = R"({"generation":41,"reset":true,"instances":[)";
    for (int n = 0; n < nodes; ++n) {
        char entry[256];
        std::snprintf(entry, sizeof entry,
                      R"(%s{"instanceId":"%s","hostPort":"10.%d.%d.%d:9000","zone":"zone-%d",)"
                      R"("machineType":"m%d","cell":%d,"lifecycle":"up","weight":1.0,"startedAtMs":0})",
                      n > 0 ? "," : "", node_name(n).c_str(), n >> 16, n >> 8 & 255, n & 255, n % zones,
                      n % 3, n);
        json += entry;
    }
    return json += "]}";
}

double milliseconds(Clock::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

// The least time of `runs` calls of `operation`, each with what an untimed call of `prepare` returned.
template <typename Prepare, typename Operation>
double least_ms(int runs, Prepare prepare, Operation operation) {
    double least = 1e9;
    for (int i = 0; i < runs; ++i) {
        auto input = prepare(i);
        const auto started_at = Clock::now();
        operation(input);
        least = std::min(least, milliseconds(Clock::now() - started_at));
        benchmark::DoNotOptimize(input);
    }
    return least;
}

// For operations that take microseconds: the least mean time of five batches of `runs` calls.
template <typename Operation>
double least_mean_ms(int runs, Operation operation) {
    double least = 1e9;
    for (int batch = 0; batch < 5; ++batch) {
        const auto started_at = Clock::now();
        for (int i = 0; i < runs; ++i) operation(batch * runs + i);
        least = std::min(least, milliseconds(Clock::now() - started_at) / runs);
    }
    return least;
}

// Delivers an endpoint list to the decision module as the only event of a round, and ignores its decisions.
struct EndpointListRound final : RoundEvents, DecisionSink {
    ListKind kind = ListKind::full;
    std::vector<Endpoint> entries;

    void deliver(RoundEventHandler& handler) override { handler.on_endpoints(kind, entries); }
    void send_attempt(std::uint32_t, std::uint32_t, Nanos) override {}
    void cancel(std::uint32_t, std::uint8_t) override {}
    void answer(std::uint32_t, bool) override {}
    void reject(std::uint32_t, Nanos) override {}
    void fail_query(std::uint32_t) override {}
    void set_timer(std::uint64_t, Nanos) override {}
    void watch_endpoints() override {}
    void log(const std::string&) override {}
};

RouterConfig router_config(int nodes) {
    RouterConfig config;
    config.query_classes.push_back({});
    config.query_classes[0].latency_objective = config.query_classes[0].deadline = 1'000'000'000;
    config.round_interval = round_interval;
    config.places = config.shards = nodes;
    config.replicas_per_shard = 3;
    return config;
}

// Prints the costs of lists of this many nodes. Returns false if the list could not be read.
bool measure(int nodes) {
    const std::string body = endpoint_list_json(nodes);
    const auto places = static_cast<std::uint32_t>(nodes);
    const int runs = nodes > 20'000 ? 5 : 20, change_runs = nodes > 20'000 ? 40 : 400;
    std::optional<EndpointList> list;
    const std::size_t bytes_before = allocated_bytes;
    peak_bytes = allocated_bytes;
    list = read_endpoint_list(body, places);
    if (!list || list->nodes.size() != static_cast<std::size_t>(nodes)) return false;
    const std::size_t read_peak_bytes = peak_bytes - bytes_before,
                      list_bytes = allocated_bytes - bytes_before;
    const double read_ms = least_ms(
        runs, [](int) { return 0; }, [&](int) { list = read_endpoint_list(body, places); });

    // A delta in which one node is draining, or ready again.
    const auto one_change = [&](int i) {
        EndpointList delta{
            list->generation + 1, false, {list->nodes[static_cast<std::size_t>(i % nodes)]}, 0};
        delta.nodes[0].lifecycle = i / nodes % 2 == 0 ? Lifecycle::draining : Lifecycle::ready;
        return delta;
    };
    const double full_list_ms = least_ms(
        runs, [](int) { return NodeTable(); }, [&](NodeTable& table) { table.apply(*list); });
    NodeTable table;
    table.apply(*list);
    const double unchanged_list_ms = least_ms(
        runs, [](int) { return 0; }, [&](int) { table.apply(*list); });
    const double delta_ms = least_mean_ms(change_runs, [&](int i) { table.apply(one_change(i)); });
    const double ready_ms = least_mean_ms(change_runs, [&](int) { benchmark::DoNotOptimize(table.ready()); });
    // One zone is removed and returns.
    EndpointList zone{list->generation + 2, false, {}, 0};
    for (int n = 0; n < nodes; n += zones) zone.nodes.push_back(list->nodes[static_cast<std::size_t>(n)]);
    const auto set_zone_lifecycle = [&](Lifecycle lifecycle) {
        for (ListedEndpoint& node : zone.nodes) node.lifecycle = lifecycle;
    };
    set_zone_lifecycle(Lifecycle::removed);
    const auto zone_removed_at = Clock::now();
    table.apply(zone);
    const double zone_removed_ms = milliseconds(Clock::now() - zone_removed_at);
    set_zone_lifecycle(Lifecycle::ready);
    const auto zone_returned_at = Clock::now();
    table.apply(zone);
    const double zone_returned_ms = milliseconds(Clock::now() - zone_returned_at);

    EndpointListRound list_round;
    list_round.entries = NodeTable().apply(*list).entries;
    QueryRouter router(router_config(nodes), 1);
    Nanos now = 1'000'000'000;
    const auto run_round = [&](int) { router.round(now += round_interval, list_round, list_round); };
    const double module_full_list_ms = least_ms(
        runs, [](int) { return 0; }, run_round);
    list_round.kind = ListKind::delta;
    list_round.entries.resize(1);
    const double module_delta_ms = least_mean_ms(change_runs, run_round);

    EndpointOverlay overlay;
    const double overlay_full_list_ms = least_ms(
        runs, [](int) { return 0; }, [&](int) { overlay.apply_discovered(*list); });
    const double overlay_delta_ms =
        least_mean_ms(change_runs, [&](int i) { overlay.apply_discovered(one_change(i)); });
    std::set<std::string> drained;
    for (int n = 0; n < nodes / 10; ++n) drained.insert(node_name(n));
    overlay.apply_drains(drained);
    // One drain ends; from the second run on, the one that ended before begins again.
    const double one_undrain_ms = least_ms(
        change_runs,
        [&](int i) {
            std::set<std::string> remaining = drained;
            remaining.erase(node_name(i % std::max(1, nodes / 10)));
            return remaining;
        },
        [&](std::set<std::string>& remaining) { overlay.apply_drains(std::move(remaining)); });
    const double unchanged_drains_ms = least_ms(
        runs, [&](int) { return overlay.drained(); },
        [&](std::set<std::string>& unchanged) { overlay.apply_drains(std::move(unchanged)); });
    bool fenced = false;
    const double fence_change_ms = least_ms(
        runs, [](int) { return 0; }, [&](int) { overlay.set_fenced(fenced = !fenced); });
    const double unchanged_fence_ms = least_ms(
        runs, [](int) { return 0; }, [&](int) { overlay.set_fenced(fenced); });
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf("%d nodes, list of %.2f MB\n", nodes, static_cast<double>(body.size()) / 1e6);
    std::printf("  read_endpoint_list %.2f ms, peak %.1f MB, list %.1f MB; peak of the process %.0f MB\n",
                read_ms, static_cast<double>(read_peak_bytes) / 1e6, static_cast<double>(list_bytes) / 1e6,
                static_cast<double>(usage.ru_maxrss) / 1e3);
    std::printf("  NodeTable full list %.2f ms, unchanged full list %.2f, one change %.5f, ready %.5f\n",
                full_list_ms, unchanged_list_ms, delta_ms, ready_ms);
    std::printf("  NodeTable zone of %zu nodes removed %.2f ms, returned %.2f ms\n", zone.nodes.size(),
                zone_removed_ms, zone_returned_ms);
    std::printf("  decision module round with a full list %.2f ms, with one change %.5f\n",
                module_full_list_ms, module_delta_ms);
    std::printf(
        "  EndpointOverlay full list %.2f ms, one change %.5f; one of %zu drains ended %.5f, unchanged "
        "%.5f\n",
        overlay_full_list_ms, overlay_delta_ms, drained.size(), one_undrain_ms, unchanged_drains_ms);
    std::printf("  EndpointOverlay fence changed %.2f ms, unchanged %.5f\n", fence_change_ms,
                unchanged_fence_ms);
    return true;
}

}  // namespace

int main() {
    bool all_read = true;
    for (const int nodes : {1'000, 10'000, 81'000}) all_read &= measure(nodes);
    std::printf("list cost: %s\n", all_read ? "all lists read" : "a list could not be read");
    return all_read ? 0 : 1;
}
