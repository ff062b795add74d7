#include "changes/report_aggregator.hpp"

#include <algorithm>

namespace tealcart::changes {

ReportAggregator::ReportAggregator(std::string relay, std::string zone, std::uint64_t incarnation,
                                   std::size_t max_members, std::size_t max_exceptions)
    : relay_(std::move(relay)), zone_(std::move(zone)), incarnation_(incarnation), max_members_(max_members),
      max_exceptions_(max_exceptions) {}

// ReportBatch may overtake each other: an older one renews, and says nothing else.
bool ReportAggregator::heard(Nanos now, const MemberReport& said) {
    if (said.name.empty() || said.name.size() > max_name) return false;
    MemberReport word = said;
    word.why = cut(word.why, max_why);
    const auto it = members_.find(word.name);
    if (it == members_.end()) {
        if (members_.size() >= max_members_) return false;
        members_[word.name] = {word, now};
        gone_.erase(word.name);
        return true;
    }
    Known& m = it->second;
    if (word.incarnation < m.word.incarnation) return false;
    if (word.incarnation > m.word.incarnation)
        m = {word, now};
    else if (word.applied_version >= m.word.applied_version)
        m.word = word;
    m.heard = std::max(m.heard, now);
    return true;
}

// More of them than there may be members are not kept one by one: all is said anew instead.
void ReportAggregator::gone(const std::string& name, std::uint64_t incarnation, bool lost) {
    if (gone_.size() >= max_members_ && !gone_.contains(name)) return say_all();
    gone_[name] = {incarnation, lost};
}

void ReportAggregator::left(const std::string& name, std::uint64_t incarnation) {
    const auto it = members_.find(name);
    if (it != members_.end()) {
        if (it->second.word.incarnation > incarnation) return;
        members_.erase(it);
    }
    gone(name, incarnation, false);
}

Nanos ReportAggregator::grant(Nanos now, const std::string& name) {
    const auto it = members_.find(name);
    if (it == members_.end() || !it->second.said || lease_until_ <= now) return 0;
    it->second.granted_until = std::max(it->second.granted_until, lease_until_);
    return lease_until_ - now;
}

// The greatest version that all but so many members act on at least.
std::uint64_t ReportAggregator::lowest() const {
    if (members_.empty()) return 0;
    std::vector<std::uint64_t> acts;
    acts.reserve(members_.size());
    for (const auto& [name, m] : members_) acts.push_back(m.word.applied_version);
    const auto nth = acts.begin() + static_cast<std::ptrdiff_t>(std::min(max_exceptions_, acts.size() - 1));
    std::nth_element(acts.begin(), nth, acts.end());
    return *nth;
}

RelayReport ReportAggregator::word(Nanos now, Nanos drift) {
    for (auto it = members_.begin(); it != members_.end();) {
        const Known& m = it->second;
        // Before the first answer nothing was granted, and nobody knows for how long one may be silent.
        if (lease_ == 0 || now <= std::max(m.granted_until, m.heard + lease_) + drift) {
            ++it;
            continue;
        }
        const std::string name = it->first;
        const std::uint64_t incarnation = m.word.incarnation;
        it = members_.erase(it);
        gone(name, incarnation, true);
    }
    RelayReport word{relay_, zone_, incarnation_, number_ + 1, whole_, {}, {}, {}, lowest(), {}};
    for (const auto& [name, g] : gone_) (g.lost ? word.lost : word.left).emplace_back(name, g.incarnation);
    for (const auto& [name, m] : members_) {
        if (!m.said) word.joined.push_back(m.word);
        if (m.word.applied_version < word.lowest) word.exceptions.push_back(m.word);
    }
    // Who refuses is named too, as far as there is room: it acts on an earlier version by that alone.
    for (const auto& [name, m] : members_)
        if (m.word.applied_version >= word.lowest && m.word.refused > m.word.applied_version &&
            word.exceptions.size() < max_exceptions_)
            word.exceptions.push_back(m.word);
    std::sort(word.exceptions.begin(), word.exceptions.end(),
              [](const MemberReport& a, const MemberReport& b) { return a.name < b.name; });
    if (last_) {
        word.number = last_->number;
        if (word == *last_) return word;
        word.number = number_ + 1;
    }
    ++number_;
    made_[number_] = now;
    while (made_.size() > 64) made_.erase(made_.begin());
    if (whole_ && whole_since_ == 0) whole_since_ = number_;
    for (auto& [name, m] : members_)
        if (!m.said && m.since == 0) m.since = number_;
    for (auto& [name, g] : gone_)
        if (g.since == 0) g.since = number_;
    last_ = word;
    return word;
}

void ReportAggregator::taken(std::uint64_t number, Nanos sent, Nanos lease) {
    const auto made = made_.find(number);
    if (made == made_.end()) return;
    lease_ = lease;
    lease_until_ = std::max(lease_until_, std::min(sent, made->second) + lease);
    made_.erase(made_.begin(), std::next(made));
    if (whole_since_ > 0 && number >= whole_since_) whole_ = false, whole_since_ = 0;
    for (auto& [name, m] : members_)
        if (m.since > 0 && number >= m.since) m.said = true;
    std::erase_if(gone_, [&](const auto& g) { return g.second.since > 0 && number >= g.second.since; });
    if (last_ && number >= last_->number) last_.reset();
}

void ReportAggregator::say_all() {
    whole_ = true;
    whole_since_ = 0;
    gone_.clear();
    for (auto& [name, m] : members_) m.said = false, m.since = 0;
    last_.reset();
}

}  // namespace tealcart::changes
