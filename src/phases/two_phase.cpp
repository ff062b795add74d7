#include "phases/two_phase.hpp"

#include <algorithm>

namespace tealcart {

TwoPhase::TwoPhase(const TwoPhaseConfig& config, int rows, int max_attempts,
                   const std::vector<double>& weights)
    : config_(config), rows_(rows), call_cap_(max_attempts) {
    for (const double weight : weights) sections_.emplace_back().weight = weight;
}

Leg TwoPhase::begin(Nanos now, Nanos useful_by, const Outlook& outlook) {
    useful_by_ = useful_by;
    Leg leg{Leg::find, first_phase_end(config_, now, useful_by), {}};
    const bool time = leg.until > now && call_cap_ > 1;
    double sum = 0;
    for (std::uint32_t i = 0; i < sections_.size(); ++i) {
        Section& s = sections_[i];
        if (const auto node = outlook.ruled_out(i)) {
            s.known = Known::remembered;
            s.fate = Fate::pruned;
            s.node = *node;
        } else if (time && outlook.worth_asking(i)) {
            leg.shard_requests.push_back({i, s.weight, 1, false});
            sum += s.weight;
        }
    }
    if (leg.shard_requests.empty()) return fetch(State::fetching);
    for (LegShardRequest& shard_request : leg.shard_requests)
        shard_request.weight =
            sum > 0 ? shard_request.weight / sum : 1.0 / static_cast<double>(leg.shard_requests.size());
    state_ = State::finding;
    return leg;
}

// Of two words, the one of the newer version stands; what is heard too late is passed over.
void TwoPhase::hear(std::uint32_t section, std::uint32_t node, const SectionWord& word) {
    Section& s = sections_[section];
    if (state_ != State::finding || (s.known != Known::unheard && s.version >= word.version)) return;
    s.known = word.nothing ? Known::nothing : Known::bounded;
    s.node = node;
    s.version = word.version;
    s.upper = word.upper;
    s.lower = word.nothing ? std::vector<double>() : word.lower;
}

// A section is left out on its own word alone: that nothing matches, or that no row of it can be among the
// first N of those which sections have said they hold. Its own rows count too, so that one with a row among
// them stays.
void TwoPhase::prune(const std::function<bool()>& audited) {
    Threshold threshold(rows_);
    for (const Section& s : sections_)
        if (s.fate == Fate::open)
            for (const double rank : s.lower) threshold.add(rank);
    for (Section& s : sections_) {
        if (s.fate != Fate::open) continue;
        const bool out =
            s.known == Known::nothing || (s.known == Known::bounded && !threshold.can_enter(s.upper));
        if (!out || audited()) continue;
        s.fate = Fate::pruned;
        ++pruned_in_first_;
    }
}

Leg TwoPhase::fetch(State state) {
    state_ = state;
    Leg leg{Leg::fetch, 0, {}};
    double sum = 0;
    for (std::uint32_t i = 0; i < sections_.size(); ++i) {
        const Section& s = sections_[i];
        if (s.fate == Fate::pruned) continue;
        // What is missing by now is not asked again, but stands below the line.
        const int spent = s.fate == Fate::missing ? call_cap_ : s.spent;
        leg.shard_requests.push_back({i, s.weight, spent, s.fate == Fate::answered});
        sum += s.weight;
    }
    if (leg.shard_requests.empty()) return finish(Verdict::answer);
    for (LegShardRequest& shard_request : leg.shard_requests)
        shard_request.weight =
            sum > 0 ? shard_request.weight / sum : 1.0 / static_cast<double>(leg.shard_requests.size());
    return leg;
}

Leg TwoPhase::finish(Verdict verdict) {
    state_ = State::ended;
    verdict_ = verdict;
    for (Section& s : sections_)
        if (s.fate == Fate::open) s.fate = Fate::missing;
    return {};
}

Leg TwoPhase::end_leg(Verdict verdict, Nanos now, const std::function<bool()>& audited) {
    if (state_ == State::ended) return {};
    if (verdict != Verdict::answer) return finish(verdict);
    if (state_ == State::finding) {
        prune(audited);
        return fetch(State::fetching);
    }
    // Sections that are not in by now are missing, but those to be rechecked come in anew.
    for (Section& s : sections_)
        if (s.fate == Fate::open) s.fate = Fate::missing;
    const auto doubtful = unconfirmed();
    if (doubtful.empty() || state_ == State::judging) return finish(Verdict::answer);
    const bool again = state_ == State::fetching && now + config_.least <= useful_by_ - config_.keep;
    rechecked_ |= again;
    for (const std::uint32_t i : doubtful) sections_[i].fate = again ? Fate::open : Fate::missing;
    return fetch(again ? State::rechecking : State::judging);
}

// What was left out against rows that did not come, or on the word of a node that was wrong since.
std::vector<std::uint32_t> TwoPhase::unconfirmed() const {
    Threshold threshold(rows_);
    for (const Section& s : sections_)
        for (const double rank : s.ranks) threshold.add(rank);
    std::vector<std::uint32_t> found;
    for (std::uint32_t i = 0; i < sections_.size(); ++i) {
        const Section& s = sections_[i];
        if (s.fate != Fate::pruned) continue;
        const bool doubted = std::find(ever_wrong_.begin(), ever_wrong_.end(), s.node) != ever_wrong_.end();
        if (doubted || (s.known == Known::bounded && threshold.can_enter(s.upper))) found.push_back(i);
    }
    return found;
}

void TwoPhase::note_wrong(std::uint32_t node) {
    wrong_.push_back(node);
    ever_wrong_.push_back(node);
}

bool TwoPhase::is_stale(std::uint32_t section, std::uint64_t version) const {
    return spoken(sections_[section]) && version < sections_[section].version;
}

// Rows of the version that a word was about must keep to it: none above the bound, none of those it told
// fewer. Rows of a newer version may be any.
TwoPhase::Rows TwoPhase::take_rows(std::uint32_t section, std::uint64_t version,
                                   const std::vector<double>& ranks) {
    Section& s = sections_[section];
    Rows found = Rows::good;
    if (spoken(s) && version == s.version) {
        bool kept = ranks.empty() || (s.known == Known::bounded && ranks.front() <= s.upper);
        const std::size_t told = std::min(s.lower.size(), static_cast<std::size_t>(rows_));
        kept &= ranks.size() >= told;
        for (std::size_t i = 0; kept && i < told; ++i) kept = ranks[i] >= s.lower[i];
        if (!kept) found = Rows::wrong, note_wrong(s.node);
    }
    s.fate = Fate::answered;
    s.ranks = ranks;
    return found;
}

void TwoPhase::take_untold(std::uint32_t section) {
    sections_[section].fate = Fate::answered;
    sections_[section].ranks.clear();
}

bool TwoPhase::whole() const {
    return verdict_ == Verdict::answer &&
           std::none_of(sections_.begin(), sections_.end(),
                        [](const Section& s) { return s.fate == Fate::missing || s.fate == Fate::open; });
}

Covered TwoPhase::covered() const {
    Covered c;
    for (const Section& s : sections_) {
        const bool in = s.fate == Fate::answered, pruned = s.fate == Fate::pruned;
        ++(in ? c.answered : pruned ? c.pruned : c.missing);
        (in ? c.answered_weight : pruned ? c.pruned_weight : c.missing_weight) += s.weight;
    }
    return c;
}

std::vector<std::uint32_t> TwoPhase::missing() const {
    std::vector<std::uint32_t> found;
    for (std::uint32_t i = 0; i < sections_.size(); ++i)
        if (sections_[i].fate != Fate::answered && sections_[i].fate != Fate::pruned) found.push_back(i);
    return found;
}

}  // namespace tealcart
