// Measures what the decision module costs a query router by the number of data nodes: CPU time at the load of
// one router of docs/CAPACITY.md, CPU time of a full list and of one change of it, and memory: `make
// measure-module-cost`. It runs on a virtual clock, without sockets. Each shard has three replicas, all at
// one place of its own. `capacity --take` reads the lines `point NAME NODES FIGURE`; the last line has all of
// them. The exit status is 1 if fewer queries are answered than 98% of the load, or if failures reach 1% of
// the answers.
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "router/query_router.hpp"

namespace {

using namespace tealcart;

constexpr Nanos millisecond = 1'000'000, second = 1000 * millisecond;
constexpr Nanos round_interval = 5 * millisecond;
constexpr Nanos latency_objective = 120 * millisecond, warm_up = 4 * second, measured_time = 16 * second;
constexpr int replicas_per_shard = 3, zones = 12, machine_kinds = 4, shard_requests_per_query = 74;
constexpr double queries_per_second = 556;
// Attempts have log-normal latencies with this median and this standard deviation of the logarithm.
constexpr double median_latency_ms = 12, latency_sigma = 0.4;
constexpr std::size_t attempt_table_size = 1 << 18;  // shard requests whose attempts are counted

double cpu_s() {
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double heap_mb() {
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

RouterConfig router_config(int places) {
    RouterConfig config;
    config.query_classes = {
        {Effect::idempotent, latency_objective, 4 * latency_objective, 2 * latency_objective, 0.3, 0.9}};
    config.routers = 3600;
    config.round_interval = round_interval;
    config.places = config.shards = places;
    config.max_attempts = 3;
    config.max_requests_per_call = 16;
    config.may_cancel = config.may_hedge = config.sends_retry_after = true;
    config.max_retry_after = latency_objective;
    config.drain_grace = second;
    config.slow_start_min_fraction = 0.3;
    config.slow_start_duration = 10 * second;
    config.overload_multiple = 4;
    config.overload_window = 2 * second;
    return config;
}

// The result of an attempt and when it arrives.
struct PendingResult {
    Nanos arrives_at;
    AttemptResult result;
    bool operator>(const PendingResult& other) const { return arrives_at > other.arrives_at; }
};

// Simulates the clients and the data nodes of one router.
class RouterSimulation final : public RoundEvents, public DecisionSink {
  public:
    explicit RouterSimulation(int nodes)
        : nodes_(nodes), places_(nodes / replicas_per_shard), random_(7),
          router_(router_config(places_), 11) {}

    std::vector<Endpoint> full_list() const {
        std::vector<Endpoint> endpoints;
        for (int n = 0; n < places_ * replicas_per_shard; ++n)
            endpoints.push_back({static_cast<std::uint32_t>(n),
                                 static_cast<std::uint16_t>(n / replicas_per_shard), Lifecycle::ready, 0,
                                 static_cast<std::uint32_t>(n % (zones * machine_kinds))});
        return endpoints;
    }

    void apply_list(ListKind kind, std::vector<Endpoint> entries) {
        list_kind_ = kind;
        list_ = std::move(entries);
        router_.round(now_ += round_interval, *this, *this);
    }

    void run(Nanos until) {
        attempts_of_.resize(attempt_table_size);
        shard_request_of_.resize(attempt_table_size);
        while (now_ < until) {
            now_ += round_interval;
            queries_due_ +=
                queries_per_second * static_cast<double>(round_interval) / static_cast<double>(second);
            router_.round(now_, *this, *this);
        }
    }

    std::uint64_t attempts_sent = 0, answers = 0, failures = 0;

  private:
    void deliver(RoundEventHandler& handler) override {
        if (!list_.empty()) handler.on_endpoints(list_kind_, list_);
        list_ = {};
        while (!results_.empty() && results_.top().arrives_at <= now_) {
            handler.on_attempt_result(results_.top().result);
            results_.pop();
        }
        while (!timers_.empty() && timers_.top().first <= now_) {
            handler.on_timer(timers_.top().second);
            timers_.pop();
        }
        for (; queries_due_ >= 1; queries_due_ -= 1) {
            const std::uint32_t id = next_id_;
            next_id_ += shard_requests_per_query + 1;
            handler.on_query({id, id, 0, 0, now_ + 4 * latency_objective});
            for (std::uint32_t i = 1; i <= shard_requests_per_query; ++i)
                handler.on_shard_request({id + i, id, static_cast<std::uint32_t>(random_() % places_),
                                          1.0 / shard_requests_per_query});
        }
    }

    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) override {
        ++attempts_sent;
        std::uint8_t& attempts = attempts_of_[shard_request % attempts_of_.size()];
        std::uint32_t& counted_request = shard_request_of_[shard_request % shard_request_of_.size()];
        if (shard_request != counted_request) attempts = 0;
        counted_request = shard_request;
        // The Box-Muller transform.
        const double radius_fraction = random_fraction(), angle_fraction = random_fraction();
        const double normal = std::sqrt(-2 * std::log(radius_fraction)) * std::cos(2 * M_PI * angle_fraction);
        const auto latency = static_cast<Nanos>(median_latency_ms * std::exp(latency_sigma * normal) * 1e6);
        const bool timed_out = latency > timeout;
        const Nanos elapsed = timed_out ? timeout : latency;
        results_.push(
            {now_ + elapsed,
             {shard_request, node, attempts++, timed_out ? Outcome::timeout : Outcome::ok, elapsed}});
    }
    void cancel(std::uint32_t, std::uint8_t) override {}
    void answer(std::uint32_t, bool) override { ++answers; }
    void reject(std::uint32_t, Nanos) override { ++failures; }
    void fail_query(std::uint32_t) override { ++failures; }
    void set_timer(std::uint64_t cookie, Nanos wait) override { timers_.push({now_ + wait, cookie}); }
    void watch_endpoints() override {}
    void log(const std::string&) override {}
    // A random number of 53 bits, above 0 (so that its logarithm is finite) and at most 1.
    double random_fraction() { return (static_cast<double>(random_() >> 11) + 0.5) / 9007199254740992.0; }

    const int nodes_, places_;
    std::mt19937_64 random_;
    QueryRouter router_;
    ListKind list_kind_ = ListKind::full;
    std::vector<Endpoint> list_;
    std::priority_queue<PendingResult, std::vector<PendingResult>, std::greater<>> results_;
    using Timer = std::pair<Nanos, std::uint64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    // By the shard request's id modulo the size: the number of its attempts, and the id itself.
    std::vector<std::uint8_t> attempts_of_;
    std::vector<std::uint32_t> shard_request_of_;
    double queries_due_ = 0;
    std::uint32_t next_id_ = 1;
    Nanos now_ = 0;
};

void print_point(std::string& figures, const char* name, int nodes, double figure) {
    std::printf("point %s %d %.4g\n", name, nodes, figure);
    char text[128];
    std::snprintf(text, sizeof text, " %s@%d=%.4g", name, nodes, figure);
    figures += text;
}

}  // namespace

int main() {
    std::string figures;
    bool passed = true;
    for (const int nodes : {1000, 10'000, 40'000, 81'000}) {
        const double heap_before_mb = heap_mb();
        RouterSimulation simulation(nodes);
        double started_at_s = cpu_s();
        simulation.apply_list(ListKind::full, simulation.full_list());
        const double full_list_ms = (cpu_s() - started_at_s) * 1e3;
        const double list_mb = heap_mb() - heap_before_mb;

        constexpr int changes = 200;
        Endpoint changed = simulation.full_list()[17];
        started_at_s = cpu_s();
        for (int i = 0; i < changes; ++i) {
            changed.lifecycle = i % 2 == 0 ? Lifecycle::draining : Lifecycle::ready;
            simulation.apply_list(ListKind::delta, {changed});
        }
        const double change_ms = (cpu_s() - started_at_s) * 1e3 / changes;

        simulation.run(warm_up);
        const std::uint64_t attempts_sent = simulation.attempts_sent, answers = simulation.answers;
        started_at_s = cpu_s();
        simulation.run(warm_up + measured_time);
        const double seconds = static_cast<double>(measured_time) / static_cast<double>(second);
        const double core_percent = (cpu_s() - started_at_s) / seconds * 100;
        const double attempts_per_second =
            static_cast<double>(simulation.attempts_sent - attempts_sent) / seconds;
        const double answers_per_second = static_cast<double>(simulation.answers - answers) / seconds;
        passed &=
            answers_per_second > 0.98 * queries_per_second && simulation.failures * 100 < simulation.answers;
        std::printf("%d nodes: %.0f attempts/s, %.0f answers/s, %.1f%% of a core\n", nodes,
                    attempts_per_second, answers_per_second, core_percent);
        print_point(figures, "router.module_load", nodes, core_percent);
        print_point(figures, "router.module_whole", nodes, full_list_ms);
        print_point(figures, "router.module_change", nodes, change_ms);
        print_point(figures, "router.module_memory", nodes, list_mb);
    }
    std::printf("module_cost:%s %s\n", figures.c_str(), passed ? "kept" : "MISSED");
    return passed ? 0 : 1;
}
