// What the module costs a query router by the number of data nodes: processor time at the load of one router
// of docs/CAPACITY.md, a whole list and one change of it, and memory: `make measure-module-cost`. A virtual
// clock, no sockets. Each shard has three holders, all at one place of its own. Lines `point NAME NODES
// FIGURE` are what `capacity --take` reads; the last line has them all.
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

constexpr Nanos ms = 1'000'000, second = 1000 * ms, round_interval = 5 * ms;
constexpr Nanos latency_objective = 120 * ms, warm_up = 4 * second, measured_time = 16 * second;
constexpr int holders = 3, zones = 12, kinds = 4, shard_requests = 74;
constexpr double queries_per_second = 556, leaf_median_ms = 12, leaf_spread = 0.4;

double cpu_s() {
    timespec t{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

double heap_mb() {
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

RouterConfig router_config_of(int places) {
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

struct PendingResult {
    Nanos at;
    AttemptResult result;
    bool operator>(const PendingResult& other) const { return at > other.at; }
};

// One router, its clients and its data nodes.
class Day final : public RoundEvents, public DecisionSink {
  public:
    explicit Day(int nodes)
        : nodes_(nodes), places_(nodes / holders), random_(7), router_(router_config_of(places_), 11) {}

    std::vector<Endpoint> list() const {
        std::vector<Endpoint> all;
        for (int n = 0; n < places_ * holders; ++n)
            all.push_back({static_cast<std::uint32_t>(n), static_cast<std::uint16_t>(n / holders),
                           Lifecycle::ready, 0, static_cast<std::uint32_t>(n % (zones * kinds))});
        return all;
    }

    void apply_list(ListKind kind, std::vector<Endpoint> entries) {
        list_kind_ = kind;
        list_ = std::move(entries);
        router_.round(now_ += round_interval, *this, *this);
    }

    void run(Nanos until) {
        attempts_of_.resize(1 << 18);
        shard_request_of_.resize(1 << 18);
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
        while (!results_.empty() && results_.top().at <= now_) {
            handler.on_attempt_result(results_.top().result);
            results_.pop();
        }
        while (!timers_.empty() && timers_.top().first <= now_) {
            handler.on_timer(timers_.top().second);
            timers_.pop();
        }
        for (; queries_due_ >= 1; queries_due_ -= 1) {
            const std::uint32_t id = next_id_;
            next_id_ += shard_requests + 1;
            handler.on_query({id, id, 0, 0, now_ + 4 * latency_objective});
            for (std::uint32_t p = 1; p <= shard_requests; ++p)
                handler.on_shard_request(
                    {id + p, id, static_cast<std::uint32_t>(random_() % places_), 1.0 / shard_requests});
        }
    }

    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) override {
        ++attempts_sent;
        std::uint8_t& attempts = attempts_of_[shard_request % attempts_of_.size()];
        std::uint32_t& counted = shard_request_of_[shard_request % shard_request_of_.size()];
        if (shard_request != counted) attempts = 0;
        counted = shard_request;
        const double u1 = random_fraction(), u2 = random_fraction();
        const double normal = std::sqrt(-2 * std::log(u1)) * std::cos(2 * M_PI * u2);
        const auto latency = static_cast<Nanos>(leaf_median_ms * std::exp(leaf_spread * normal) * 1e6);
        const bool late = latency > timeout;
        const Nanos span = late ? timeout : latency;
        results_.push(
            {now_ + span, {shard_request, node, attempts++, late ? Outcome::timeout : Outcome::ok, span}});
    }
    void cancel(std::uint32_t, std::uint8_t) override {}
    void answer(std::uint32_t, bool) override { ++answers; }
    void reject(std::uint32_t, Nanos) override { ++failures; }
    void fail_query(std::uint32_t) override { ++failures; }
    void set_timer(std::uint64_t cookie, Nanos wait) override { timers_.push({now_ + wait, cookie}); }
    void watch_endpoints() override {}
    void log(const std::string&) override {}
    double random_fraction() { return (static_cast<double>(random_() >> 11) + 0.5) / 9007199254740992.0; }

    const int nodes_, places_;
    std::mt19937_64 random_;
    QueryRouter router_;
    ListKind list_kind_ = ListKind::full;
    std::vector<Endpoint> list_;
    std::priority_queue<PendingResult, std::vector<PendingResult>, std::greater<>> results_;
    using Timer = std::pair<Nanos, std::uint64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    std::vector<std::uint8_t> attempts_of_;  // by the shard request's id, of the last ones
    std::vector<std::uint32_t> shard_request_of_;
    double queries_due_ = 0;
    std::uint32_t next_id_ = 1;
    Nanos now_ = 0;
};

void point(std::string& all, const char* name, int nodes, double figure) {
    std::printf("point %s %d %.4g\n", name, nodes, figure);
    char text[128];
    std::snprintf(text, sizeof text, " %s@%d=%.4g", name, nodes, figure);
    all += text;
}

}  // namespace

int main() {
    std::string all;
    bool is_within_bounds = true;
    for (const int nodes : {1000, 10'000, 40'000, 81'000}) {
        const double before_mb = heap_mb();
        Day day(nodes);
        double began_at_s = cpu_s();
        day.apply_list(ListKind::full, day.list());
        const double full_list_ms = (cpu_s() - began_at_s) * 1e3;
        const double list_mb = heap_mb() - before_mb;

        constexpr int changes = 200;
        Endpoint changed = day.list()[17];
        began_at_s = cpu_s();
        for (int i = 0; i < changes; ++i) {
            changed.lifecycle = i % 2 == 0 ? Lifecycle::draining : Lifecycle::ready;
            day.apply_list(ListKind::delta, {changed});
        }
        const double change_ms = (cpu_s() - began_at_s) * 1e3 / changes;

        day.run(warm_up);
        const std::uint64_t attempts_sent = day.attempts_sent, answers = day.answers;
        began_at_s = cpu_s();
        day.run(warm_up + measured_time);
        const double seconds = static_cast<double>(measured_time) / static_cast<double>(second);
        const double core = (cpu_s() - began_at_s) / seconds * 100;
        const double attempts_per_second = static_cast<double>(day.attempts_sent - attempts_sent) / seconds;
        const double answers_per_second = static_cast<double>(day.answers - answers) / seconds;
        is_within_bounds &=
            answers_per_second > 0.98 * queries_per_second && day.failures * 100 < day.answers;
        std::printf("%d nodes: %.0f leaf calls and %.0f answers a second, %.1f%% of a core\n", nodes,
                    attempts_per_second, answers_per_second, core);
        point(all, "router.module_load", nodes, core);
        point(all, "router.module_whole", nodes, full_list_ms);
        point(all, "router.module_change", nodes, change_ms);
        point(all, "router.module_memory", nodes, list_mb);
    }
    std::printf("module_cost:%s %s\n", all.c_str(), is_within_bounds ? "kept" : "MISSED");
    return is_within_bounds ? 0 : 1;
}
