#include "simulated_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::test {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr int rounds_per_second = 200;
constexpr std::uint32_t max_shard_requests = 14;

std::uint64_t key_of(std::uint32_t shard_request, std::uint8_t attempt) {
    return (static_cast<std::uint64_t>(shard_request) << 8) | attempt;
}

}  // namespace

std::uint64_t RandomNumbers::next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

void Digest::add(std::uint64_t number) {
    for (int byte = 0; byte < 8; ++byte) {
        value_ ^= (number >> (8 * byte)) & 0xff;
        value_ *= 1099511628211ULL;
    }
}

RouterConfig deployment_of(std::uint64_t seed) {
    RandomNumbers random(seed * 7919 + 1);
    RouterConfig config;
    const QueryClassConfig partial{
        Effect::idempotent, 700 * millisecond, 2000 * millisecond, 0, 0.3, 0.5, 1, 0};
    QueryClassConfig complete = partial;
    complete.min_answer_weight = 1;
    complete.late_weight = random.one_in(2) ? 0 : 0.4;
    QueryClassConfig keyed = complete;
    keyed.effect = Effect::idempotent_with_key;
    keyed.idempotency_window = 600 * millisecond;
    keyed.min_answer_weight = random.one_in(2) ? 0.7 : 1;
    QueryClassConfig side_effecting = partial;
    side_effecting.effect = Effect::not_idempotent;
    side_effecting.complete_weight = 0.9;
    config.query_classes = {partial, complete, keyed, side_effecting};
    if (random.one_in(3))
        for (QueryClassConfig& query_class : config.query_classes) query_class.second_step_requests = 2;
    if (random.one_in(2)) config.tenant_quotas = {12, 4, 40};
    config.over_quota_weight = 0.5;
    config.routers = std::array{1, 2, 12, 60}[random.below(4)];
    config.round_interval = 5 * millisecond;
    config.discovery = random.one_in(3) ? Discovery::poll : Discovery::push;
    config.places = std::array{4, 6, 9, 24}[random.below(4)];
    config.shards = config.places * (1 + static_cast<int>(random.below(2)));
    config.replicas_per_shard = 2 + static_cast<int>(random.below(2));
    config.max_attempts = std::array{1, 3, 3, 4}[random.below(4)];
    config.max_requests_per_call = std::array{1, 2, 16}[random.below(3)];
    config.call_overhead = random.one_in(2) ? 0 : 8 * millisecond;
    config.may_cancel = !random.one_in(3);
    config.may_hedge = !random.one_in(4);
    config.sends_retry_after = !random.one_in(4);
    config.retries_marked = random.one_in(2);
    config.max_retry_after = 300 * millisecond;
    config.drain_grace = 500 * millisecond;
    config.max_poll_interval = 6000 * millisecond;
    config.slow_start_min_fraction = 0.2;
    config.slow_start_duration = random.one_in(5) ? 0 : 4000 * millisecond;
    config.overload_multiple = 3;
    config.overload_window = 1000 * millisecond;
    config.retry_budget_enabled = random.one_in(2);
    config.retry_budget_base = 4;
    config.retry_budget_ratio = 0.06;
    config.retry_budget_window = 1000 * millisecond;
    return config;
}

SimulatedFleet::Counts& SimulatedFleet::Counts::operator+=(const Counts& other) {
    for (std::size_t i = 0; i < outcomes.size(); ++i) outcomes[i] += other.outcomes[i];
    for (std::size_t i = 0; i < lists.size(); ++i) lists[i] += other.lists[i];
    for (const auto member :
         {&Counts::queries, &Counts::attempts, &Counts::cancels, &Counts::complete_answers,
          &Counts::partial_answers, &Counts::rejections, &Counts::failures, &Counts::watches, &Counts::drops,
          &Counts::timers, &Counts::retries, &Counts::later_phases, &Counts::second_steps, &Counts::hedges,
          &Counts::warming_attempts, &Counts::logs})
        this->*member += other.*member;
    return *this;
}

SimulatedFleet::SimulatedFleet(std::uint64_t seed)
    : random_(seed), config_(deployment_of(seed)), router_(config_, seed * 31 + 5) {
    const std::uint32_t nodes_per_place = 1 + random_.below(2);
    const int quickest_ms = random_.one_in(3) ? 1 : 12;
    for (std::uint32_t place = 0; place < static_cast<std::uint32_t>(config_.places); ++place) {
        for (std::uint32_t i = 0; i < nodes_per_place; ++i) {
            Node node;
            node.endpoint = {100 + place * 2 + i, place, Lifecycle::ready, 0, random_.below(3)};
            node.base_ms = quickest_ms + static_cast<int>(random_.below(20));
            if (random_.one_in(10)) node.endpoint.started_at = now_ - 100 * millisecond;
            nodes_[node.endpoint.node] = node;
        }
    }
}

std::uint64_t SimulatedFleet::run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
        change_nodes();
        router_.round(now_, *this, *this);
        if (round_ % rounds_per_second == 0) digest_interface_results();
        ++round_;
        now_ += config_.round_interval;
        if (random_.one_in(600)) now_ += 350 * millisecond;  // the router was stalled
    }
    return digest_.value();
}

void SimulatedFleet::digest_interface_results() {
    for (const NodeCapacityShare& node : router_.capacity_shares(now_)) {
        digest_.add(node.node);
        digest_.add(static_cast<std::uint64_t>(std::lround(node.share * 1000)));
    }
    for (std::size_t i = 0; i < config_.query_classes.size(); ++i) {
        const RetryLimits limits = router_.retry_limits(static_cast<std::uint16_t>(i));
        digest_.add(static_cast<std::uint64_t>(limits.max_attempts));
        digest_.add(static_cast<std::uint64_t>(limits.window));
    }
}

void SimulatedFleet::change_nodes() {
    if (round_ % 50 == 0) rounds_per_query_ = std::array{3, 6, 12, 30}[random_.below(4)];
    if (random_.one_in(400)) fleet_is_overloaded_ = !fleet_is_overloaded_ && random_.one_in(2);
    if (random_.one_in(60)) {
        auto node = nodes_.begin();
        std::advance(node, random_.below(static_cast<std::uint32_t>(nodes_.size())));
        node->second.fault = random_.one_in(2) ? Fault::none : static_cast<Fault>(random_.below(7));
    }
    if (random_.one_in(500))  // a temporary slowdown of most of the fleet
        for (auto& [id, node] : nodes_) node.fault = random_.one_in(3) ? Fault::none : Fault::slow;
    if (!random_.one_in(150)) return;
    auto found = nodes_.begin();
    std::advance(found, random_.below(static_cast<std::uint32_t>(nodes_.size())));
    Node& node = found->second;
    if (node.endpoint.lifecycle == Lifecycle::ready) {
        node.endpoint.lifecycle = random_.one_in(3) ? Lifecycle::removed : Lifecycle::draining;
    } else if (random_.one_in(3)) {  // replaced by a new node
        Node fresh = node;
        node.endpoint.lifecycle = Lifecycle::removed;
        changed_.push_back(node.endpoint);
        fresh.endpoint.node = next_node_++;
        fresh.endpoint.lifecycle = Lifecycle::ready;
        fresh.endpoint.started_at = now_ - 20 * millisecond;
        fresh.fault = Fault::none;
        nodes_.erase(found);
        changed_.push_back(fresh.endpoint);
        nodes_[fresh.endpoint.node] = fresh;
        return;
    } else {
        node.endpoint.lifecycle = Lifecycle::ready;
        node.endpoint.started_at = now_ - 20 * millisecond;
        node.fault = Fault::none;
    }
    changed_.push_back(node.endpoint);
}

void SimulatedFleet::deliver(RoundEventHandler& handler) {
    deliver_lists(handler);
    if (random_.one_in(2)) {
        deliver_results(handler);
        deliver_queries(handler);
    } else {
        deliver_queries(handler);
        deliver_results(handler);
    }
    deliver_drops(handler);
    deliver_timers(handler);
}

void SimulatedFleet::deliver_lists(RoundEventHandler& handler) {
    const auto deliver = [&](ListKind kind, const std::vector<Endpoint>& list) {
        ++counts_.lists[static_cast<std::size_t>(kind)];
        handler.on_endpoints(kind, list);
    };
    std::vector<Endpoint> list;
    for (const auto& [id, node] : nodes_) list.push_back(node.endpoint);
    const bool full_is_due = full_list_at_ > 0 && now_ >= full_list_at_;
    if (round_ == 0) {
        deliver(ListKind::cached, list);
    } else if (random_.one_in(300) || (full_is_due && random_.one_in(4))) {
        full_list_at_ = 0;
        deliver(ListKind::failed, {});
    } else if (full_is_due || random_.one_in(700)) {
        full_list_at_ = 0;
        changed_.clear();
        deliver(ListKind::full, list);
    } else if (!changed_.empty() && random_.one_in(5)) {
        deliver(ListKind::delta, changed_);
        changed_.clear();
    }
}

void SimulatedFleet::deliver_results(RoundEventHandler& handler) {
    while (!due_.empty() && due_.begin()->first <= now_) {
        const auto found = attempts_.find(due_.begin()->second);
        due_.erase(due_.begin());
        if (found == attempts_.end()) continue;
        const AttemptResult result = found->second.result;
        attempts_.erase(found);
        if (const auto node = nodes_.find(result.node); node != nodes_.end()) --node->second.in_flight;
        ++counts_.outcomes[static_cast<std::size_t>(result.outcome)];
        handler.on_attempt_result(result);
        if (random_.one_in(300)) handler.on_attempt_result(result);  // the same result arrives twice
    }
}

void SimulatedFleet::deliver_timers(RoundEventHandler& handler) {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        ++counts_.timers;
        handler.on_timer(timers_.begin()->second);
        timers_.erase(timers_.begin());
    }
}

void SimulatedFleet::deliver_drops(RoundEventHandler& handler) {
    if (!random_.one_in(60) || queries_.empty()) return;
    auto found = queries_.begin();
    std::advance(found, random_.below(static_cast<std::uint32_t>(queries_.size())));
    const Query query = found->second;
    ++counts_.drops;
    if (random_.one_in(2) || query.shard_requests.empty()) {
        queries_.erase(found);
        handler.on_query_dropped(query.id);
    } else {
        handler.on_query_dropped(query.shard_requests.front());
    }
}

void SimulatedFleet::deliver_queries(RoundEventHandler& handler) {
    while (!second_steps_.empty() && second_steps_.begin()->first <= now_) {
        const auto found = queries_.find(second_steps_.begin()->second);
        second_steps_.erase(second_steps_.begin());
        if (found == queries_.end()) continue;
        ++counts_.second_steps;
        add_shard_requests(handler, found->second, 1 + random_.below(2), false);
    }
    for (std::size_t i = retries_due_.size(); i-- > 0;) {
        if (retries_due_[i].first > now_) continue;
        ++counts_.retries;
        arrive(handler, retries_due_[i].second * millisecond, config_.retries_marked);
        retries_due_.erase(retries_due_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (random_.one_in(rounds_per_query_)) arrive(handler, (500 + random_.below(1500)) * millisecond, false);
    if (random_.one_in(rounds_per_query_ * 2)) arrive(handler, 2000 * millisecond, false);
}

void SimulatedFleet::arrive(RoundEventHandler& handler, Nanos timeout, bool is_retry) {
    Query query;
    query.id = next_id_++;
    query.correlation_id = query.id ^ 0x40000000U;
    query.query_class =
        static_cast<std::uint16_t>(random_.below(static_cast<std::uint32_t>(config_.query_classes.size())));
    QueryArrival arrival{query.id,
                         query.correlation_id,
                         query.query_class,
                         random_.below(4),
                         now_ + timeout,
                         is_retry || random_.one_in(25),
                         0,
                         0};
    const bool later_phase = random_.one_in(8);
    if (later_phase) {
        ++counts_.later_phases;
        arrival.first_arrival_at = now_ - random_.below(200) * millisecond;
        if (random_.one_in(2)) arrival.phase_deadline_at = now_ + (20 + random_.below(200)) * millisecond;
    }
    ++counts_.queries;
    handler.on_query(arrival);
    Query& kept = queries_[query.id] = query;
    if (!random_.one_in(40))  // otherwise its shard requests never arrive
        add_shard_requests(handler, kept, 1 + random_.below(max_shard_requests), later_phase);
}

void SimulatedFleet::add_shard_requests(RoundEventHandler& handler, Query& query, std::uint32_t count,
                                        bool later_phase) {
    std::vector<std::uint32_t> weights;
    std::uint32_t total = 0;
    const bool even = random_.one_in(3);
    for (std::uint32_t i = 0; i < count; ++i) {
        weights.push_back(even ? 10 : 1 + random_.below(60));
        total += weights.back();
    }
    for (const std::uint32_t weight : weights) {
        ShardRequestArrival arrival;
        arrival.id = next_id_++;
        arrival.correlation_id = query.correlation_id;
        arrival.shard = random_.below(static_cast<std::uint32_t>(config_.shards));
        arrival.weight = static_cast<double>(weight) / total;
        if (!random_.one_in(3)) arrival.cost_hint = (10 + random_.below(80)) * millisecond;
        if (random_.one_in(20)) arrival.cost_hint = (1 + random_.below(1500)) * millisecond;
        if (later_phase) {
            arrival.attempts_used = static_cast<int>(random_.below(3));
            arrival.answered = random_.one_in(3);
        }
        query.shard_requests.push_back(arrival.id);
        handler.on_shard_request(arrival);
    }
}

Outcome SimulatedFleet::outcome_at(const Node& node) {
    if (node.endpoint.lifecycle == Lifecycle::removed) return Outcome::connect_failed;
    if (random_.one_in(80)) return static_cast<Outcome>(random_.below(8));
    if (fleet_is_overloaded_ && random_.one_in(6)) return Outcome::overloaded;
    if (node.in_flight > 12 && random_.one_in(3)) return Outcome::overloaded;
    switch (node.fault) {
        case Fault::none:
        case Fault::slow:
        case Fault::hung:
            return Outcome::ok;
        case Fault::errors:
            return random_.one_in(3) ? Outcome::ok : Outcome::error;
        case Fault::resets:
            return Outcome::reset;
        case Fault::overloaded:
            return Outcome::overloaded;
        case Fault::unreachable:
            return random_.one_in(4) ? Outcome::not_sent : Outcome::connect_failed;
    }
    return Outcome::ok;
}

Nanos SimulatedFleet::latency_at(const Node& node) {
    if (node.fault == Fault::hung) return 60'000 * millisecond;
    const Nanos jitter = Nanos{1000} * random_.below(static_cast<std::uint32_t>(node.base_ms) * 800);
    const Nanos queueing = 4 * millisecond * node.in_flight;
    const Nanos usual = node.base_ms * millisecond + jitter + queueing;
    return node.fault == Fault::slow ? 6 * usual : usual;
}

void SimulatedFleet::send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) {
    for (const std::uint64_t number :
         {1ULL, static_cast<unsigned long long>(shard_request), static_cast<unsigned long long>(node),
          static_cast<unsigned long long>(timeout)})
        digest_.add(number);
    ++counts_.attempts;
    const std::uint8_t attempt = attempts_of_[shard_request]++;
    const auto found = nodes_.find(node);
    InFlight in_flight;
    in_flight.node = node;
    in_flight.sent_at = now_;
    Outcome outcome = Outcome::connect_failed;
    Nanos latency = 3 * millisecond;
    if (found != nodes_.end()) {
        ++found->second.in_flight;
        if (found->second.endpoint.started_at > now_ - config_.slow_start_duration)
            ++counts_.warming_attempts;
        outcome = outcome_at(found->second);
        if (outcome == Outcome::ok || outcome == Outcome::timeout || outcome == Outcome::cancelled)
            latency = latency_at(found->second);
    }
    if (outcome == Outcome::timeout) latency = timeout;
    if (latency > timeout) {
        latency = std::max<Nanos>(timeout, 0);
        outcome = Outcome::timeout;
    }
    if (attempt > 0 && attempts_.contains(key_of(shard_request, attempt - 1))) ++counts_.hedges;
    in_flight.result = {shard_request, node, attempt, outcome, latency};
    attempts_[key_of(shard_request, attempt)] = in_flight;
    due_.emplace(now_ + latency, key_of(shard_request, attempt));
}

void SimulatedFleet::cancel(std::uint32_t shard_request, std::uint8_t attempt) {
    for (const std::uint64_t number : {2U, shard_request, static_cast<std::uint32_t>(attempt)})
        digest_.add(number);
    ++counts_.cancels;
    const std::uint64_t key = key_of(shard_request, attempt);
    const auto found = attempts_.find(key);
    if (found == attempts_.end() || found->second.cancelled || random_.one_in(4)) return;
    found->second.cancelled = true;
    found->second.result.outcome = Outcome::cancelled;
    found->second.result.latency = now_ - found->second.sent_at;
    due_.emplace(now_ + 2 * millisecond, key);
}

void SimulatedFleet::answer(std::uint32_t query, bool complete) {
    for (const std::uint64_t number : {3U, query, complete ? 1U : 0U}) digest_.add(number);
    ++(complete ? counts_.complete_answers : counts_.partial_answers);
    const auto found = queries_.find(query);
    if (found == queries_.end()) return;
    if (found->second.step == 1 &&
        config_.query_classes[found->second.query_class].second_step_requests > 0) {
        found->second.step = 2;
        found->second.shard_requests.clear();
        second_steps_.emplace(now_ + random_.below(4) * config_.round_interval, query);
    } else {
        queries_.erase(found);
    }
}

void SimulatedFleet::reject(std::uint32_t query, Nanos retry_after) {
    digest_.add(4);
    digest_.add(query);
    digest_.add(static_cast<std::uint64_t>(retry_after));
    ++counts_.rejections;
    queries_.erase(query);
    if (!random_.one_in(2)) return;
    // Named, since the order in which arguments are evaluated is unspecified.
    const auto time_to_live_ms = 200 + random_.below(1000);
    const Nanos delay = random_.below(100) * millisecond;
    retries_due_.emplace_back(now_ + retry_after + delay, time_to_live_ms);
}

void SimulatedFleet::fail_query(std::uint32_t query) {
    digest_.add(5);
    digest_.add(query);
    ++counts_.failures;
    queries_.erase(query);
}

void SimulatedFleet::set_timer(std::uint64_t cookie, Nanos wait) {
    digest_.add(6);
    digest_.add(cookie);
    digest_.add(static_cast<std::uint64_t>(wait));
    timers_.emplace(now_ + wait + (random_.one_in(20) ? 12 * millisecond : 0), cookie);
}

void SimulatedFleet::watch_endpoints() {
    digest_.add(7);
    ++counts_.watches;
    full_list_at_ = now_ + (10 + random_.below(2500)) * millisecond;
}

}  // namespace tealcart::test
