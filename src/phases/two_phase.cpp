#include "phases/two_phase.hpp"

#include <algorithm>

namespace tealcart {

TwoPhaseStateMachine::TwoPhaseStateMachine(const TwoPhaseConfig& config, int rows, int max_attempts,
                                           const std::vector<double>& weights)
    : config_(config), rows_(rows), max_attempts_(max_attempts) {
    for (const double weight : weights) sections_.emplace_back().weight = weight;
}

Leg TwoPhaseStateMachine::begin(Nanos now, Nanos useful_by, const SectionLookup& lookup) {
    useful_by_ = useful_by;
    Leg leg{Leg::summaries, first_phase_end(config_, now, useful_by), {}};
    const bool has_time = leg.until > now && max_attempts_ > 1;
    double sum = 0;
    for (std::uint32_t i = 0; i < sections_.size(); ++i) {
        Section& section = sections_[i];
        if (const auto node = lookup.excluded_by(i)) {
            section.knowledge = Knowledge::cached_filter;
            section.result = Result::pruned;
            section.node = *node;
        } else if (has_time && lookup.may_give_summary(i)) {
            leg.shard_requests.push_back({i, section.weight, 1, false});
            sum += section.weight;
        }
    }
    if (leg.shard_requests.empty()) return fetch(State::fetching);
    for (LegShardRequest& shard_request : leg.shard_requests)
        shard_request.weight =
            sum > 0 ? shard_request.weight / sum : 1.0 / static_cast<double>(leg.shard_requests.size());
    state_ = State::summarizing;
    return leg;
}

// Of two summaries the one of the newer version is kept. A summary that arrives after the leg is ignored.
void TwoPhaseStateMachine::on_summary(std::uint32_t index, std::uint32_t node,
                                      const SectionSummary& summary) {
    Section& section = sections_[index];
    if (state_ != State::summarizing ||
        (section.knowledge != Knowledge::none && section.version >= summary.version))
        return;
    section.knowledge = summary.no_matches ? Knowledge::no_matches : Knowledge::bounded;
    section.node = node;
    section.version = summary.version;
    section.max_rank = summary.max_rank;
    section.top_ranks = summary.no_matches ? std::vector<double>() : summary.top_ranks;
}

// A section is pruned only by its own summary: if no row matches, or if none of its rows can be among the N
// highest ranks that the summaries state. Its own ranks count too, so that a section with a row among the N
// highest is not pruned.
void TwoPhaseStateMachine::prune(const std::function<bool()>& is_audited) {
    TopRankThreshold threshold(rows_);
    for (const Section& section : sections_)
        if (section.result == Result::open)
            for (const double rank : section.top_ranks) threshold.add(rank);
    for (Section& section : sections_) {
        if (section.result != Result::open) continue;
        const bool can_prune =
            section.knowledge == Knowledge::no_matches ||
            (section.knowledge == Knowledge::bounded && !threshold.can_enter(section.max_rank));
        if (!can_prune || is_audited()) continue;
        section.result = Result::pruned;
        ++pruned_by_summary_;
    }
}

Leg TwoPhaseStateMachine::fetch(State state) {
    state_ = state;
    Leg leg{Leg::rows, 0, {}};
    double sum = 0;
    for (std::uint32_t i = 0; i < sections_.size(); ++i) {
        const Section& section = sections_[i];
        if (section.result == Result::pruned) continue;
        // A missing section is not queried again, but its weight still counts.
        const int attempts_used = section.result == Result::missing ? max_attempts_ : section.attempts_used;
        leg.shard_requests.push_back({i, section.weight, attempts_used, section.result == Result::answered});
        sum += section.weight;
    }
    if (leg.shard_requests.empty()) return finish(LegDecision::answer);
    for (LegShardRequest& shard_request : leg.shard_requests)
        shard_request.weight =
            sum > 0 ? shard_request.weight / sum : 1.0 / static_cast<double>(leg.shard_requests.size());
    return leg;
}

Leg TwoPhaseStateMachine::finish(LegDecision decision) {
    state_ = State::ended;
    decision_ = decision;
    for (Section& section : sections_)
        if (section.result == Result::open) section.result = Result::missing;
    return {};
}

Leg TwoPhaseStateMachine::end_leg(LegDecision decision, Nanos now, const std::function<bool()>& is_audited) {
    if (state_ == State::ended) return {};
    if (decision != LegDecision::answer) return finish(decision);
    if (state_ == State::summarizing) {
        prune(is_audited);
        return fetch(State::fetching);
    }
    // Sections without rows by now are missing; those to be rechecked are opened again below.
    for (Section& section : sections_)
        if (section.result == Result::open) section.result = Result::missing;
    const auto doubtful = doubtful_sections();
    if (doubtful.empty() || state_ == State::completing) return finish(LegDecision::answer);
    const bool again =
        state_ == State::fetching && now + config_.min_first_phase <= useful_by_ - config_.response_reserve;
    rechecked_ |= again;
    for (const std::uint32_t i : doubtful) sections_[i].result = again ? Result::open : Result::missing;
    return fetch(again ? State::rechecking : State::completing);
}

// Returns pruned sections whose pruning is no longer justified: the rows that outranked theirs did not
// arrive, or the node that gave their summary has been contradicted since.
std::vector<std::uint32_t> TwoPhaseStateMachine::doubtful_sections() const {
    TopRankThreshold threshold(rows_);
    for (const Section& section : sections_)
        for (const double rank : section.ranks) threshold.add(rank);
    std::vector<std::uint32_t> found;
    for (std::uint32_t i = 0; i < sections_.size(); ++i) {
        const Section& section = sections_[i];
        if (section.result != Result::pruned) continue;
        const bool doubted = std::find(all_contradicted_nodes_.begin(), all_contradicted_nodes_.end(),
                                       section.node) != all_contradicted_nodes_.end();
        if (doubted || (section.knowledge == Knowledge::bounded && threshold.can_enter(section.max_rank)))
            found.push_back(i);
    }
    return found;
}

void TwoPhaseStateMachine::record_contradiction(std::uint32_t node) {
    contradicted_nodes_.push_back(node);
    all_contradicted_nodes_.push_back(node);
}

bool TwoPhaseStateMachine::is_stale(std::uint32_t section, std::uint64_t version) const {
    return has_summary(sections_[section]) && version < sections_[section].version;
}

// Rows of the version that was summarized must agree with the summary: no rank above its bound, no rank lower
// than stated, and not fewer rows than stated. Rows of a newer version are not checked.
TwoPhaseStateMachine::RowCheck TwoPhaseStateMachine::on_rows(std::uint32_t index, std::uint64_t version,
                                                             const std::vector<double>& ranks) {
    Section& section = sections_[index];
    RowCheck check = RowCheck::consistent;
    if (has_summary(section) && version == section.version) {
        bool matches_summary =
            ranks.empty() || (section.knowledge == Knowledge::bounded && ranks.front() <= section.max_rank);
        const std::size_t summarized = std::min(section.top_ranks.size(), static_cast<std::size_t>(rows_));
        matches_summary &= ranks.size() >= summarized;
        for (std::size_t i = 0; matches_summary && i < summarized; ++i)
            matches_summary = ranks[i] >= section.top_ranks[i];
        if (!matches_summary) check = RowCheck::contradictory, record_contradiction(section.node);
    }
    section.result = Result::answered;
    section.ranks = ranks;
    return check;
}

void TwoPhaseStateMachine::on_rows_without_ranks(std::uint32_t section) {
    sections_[section].result = Result::answered;
    sections_[section].ranks.clear();
}

bool TwoPhaseStateMachine::is_complete() const {
    return decision_ == LegDecision::answer &&
           std::none_of(sections_.begin(), sections_.end(), [](const Section& section) {
               return section.result == Result::missing || section.result == Result::open;
           });
}

Coverage TwoPhaseStateMachine::coverage() const {
    Coverage coverage;
    for (const Section& section : sections_) {
        const bool answered = section.result == Result::answered, pruned = section.result == Result::pruned;
        ++(answered ? coverage.answered : pruned ? coverage.pruned : coverage.missing);
        (answered ? coverage.answered_weight
         : pruned ? coverage.pruned_weight
                  : coverage.missing_weight) += section.weight;
    }
    return coverage;
}

std::vector<std::uint32_t> TwoPhaseStateMachine::missing() const {
    std::vector<std::uint32_t> found;
    for (std::uint32_t i = 0; i < sections_.size(); ++i)
        if (sections_[i].result != Result::answered && sections_[i].result != Result::pruned)
            found.push_back(i);
    return found;
}

}  // namespace tealcart
