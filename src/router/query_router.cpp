// The sequence of a round. The decisions themselves are made by the other classes of this directory.
//
// The caller creates one QueryRouter for each incarnation of a router and calls round() with all events since
// the last one, which the on_... handlers only record. The round then decides in this order: pressure and
// fan-out, answers and early rejections, first attempts, retries and hedges. docs/design.md describes the
// decisions, and also says when each departure from the design acts; docs/on-call.md describes the log lines.

#include "router/query_router.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <random>
#include <utility>

#include "router/answer_policy.hpp"
#include "router/endpoint_watch.hpp"
#include "router/hedging.hpp"
#include "router/late_retry_detector.hpp"
#include "router/node_tracker.hpp"
#include "router/query_class.hpp"
#include "router/query_completion.hpp"
#include "router/query_planner.hpp"
#include "router/query_table.hpp"
#include "router/retry_budget.hpp"
#include "router/retry_policy.hpp"
#include "router/tenant_quota.hpp"

namespace tealcart {

using namespace router;

namespace {

// Duration of a second step, as a multiple of the usual latency.
constexpr double second_step_latencies = 2.0;

}  // namespace

class QueryRouter::State final : public RoundEventHandler {
  public:
    State(const RouterConfig& config, std::uint64_t seed);

    void round(Nanos now, RoundEvents& events, DecisionSink& sink);
    std::vector<NodeCapacityShare> capacity_shares(Nanos now);
    RetryLimits retry_limits(std::uint16_t query_class) const {
        return retry_policy_.limits(query_classes_[query_class].config);
    }

    void on_endpoints(ListKind kind, std::span<const Endpoint> entries) override;
    void on_query(const QueryArrival& arrival) override;
    void on_shard_request(const ShardRequestArrival& arrival) override;
    void on_attempt_result(const AttemptResult& result) override;
    void on_query_dropped(std::uint32_t id) override;
    void on_timer(std::uint64_t cookie) override;

  private:
    void begin(Nanos now);
    void update_fan_out();
    void advance(Query& query);
    void send_first_attempts();
    void send_first_attempts(const Query& query);
    void send_retries();
    void schedule_next_round();

    void record_overdue(const Query& query);
    AnswerProgress progress_of(const Query& query) const;
    void collect_retries(Query& query);
    bool send_attempt(ShardRequest& shard_request);

    void end_attempt(ShardRequest& shard_request, Attempt& attempt, const AttemptResult& result);

    void reject_or_fail(Query& query, Nanos retry_after);

    const QueryClass& class_of(const Query& query) const { return query_classes_[query.query_class]; }

    std::vector<QueryClass> query_classes_;
    Nanos round_interval_, margin_;
    double over_quota_weight_;
    std::knuth_b random_;

    // The time of the current round and the output for its decisions, which is null between rounds.
    Nanos now_ = 0;
    DecisionSink* sink_ = nullptr;
    bool timer_is_set_ = false;

    EndpointWatch watch_;
    NodeTracker nodes_;
    TenantQuota tenant_quota_;
    LateRetryDetector late_retries_;
    RetryPolicy retry_policy_;
    RetryBudget retry_budget_;
    Hedging hedging_;

    QueryTable queries_;
    QueryPlanner planner_;
    QueryCompletion completion_;
    std::vector<ShardRequestIndex> pending_retries_;  // retries and hedges of this round
};

QueryRouter::State::State(const RouterConfig& config, std::uint64_t seed)
    : query_classes_(config.query_classes.begin(), config.query_classes.end()),
      round_interval_(config.round_interval), margin_(time_margin(config)),
      over_quota_weight_(config.over_quota_weight), random_(seed), watch_(config), nodes_(config, random_),
      tenant_quota_(config), late_retries_(config, margin_), retry_policy_(config, margin_),
      retry_budget_(config), hedging_(config, nodes_), planner_(config, nodes_, queries_),
      completion_(config, queries_, late_retries_) {}

void QueryRouter::State::round(Nanos now, RoundEvents& events, DecisionSink& sink) {
    if (now_ == 0) begin(now);
    now_ = now;
    sink_ = &sink;
    nodes_.begin_round();
    retry_budget_.begin_round(now_);
    events.deliver(*this);
    if (watch_.take_due_request(now_)) sink_->watch_endpoints();
    update_fan_out();
    nodes_.check_silence(now_, *sink_);
    pending_retries_.clear();
    for (const QueryIndex index : queries_.live())
        if (!queries_.query(index).ended) advance(queries_.query(index));
    send_first_attempts();
    send_retries();
    queries_.retire_ended();
    schedule_next_round();
    sink_ = nullptr;
}

void QueryRouter::State::begin(Nanos now) {
    nodes_.begin(now);
    planner_.fan_out().begin(now);
}

void QueryRouter::State::update_fan_out() {
    if (const auto evaluation = nodes_.pressure().evaluate(now_)) {
        if (evaluation->has_changed) {
            std::array<char, 128> line;
            std::snprintf(line.data(), line.size(), "pressure %s: %d overloaded or timed out of %d attempts",
                          evaluation->pressure ? "on" : "off", evaluation->bad, evaluation->ended);
            sink_->log(line.data());
        }
        late_retries_.decay();
        planner_.fan_out().record_evaluation(*evaluation);
    }
    if (nodes_.pressure().has_pressure()) planner_.fan_out().cut_under_pressure(now_);
}

// Answers, rejects or fails the query, or queues retries and hedges for its shard requests.
void QueryRouter::State::advance(Query& query) {
    if (query.needs_plan && !planner_.plan(query, class_of(query), now_)) {
        reject_or_fail(query, completion_.max_retry_after() / 2);
        return;
    }
    if (query.shard_requests.empty()) {  // they have not arrived yet
        if (now_ >= query.answer_deadline_at) reject_or_fail(query, 0);
        return;
    }
    record_overdue(query);
    const QueryClass& query_class = class_of(query);
    const AnswerProgress progress = progress_of(query);
    const bool has_second_step = query.step == 1 && query_class.config.second_step_requests > 0;
    const Nanos second_step_time =
        has_second_step ? static_cast<Nanos>(second_step_latencies * nodes_.latency().fleet_latency(now_))
                        : 0;
    switch (decide_answer(query, query_class, progress, second_step_time, now_)) {
        case AnswerDecision::answer_complete:
            completion_.answer(query, query_class, true, *sink_);
            return;
        case AnswerDecision::answer_partial:
            completion_.answer(query, query_class, false, *sink_);
            return;
        case AnswerDecision::give_up:
            reject_or_fail(query, completion_.max_retry_after() / 2);
            return;
        case AnswerDecision::wait:
            break;
    }
    // If too much weight was lost with abandoned shard requests, the unselected ones are sent in their place.
    if (progress.answered + progress.pending < query_class.needed_weight(query.step) - weight_tolerance)
        for (const ShardRequestIndex index : query.shard_requests)
            queries_.shard_request(index).selected = true;
    // This comes last, so that nothing is sent for a query or a step that has just ended.
    if (now_ < query.objective_at || query_class.config.late_weight > 0) collect_retries(query);
}

// Sends first attempts for the oldest query first, and for its heaviest shard request first.
void QueryRouter::State::send_first_attempts() {
    for (const QueryIndex index : queries_.live())
        if (!queries_.query(index).ended) send_first_attempts(queries_.query(index));
}

void QueryRouter::State::send_first_attempts(const Query& query) {
    for (const ShardRequestIndex index : query.shard_requests) {
        if (query.one_at_a_time && !query.any_answered && queries_.any_in_flight(query)) return;
        ShardRequest& shard_request = queries_.shard_request(index);
        if (shard_request.selected && shard_request.attempts.empty() && shard_request.may_be_sent())
            send_attempt(shard_request);
    }
}

// Sends retries and hedges after all first attempts, as far as the retry budget allows.
void QueryRouter::State::send_retries() {
    for (const ShardRequestIndex index : pending_retries_) {
        if (!retry_budget_.allows_retry()) continue;
        if (send_attempt(queries_.shard_request(index))) retry_budget_.record_retry(now_);
    }
}

void QueryRouter::State::schedule_next_round() {
    if (timer_is_set_ || (queries_.live().empty() && !watch_.is_waiting())) return;
    timer_is_set_ = true;
    sink_->set_timer(0, round_interval_);
}

void QueryRouter::State::on_endpoints(ListKind kind, std::span<const Endpoint> entries) {
    watch_.record_list(kind, now_);
    if (kind != ListKind::failed) nodes_.apply_list(kind, entries, now_);
}

void QueryRouter::State::on_query(const QueryArrival& arrival) {
    const QueryClassConfig& config = query_classes_[arrival.query_class].config;
    Query& query = queries_.add_query(arrival);
    const bool is_later_phase = arrival.first_arrival_at > 0;
    query.is_late_retry = late_retries_.is_late_retry(arrival.query_class, arrival.deadline_at - now_,
                                                      arrival.is_retry, is_later_phase);
    query.one_at_a_time = retry_policy_.sends_one_at_a_time(arrival.is_retry, now_);
    Nanos began_at = now_;
    if (is_later_phase) {
        began_at = arrival.first_arrival_at;
    } else if (query.is_late_retry) {
        began_at = std::min(now_, arrival.deadline_at - config.deadline);
    }
    query.answer_deadline_at = arrival.deadline_at - margin_;
    query.objective_at = std::min(query.answer_deadline_at, began_at + config.latency_objective - margin_);
    if (!tenant_quota_.admit(arrival.tenant, now_)) query.priority_weight = over_quota_weight_;
    retry_budget_.record_arrival(now_);
}

void QueryRouter::State::on_shard_request(const ShardRequestArrival& arrival) {
    retry_budget_.record_arrival(now_);
    ShardRequest* shard_request = queries_.add_shard_request(arrival);
    if (!shard_request) return;
    shard_request->abandoned = !arrival.answered && retry_policy_.is_exhausted(arrival.attempts_used);
    if (arrival.cost_hint > 0) shard_request->cost = nodes_.latency().relative_cost(arrival.cost_hint);
}

void QueryRouter::State::on_timer(std::uint64_t /*cookie*/) { timer_is_set_ = false; }

// If the id is that of a shard request, all attempts for its query stop, but the query still gets a final
// answer.
void QueryRouter::State::on_query_dropped(std::uint32_t id) {
    if (const ShardRequestIndex named = queries_.find_shard_request(id); named != IdIndex::none) {
        for (const ShardRequestIndex index :
             queries_.query(queries_.shard_request(named).query).shard_requests) {
            ShardRequest& shard_request = queries_.shard_request(index);
            shard_request.abandoned = !shard_request.answered;
        }
        return;
    }
    while (Query* query = queries_.find_live_query(id)) completion_.end(*query, *sink_);
}

void QueryRouter::State::on_attempt_result(const AttemptResult& result) {
    const ShardRequestIndex index = queries_.find_shard_request(result.shard_request);
    if (index == IdIndex::none) return;
    ShardRequest& shard_request = queries_.shard_request(index);
    if (result.attempt >= shard_request.attempts.size()) return;
    Attempt& attempt = shard_request.attempts[result.attempt];
    if (!attempt.in_flight) return;
    end_attempt(shard_request, attempt, result);

    Query& query = queries_.query(shard_request.query);
    if (result.outcome == Outcome::ok) query.any_answered = true;
    if (result.outcome == Outcome::reset) {
        ++query.resets;
        retry_policy_.record_reset(now_);
    }
    if (result.outcome == Outcome::ok && !query.ended && !shard_request.answered) {
        shard_request.answered = true;
        completion_.cancel_attempts(shard_request, *sink_);
    }
    if (query.ended) queries_.forget_if_done(shard_request.query);
}

void QueryRouter::State::end_attempt(ShardRequest& shard_request, Attempt& attempt,
                                     const AttemptResult& result) {
    using enum Outcome;
    const Outcome outcome = result.outcome;
    attempt.in_flight = false;
    if (outcome == overloaded || outcome == connect_failed || outcome == not_sent)
        attempt.may_have_run = false;
    --shard_request.in_flight;
    if (shard_request.in_flight > 0) hedging_.record_hedge_ended();
    const Nanos wait = nodes_.record_result(shard_request, attempt, result, now_, *sink_);
    if (wait > 0) shard_request.not_before = now_ + wait;
}

// A shard request that is unanswered at the latency objective counts as timed out.
void QueryRouter::State::record_overdue(const Query& query) {
    if (now_ < query.objective_at) return;
    for (const ShardRequestIndex index : query.shard_requests) {
        ShardRequest& shard_request = queries_.shard_request(index);
        if (shard_request.in_flight == 0 || shard_request.answered || shard_request.overdue) continue;
        shard_request.overdue = true;
        nodes_.record_overdue(shard_request);
    }
}

AnswerProgress QueryRouter::State::progress_of(const Query& query) const {
    AnswerProgress progress;
    for (const ShardRequestIndex index : query.shard_requests) {
        const ShardRequest& shard_request = queries_.shard_request(index);
        if (!shard_request.answered) progress.all_answered = false;
        if (shard_request.abandoned) continue;
        if (shard_request.answered) {
            progress.answered += shard_request.weight;
        } else if (shard_request.selected) {
            progress.pending += shard_request.weight;
        } else {
            progress.unselected += shard_request.weight;
        }
    }
    return progress;
}

void QueryRouter::State::collect_retries(Query& query) {
    if (retry_policy_.is_suspected_poison(query)) {
        if (!queries_.any_in_flight(query)) reject_or_fail(query, completion_.max_retry_after());
        return;
    }
    const QueryClass& query_class = class_of(query);
    const Hedging::Conditions conditions = hedging_.conditions_for(query, query_class, queries_, now_);
    for (const ShardRequestIndex index : query.shard_requests) {
        ShardRequest& shard_request = queries_.shard_request(index);
        if (!shard_request.may_be_sent() || shard_request.attempts.empty()) continue;
        const bool may_retry = retry_policy_.may_retry(query_class.config, shard_request, now_);
        if (shard_request.in_flight > 0) {
            if (may_retry &&
                hedging_.is_due(shard_request, conditions, nodes_.pressure().has_pressure(), now_))
                pending_retries_.push_back(index);
        } else if (!may_retry) {
            shard_request.abandoned = true;
        } else if (now_ >= shard_request.not_before) {
            pending_retries_.push_back(index);
        }
    }
}

// Returns false if no replica may receive the attempt now.
bool QueryRouter::State::send_attempt(ShardRequest& shard_request) {
    const NodeIndex node = nodes_.send(shard_request, now_);
    if (node == no_node) return false;
    if (shard_request.in_flight > 1) hedging_.record_hedge();
    const Nanos timeout = queries_.query(shard_request.query).answer_deadline_at - now_;
    sink_->send_attempt(shard_request.id, nodes_.endpoints().id(node), timeout);
    return true;
}

void QueryRouter::State::reject_or_fail(Query& query, Nanos retry_after) {
    completion_.reject_or_fail(query, class_of(query), retry_after, *sink_);
}

std::vector<NodeCapacityShare> QueryRouter::State::capacity_shares(Nanos now) {
    now_ = now;
    std::vector<NodeCapacityShare> shares;
    const EndpointTable& endpoints = nodes_.endpoints();
    for (NodeIndex node = 0; node < endpoints.size(); ++node)
        if (endpoints.is_ready(node))
            shares.push_back({endpoints.id(node), nodes_.slow_start().capacity_share(node, now_)});
    return shares;
}

QueryRouter::QueryRouter(const RouterConfig& config, std::uint64_t seed)
    : state_(std::make_unique<State>(config, seed)) {}
QueryRouter::~QueryRouter() = default;
QueryRouter::QueryRouter(QueryRouter&&) noexcept = default;

void QueryRouter::round(Nanos now, RoundEvents& events, DecisionSink& sink) {
    state_->round(now, events, sink);
}

std::vector<NodeCapacityShare> QueryRouter::capacity_shares(Nanos now) {
    return state_->capacity_shares(now);
}

RetryLimits QueryRouter::retry_limits(std::uint16_t query_class) const {
    return state_->retry_limits(query_class);
}

}  // namespace tealcart
