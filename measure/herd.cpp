// Measures what hundreds of modules that see little each do to one shared set of data nodes through a release
// in which most of them lose all they knew: `make measure-herd`. A model on a virtual clock, no sockets.
// Prints a table, then one last line, and ends with 1 where an aim is missed. docs/serving_state.md has the
// bench's figures.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "router/query_router.hpp"

namespace {

using namespace tealcart;

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr Nanos round_interval = 5 * ms, network_delay = ms / 3, day_length = 26 * second;
constexpr int routers = 150, places = 80, worker_slots = 4, max_queue = 16, max_attempts = 3;
constexpr double queries_per_second = 180, shard_request_work = 50 * ms;
constexpr Nanos reference_lag = 250 * ms;  // what the reference knows of each node is so old

struct Kind {
    const char* name;
    double traffic_share;
    int shard_requests;  // 0: one or two
    Nanos latency_objective, deadline;
    double priority_weight, late_weight, min_answer_weight,
        partial_weight;  // in_part: what an answer that is not whole is worth
    Effect effect;
};
constexpr Kind kinds[] = {
    {"search", 0.4, places, 500 * ms, 1250 * ms, 5, 0.3, 0.4, 0.95, Effect::idempotent},
    {"report", 0.2, places / 2, 750 * ms, 3100 * ms, 3, 0.1, 1, 0, Effect::idempotent},
    {"adjust", 0.4, 0, 500 * ms, 1550 * ms, 1, 0, 1, 0, Effect::idempotent_with_key},
};

RouterConfig config() {
    RouterConfig t;
    for (const Kind& k : kinds)
        t.query_classes.push_back(
            {k.effect, k.latency_objective, k.deadline, 1500 * ms, k.late_weight, k.min_answer_weight});
    t.routers = routers;
    t.round_interval = round_interval;
    t.places = t.shards = places;
    t.replicas_per_shard = 3;
    t.max_attempts = max_attempts;
    t.may_cancel = t.may_hedge = t.sends_retry_after = true;
    t.max_retry_after = 500 * ms;
    t.drain_grace = second;
    t.slow_start_min_fraction = 0.3;
    t.slow_start_duration = 10 * second;
    t.overload_multiple = 4;
    t.overload_window = 2 * second;
    return t;
}

// What stands in the place of the module.
enum class Policy { module, reference, plain };

struct Attempt {
    int router = 0, incarnation = 0;
    std::uint32_t shard_request = 0, node = 0;
    std::uint8_t attempt = 0;
    Nanos sent_at = 0;
    bool in_flight = true;
};
struct Node {
    Lifecycle state = Lifecycle::ready;
    Nanos started_at = 0;
    bool is_faulty = false;
    int working = 0, known_load = 0,
        sent_since_known = 0;  // known: of a while ago; since: what the reference has sent since then
    std::deque<std::size_t> queue;
};
struct ShardRequest {
    std::uint32_t query = 0, shard = 0;
    double weight = 0;
    bool selected = true, answered = false;
    std::vector<std::size_t> attempts;  // out or ended
    Nanos retry_at = 0;                 // of the reference's and the plain one's: 0 for none due
};
struct Query {
    int kind = 0, router = 0, incarnation = 0, client_tries = 1;
    Nanos began_at = 0, deadline_at = 0;
    std::vector<std::uint32_t> shard_requests;
    std::vector<double> weights;
    std::vector<std::uint32_t> shards;
    bool ended = false;
};
struct ResultEvent {
    AttemptResult end;
};
struct QueryEvent {
    std::uint32_t id;
};
struct ListEvent {
    ListKind kind;
    std::vector<Endpoint> entries;
};
struct TimerEvent {
    std::uint64_t cookie;
};
using Event = std::variant<ResultEvent, QueryEvent, ListEvent, TimerEvent>;

struct Score {
    double priority_weight = 0, earned = 0;
};

class Day final : public RoundEvents, public DecisionSink {
  public:
    Day(Policy policy, unsigned seed) : policy_(policy), random_(seed), nodes_(places), routers_(routers) {
        for (Node& n : nodes_) n.is_faulty = random_fraction() < 0.125;
        for (int i = 0; i < routers; ++i) start_router(i, 0);
        std::vector<double> uneven;
        for (int i = 0; i < routers; ++i) uneven.push_back(-std::log(1 - random_fraction()) + 0.2);
        std::discrete_distribution<int> entry(uneven.begin(), uneven.end());
        const std::vector<double> shares = {kinds[0].traffic_share, kinds[1].traffic_share,
                                            kinds[2].traffic_share};
        std::discrete_distribution<int> which(shares.begin(), shares.end());
        for (Nanos at = 0; (at += static_cast<Nanos>(-std::log(1 - random_fraction()) * second /
                                                     queries_per_second)) < day_length;)
            schedule_query(at, which(random_), entry(random_));
        // A release takes a quarter of the nodes in two steps; each comes back cold in its place.
        for (int i = 0; i < places / 4; ++i) {
            const auto n = static_cast<std::uint32_t>(i * 4);
            const Nanos drain = i % 2 == 0 ? 8 * second : 10 * second;
            at(drain, [this, n] { change_lifecycle(n, Lifecycle::draining); });
            at(drain + 3 * second, [this, n] { restart_node(n); });
        }
        // Seven in ten routers are killed at once and come back with nothing but the list.
        at(11 * second, [this] {
            for (int i = 0; i < routers; ++i)
                if (i % 10 < 7) kill(i);
        });
        at(12 * second + 500 * ms, [this] {
            for (int i = 0; i < routers; ++i)
                if (i % 10 < 7) start_router(i, routers_[i].incarnation + 1);
        });
        for (Nanos t = reference_lag; t < day_length; t += reference_lag)
            at(t, [this] { update_known_load(); });
    }

    void run() {
        while (!due_.empty()) {
            const auto next = due_.top();
            due_.pop();
            now_ = next.at;
            const auto what = std::move(actions_[next.number]);
            actions_.erase(next.number);
            what();
        }
    }

    std::map<std::string, Score> scores;
    long sent = 0, overloaded = 0;

  private:
    struct Router {
        std::unique_ptr<QueryRouter> module;
        std::vector<Event> events;
        int incarnation = 0;
        bool is_up = false, round_due = false;
        Nanos last_round = 0;
    };
    struct Due {
        Nanos at;
        std::uint64_t number;
        bool operator<(const Due& o) const { return std::pair(o.at, o.number) < std::pair(at, number); }
    };

    double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void at(Nanos when, std::function<void()> what) {
        actions_[++next_action_] = std::move(what);
        due_.push({when, next_action_});
    }

    // Clients
    void schedule_query(Nanos when, int kind, int router) {
        const std::uint32_t id = 1 + static_cast<std::uint32_t>(queries_.size());
        Query& q = queries_.emplace_back();
        q.kind = kind, q.router = router, q.began_at = when, q.deadline_at = when + kinds[kind].deadline;
        const int shard_requests = kinds[kind].shard_requests > 0
                                       ? kinds[kind].shard_requests
                                       : 1 + static_cast<int>(2 * random_fraction());
        const auto first = static_cast<std::uint32_t>(places * random_fraction());
        double sum = 0;
        for (int i = 0; i < shard_requests; ++i) {
            q.shards.push_back((first + static_cast<std::uint32_t>(i * places / shard_requests)) % places);
            sum += q.weights.emplace_back(1 / std::pow(1 + i, kind == 0 ? 0.9 : 0.3));
        }
        for (double& w : q.weights) w /= sum;
        scores[kinds[kind].name].priority_weight += kinds[kind].priority_weight;
        at(when, [this, id] { submit(id); });
    }

    Query& query(std::uint32_t id) { return queries_[id - 1]; }

    void submit(std::uint32_t id) {
        Query& q = query(id);
        if (q.ended) return;
        if (!routers_[q.router].is_up) return retry_later(id);
        q.incarnation = routers_[q.router].incarnation;
        q.shard_requests.clear();
        for (std::size_t i = 0; i < q.shards.size(); ++i) {
            q.shard_requests.push_back(static_cast<std::uint32_t>(shard_requests_.size()));
            ShardRequest& p = shard_requests_.emplace_back();
            p.query = id, p.shard = q.shards[i], p.weight = q.weights[i];
        }
        if (policy_ == Policy::module) return deliver(q.router, QueryEvent{id});
        select_shard_requests(id);
    }

    void retry_later(std::uint32_t id) {
        Query& q = query(id);
        if (q.client_tries++ >= 3 || now_ + 250 * ms >= q.deadline_at) return void(q.ended = true);
        q.router = static_cast<int>(routers * random_fraction());
        at(now_ + 250 * ms, [this, id] { submit(id); });
    }

    void record_answer(std::uint32_t id, bool whole) {
        Query& q = query(id);
        if (std::exchange(q.ended, true)) return;
        const Kind& k = kinds[q.kind];
        const double in_time = now_ <= q.began_at + k.latency_objective ? 1
                               : now_ <= q.deadline_at                  ? k.late_weight
                                                                        : 0;
        scores[k.name].earned += k.priority_weight * in_time * (whole ? 1 : k.partial_weight);
    }

    // Routers
    Endpoint entry(std::uint32_t n) const {
        return {n, static_cast<std::uint16_t>(n), nodes_[n].state, nodes_[n].started_at, 0};
    }

    void start_router(int i, int incarnation) {
        Router& r = routers_[i];
        r.incarnation = incarnation, r.is_up = true, r.round_due = false;
        r.module = std::make_unique<QueryRouter>(config(), static_cast<std::uint64_t>(i * 100 + incarnation));
        ListEvent list{ListKind::full, {}};
        for (std::uint32_t n = 0; n < places; ++n) list.entries.push_back(entry(n));
        deliver(i, std::move(list));
    }

    void kill(int i) {
        Router& r = routers_[i];
        r.is_up = false;
        r.events.clear();
        for (std::uint32_t id = 1; id <= queries_.size(); ++id) {
            Query& q = query(id);
            if (q.router != i || q.incarnation != r.incarnation || q.ended || q.shard_requests.empty())
                continue;
            for (const std::uint32_t p : q.shard_requests)
                for (const std::size_t c : shard_requests_[p].attempts) withdraw(c);
            retry_later(id);
        }
    }

    void deliver(int i, Event events) {
        Router& r = routers_[i];
        if (!r.is_up) return;
        r.events.push_back(std::move(events));
        if (std::exchange(r.round_due, true)) return;
        at(std::max(now_, r.last_round + round_interval), [this, i, incarnation = r.incarnation] {
            Router& t = routers_[i];
            if (!t.is_up || t.incarnation != incarnation) return;
            t.round_due = false;
            t.last_round = now_;
            playing_events_ = std::exchange(t.events, {});
            router_in_round_ = i;
            t.module->round(second + now_, *this, *this);
        });
    }

    void deliver(RoundEventHandler& h) override {
        for (const Event& events : playing_events_) {
            if (const auto* list = std::get_if<ListEvent>(&events)) h.on_endpoints(list->kind, list->entries);
            if (const auto* leaf = std::get_if<ResultEvent>(&events)) h.on_attempt_result(leaf->end);
            if (const auto* timer = std::get_if<TimerEvent>(&events)) h.on_timer(timer->cookie);
            if (const auto* came = std::get_if<QueryEvent>(&events)) {
                const Query& q = query(came->id);
                h.on_query({came->id, came->id, static_cast<std::uint16_t>(q.kind), UINT32_MAX,
                            second + q.deadline_at});
                for (const std::uint32_t p : q.shard_requests)
                    h.on_shard_request({p, came->id, shard_requests_[p].shard, shard_requests_[p].weight});
            }
        }
    }
    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) override {
        send(shard_request, node, timeout);
    }
    void cancel(std::uint32_t shard_request, std::uint8_t attempt) override {
        const std::size_t c = shard_requests_[shard_request].attempts[attempt];
        if (attempts_[c].in_flight) end(c, Outcome::cancelled);
    }
    void answer(std::uint32_t id, bool whole) override { record_answer(id, whole); }
    void reject(std::uint32_t id, Nanos) override { retry_later(id); }
    void fail_query(std::uint32_t id) override { query(id).ended = true; }
    void set_timer(std::uint64_t cookie, Nanos wait) override {
        at(now_ + wait,
           [this, i = router_in_round_, incarnation = routers_[router_in_round_].incarnation, cookie] {
               if (routers_[i].incarnation == incarnation) deliver(i, TimerEvent{cookie});
           });
    }
    void watch_endpoints() override {}
    void log(const std::string&) override {}

    // Leaf calls and data nodes
    void send(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) {
        const Query& q = query(shard_requests_[shard_request].query);
        const std::size_t c = attempts_.size();
        attempts_.push_back({q.router, q.incarnation, shard_request, node,
                             static_cast<std::uint8_t>(shard_requests_[shard_request].attempts.size()),
                             now_});
        shard_requests_[shard_request].attempts.push_back(c);
        ++sent;
        at(now_ + network_delay, [this, c] { arrive(c); });
        at(now_ + timeout, [this, c] {
            if (attempts_[c].in_flight) end(c, Outcome::timeout);
        });
    }

    void arrive(std::size_t c) {
        if (!attempts_[c].in_flight) return;
        Node& n = nodes_[attempts_[c].node];
        if (n.state != Lifecycle::ready || static_cast<int>(n.queue.size()) >= max_queue) {
            ++overloaded;
            return at(now_ + network_delay, [this, c] { end(c, Outcome::overloaded); });
        }
        if (n.is_faulty && random_fraction() < 0.6)
            return at(now_ + 2 * ms, [this, c] { end(c, Outcome::error); });
        n.queue.push_back(c);
        work(attempts_[c].node);
    }

    void work(std::uint32_t i) {
        Node& n = nodes_[i];
        while (n.working < worker_slots && !n.queue.empty()) {
            const std::size_t c = n.queue.front();
            n.queue.pop_front();
            if (!attempts_[c].in_flight) continue;
            ++n.working;
            const double warm =
                n.started_at == 0 ? 1 : std::min(1.0, 0.3 + 0.07 * (second + now_ - n.started_at) / second);
            const double took =
                shard_request_work * std::exp(0.4 * std::normal_distribution<double>()(random_)) / warm;
            at(now_ + static_cast<Nanos>(took), [this, c, i, started = n.started_at] {
                if (nodes_[i].started_at == started) --nodes_[i].working, work(i);
                at(now_ + network_delay, [this, c] { end(c, Outcome::ok); });
            });
        }
    }

    // No word of it reaches its router any more.
    void withdraw(std::size_t c) {
        Attempt& call = attempts_[c];
        call.in_flight = false;
        std::erase(nodes_[call.node].queue, c);
    }

    void end(std::size_t c, Outcome outcome) {
        if (!attempts_[c].in_flight) return;
        withdraw(c);
        const Attempt call = attempts_[c];
        ShardRequest& shard_request = shard_requests_[call.shard_request];
        if (policy_ == Policy::module) {
            if (routers_[call.router].incarnation == call.incarnation)
                deliver(call.router, ResultEvent{{call.shard_request, call.node, call.attempt, outcome,
                                                  now_ - call.sent_at}});
            return;
        }
        Query& q = query(shard_request.query);
        if (q.ended) return;
        shard_request.answered |= outcome == Outcome::ok;
        const auto spent = static_cast<int>(shard_request.attempts.size());
        if (!shard_request.answered && spent < max_attempts)
            at(now_ + (policy_ == Policy::reference && outcome == Outcome::overloaded ? 100 * ms : 0),
               [this, p = call.shard_request] { send_by_policy(p); });
        conclude(shard_request.query, !shard_request.answered && spent >= max_attempts);
    }

    void change_lifecycle(std::uint32_t n, Lifecycle state) {
        nodes_[n].state = state;
        at(now_ + 300 * ms, [this, n] {
            for (int i = 0; i < routers; ++i) deliver(i, ListEvent{ListKind::delta, {entry(n)}});
        });
    }
    void restart_node(std::uint32_t n) {
        nodes_[n].started_at = second + now_;
        nodes_[n].working = 0;
        change_lifecycle(n, Lifecycle::ready);
    }

    // The reference, which sees the true state of every node late, and the plainest policy, which sees none.
    void update_known_load() {
        for (Node& n : nodes_)
            n.known_load = n.working + static_cast<int>(n.queue.size()), n.sent_since_known = 0;
    }
    double load() const {
        double known_load = 0;
        for (const Node& n : nodes_) known_load += n.known_load;
        return known_load / (places * worker_slots);
    }

    void select_shard_requests(std::uint32_t id) {
        Query& q = query(id);
        const Kind& k = kinds[q.kind];
        double sum = 0;
        for (const std::uint32_t p : q.shard_requests) {
            shard_requests_[p].selected = policy_ == Policy::plain || k.min_answer_weight == 1 ||
                                          sum < k.min_answer_weight || load() < 0.7;
            sum += shard_requests_[p].weight;
            if (shard_requests_[p].selected) send_by_policy(p);
        }
        at(q.began_at + k.latency_objective - 10 * ms, [this, id] { conclude(id, false); });
        at(q.deadline_at - 10 * ms, [this, id] { conclude(id, false); });
    }

    void send_by_policy(std::uint32_t p) {
        ShardRequest& shard_request = shard_requests_[p];
        const Query& q = query(shard_request.query);
        if (q.ended || shard_request.answered) return;
        std::uint32_t best = UINT32_MAX;
        double least = HUGE_VAL;
        for (std::uint32_t j = 0; j < 3; ++j) {
            const std::uint32_t n = (shard_request.shard + j) % places;
            const Node& node = nodes_[n];
            const double of = policy_ == Policy::plain
                                  ? random_fraction() + (node.state == Lifecycle::ready ? 0 : 1)
                                  : node.known_load + node.sent_since_known * 0.1 + random_fraction() +
                                        (node.is_faulty ? 8 : 0) +
                                        (node.state == Lifecycle::ready ? 0 : 1000) +
                                        (node.started_at > 0 ? 4 : 0);
            if (of < least) least = of, best = n;
        }
        ++nodes_[best].sent_since_known;
        send(p, best, q.deadline_at - now_);
    }

    void conclude(std::uint32_t id, bool lost) {
        Query& q = query(id);
        if (q.ended) return;
        const Kind& k = kinds[q.kind];
        double answered = 0, selected = 0;
        bool all = true;
        for (const std::uint32_t p : q.shard_requests) {
            if (shard_requests_[p].answered) answered += shard_requests_[p].weight;
            if (shard_requests_[p].selected) selected += shard_requests_[p].weight;
            all &= shard_requests_[p].answered;
        }
        if (all) return record_answer(id, true);
        const bool due = now_ >= q.began_at + k.latency_objective - 10 * ms;
        if (k.min_answer_weight < 1 && answered >= k.min_answer_weight &&
            (due || answered >= selected - 1e-9))
            return record_answer(id, false);
        if (now_ >= q.deadline_at - 10 * ms || (due && k.late_weight == 0) ||
            (lost && k.min_answer_weight == 1))
            q.ended = true;
    }

    const Policy policy_;
    std::knuth_b random_;
    std::vector<Node> nodes_;
    std::vector<Router> routers_;
    std::deque<Query> queries_;
    std::deque<ShardRequest> shard_requests_;
    std::deque<Attempt> attempts_;
    std::priority_queue<Due> due_;
    std::map<std::uint64_t, std::function<void()>> actions_;
    std::uint64_t next_action_ = 0;
    std::vector<Event> playing_events_;
    int router_in_round_ = 0;
    Nanos now_ = 0;
};

}  // namespace

int main() {
    constexpr unsigned seeds = 5;
    constexpr double least = 1.15;  // of half of what the reference serves, in every query class on every day
    double worst = HUGE_VAL, worst_plain = HUGE_VAL, sums[3][3] = {}, away = 0, sent = 0;
    std::printf("%4s  %-7s %28s\n", "seed", "", "served: module  seer  plain");
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        std::map<std::string, double> served[3];
        for (const Policy policy : {Policy::module, Policy::reference, Policy::plain}) {
            Day day(policy, seed);
            day.run();
            for (const Kind& k : kinds)
                served[static_cast<int>(policy)][k.name] =
                    day.scores[k.name].earned / day.scores[k.name].priority_weight;
            if (policy == Policy::module)
                away += static_cast<double>(day.overloaded), sent += static_cast<double>(day.sent);
        }
        for (int k = 0; k < 3; ++k) {
            const char* name = kinds[k].name;
            std::printf("%4u  %-7s %16.3f %5.3f %6.3f\n", seed, name, served[0][name], served[1][name],
                        served[2][name]);
            for (int w = 0; w < 3; ++w) sums[w][k] += served[w][name] / seeds;
            worst = std::min(worst, served[0][name] / (served[1][name] / 2));
            worst_plain = std::min(worst_plain, served[2][name] / (served[1][name] / 2));
        }
    }
    const bool kept = worst >= least;
    std::printf(
        "herd: search=%.3f report=%.3f adjust=%.3f seer=%.3f/%.3f/%.3f plain=%.3f/%.3f/%.3f full_share=%.3f "
        "worst_of_gate=%.2f plain_worst=%.2f aim=%.2f %s\n",
        sums[0][0], sums[0][1], sums[0][2], sums[1][0], sums[1][1], sums[1][2], sums[2][0], sums[2][1],
        sums[2][2], away / sent, worst, worst_plain, least, kept ? "kept" : "MISSED");
    return kept ? 0 : 1;
}
