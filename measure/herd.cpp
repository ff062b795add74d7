// Simulates 150 query routers that send to one shared set of data nodes through a release, during which most
// of the routers restart and lose their state: `make measure-herd`. Each router's decision module sees only
// the results of its own attempts. The simulation has a virtual clock and no sockets. It prints a table and
// one last line of figures, and exits with status 1 if an aim is missed. docs/standing.md has the
// benchmark's figures.

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

constexpr Nanos millisecond = 1'000'000, second = 1000 * millisecond;
// Queries arrive until `simulation_length`. A message takes `network_delay` in one direction.
constexpr Nanos round_interval = 5 * millisecond, network_delay = millisecond / 3,
                simulation_length = 26 * second;
// `worker_slots` and `max_queue` (attempts) are those of one data node; there is one node at each place.
constexpr int routers = 150, places = 80, worker_slots = 4, max_queue = 16, max_attempts = 3;
constexpr double queries_per_second = 180, shard_request_work = 50 * millisecond;
// The reference policy sees each node's load as of the last update, so its view is up to this old.
constexpr Nanos load_update_interval = 250 * millisecond;

// A query class and its simulated traffic.
struct SimulatedClass {
    const char* name;
    double traffic_share;
    int shard_requests;  // per query; 0 for one or two at random
    Nanos latency_objective, deadline;
    double priority_weight, late_weight, min_answer_weight,
        partial_weight;  // share of the priority weight for a partial answer
    Effect effect;
};
constexpr SimulatedClass query_classes[] = {
    {"search", 0.4, places, 500 * millisecond, 1250 * millisecond, 5, 0.3, 0.4, 0.95, Effect::idempotent},
    {"report", 0.2, places / 2, 750 * millisecond, 3100 * millisecond, 3, 0.1, 1, 0, Effect::idempotent},
    {"adjust", 0.4, 0, 500 * millisecond, 1550 * millisecond, 1, 0, 1, 0, Effect::idempotent_with_key},
};

RouterConfig router_config() {
    RouterConfig config;
    for (const SimulatedClass& query_class : query_classes)
        config.query_classes.push_back({query_class.effect, query_class.latency_objective,
                                        query_class.deadline, 1500 * millisecond, query_class.late_weight,
                                        query_class.min_answer_weight});
    config.routers = routers;
    config.round_interval = round_interval;
    config.places = config.shards = places;
    config.replicas_per_shard = 3;
    config.max_attempts = max_attempts;
    config.may_cancel = config.may_hedge = config.sends_retry_after = true;
    config.max_retry_after = 500 * millisecond;
    config.drain_grace = second;
    config.slow_start_min_fraction = 0.3;
    config.slow_start_duration = 10 * second;
    config.overload_multiple = 4;
    config.overload_window = 2 * second;
    return config;
}

// What makes the routers' decisions. The reference policy knows which nodes are faulty and sees the load of
// all nodes with a delay; the plain policy knows only which nodes are ready.
enum class Policy { module, reference, plain };

// An attempt of a shard request; `index` is its number among the attempts of the shard request.
struct Attempt {
    int router = 0, incarnation = 0;
    std::uint32_t shard_request = 0, node = 0;
    std::uint8_t index = 0;
    Nanos sent_at = 0;
    bool in_flight = true;
};

// A simulated data node with a bounded queue and a fixed number of worker slots.
struct Node {
    Lifecycle lifecycle = Lifecycle::ready;
    Nanos started_at = 0;
    bool is_faulty = false;
    // `known_load` is the number of running and queued attempts at the last update for the reference policy;
    // `sent_since_update` counts the attempts that were sent to the node since then.
    int busy_slots = 0, known_load = 0, sent_since_update = 0;
    std::deque<std::size_t> queue;
};

// The request of a query to one shard.
struct ShardRequest {
    std::uint32_t query = 0, shard = 0;
    double weight = 0;
    bool selected = true, answered = false;
    std::vector<std::size_t> attempts;  // in flight or ended
    Nanos retry_at = 0;  // next retry by the reference and the plain policy, 0 for none; unused
};

// A client's query, with the router that it was last sent to.
struct Query {
    int query_class = 0, router = 0, incarnation = 0, client_tries = 1;
    Nanos began_at = 0, deadline_at = 0;
    std::vector<std::uint32_t> shard_requests;
    std::vector<double> weights;
    std::vector<std::uint32_t> shards;
    bool ended = false;
};

// An attempt of the router has ended.
struct ResultEvent {
    AttemptResult result;
};
// A query has arrived with its shard requests.
struct QueryEvent {
    std::uint32_t id;
};
// The full endpoint list or a delta has arrived.
struct ListEvent {
    ListKind kind;
    std::vector<Endpoint> entries;
};
// A timer of the decision module has expired.
struct TimerEvent {
    std::uint64_t cookie;
};
// An event that a router passes to its decision module.
using Event = std::variant<ResultEvent, QueryEvent, ListEvent, TimerEvent>;

// The priority weight of all queries of a class, and the part of it that their answers earned.
struct Score {
    double priority_weight = 0, earned_weight = 0;
};

// One run of the simulation under one policy: clients, routers, data nodes and the virtual clock.
class Simulation final : public RoundEvents, public DecisionSink {
  public:
    Simulation(Policy policy, unsigned seed)
        : policy_(policy), random_(seed), nodes_(places), routers_(routers) {
        for (Node& node : nodes_) node.is_faulty = random_fraction() < 0.125;
        for (int i = 0; i < routers; ++i) start_router(i, 0);
        std::vector<double> router_shares;
        for (int i = 0; i < routers; ++i) router_shares.push_back(-std::log(1 - random_fraction()) + 0.2);
        std::discrete_distribution<int> choose_router(router_shares.begin(), router_shares.end());
        const std::vector<double> traffic_shares = {
            query_classes[0].traffic_share, query_classes[1].traffic_share, query_classes[2].traffic_share};
        std::discrete_distribution<int> choose_class(traffic_shares.begin(), traffic_shares.end());
        for (Nanos arrival = 0; (arrival += static_cast<Nanos>(-std::log(1 - random_fraction()) * second /
                                                               queries_per_second)) < simulation_length;) {
            const int router = choose_router(random_);
            const int query_class = choose_class(random_);
            schedule_query(arrival, query_class, router);
        }
        // A release restarts a quarter of the nodes in two batches. Each node returns cold at the same place.
        for (int i = 0; i < places / 4; ++i) {
            const auto node = static_cast<std::uint32_t>(i * 4);
            const Nanos drain_at = i % 2 == 0 ? 8 * second : 10 * second;
            schedule(drain_at, [this, node] { change_lifecycle(node, Lifecycle::draining); });
            schedule(drain_at + 3 * second, [this, node] { restart_node(node); });
        }
        // Seven in ten routers are killed at the same time and restart with nothing but the endpoint list.
        schedule(11 * second, [this] {
            for (int i = 0; i < routers; ++i)
                if (i % 10 < 7) kill_router(i);
        });
        schedule(12 * second + 500 * millisecond, [this] {
            for (int i = 0; i < routers; ++i)
                if (i % 10 < 7) start_router(i, routers_[i].incarnation + 1);
        });
        for (Nanos update_at = load_update_interval; update_at < simulation_length;
             update_at += load_update_interval)
            schedule(update_at, [this] { update_known_load(); });
    }

    void run() {
        while (!scheduled_.empty()) {
            const auto next = scheduled_.top();
            scheduled_.pop();
            now_ = next.at;
            const auto action = std::move(actions_[next.number]);
            actions_.erase(next.number);
            action();
        }
    }

    std::map<std::string, Score> scores;
    long attempts_sent = 0, attempts_overloaded = 0;

  private:
    // A query router: its decision module and the events that wait for its next round.
    struct Router {
        std::unique_ptr<QueryRouter> module;
        std::vector<Event> events;
        int incarnation = 0;
        bool is_up = false, round_due = false;
        Nanos last_round_at = 0;
    };
    // The time and the key of an action; the earliest one is the greatest, as the priority queue needs it.
    struct ScheduledAction {
        Nanos at;
        std::uint64_t number;
        bool operator<(const ScheduledAction& other) const {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void schedule(Nanos when, std::function<void()> action) {
        actions_[++last_action_] = std::move(action);
        scheduled_.push({when, last_action_});
    }

    // Clients send queries, and retry rejected ones at another router.
    void schedule_query(Nanos when, int query_class, int router) {
        const std::uint32_t id = 1 + static_cast<std::uint32_t>(queries_.size());
        Query& query = queries_.emplace_back();
        query.query_class = query_class, query.router = router, query.began_at = when,
        query.deadline_at = when + query_classes[query_class].deadline;
        const int shard_requests = query_classes[query_class].shard_requests > 0
                                       ? query_classes[query_class].shard_requests
                                       : 1 + static_cast<int>(2 * random_fraction());
        const auto first_shard = static_cast<std::uint32_t>(places * random_fraction());
        double weight_sum = 0;
        for (int i = 0; i < shard_requests; ++i) {
            query.shards.push_back((first_shard + static_cast<std::uint32_t>(i * places / shard_requests)) %
                                   places);
            weight_sum += query.weights.emplace_back(1 / std::pow(1 + i, query_class == 0 ? 0.9 : 0.3));
        }
        for (double& weight : query.weights) weight /= weight_sum;
        scores[query_classes[query_class].name].priority_weight += query_classes[query_class].priority_weight;
        schedule(when, [this, id] { submit(id); });
    }

    Query& find_query(std::uint32_t id) { return queries_[id - 1]; }

    void submit(std::uint32_t id) {
        Query& query = find_query(id);
        if (query.ended) return;
        if (!routers_[query.router].is_up) return retry_later(id);
        query.incarnation = routers_[query.router].incarnation;
        query.shard_requests.clear();
        for (std::size_t i = 0; i < query.shards.size(); ++i) {
            query.shard_requests.push_back(static_cast<std::uint32_t>(shard_requests_.size()));
            ShardRequest& shard_request = shard_requests_.emplace_back();
            shard_request.query = id, shard_request.shard = query.shards[i],
            shard_request.weight = query.weights[i];
        }
        if (policy_ == Policy::module) return queue_event(query.router, QueryEvent{id});
        select_shard_requests(id);
    }

    void retry_later(std::uint32_t id) {
        Query& query = find_query(id);
        if (query.client_tries++ >= 3 || now_ + 250 * millisecond >= query.deadline_at)
            return void(query.ended = true);
        query.router = static_cast<int>(routers * random_fraction());
        schedule(now_ + 250 * millisecond, [this, id] { submit(id); });
    }

    void record_answer(std::uint32_t id, bool complete) {
        Query& query = find_query(id);
        if (std::exchange(query.ended, true)) return;
        const SimulatedClass& query_class = query_classes[query.query_class];
        const double time_weight = now_ <= query.began_at + query_class.latency_objective ? 1
                                   : now_ <= query.deadline_at ? query_class.late_weight
                                                               : 0;
        scores[query_class.name].earned_weight +=
            query_class.priority_weight * time_weight * (complete ? 1 : query_class.partial_weight);
    }

    // Routers pass their events to the decision module in rounds and execute its decisions.
    Endpoint endpoint_of(std::uint32_t node) const {
        return {node, static_cast<std::uint16_t>(node), nodes_[node].lifecycle, nodes_[node].started_at, 0};
    }

    void start_router(int router_index, int incarnation) {
        Router& router = routers_[router_index];
        router.incarnation = incarnation, router.is_up = true, router.round_due = false;
        router.module = std::make_unique<QueryRouter>(
            router_config(), static_cast<std::uint64_t>(router_index * 100 + incarnation));
        ListEvent list{ListKind::full, {}};
        for (std::uint32_t node = 0; node < places; ++node) list.entries.push_back(endpoint_of(node));
        queue_event(router_index, std::move(list));
    }

    void kill_router(int router_index) {
        Router& router = routers_[router_index];
        router.is_up = false;
        router.events.clear();
        for (std::uint32_t id = 1; id <= queries_.size(); ++id) {
            Query& query = find_query(id);
            if (query.router != router_index || query.incarnation != router.incarnation || query.ended ||
                query.shard_requests.empty())
                continue;
            for (const std::uint32_t shard_request : query.shard_requests)
                for (const std::size_t attempt : shard_requests_[shard_request].attempts) withdraw(attempt);
            retry_later(id);
        }
    }

    void queue_event(int router_index, Event event) {
        Router& router = routers_[router_index];
        if (!router.is_up) return;
        router.events.push_back(std::move(event));
        if (std::exchange(router.round_due, true)) return;
        schedule(std::max(now_, router.last_round_at + round_interval),
                 [this, router_index, incarnation = router.incarnation] {
                     Router& current = routers_[router_index];
                     if (!current.is_up || current.incarnation != incarnation) return;
                     current.round_due = false;
                     current.last_round_at = now_;
                     round_events_ = std::exchange(current.events, {});
                     router_in_round_ = router_index;
                     current.module->round(second + now_, *this, *this);
                 });
    }

    void deliver(RoundEventHandler& handler) override {
        for (const Event& event : round_events_) {
            if (const auto* list = std::get_if<ListEvent>(&event))
                handler.on_endpoints(list->kind, list->entries);
            if (const auto* ended = std::get_if<ResultEvent>(&event))
                handler.on_attempt_result(ended->result);
            if (const auto* timer = std::get_if<TimerEvent>(&event)) handler.on_timer(timer->cookie);
            if (const auto* arrival = std::get_if<QueryEvent>(&event)) {
                const Query& query = find_query(arrival->id);
                handler.on_query({arrival->id, arrival->id, static_cast<std::uint16_t>(query.query_class),
                                  UINT32_MAX, second + query.deadline_at});
                for (const std::uint32_t shard_request : query.shard_requests)
                    handler.on_shard_request({shard_request, arrival->id,
                                              shard_requests_[shard_request].shard,
                                              shard_requests_[shard_request].weight});
            }
        }
    }
    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) override {
        send(shard_request, node, timeout);
    }
    void cancel(std::uint32_t shard_request, std::uint8_t index) override {
        const std::size_t attempt = shard_requests_[shard_request].attempts[index];
        if (attempts_[attempt].in_flight) end_attempt(attempt, Outcome::cancelled);
    }
    void answer(std::uint32_t id, bool complete) override { record_answer(id, complete); }
    void reject(std::uint32_t id, Nanos) override { retry_later(id); }
    void fail_query(std::uint32_t id) override { find_query(id).ended = true; }
    void set_timer(std::uint64_t cookie, Nanos wait) override {
        schedule(now_ + wait, [this, router_index = router_in_round_,
                               incarnation = routers_[router_in_round_].incarnation, cookie] {
            if (routers_[router_index].incarnation == incarnation)
                queue_event(router_index, TimerEvent{cookie});
        });
    }
    void watch_endpoints() override {}
    void log(const std::string&) override {}

    // Attempts travel to a data node, wait in its queue and run on one of its worker slots.
    void send(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) {
        const Query& query = find_query(shard_requests_[shard_request].query);
        const std::size_t attempt = attempts_.size();
        attempts_.push_back({query.router, query.incarnation, shard_request, node,
                             static_cast<std::uint8_t>(shard_requests_[shard_request].attempts.size()),
                             now_});
        shard_requests_[shard_request].attempts.push_back(attempt);
        ++attempts_sent;
        schedule(now_ + network_delay, [this, attempt] { on_arrival(attempt); });
        schedule(now_ + timeout, [this, attempt] {
            if (attempts_[attempt].in_flight) end_attempt(attempt, Outcome::timeout);
        });
    }

    void on_arrival(std::size_t attempt) {
        if (!attempts_[attempt].in_flight) return;
        Node& node = nodes_[attempts_[attempt].node];
        if (node.lifecycle != Lifecycle::ready || static_cast<int>(node.queue.size()) >= max_queue) {
            ++attempts_overloaded;
            return schedule(now_ + network_delay,
                            [this, attempt] { end_attempt(attempt, Outcome::overloaded); });
        }
        if (node.is_faulty && random_fraction() < 0.6)
            return schedule(now_ + 2 * millisecond,
                            [this, attempt] { end_attempt(attempt, Outcome::error); });
        node.queue.push_back(attempt);
        start_queued_attempts(attempts_[attempt].node);
    }

    void start_queued_attempts(std::uint32_t node_index) {
        Node& node = nodes_[node_index];
        while (node.busy_slots < worker_slots && !node.queue.empty()) {
            const std::size_t attempt = node.queue.front();
            node.queue.pop_front();
            if (!attempts_[attempt].in_flight) continue;
            ++node.busy_slots;
            const double speed = node.started_at == 0
                                     ? 1
                                     : std::min(1.0, 0.3 + 0.07 * (second + now_ - node.started_at) / second);
            const double service_time =
                shard_request_work * std::exp(0.4 * std::normal_distribution<double>()(random_)) / speed;
            schedule(now_ + static_cast<Nanos>(service_time), [this, attempt, node_index,
                                                               started_at = node.started_at] {
                if (nodes_[node_index].started_at == started_at)
                    --nodes_[node_index].busy_slots, start_queued_attempts(node_index);
                schedule(now_ + network_delay, [this, attempt] { end_attempt(attempt, Outcome::ok); });
            });
        }
    }

    // Removes an attempt from its node's queue. No result of it reaches its router after that.
    void withdraw(std::size_t attempt_index) {
        Attempt& attempt = attempts_[attempt_index];
        attempt.in_flight = false;
        std::erase(nodes_[attempt.node].queue, attempt_index);
    }

    void end_attempt(std::size_t attempt_index, Outcome outcome) {
        if (!attempts_[attempt_index].in_flight) return;
        withdraw(attempt_index);
        const Attempt attempt = attempts_[attempt_index];
        ShardRequest& shard_request = shard_requests_[attempt.shard_request];
        if (policy_ == Policy::module) {
            if (routers_[attempt.router].incarnation == attempt.incarnation)
                queue_event(attempt.router, ResultEvent{{attempt.shard_request, attempt.node, attempt.index,
                                                         outcome, now_ - attempt.sent_at}});
            return;
        }
        Query& query = find_query(shard_request.query);
        if (query.ended) return;
        shard_request.answered |= outcome == Outcome::ok;
        const auto attempts_used = static_cast<int>(shard_request.attempts.size());
        if (!shard_request.answered && attempts_used < max_attempts)
            schedule(
                now_ +
                    (policy_ == Policy::reference && outcome == Outcome::overloaded ? 100 * millisecond : 0),
                [this, index = attempt.shard_request] { send_by_policy(index); });
        end_query_if_due(shard_request.query, !shard_request.answered && attempts_used >= max_attempts);
    }

    void change_lifecycle(std::uint32_t node, Lifecycle lifecycle) {
        nodes_[node].lifecycle = lifecycle;
        schedule(now_ + 300 * millisecond, [this, node] {
            for (int i = 0; i < routers; ++i) queue_event(i, ListEvent{ListKind::delta, {endpoint_of(node)}});
        });
    }
    void restart_node(std::uint32_t node) {
        nodes_[node].started_at = second + now_;
        nodes_[node].busy_slots = 0;
        change_lifecycle(node, Lifecycle::ready);
    }

    // The reference policy sees the true load of every node with a delay; the plain policy sees no load.
    void update_known_load() {
        for (Node& node : nodes_)
            node.known_load = node.busy_slots + static_cast<int>(node.queue.size()),
            node.sent_since_update = 0;
    }
    // Returns the known load of all nodes as a share of all worker slots.
    double known_utilization() const {
        double known_load = 0;
        for (const Node& node : nodes_) known_load += node.known_load;
        return known_load / (places * worker_slots);
    }

    void select_shard_requests(std::uint32_t id) {
        Query& query = find_query(id);
        const SimulatedClass& query_class = query_classes[query.query_class];
        double weight_so_far = 0;
        for (const std::uint32_t index : query.shard_requests) {
            shard_requests_[index].selected =
                policy_ == Policy::plain || query_class.min_answer_weight == 1 ||
                weight_so_far < query_class.min_answer_weight || known_utilization() < 0.7;
            weight_so_far += shard_requests_[index].weight;
            if (shard_requests_[index].selected) send_by_policy(index);
        }
        schedule(query.began_at + query_class.latency_objective - 10 * millisecond,
                 [this, id] { end_query_if_due(id, false); });
        schedule(query.deadline_at - 10 * millisecond, [this, id] { end_query_if_due(id, false); });
    }

    // Sends an attempt to the replica that costs least by the policy.
    void send_by_policy(std::uint32_t shard_request_index) {
        ShardRequest& shard_request = shard_requests_[shard_request_index];
        const Query& query = find_query(shard_request.query);
        if (query.ended || shard_request.answered) return;
        std::uint32_t best_node = UINT32_MAX;
        double least_cost = HUGE_VAL;
        for (std::uint32_t j = 0; j < 3; ++j) {
            const std::uint32_t node_index = (shard_request.shard + j) % places;
            const Node& node = nodes_[node_index];
            const double cost = policy_ == Policy::plain
                                    ? random_fraction() + (node.lifecycle == Lifecycle::ready ? 0 : 1)
                                    : node.known_load + node.sent_since_update * 0.1 + random_fraction() +
                                          (node.is_faulty ? 8 : 0) +
                                          (node.lifecycle == Lifecycle::ready ? 0 : 1000) +
                                          (node.started_at > 0 ? 4 : 0);
            if (cost < least_cost) least_cost = cost, best_node = node_index;
        }
        ++nodes_[best_node].sent_since_update;
        send(shard_request_index, best_node, query.deadline_at - now_);
    }

    // Answers a query that is complete or that must not wait longer, and fails one that can't be answered.
    // `attempts_exhausted` means that one of its shard requests has no attempt left.
    void end_query_if_due(std::uint32_t id, bool attempts_exhausted) {
        Query& query = find_query(id);
        if (query.ended) return;
        const SimulatedClass& query_class = query_classes[query.query_class];
        double answered_weight = 0, selected_weight = 0;
        bool complete = true;
        for (const std::uint32_t index : query.shard_requests) {
            if (shard_requests_[index].answered) answered_weight += shard_requests_[index].weight;
            if (shard_requests_[index].selected) selected_weight += shard_requests_[index].weight;
            complete &= shard_requests_[index].answered;
        }
        if (complete) return record_answer(id, true);
        const bool objective_due = now_ >= query.began_at + query_class.latency_objective - 10 * millisecond;
        if (query_class.min_answer_weight < 1 && answered_weight >= query_class.min_answer_weight &&
            (objective_due || answered_weight >= selected_weight - 1e-9))
            return record_answer(id, false);
        if (now_ >= query.deadline_at - 10 * millisecond || (objective_due && query_class.late_weight == 0) ||
            (attempts_exhausted && query_class.min_answer_weight == 1))
            query.ended = true;
    }

    const Policy policy_;
    std::knuth_b random_;
    std::vector<Node> nodes_;
    std::vector<Router> routers_;
    std::deque<Query> queries_;
    std::deque<ShardRequest> shard_requests_;
    std::deque<Attempt> attempts_;
    std::priority_queue<ScheduledAction> scheduled_;
    std::map<std::uint64_t, std::function<void()>> actions_;
    std::uint64_t last_action_ = 0;
    std::vector<Event> round_events_;
    int router_in_round_ = 0;
    Nanos now_ = 0;
};

}  // namespace

int main() {
    constexpr unsigned seeds = 5;
    // The module must earn at least this multiple of half of what the reference policy earns, in every query
    // class and with every seed.
    constexpr double min_ratio = 1.15;
    double worst_ratio = HUGE_VAL, worst_plain_ratio = HUGE_VAL, mean_shares[3][3] = {},
           attempts_overloaded = 0, attempts_sent = 0;
    std::printf("%4s  %-7s %28s\n", "seed", "", "earned: module  ref.  plain");
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        std::map<std::string, double> earned_shares[3];  // by policy, then by query class
        for (const Policy policy : {Policy::module, Policy::reference, Policy::plain}) {
            Simulation simulation(policy, seed);
            simulation.run();
            for (const SimulatedClass& query_class : query_classes)
                earned_shares[static_cast<int>(policy)][query_class.name] =
                    simulation.scores[query_class.name].earned_weight /
                    simulation.scores[query_class.name].priority_weight;
            if (policy == Policy::module)
                attempts_overloaded += static_cast<double>(simulation.attempts_overloaded),
                    attempts_sent += static_cast<double>(simulation.attempts_sent);
        }
        for (int i = 0; i < 3; ++i) {
            const char* name = query_classes[i].name;
            std::printf("%4u  %-7s %16.3f %5.3f %6.3f\n", seed, name, earned_shares[0][name],
                        earned_shares[1][name], earned_shares[2][name]);
            for (int policy = 0; policy < 3; ++policy)
                mean_shares[policy][i] += earned_shares[policy][name] / seeds;
            worst_ratio = std::min(worst_ratio, earned_shares[0][name] / (earned_shares[1][name] / 2));
            worst_plain_ratio =
                std::min(worst_plain_ratio, earned_shares[2][name] / (earned_shares[1][name] / 2));
        }
    }
    const bool aim_met = worst_ratio >= min_ratio;
    // In this line, `seer` stands for the reference policy.
    std::printf(
        "herd: search=%.3f report=%.3f adjust=%.3f seer=%.3f/%.3f/%.3f plain=%.3f/%.3f/%.3f full_share=%.3f "
        "worst_of_gate=%.2f plain_worst=%.2f aim=%.2f %s\n",
        mean_shares[0][0], mean_shares[0][1], mean_shares[0][2], mean_shares[1][0], mean_shares[1][1],
        mean_shares[1][2], mean_shares[2][0], mean_shares[2][1], mean_shares[2][2],
        attempts_overloaded / attempts_sent, worst_ratio, worst_plain_ratio, min_ratio,
        aim_met ? "kept" : "MISSED");
    return aim_met ? 0 : 1;
}
