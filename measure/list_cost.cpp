// Measures what lists of data nodes cost by the number of nodes, in one process without sockets: `make
// measure-list-cost`. Times are the least of several runs, in ms; bytes are those made with new at the worst
// moment, beyond what stood before. Prints a table and one last line; 1 where reading 81,000 nodes fails.

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
std::size_t held = 0, max_in_flight = 0;
}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
    void* const at = std::malloc(size > 0 ? size : 1);
    if (at == nullptr) throw std::bad_alloc();
    held += malloc_usable_size(at);
    max_in_flight = std::max(max_in_flight, held);
    return at;
}
[[gnu::noinline]] void operator delete(void* at) noexcept {
    if (at != nullptr) held -= malloc_usable_size(at);
    std::free(at);
}
void operator delete(void* at, std::size_t) noexcept { operator delete(at); }

namespace {

using namespace tealcart;
using Clock = std::chrono::steady_clock;

constexpr int zones = 12;

std::string name(int n) { return "s-" + std::to_string(0x5be20000 + n); }

std::string list_of(int nodes) {
    std::string out = R"({"generation":41,"reset":true,"instances":[)";
    for (int n = 0; n < nodes; ++n) {
        char entry[256];
        std::snprintf(entry, sizeof entry,
                      R"(%s{"instanceId":"%s","hostPort":"10.%d.%d.%d:9000","zone":"zone-%d",)"
                      R"("machineType":"m%d","cell":%d,"lifecycle":"up","weight":1.0,"startedAtMs":0})",
                      n > 0 ? "," : "", name(n).c_str(), n >> 16, n >> 8 & 255, n & 255, n % zones, n % 3, n);
        out += entry;
    }
    return out += "]}";
}

double ms_of(Clock::duration took) { return std::chrono::duration<double, std::milli>(took).count(); }

// The least time of `times` runs of `run`, each after `before`.
template <typename Before, typename Run>
double least(int times, Before before, Run run) {
    double best = 1e9;
    for (int i = 0; i < times; ++i) {
        auto with = before(i);
        const auto began = Clock::now();
        run(with);
        best = std::min(best, ms_of(Clock::now() - began));
        benchmark::DoNotOptimize(with);
    }
    return best;
}

// The same, many at a time, for what takes microseconds: the mean of the best run.
template <typename Run>
double mean(int times, Run run) {
    double best = 1e9;
    for (int batch = 0; batch < 5; ++batch) {
        const auto began = Clock::now();
        for (int i = 0; i < times; ++i) run(batch * times + i);
        best = std::min(best, ms_of(Clock::now() - began) / times);
    }
    return best;
}

// A list played to the module, and nothing else.
struct ListNews final : RoundEvents, DecisionSink {
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

RouterConfig router_config_of(int nodes) {
    RouterConfig t;
    t.query_classes.push_back({});
    t.query_classes[0].latency_objective = t.query_classes[0].deadline = 1'000'000'000;
    t.round_interval = 5'000'000;
    t.places = t.shards = nodes;
    t.replicas_per_shard = 3;
    return t;
}

bool measure(int nodes) {
    const std::string body = list_of(nodes);
    const auto places = static_cast<std::uint32_t>(nodes);
    const int times = nodes > 20'000 ? 5 : 20, changes = nodes > 20'000 ? 40 : 400;
    std::optional<EndpointList> list;
    const std::size_t before = held;
    max_in_flight = held;
    list = read_endpoint_list(body, places);
    if (!list || list->nodes.size() != static_cast<std::size_t>(nodes)) return false;
    const std::size_t read_most = max_in_flight - before, read_left = held - before;
    const double read = least(
        times, [](int) { return 0; }, [&](int) { list = read_endpoint_list(body, places); });

    const auto change = [&](int i) {
        EndpointList one{list->generation + 1, false, {list->nodes[static_cast<std::size_t>(i % nodes)]}, 0};
        one.nodes[0].lifecycle = i / nodes % 2 == 0 ? Lifecycle::draining : Lifecycle::ready;
        return one;
    };
    const double whole = least(
        times, [](int) { return NodeTable(); }, [&](NodeTable& to) { to.apply(*list); });
    NodeTable known;
    known.apply(*list);
    const double again = least(
        times, [](int) { return 0; }, [&](int) { known.apply(*list); });
    const double delta = mean(changes, [&](int i) { known.apply(change(i)); });
    const double ready = mean(changes, [&](int) { benchmark::DoNotOptimize(known.ready()); });
    // One zone goes and comes back.
    EndpointList zone{list->generation + 2, false, {}, 0};
    for (int n = 0; n < nodes; n += zones) zone.nodes.push_back(list->nodes[static_cast<std::size_t>(n)]);
    const auto turn = [&](Lifecycle to) {
        for (ListedEndpoint& n : zone.nodes) n.lifecycle = to;
    };
    turn(Lifecycle::removed);
    const auto zone_went = Clock::now();
    known.apply(zone);
    const double zone_gone = ms_of(Clock::now() - zone_went);
    turn(Lifecycle::ready);
    const auto zone_came = Clock::now();
    known.apply(zone);
    const double zone_back = ms_of(Clock::now() - zone_came);

    ListNews news;
    news.entries = NodeTable().apply(*list).entries;
    QueryRouter router(router_config_of(nodes), 1);
    Nanos now = 1'000'000'000;
    const auto tell = [&](int) { router.round(now += 5'000'000, news, news); };
    const double module = least(
        times, [](int) { return 0; }, tell);
    news.kind = ListKind::delta;
    news.entries.resize(1);
    const double module_one = mean(changes, tell);

    EndpointOverlay agreed;
    const double joined = least(
        times, [](int) { return 0; }, [&](int) { agreed.apply_discovered(*list); });
    const double joined_one = mean(changes, [&](int i) { agreed.apply_discovered(change(i)); });
    std::set<std::string> out;
    for (int n = 0; n < nodes / 10; ++n) out.insert(name(n));
    agreed.apply_drains(out);
    const double agreed_one = least(
        changes,
        [&](int i) {
            std::set<std::string> next = out;
            next.erase(name(i % std::max(1, nodes / 10)));
            return next;
        },
        [&](std::set<std::string>& next) { agreed.apply_drains(std::move(next)); });
    const double agreed_same = least(
        times, [&](int) { return agreed.drained(); },
        [&](std::set<std::string>& same) { agreed.apply_drains(std::move(same)); });
    bool cut = false;
    const double cuts = least(
        times, [](int) { return 0; }, [&](int) { agreed.set_fenced(cut = !cut); });
    const double same = least(
        times, [](int) { return 0; }, [&](int) { agreed.set_fenced(cut); });
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    std::printf("%d nodes, %.2f MB of list\n", nodes, static_cast<double>(body.size()) / 1e6);
    std::printf("  read_targets %.2f ms, most %.1f MB, left %.1f MB; process at most %.0f MB\n", read,
                static_cast<double>(read_most) / 1e6, static_cast<double>(read_left) / 1e6,
                static_cast<double>(used.ru_maxrss) / 1e3);
    std::printf("  NodeList whole %.2f ms, whole again %.2f, one change %.5f, ready %.5f\n", whole, again,
                delta, ready);
    std::printf("  NodeList a zone of %zu gone %.2f ms, back %.2f ms\n", zone.nodes.size(), zone_gone,
                zone_back);
    std::printf("  the module's round with a whole list %.2f ms, with one change %.5f\n", module, module_one);
    std::printf("  EndpointOverlay whole %.2f ms, one change %.5f; one name of %zu out %.5f, none %.5f\n",
                joined, joined_one, out.size(), agreed_one, agreed_same);
    std::printf("  EndpointOverlay cut %.2f ms, cut that is so already %.5f\n", cuts, same);
    return true;
}

}  // namespace

int main() {
    bool met = true;
    for (const int nodes : {1'000, 10'000, 81'000}) met &= measure(nodes);
    std::printf("list cost: %s\n", met ? "all lists read" : "a list could not be read");
    return met ? 0 : 1;
}
