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

constexpr Nanos ms = 1'000'000, second = 1000 * ms, step = 5 * ms;
constexpr Nanos latency_objective = 120 * ms, warm_up = 4 * second, length = 16 * second;
constexpr int holders = 3, zones = 12, kinds = 4, shard_requests = 74;
constexpr double queries_a_second = 556, leaf_median_ms = 12, leaf_spread = 0.4;

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
    RouterConfig t;
    t.query_classes = {
        {Effect::idempotent, latency_objective, 4 * latency_objective, 2 * latency_objective, 0.3, 0.9}};
    t.routers = 3600;
    t.round_interval = step;
    t.places = t.shards = places;
    t.max_attempts = 3;
    t.max_requests_per_call = 16;
    t.may_cancel = t.may_hedge = t.retry_after = true;
    t.max_retry_after = latency_objective;
    t.drain_grace = second;
    t.slow_start_min_fraction = 0.3;
    t.slow_start_duration = 10 * second;
    t.overload_multiple = 4;
    t.overload_window = 2 * second;
    return t;
}

struct End {
    Nanos at;
    AttemptResult what;
    bool operator>(const End& other) const { return at > other.at; }
};

// One router, its clients and its data nodes.
class Day final : public RoundEvents, public DecisionSink {
  public:
    explicit Day(int nodes)
        : nodes_(nodes), places_(nodes / holders), chance_(7), router_(router_config_of(places_), 11) {}

    std::vector<Endpoint> list() const {
        std::vector<Endpoint> all;
        for (int n = 0; n < places_ * holders; ++n)
            all.push_back({static_cast<std::uint32_t>(n), static_cast<std::uint16_t>(n / holders),
                           Lifecycle::ready, 0, static_cast<std::uint32_t>(n % (zones * kinds))});
        return all;
    }

    void take(ListKind kind, std::vector<Endpoint> entries) {
        list_kind_ = kind, list_ = std::move(entries);
        router_.round(now_ += step, *this, *this);
    }

    void run(Nanos until) {
        tries_.resize(1 << 18), tried_.resize(1 << 18);
        while (now_ < until) {
            now_ += step;
            due_ += queries_a_second * static_cast<double>(step) / static_cast<double>(second);
            router_.round(now_, *this, *this);
        }
    }

    std::uint64_t calls = 0, answers = 0, others = 0;

  private:
    void play(RoundEventHandler& handler) override {
        if (!list_.empty()) handler.on_nodes(list_kind_, list_);
        list_ = {};
        while (!ends_.empty() && ends_.top().at <= now_) {
            handler.on_attempt_result(ends_.top().what);
            ends_.pop();
        }
        while (!timers_.empty() && timers_.top().first <= now_) {
            handler.on_timer(timers_.top().second);
            timers_.pop();
        }
        for (; due_ >= 1; due_ -= 1) {
            const std::uint32_t id = next_;
            next_ += shard_requests + 1;
            handler.on_query({id, id, 0, 0, now_ + 4 * latency_objective});
            for (std::uint32_t p = 1; p <= shard_requests; ++p)
                handler.on_shard_request(
                    {id + p, id, static_cast<std::uint32_t>(chance_() % places_), 1.0 / shard_requests});
        }
    }

    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos patience) override {
        ++calls;
        std::uint8_t& tries = tries_[shard_request % tries_.size()];
        if (shard_request != tried_[shard_request % tries_.size()])
            tries = 0, tried_[shard_request % tries_.size()] = shard_request;
        const double u1 = share(), u2 = share();
        const double normal = std::sqrt(-2 * std::log(u1)) * std::cos(2 * M_PI * u2);
        const auto took = static_cast<Nanos>(leaf_median_ms * std::exp(leaf_spread * normal) * 1e6);
        const bool late = took > patience;
        const Nanos span = late ? patience : took;
        ends_.push(
            {now_ + span, {shard_request, node, tries++, late ? Outcome::timeout : Outcome::ok, span}});
    }
    void cancel(std::uint32_t, std::uint8_t) override {}
    void answer(std::uint32_t, bool) override { ++answers; }
    void reject(std::uint32_t, Nanos) override { ++others; }
    void fail_query(std::uint32_t) override { ++others; }
    void set_timer(std::uint64_t cookie, Nanos wait) override { timers_.push({now_ + wait, cookie}); }
    void watch_endpoints() override {}
    void log(const std::string&) override {}
    double share() { return (static_cast<double>(chance_() >> 11) + 0.5) / 9007199254740992.0; }

    const int nodes_, places_;
    std::mt19937_64 chance_;
    QueryRouter router_;
    ListKind list_kind_ = ListKind::full;
    std::vector<Endpoint> list_;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
    using Timer = std::pair<Nanos, std::uint64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    std::vector<std::uint8_t> tries_;  // by the shard request's id, of the last ones
    std::vector<std::uint32_t> tried_;
    double due_ = 0;
    std::uint32_t next_ = 1;
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
    bool sound = true;
    for (const int nodes : {1000, 10'000, 40'000, 81'000}) {
        const double before_mb = heap_mb();
        Day day(nodes);
        double began = cpu_s();
        day.take(ListKind::full, day.list());
        const double whole_ms = (cpu_s() - began) * 1e3;
        const double taken_mb = heap_mb() - before_mb;

        constexpr int changes = 200;
        Endpoint one = day.list()[17];
        began = cpu_s();
        for (int i = 0; i < changes; ++i) {
            one.lifecycle = i % 2 == 0 ? Lifecycle::draining : Lifecycle::ready;
            day.take(ListKind::delta, {one});
        }
        const double change_ms = (cpu_s() - began) * 1e3 / changes;

        day.run(warm_up);
        const std::uint64_t calls = day.calls, answers = day.answers;
        began = cpu_s();
        day.run(warm_up + length);
        const double seconds = static_cast<double>(length) / static_cast<double>(second);
        const double core = (cpu_s() - began) / seconds * 100;
        const double calls_a_second = static_cast<double>(day.calls - calls) / seconds;
        const double answers_a_second = static_cast<double>(day.answers - answers) / seconds;
        sound &= answers_a_second > 0.98 * queries_a_second && day.others * 100 < day.answers;
        std::printf("%d nodes: %.0f leaf calls and %.0f answers a second, %.1f%% of a core\n", nodes,
                    calls_a_second, answers_a_second, core);
        point(all, "router.module_load", nodes, core);
        point(all, "router.module_whole", nodes, whole_ms);
        point(all, "router.module_change", nodes, change_ms);
        point(all, "router.module_memory", nodes, taken_mb);
    }
    std::printf("module_cost:%s %s\n", all.c_str(), sound ? "kept" : "MISSED");
    return sound ? 0 : 1;
}
