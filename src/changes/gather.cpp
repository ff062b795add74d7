#include "changes/gather.hpp"

#include <algorithm>

namespace tealcart::changes {

Gather::Gather(std::string relay, std::string zone, std::uint64_t life, std::size_t most_members,
               std::size_t most_exceptions)
    : relay_(std::move(relay)), zone_(std::move(zone)), life_(life), most_members_(most_members),
      most_exceptions_(most_exceptions) {}

// Words may overtake each other: an older one renews, and says nothing else.
bool Gather::heard(Nanos now, const MemberWord& said) {
    if (said.name.empty() || said.name.size() > longest_name) return false;
    MemberWord word = said;
    word.why = cut(word.why, longest_why);
    const auto it = members_.find(word.name);
    if (it == members_.end()) {
        if (members_.size() >= most_members_) return false;
        members_[word.name] = {word, now};
        gone_.erase(word.name);
        return true;
    }
    Known& m = it->second;
    if (word.life < m.word.life) return false;
    if (word.life > m.word.life)
        m = {word, now};
    else if (word.acts_on >= m.word.acts_on)
        m.word = word;
    m.heard = std::max(m.heard, now);
    return true;
}

// More of them than there may be members are not kept one by one: all is said anew instead.
void Gather::gone(const std::string& name, std::uint64_t life, bool lost) {
    if (gone_.size() >= most_members_ && !gone_.contains(name)) return say_all();
    gone_[name] = {life, lost};
}

void Gather::left(const std::string& name, std::uint64_t life) {
    const auto it = members_.find(name);
    if (it != members_.end()) {
        if (it->second.word.life > life) return;
        members_.erase(it);
    }
    gone(name, life, false);
}

Nanos Gather::grant(Nanos now, const std::string& name) {
    const auto it = members_.find(name);
    if (it == members_.end() || !it->second.said || lease_until_ <= now) return 0;
    it->second.granted_until = std::max(it->second.granted_until, lease_until_);
    return lease_until_ - now;
}

// The greatest version that all but so many members act on at least.
std::uint64_t Gather::lowest() const {
    if (members_.empty()) return 0;
    std::vector<std::uint64_t> acts;
    acts.reserve(members_.size());
    for (const auto& [name, m] : members_) acts.push_back(m.word.acts_on);
    const auto nth = acts.begin() + static_cast<std::ptrdiff_t>(std::min(most_exceptions_, acts.size() - 1));
    std::nth_element(acts.begin(), nth, acts.end());
    return *nth;
}

RelayWord Gather::word(Nanos now, Nanos drift) {
    for (auto it = members_.begin(); it != members_.end();) {
        const Known& m = it->second;
        // Before the first answer nothing was granted, and nobody knows for how long one may be silent.
        if (lease_ == 0 || now <= std::max(m.granted_until, m.heard + lease_) + drift) {
            ++it;
            continue;
        }
        const std::string name = it->first;
        const std::uint64_t life = m.word.life;
        it = members_.erase(it);
        gone(name, life, true);
    }
    RelayWord word{relay_, zone_, life_, number_ + 1, whole_, {}, {}, {}, lowest(), {}};
    for (const auto& [name, g] : gone_) (g.lost ? word.lost : word.left).emplace_back(name, g.life);
    for (const auto& [name, m] : members_) {
        if (!m.said) word.joined.push_back(m.word);
        if (m.word.acts_on < word.lowest) word.exceptions.push_back(m.word);
    }
    // Who refuses is named too, as far as there is room: it acts on an earlier version by that alone.
    for (const auto& [name, m] : members_)
        if (m.word.acts_on >= word.lowest && m.word.refused > m.word.acts_on &&
            word.exceptions.size() < most_exceptions_)
            word.exceptions.push_back(m.word);
    std::sort(word.exceptions.begin(), word.exceptions.end(),
              [](const MemberWord& a, const MemberWord& b) { return a.name < b.name; });
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

void Gather::taken(std::uint64_t number, Nanos sent, Nanos lease) {
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

void Gather::say_all() {
    whole_ = true;
    whole_since_ = 0;
    gone_.clear();
    for (auto& [name, m] : members_) m.said = false, m.since = 0;
    last_.reset();
}

}  // namespace tealcart::changes
