#include "service/two_phase_coordinator.hpp"

#include <algorithm>
#include <memory>
#include <unordered_set>

#include "log/log.hpp"
#include "wire/response_body.hpp"

namespace tealcart {
namespace {

bool may_be_used(const StartupConfig& startup) {
    // If there are relays, a later version of the configuration may turn two phases on.
    return !startup.operator_config.member.relays.empty() ||
           std::any_of(startup.two_phase_configs.begin(), startup.two_phase_configs.end(),
                       [](const TwoPhaseConfig& config) { return config.enabled; });
}

}  // namespace

TwoPhaseCoordinator::TwoPhaseCoordinator(EventClock& clock, QueryTable& queries, EventQueue& events,
                                         AttemptDispatcher& attempts, QueryCompletion& completion,
                                         const StartupConfig& startup)
    : clock_(clock), queries_(queries), events_(events), attempts_(attempts), completion_(completion),
      max_attempts_(startup.config.max_attempts), configs_(startup.two_phase_configs),
      may_be_used_(may_be_used(startup)), caches_filters_(any_caches_filters(configs_)),
      capability_(startup.config.places, startup.config.replicas_per_shard,
                  startup.operator_config.memory.distrust_duration),
      section_filter_cache_(startup.operator_config.memory,
                            static_cast<std::uint32_t>(startup.config.shards)),
      random_(startup.seed + 1) {
    for (const QueryClassConfig& query_class : startup.config.query_classes)
        latency_objective_.push_back(query_class.latency_objective);
}

void TwoPhaseCoordinator::set_config(std::vector<TwoPhaseConfig> by_query_class) {
    configs_ = std::move(by_query_class);
    caches_filters_ = any_caches_filters(configs_);
    if (!caches_filters_) section_filter_cache_.clear();
}

void TwoPhaseCoordinator::begin(Handle handle, QueryBody body, Nanos began) {
    Query& query = *queries_.find(handle);
    auto text = std::make_shared<QueryText>(*query.text);
    text->criteria = write_search_criteria(body.criteria);
    text->charge.resize(text->charge.bytes() + text->criteria.size());
    query.text = std::move(text);
    std::vector<double> weights;
    for (const QueryShardRequest& section : body.shard_requests) weights.push_back(section.weight);
    query.two_phase = std::make_unique<TwoPhaseQuery>(std::move(body.criteria), configs_[query.query_class],
                                                      max_attempts_, weights);
    TwoPhaseQuery& two_phase = *query.two_phase;
    two_phase.sections = std::move(body.shard_requests);
    const Nanos now = clock_.now(), objective = began + latency_objective_[query.query_class];
    const TwoPhaseStateMachine::SectionLookup lookup{
        [&](std::uint32_t section) {
            return section_filter_cache_.excluded_by(two_phase.sections[section].shard, two_phase.keys, now);
        },
        [&](std::uint32_t section) {
            return capability_.may_give_summary(two_phase.sections[section].shard, now);
        }};
    const Nanos useful_by = objective > now ? std::min(objective, query.deadline_at) : query.deadline_at;
    const Leg leg = two_phase.machine.begin(now, useful_by, lookup);
    ++counters_.queries;
    counters_.sections += two_phase.sections.size();
    counters_.pruned_from_memory += two_phase.machine.coverage().pruned;
    counters_.first_phases += leg.kind == Leg::summaries;
    queries_.register_id(handle);
    begin_leg(handle, leg);
}

// The router learns of the leg in the next round.
void TwoPhaseCoordinator::begin_leg(Handle handle, const Leg& leg) {
    Query& query = *queries_.find(handle);
    TwoPhaseQuery& two_phase = *query.two_phase;
    if (leg.kind == Leg::end) return respond(query);
    if (two_phase.leg++ > 0) queries_.assign_new_id(handle);
    query.announced = false;
    two_phase.first_phase_until = leg.until;
    two_phase.leg_begins = query.shard_requests.size();
    for (const LegShardRequest& leg_request : leg.shard_requests) add_section(handle, leg, leg_request);
    events_.push(QueryArrived{handle});
}

void TwoPhaseCoordinator::add_section(Handle handle, const Leg& leg, const LegShardRequest& leg_request) {
    Query& query = *queries_.find(handle);
    QueryShardRequest section = query.two_phase->sections[leg_request.section];
    section.weight = leg_request.weight;
    queries_.add_shard_request(handle, section);
    ShardRequest& shard_request = query.shard_requests.back();
    shard_request.leg = query.two_phase->leg;
    shard_request.section = leg_request.section;
    shard_request.first_phase = leg.kind == Leg::summaries;
    shard_request.answered_before = leg_request.answered;
    shard_request.attempts_used = leg_request.attempts_used;
}

char TwoPhaseCoordinator::frame_type(const ShardRequest& shard_request, std::uint32_t node) const {
    if (shard_request.first_phase) return capability_.is_one_phase(node) ? 0 : summary_request_frame;
    return capability_.is_two_phase(node) ? rows_request_frame : 'R';
}

bool TwoPhaseCoordinator::audited(double share) {
    if (share <= 0) return false;
    const auto drawn = static_cast<double>(random_() - random_.min());
    return drawn < share * static_cast<double>(random_.max() - random_.min());
}

void TwoPhaseCoordinator::end_leg(std::uint32_t id, LegDecision decision, Nanos retry_after) {
    const Handle handle = queries_.handle_of(id);
    Query& query = *queries_.find(handle);
    TwoPhaseQuery& two_phase = *query.two_phase;
    const Nanos now = clock_.now();
    two_phase.retry_after = retry_after;
    // Unsent attempts of an ended leg are withdrawn. The increment keeps the query alive while they end.
    ++query.in_flight;
    attempts_.withdraw_unsent(query, two_phase.leg_begins);
    --query.in_flight;
    const bool was_first = two_phase.machine.state() == TwoPhaseStateMachine::State::summarizing;
    if (was_first) {
        counters_.within_budget += now <= two_phase.first_phase_until;
        counters_.worst_overrun = std::max(counters_.worst_overrun, now - two_phase.first_phase_until);
    }
    const bool had_recheck = two_phase.machine.rechecked();
    const Leg leg = two_phase.machine.end_leg(
        decision, now, [&] { return audited(two_phase.machine.config().audit_share); });
    if (was_first) counters_.pruned += two_phase.machine.pruned_by_summary();
    if (two_phase.machine.rechecked() && !had_recheck) {
        ++counters_.rechecked;
        log_query(LogLevel::info, query.text->id,
                  "pruned sections are queried after all, since their pruning could not be confirmed");
    }
    begin_leg(handle, leg);
}

void TwoPhaseCoordinator::respond(const Query& query) {
    const TwoPhaseQuery& two_phase = *query.two_phase;
    const TwoPhaseStateMachine& machine = two_phase.machine;
    if (machine.decision() == LegDecision::reject)
        return completion_.respond(query.id, {503, write_error("rejected"), two_phase.retry_after});
    if (machine.decision() == LegDecision::fail_query)
        return completion_.respond(query.id, {504, write_error("aborted"), 0});
    QueryResponseBody body(machine.is_complete());
    for (const ShardRequest& shard_request : query.shard_requests)
        if (shard_request.answered && !shard_request.first_phase)
            body.add(shard_request.shard, shard_request.value);
    const Coverage covered = machine.coverage();
    SectionCoverage coverage{{covered.answered, covered.answered_weight},
                             {covered.pruned, covered.pruned_weight},
                             {covered.missing, covered.missing_weight},
                             {}};
    for (const std::uint32_t section : machine.missing())
        coverage.missing_shards.push_back(two_phase.sections[section].shard);
    completion_.respond_with_results(query.id, body.finish(coverage));
}

// An answer belongs to the attempt that is in flight for its shard request and leg on the same connection. An
// answer to an ended leg still provides the section's version.
bool TwoPhaseCoordinator::on_answer(Handle connection, const PhaseAnswer& answer) {
    const Handle handle = queries_.find_by_request_id(answer.id.query);
    Query* query = queries_.find(handle);
    if (query == nullptr) return false;
    for (std::size_t i = 0; i < query->shard_requests.size(); ++i) {
        const ShardRequest& shard_request = query->shard_requests[i];
        if (shard_request.shard != answer.id.shard || shard_request.leg != answer.id.leg) continue;
        const Handle attempt = attempts_.find_in_flight(shard_request, connection);
        if (attempts_.find(attempt) == nullptr) continue;
        capability_.mark_two_phase(attempts_.find(attempt)->node);
        if (answer.outcome != Outcome::ok) {
            attempts_.end(attempt, answer.outcome);
            return true;
        }
        section_filter_cache_.observe_version(shard_request.shard, answer.version);
        if (shard_request.first_phase)
            process_summary(shard_request, attempt, *query, answer);
        else
            process_rows(handle, i, attempt, answer);
        return true;
    }
    return false;
}

void TwoPhaseCoordinator::process_summary(const ShardRequest& shard_request, Handle attempt, Query& query,
                                          const PhaseAnswer& answer) {
    const AttemptDispatcher::Attempt& answered = *attempts_.find(attempt);
    const Nanos now = clock_.now();
    if (capability_.trusted(answered.node, now)) {
        query.two_phase->machine.on_summary(shard_request.section, answered.node, answer.summary);
        if (caches_filters_)
            section_filter_cache_.store(shard_request.shard, answered.node, answer.summary, answered.sent_at,
                                        now);
    }
    attempts_.end(attempt, Outcome::ok);
}

void TwoPhaseCoordinator::process_rows(Handle handle, std::size_t index, Handle attempt,
                                       const PhaseAnswer& answer) {
    Query& query = *queries_.find(handle);
    const ShardRequest& shard_request = query.shard_requests[index];
    const std::uint32_t section = shard_request.section;
    TwoPhaseStateMachine& machine = query.two_phase->machine;
    if (machine.is_stale(section, answer.version)) {
        ++counters_.stale_rows;
        log_query(LogLevel::info, query.text->id,
                  "data node %u holds an older version of shard %u than its summary stated",
                  attempts_.find(attempt)->node, shard_request.shard);
        return attempts_.end(attempt, Outcome::error);
    }
    const bool is_first =
        !shard_request.answered && !query.ended && shard_request.leg == query.two_phase->leg;
    attempts_.end(attempt, Outcome::ok, answer.value);
    // The end of its last attempt may have released an ended query, and the value may have been rejected as
    // too long.
    if (!is_first || queries_.find(handle) == nullptr || !query.shard_requests[index].answered) return;
    if (machine.on_rows(section, answer.version, answer.ranks) ==
        TwoPhaseStateMachine::RowCheck::contradictory)
        distrust_sections(query);
}

// The summaries of nodes that gave a wrong summary are not used for a while.
void TwoPhaseCoordinator::distrust_sections(const Query& query) {
    const Nanos now = clock_.now();
    for (const std::uint32_t node : query.two_phase->machine.take_contradicted_nodes()) {
        ++counters_.wrong_summaries;
        if (capability_.trusted(node, now))
            log_query(LogLevel::warn, query.text->id,
                      "data node %u gave a wrong summary; its summaries are not used for a while", node);
        capability_.distrust(node, now);
        section_filter_cache_.evict_node(node);
    }
}

void TwoPhaseCoordinator::on_endpoints(const NodeTable::Changes& changes, ListKind kind) {
    if (!may_be_used_) return;
    if (kind != ListKind::delta) capability_.keep_only(changes.entries);
    std::unordered_set<std::uint32_t> restarted(changes.added.begin(), changes.added.end());
    restarted.insert(changes.moved.begin(), changes.moved.end());
    for (const Endpoint& entry : changes.entries)
        capability_.update_entry(entry, restarted.contains(entry.node));
}

bool TwoPhaseCoordinator::on_refused(std::uint32_t node) {
    if (capability_.is_two_phase(node)) return false;
    if (!capability_.is_one_phase(node))
        log_line("data node %u does not support queries in two phases", node);
    capability_.mark_one_phase(node);
    return true;
}

}  // namespace tealcart
