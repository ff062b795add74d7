// Checks the decision module against a simple model of its rules in generated scenarios. The rules bound the
// attempts of a shard request, their nodes and repetition, retries, the load of warming nodes, and the
// answers of a query.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "helpers.hpp"

using namespace tealcart;
using namespace tealcart::test;

namespace {

constexpr Nanos service_time = 100 * ms;  // latency of an attempt at a warm node

struct ModelAttempt {
    std::uint32_t node;
    Nanos sent_at;
    bool in_flight = true, may_have_run = true;
};
struct ModelShardRequest {
    std::uint32_t query = 0, shard = 0;
    double weight = 0;
    std::vector<ModelAttempt> attempts = {};
    bool answered = false;
    int step = 1;
};
struct ModelQuery {
    std::uint16_t query_class = 0;
    Nanos deadline_at = 0;
    int step = 1, ends = 0;
    bool first_step_complete = false;
    double answered[3] = {0, 0, 0};
    int shard_requests[3] = {0, 0, 0}, shard_requests_answered[3] = {0, 0, 0};
};

// Checks every decision of one router against the rules and keeps the state that this requires.
class RulesModel {
  public:
    explicit RulesModel(const RouterConfig& config) : config_(config) {}

    std::map<std::uint32_t, ModelQuery> queries;
    std::map<std::uint32_t, ModelShardRequest> shard_requests;
    std::map<std::uint32_t, Endpoint> nodes;
    std::map<std::uint32_t, Nanos> unavailable_since;  // since the router was notified of a drain or removal
    std::vector<std::uint32_t> second_steps_due;       // queries whose first step ended in this round

    void update_endpoint(Nanos now, const Endpoint& endpoint) {
        nodes[endpoint.node] = endpoint;
        if (endpoint.lifecycle == Lifecycle::ready)
            unavailable_since.erase(endpoint.node);
        else
            unavailable_since.try_emplace(endpoint.node, now);
    }
    void request_arrived(Nanos now) { arrivals_.push_back(now); }
    void check(Nanos now, const RecordedDecisions& decisions) {
        second_steps_due.clear();
        for (const Decision& decision : decisions.recorded) {
            if (decision.kind == Decision::send_attempt) check_attempt(now, decision);
            if (decision.kind == Decision::answer) check_answer(now, decision);
            if (decision.kind == Decision::reject || decision.kind == Decision::fail_query)
                check_end(now, decision);
        }
        const auto lost = [now](const auto& entry) {
            return entry.second.ends == 0 && now > entry.second.deadline_at;
        };
        REQUIRE(std::none_of(queries.begin(), queries.end(), lost));
    }
    void attempt_ended(std::uint32_t shard_request_id, std::uint8_t attempt, Outcome outcome) {
        ModelShardRequest& shard_request = shard_requests.at(shard_request_id);
        shard_request.attempts.at(attempt).in_flight = false;
        if (outcome == Outcome::overloaded || outcome == Outcome::connect_failed ||
            outcome == Outcome::not_sent)
            shard_request.attempts[attempt].may_have_run = false;
        ModelQuery& query = queries.at(shard_request.query);
        if (outcome != Outcome::ok || shard_request.answered || query.ends > 0 ||
            query.step != shard_request.step)
            return;
        shard_request.answered = true;
        query.answered[shard_request.step] += shard_request.weight;
        ++query.shard_requests_answered[shard_request.step];
    }

  private:
    static double complete_weight(const QueryClassConfig& query_class, int step) {
        return step == 1 ? query_class.complete_weight : 1;
    }
    void check_attempt(Nanos now, const Decision& decision) {
        const auto within = [now](const std::vector<Nanos>& times, Nanos window) {
            return double(
                std::count_if(times.begin(), times.end(), [&](Nanos at) { return at > now - window; }));
        };
        ModelShardRequest& shard_request = shard_requests.at(decision.id);
        const ModelQuery& query = queries.at(shard_request.query);
        const QueryClassConfig& query_class = config_.query_classes[query.query_class];
        REQUIRE(query.ends == 0);
        REQUIRE(query.step == shard_request.step);
        REQUIRE(!shard_request.answered);
        REQUIRE(static_cast<int>(shard_request.attempts.size()) < config_.max_attempts);
        const Endpoint& node = nodes.at(decision.node);
        const int distance =
            (node.place - static_cast<int>(shard_request.shard) % config_.places + config_.places) %
            config_.places;
        REQUIRE(distance < config_.replicas_per_shard);
        if (unavailable_since.contains(decision.node))
            REQUIRE(now <= unavailable_since[decision.node] + config_.drain_grace);
        for (const ModelAttempt& attempt : shard_request.attempts) {
            if (attempt.in_flight) REQUIRE(config_.may_hedge);
            if (!attempt.may_have_run || query_class.effect == Effect::idempotent) continue;
            REQUIRE(query_class.effect == Effect::idempotent_with_key);
            REQUIRE(now <= attempt.sent_at + query_class.idempotency_window);
        }
        if (!shard_request.attempts.empty() && config_.retry_budget_enabled) {
            retries_.push_back(now);
            REQUIRE(within(retries_, config_.retry_budget_window) <=
                    config_.retry_budget_base +
                        config_.retry_budget_ratio * within(arrivals_, config_.retry_budget_window));
        }
        shard_request.attempts.push_back({decision.node, now});
        if (node.started_at == 0 || now >= node.started_at + config_.slow_start_duration) return;
        auto& attempts = sent_while_warming_[decision.node];
        attempts.push_back(now);
        const double age =
            static_cast<double>(now - node.started_at) / static_cast<double>(config_.slow_start_duration);
        const double share =
            config_.slow_start_min_fraction + (1 - config_.slow_start_min_fraction) * std::max(0.0, age);
        const double max_attempts = config_.overload_multiple * share *
                                    static_cast<double>(config_.overload_window) / double(service_time);
        REQUIRE(within(attempts, config_.overload_window) * config_.routers <=
                std::max(max_attempts, double(config_.routers)));
    }
    void check_answer(Nanos now, const Decision& decision) {
        ModelQuery& query = queries.at(decision.id);
        const QueryClassConfig& query_class = config_.query_classes[query.query_class];
        REQUIRE(query.ends == 0);
        REQUIRE(now <= query.deadline_at);
        const double needed = query_class.min_answer_weight < query_class.complete_weight
                                  ? query_class.min_answer_weight
                                  : complete_weight(query_class, query.step);
        REQUIRE(query.answered[query.step] >= needed - 1e-4);
        const bool all = query.shard_requests_answered[query.step] == query.shard_requests[query.step];
        if (decision.complete)
            REQUIRE((query.step == 1 ? query.answered[1] >= query_class.complete_weight - 1e-4
                                     : all && query.first_step_complete));
        if (query.step == 1 && query_class.second_step_requests > 0) {
            query.first_step_complete = decision.complete;
            query.step = 2;
            second_steps_due.push_back(decision.id);
        } else {
            ++query.ends;
        }
    }
    void check_end(Nanos now, const Decision& decision) {
        ModelQuery& query = queries.at(decision.id);
        REQUIRE(query.ends == 0);
        REQUIRE(now <= query.deadline_at);
        ++query.ends;
        if (decision.kind == Decision::fail_query ||
            config_.query_classes[query.query_class].effect != Effect::not_idempotent)
            return;
        for (const auto& [id, shard_request] : shard_requests)
            if (shard_request.query == decision.id)
                for (const ModelAttempt& attempt : shard_request.attempts) REQUIRE(!attempt.may_have_run);
    }

    const RouterConfig& config_;
    std::vector<Nanos> arrivals_, retries_;
    std::map<std::uint32_t, std::vector<Nanos>> sent_while_warming_;
};

// Runs a scenario with random queries, outcomes and list changes, which need not be possible in a real fleet.
// Returns a digest of the decisions.
std::size_t run_generated_scenario(const RouterConfig& config, std::uint64_t seed) {
    std::knuth_b random(seed);
    const auto draw = [&](std::uint32_t bound) { return static_cast<std::uint32_t>(random() % bound); };
    std::multimap<Nanos, AttemptResult> results_due;
    std::uint32_t next_id = 1;
    int answers = 0;
    std::size_t digest = 0;
    Nanos now = 1'000'000 * ms;
    for (int incarnation = 0; incarnation < 2; ++incarnation) {  // the second starts with the cached list
        QueryRouter router(config, seed + static_cast<std::uint64_t>(incarnation));
        RulesModel model(config);
        results_due.clear();
        std::vector<Endpoint> list = small_endpoint_list(config.places);
        for (Endpoint& endpoint : list) model.update_endpoint(now, endpoint);
        bool listed = false;
        std::vector<std::uint32_t> second_steps;
        for (const Nanos stop = now + 12'000 * ms; now < stop + 6000 * ms; now += config.round_interval) {
            const RecordedDecisions decisions = play(router, now, [&](RoundEventHandler& handler) {
                if (!listed) handler.on_endpoints(ListKind::cached, list);
                listed = true;
                if (draw(100) == 0) {
                    Endpoint& endpoint = list[draw(static_cast<std::uint32_t>(list.size()))];
                    const auto previous = endpoint.lifecycle;
                    endpoint.lifecycle = static_cast<Lifecycle>(draw(3));
                    if (previous != Lifecycle::ready && endpoint.lifecycle == Lifecycle::ready)
                        endpoint.started_at = now - 500 * ms;
                    model.update_endpoint(now, endpoint);
                    handler.on_endpoints(ListKind::delta, {&endpoint, 1});
                }
                for (auto it = results_due.begin(); it != results_due.end() && it->first <= now;
                     it = results_due.erase(it)) {
                    model.attempt_ended(it->second.shard_request, it->second.attempt, it->second.outcome);
                    handler.on_attempt_result(it->second);
                }
                const auto add_shard_requests = [&](std::uint32_t query, std::uint32_t count, int step) {
                    for (std::uint32_t i = 0; i < count; ++i, ++next_id) {
                        const std::uint32_t shard = draw(static_cast<std::uint32_t>(config.shards));
                        const double weight = count == 1 ? 1 : i == 0 ? 0.5 : 0.5 / (count - 1);
                        model.shard_requests[next_id] = {query, shard, weight, {}, false, step};
                        ++model.queries[query].shard_requests[step];
                        model.request_arrived(now);
                        handler.on_shard_request({next_id, query, shard, weight, 0});
                    }
                };
                for (const std::uint32_t id : second_steps) add_shard_requests(id, 2, 2);
                second_steps.clear();
                if (now < stop && draw(12) == 0) {
                    const std::uint32_t id = next_id++;
                    ModelQuery& query = model.queries[id];
                    query.query_class = static_cast<std::uint16_t>(
                        draw(static_cast<std::uint32_t>(config.query_classes.size())));
                    query.deadline_at = now + static_cast<Nanos>(500 + draw(4500)) * ms;
                    model.request_arrived(now);
                    handler.on_query({id, id, query.query_class, 0, query.deadline_at, draw(4) == 0});
                    add_shard_requests(id, 1 + draw(6), 1);
                }
                if (draw(200) == 0 && next_id > 5) {
                    const std::uint32_t id = next_id - 1 - draw(std::min(next_id - 1, 20U));
                    if (auto query = model.queries.find(id);
                        query != model.queries.end() && query->second.ends == 0) {
                        query->second.ends = 1;  // its client disconnected
                        handler.on_query_dropped(id);
                    }
                }
            });
            model.check(now, decisions);
            for (const Decision& decision : decisions.recorded)
                digest = digest * 31 + decision.id + decision.node + static_cast<std::size_t>(decision.kind);
            second_steps = model.second_steps_due;
            answers += static_cast<int>(decisions.of(Decision::answer).size());
            for (const Decision& decision : decisions.of(Decision::send_attempt)) {
                static constexpr Outcome failures[] = {Outcome::error,   Outcome::overloaded,
                                                       Outcome::timeout, Outcome::connect_failed,
                                                       Outcome::reset,   Outcome::not_sent};
                const Outcome outcome = draw(10) < 7 ? Outcome::ok : failures[draw(6)];
                const Nanos latency = outcome == Outcome::ok ? service_time + draw(50) * ms : draw(2500) * ms;
                const auto attempt =
                    static_cast<std::uint8_t>(model.shard_requests.at(decision.id).attempts.size() - 1);
                results_due.emplace(now + config.round_interval + latency,
                                    AttemptResult{decision.id, decision.node, attempt, outcome, latency});
            }
        }
        for (const auto& [id, query] : model.queries) REQUIRE(query.ends == 1);
    }
    CHECK(answers > 50);
    return digest;
}

}  // namespace

TEST_CASE("the module keeps its rules in generated scenarios, and decides the same when one is repeated") {
    const auto effect = GENERATE(Effect::idempotent, Effect::idempotent_with_key, Effect::not_idempotent);
    const auto variant = GENERATE(0, 1, 2, 3);
    const auto seed = GENERATE(take(4, random(1, 1'000'000)));
    RouterConfig config = small_config(effect, 6);
    config.may_hedge = variant != 1;
    if (variant == 1) config.discovery = Discovery::poll;
    if (variant == 2) {
        config.retry_budget_enabled = true;
        config.retry_budget_base = 3;
        config.retry_budget_ratio = 0.05;
        config.retry_budget_window = 2000 * ms;
    }
    if (variant == 3)
        config.query_classes[0].second_step_requests = config.query_classes[1].second_step_requests = 2;
    const std::size_t digest = run_generated_scenario(config, static_cast<std::uint64_t>(seed));
    CHECK(run_generated_scenario(config, static_cast<std::uint64_t>(seed)) == digest);
}
