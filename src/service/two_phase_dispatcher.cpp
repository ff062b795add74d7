// Queries in two phases, between the sockets and their state machine: each leg is handed to the module as a
// query of its own, and what the module decides of it is handed back. Holds no decisions.
#include <algorithm>
#include <unordered_set>

#include "log/log.hpp"
#include "service/query_dispatcher.hpp"

namespace tealcart {

void QueryDispatcher::take_phases(std::vector<TwoPhaseConfig> phases) {
    phases_ = std::move(phases);
    remembers_ = any_remembers(phases_);
    if (!remembers_) memory_.forget_all();
}

void QueryDispatcher::begin_phases(Handle h, QueryBody body, Find find, Nanos began) {
    Query& q = *queries_.find(h);
    auto text = std::make_shared<QueryText>(*q.text);
    text->find = write_find(find);
    q.text = std::move(text);
    std::vector<double> weights;
    for (const QueryShardRequest& shard_request : body.shard_requests)
        weights.push_back(shard_request.weight);
    q.phased = std::make_unique<Phased>(std::move(find), phases_[q.query_class], call_cap_, weights);
    Phased& p = *q.phased;
    p.sections = std::move(body.shard_requests);
    const Nanos now = time_.now(), due = began + slo_[q.query_class];
    const TwoPhase::Outlook outlook{
        [&](std::uint32_t i) { return memory_.rules_out(p.sections[i].shard, p.keys, now); },
        [&](std::uint32_t i) { return speakers_.worth_asking(p.sections[i].shard, now); }};
    const Leg leg = p.machine.begin(now, due > now ? std::min(due, q.deadline_at) : q.deadline_at, outlook);
    ++phase_counts_.queries;
    phase_counts_.sections += p.sections.size();
    phase_counts_.remembered += p.machine.covered().pruned;
    phase_counts_.first_phases += leg.kind == Leg::find;
    by_id_[q.id] = h;
    begin_leg(h, leg);
}

// The module hears of it with the next round.
void QueryDispatcher::begin_leg(Handle h, const Leg& leg) {
    Query& q = *queries_.find(h);
    Phased& p = *q.phased;
    if (leg.kind == Leg::end) return conclude(q);
    if (p.leg++ > 0) {
        p.earlier_ids.push_back(q.id);
        q.id = new_id();
        by_id_[q.id] = h;
    }
    q.played = false;
    p.find_until = leg.until;
    p.leg_begins = q.shard_requests.size();
    for (const LegShardRequest& stated : leg.shard_requests) {
        QueryShardRequest section = p.sections[stated.section];
        section.weight = stated.weight;
        add_shard_request(h, q, section);
        ShardRequest& shard_request = q.shard_requests.back();
        shard_request.leg = p.leg;
        shard_request.section = stated.section;
        shard_request.find = leg.kind == Leg::find;
        shard_request.in_before = stated.in;
        shard_request.spent = stated.spent;
    }
    arrived_.push_back(QueryNews{h});
}

// P where a word is asked for, F for rows where the node is known to speak of them, else R; 0 where a word is
// asked for and the node is known not to give one.
char QueryDispatcher::letter_for(const Query& q, const ShardRequest& shard_request,
                                 std::uint32_t node) const {
    if (shard_request.find) return speakers_.is_one_phase(node) ? 0 : asks_word;
    return q.phased && speakers_.is_proved(node) ? asks_rows : 'R';
}

bool QueryDispatcher::audited(double share) {
    if (share <= 0) return false;
    const double drawn = static_cast<double>(chance_() - chance_.min());
    return drawn < share * static_cast<double>(chance_.max() - chance_.min());
}

void QueryDispatcher::end_leg(std::uint32_t id, Verdict verdict, Nanos not_before) {
    const Handle h = by_id_.at(id);
    Query& q = *queries_.find(h);
    Phased& p = *q.phased;
    const Nanos now = time_.now();
    p.not_before = not_before;
    // Nothing of an ended leg goes out.
    ++q.out;
    take_back(q, p.leg_begins);
    --q.out;
    const bool was_first = p.machine.state() == TwoPhase::State::finding;
    if (was_first) {
        phase_counts_.kept_budget += now <= p.find_until;
        phase_counts_.worst_overrun = std::max(phase_counts_.worst_overrun, now - p.find_until);
    }
    const bool had_recheck = p.machine.rechecked();
    const Leg leg = p.machine.end_leg(verdict, now, [&] { return audited(p.machine.config().audit); });
    if (was_first) phase_counts_.pruned += p.machine.pruned_in_first();
    if (p.machine.rechecked() && !had_recheck) {
        ++phase_counts_.rechecked;
        log_about(LogLevel::info, q.text->id, "sections that were left out are asked after all");
    }
    begin_leg(h, leg);
}

void QueryDispatcher::conclude(Query& q) {
    const TwoPhase& machine = q.phased->machine;
    if (machine.verdict() == Verdict::reject)
        return finish(q.id, {503, write_error("rejected"), q.phased->not_before});
    if (machine.verdict() == Verdict::fail_query) return finish(q.id, {504, write_error("aborted"), 0});
    AnswerBody body(machine.whole());
    for (const ShardRequest& shard_request : q.shard_requests)
        if (shard_request.in && !shard_request.find) body.add(shard_request.shard, shard_request.value);
    const Covered c = machine.covered();
    SectionsStated stated{
        {c.answered, c.answered_weight}, {c.pruned, c.pruned_weight}, {c.missing, c.missing_weight}, {}};
    for (const std::uint32_t section : machine.missing())
        stated.missing_shards.push_back(q.phased->sections[section].shard);
    give_answer(q.id, body.finish(stated));
}

// An answer counts for the leaf call that is out for this shard request in this leg on this very link. What
// comes for a leg that has ended tells at most of versions.
bool QueryDispatcher::on_phase_answer(Handle link, const PhaseAnswer& answer) {
    const auto it = by_text_.find(answer.id.query);
    if (it == by_text_.end()) return false;
    const Handle query = it->second;
    Query& q = *queries_.find(query);
    for (std::size_t i = 0; i < q.shard_requests.size(); ++i) {
        ShardRequest& shard_request = q.shard_requests[i];
        if (shard_request.shard != answer.id.shard || shard_request.leg != answer.id.leg) continue;
        for (const Handle h : shard_request.calls) {
            const Attempt* call = calls_.find(h);
            if (call == nullptr || call->link != link) continue;
            const std::uint32_t node = call->node, section = shard_request.section;
            const Nanos now = time_.now();
            speakers_.proved(node);
            if (answer.outcome != Outcome::ok) return call_ended(h, answer.outcome), true;
            memory_.hear_version(shard_request.shard, answer.version);
            TwoPhase& machine = q.phased->machine;
            if (shard_request.find) {
                if (speakers_.trusted(node, now)) {
                    machine.hear(section, node, answer.word);
                    if (remembers_) memory_.learn(shard_request.shard, node, answer.word, call->sent_at, now);
                }
                return call_ended(h, Outcome::ok), true;
            }
            if (machine.is_stale(section, answer.version)) {
                ++phase_counts_.stale_rows;
                log_about(LogLevel::info, q.text->id,
                          "data node %u holds an older version of shard %u than was told", node,
                          shard_request.shard);
                return call_ended(h, Outcome::error), true;
            }
            const bool fresh = !shard_request.in && !q.ended && shard_request.leg == q.phased->leg;
            call_ended(h, Outcome::ok, answer.value);
            if (!fresh || queries_.find(query) == nullptr || !q.shard_requests[i].in) return true;
            if (machine.take_rows(section, answer.version, answer.ranks) == TwoPhase::Rows::wrong)
                doubt_words(q);
            return true;
        }
    }
    return false;
}

void QueryDispatcher::tell_speakers(const NodeTable::Changes& news, ListKind kind) {
    if (kind != ListKind::delta) speakers_.keep_only(news.entries);
    std::unordered_set<std::uint32_t> anew(news.added.begin(), news.added.end());
    anew.insert(news.moved.begin(), news.moved.end());
    for (const Endpoint& entry : news.entries) speakers_.hear_entry(entry, anew.contains(entry.node));
}

void QueryDispatcher::doubt_words(const Query& q) {
    for (const std::uint32_t node : q.phased->machine.take_wrong()) {
        ++phase_counts_.wrong_words;
        if (speakers_.trusted(node, time_.now()))
            log_about(LogLevel::warn, q.text->id,
                      "data node %u gave a wrong word; its words are not used for a while", node);
        speakers_.distrust(node, time_.now());
        memory_.forget_words_of(node);
    }
}

bool QueryDispatcher::on_two_phase_refused(std::uint32_t node) {
    if (speakers_.is_proved(node)) return false;
    if (!speakers_.is_one_phase(node)) log_line("data node %u does not speak two phases", node);
    speakers_.refused(node);
    return true;
}

}  // namespace tealcart
