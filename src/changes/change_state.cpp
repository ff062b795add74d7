#include "changes/change_state.hpp"

#include <cmath>

namespace tealcart::changes {
namespace {

constexpr std::size_t max_key = 128;

bool well_formed(const std::string& text, std::size_t longest) {
    return !text.empty() && text.size() <= longest && std::none_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    });
}

// None of these times wraps around: a member may be allowed to serve on for ever.
Nanos plus(Nanos at, Nanos span) { return at > INT64_MAX - span ? INT64_MAX : at + span; }

}  // namespace

void ChangeState::Change::then(const Change& next) {
    for (const auto& [key, value] : next.set) {
        set[key] = value;
        removed.erase(key);
    }
    for (const std::string& key : next.removed) {
        set.erase(key);
        removed.insert(key);
    }
}

std::size_t ChangeState::Change::bytes() const {
    std::size_t sum = 0;
    for (const auto& [key, value] : set) sum += key.size() + value.size();
    for (const std::string& key : removed) sum += key.size();
    return sum;
}

Effects ChangeState::apply(const Command& command) {
    looked_at_ = 0;
    if (const auto known = remembered_.find(command.id); known != remembered_.end()) return known->second;
    effects_.clear();
    pass_time(command.at);
    std::visit([this](const auto& what) { on(what); }, command.what);
    settle_halt();
    settle_in_force();
    if (!command.id.empty()) {
        remembered_[command.id] = effects_;
        came_.push_back(command.id);
        while (came_.size() > limits_.max_remembered) {
            remembered_.erase(came_.front());
            came_.pop_front();
        }
    }
    return std::exchange(effects_, {});
}

void ChangeState::reject(std::string reason, std::optional<std::string> member) {
    emit(CommandRejected{version_, std::move(reason), std::move(member)});
}

void ChangeState::stale(const std::string& sender, StaleReason reason) {
    emit(StaleReport{version_, sender, reason});
}

// A new leader's clock may be behind the last one's: then time stands until it has caught up. Where nothing
// was agreed for a while, no relay could renew: leases get that time back, and nothing is told to be in force
// until all have had the time to say something.
void ChangeState::pass_time(Nanos at) {
    const Nanos gap = at - now_;
    if (gap <= 0) return;
    if (now_ > 0 && gap > limits_.lease / 4) {
        std::set<std::pair<Nanos, std::string>> later;
        for (const auto& [until, name] : relay_ends_)
            later.emplace_hint(later.end(), relays_.at(name).lease_until = plus(until, gap), name);
        relay_ends_ = std::exchange(later, {});
        for (const auto& [until, name] : member_ends_)
            later.emplace_hint(later.end(), members_.at(name).held_until = plus(until, gap), name);
        member_ends_ = std::move(later);
        looked_at_ += relay_ends_.size() + member_ends_.size();
        hold_until_ = plus(at, limits_.lease + limits_.drift);
    }
    now_ = at;
    settle_ends();
}

void ChangeState::settle_ends() {
    while (!relay_ends_.empty() && lease_over(relay_ends_.begin()->first)) {
        const std::string name = relay_ends_.begin()->second;
        dissolve(name);
        Relay& r = relays_.at(name);
        r.live = false;
        relay_ends_.erase(relay_ends_.begin());
        relays_over_.emplace(r.lease_until, name);
        emit(RelayLeaseExpired{version_, name});
    }
    while (!member_ends_.empty() && lease_over(member_ends_.begin()->first)) {
        const std::string name = member_ends_.begin()->second;
        Member& m = members_.at(name);
        take_out(name, m);
        put_in(name, m);
    }
    while (!gone_.empty() && gone_.begin()->first < now_) {
        members_.erase(gone_.begin()->second);
        gone_.erase(gone_.begin());
        ++looked_at_;
    }
    while (!relays_over_.empty() && lease_over(plus(relays_over_.begin()->first, limits_.forget))) {
        relays_.erase(relays_over_.begin()->second);
        relays_over_.erase(relays_over_.begin());
        ++looked_at_;
    }
}

bool ChangeState::lease_over(Nanos until) const { return now_ > plus(until, limits_.drift); }

// What is known of a member by name, and what its relays say of all that they don't name.
std::uint64_t ChangeState::applied_version(const Member& m) const {
    std::uint64_t most = m.stated;
    for (const Hold& h : m.holds)
        if (!h.exception) most = std::max(most, relays_.at(h.relay).lowest);
    return most;
}

bool ChangeState::may_act(const Member& m) const {
    if (m.left) return false;
    return m.place != Member::gone || now_ <= plus(plus(end_of(m), m.serve_on), limits_.drift);
}

void ChangeState::refresh(const std::string& name, Relay& r) {
    std::optional<std::uint64_t> least;
    if (!r.plain.empty()) least = std::max(r.lowest, r.plain.begin()->first);
    if (!r.marked.empty()) least = std::min(least.value_or(UINT64_MAX), r.marked.begin()->first);
    if (least == r.least) return;
    if (r.least) least_.erase({*r.least, name});
    if (least) least_.emplace(*least, name);
    r.least = least;
}

void ChangeState::take_out(const std::string& name, Member& m) {
    ++looked_at_;
    if (m.place == Member::sole) {
        Relay& r = relays_.at(m.holds[0].relay);
        (m.holds[0].exception ? r.marked : r.plain).erase({m.stated, name});
        refresh(m.holds[0].relay, r);
    } else if (m.place == Member::loose) {
        loose_.erase({m.counted_as, name});
        if (m.holds.empty()) member_ends_.erase({m.held_until, name});
        for (const Hold& h : m.holds) relays_.at(h.relay).shared.erase(name);
    } else if (m.place == Member::gone) {
        gone_.erase({m.forget_at, name});
    }
    if (m.place == Member::sole || m.place == Member::loose) {
        --live_;
        if (m.refused > 0 && --refusing_[m.refused] == 0) refusing_.erase(m.refused);
    }
    m.place = Member::nowhere;
}

void ChangeState::put_in(const std::string& name, Member& m) {
    if (m.holds.empty() && (m.left || lease_over(m.held_until))) {
        const Nanos remembered =
            m.left ? limits_.forget : std::max(limits_.forget, plus(m.serve_on, limits_.drift));
        m.forget_at = plus(end_of(m), remembered);
        gone_.emplace(m.forget_at, name);
        m.place = Member::gone;
        return;
    }
    if (m.holds.size() == 1) {
        Relay& r = relays_.at(m.holds[0].relay);
        (m.holds[0].exception ? r.marked : r.plain).emplace(m.stated, name);
        refresh(m.holds[0].relay, r);
        m.place = Member::sole;
    } else {
        m.counted_as = applied_version(m);
        if (m.refused <= m.counted_as) m.refused = 0, m.why.clear();
        loose_.emplace(m.counted_as, name);
        if (m.holds.empty()) member_ends_.emplace(m.held_until, name);
        for (const Hold& h : m.holds) relays_.at(h.relay).shared.insert(name);
        m.place = Member::loose;
    }
    ++live_;
    if (m.refused > 0) ++refusing_[m.refused];
}

// What it said of the member while it had it stays true: no version is given up for an earlier one in a
// incarnation. A refusal stands while a relay that has the member says so, or none has it.
void ChangeState::release(const std::string& relay, const std::string& name) {
    Member& m = members_.at(name);
    m.stated = applied_version(m);
    std::erase_if(m.holds, [&](const Hold& h) { return h.relay == relay; });
    if (!m.holds.empty()) drop_refusal(m);
}

void ChangeState::drop_refusal(Member& m) {
    if (std::none_of(m.holds.begin(), m.holds.end(), [](const Hold& h) { return h.exception; }))
        m.refused = 0, m.why.clear();
}

// Its members are granted nothing more by it, and hold what it granted until its lease is over.
void ChangeState::dissolve(const std::string& relay) {
    Relay& r = relays_.at(relay);
    std::vector<std::string> names(r.shared.begin(), r.shared.end());
    for (const auto& [stated, name] : r.plain) names.push_back(name);
    for (const auto& [stated, name] : r.marked) names.push_back(name);
    for (const std::string& name : names) {
        Member& m = members_.at(name);
        take_out(name, m);
        release(relay, name);
        m.held_until = std::max(m.held_until, r.lease_until);
        put_in(name, m);
    }
    r.exceptions.clear();
}

void ChangeState::recount() {
    least_.clear(), loose_.clear();
    relay_ends_.clear(), member_ends_.clear(), gone_.clear(), relays_over_.clear();
    refusing_.clear();
    live_ = 0;
    for (auto& [name, r] : relays_) {
        r.plain.clear(), r.marked.clear(), r.shared.clear(), r.exceptions.clear();
        r.least.reset();
        (r.live ? relay_ends_ : relays_over_).emplace(r.lease_until, name);
    }
    for (auto& [name, m] : members_) {
        for (const Hold& h : m.holds)
            if (h.exception) relays_.at(h.relay).exceptions.insert(name);
        put_in(name, m);
        ++looked_at_;
    }
}

void ChangeState::on(const ReportBatch& c) {
    for (const RelayReport& word : c.words) take(word);
}

// Why a report is not applied; nothing: it is.
std::optional<StaleReason> ChangeState::stale_reason(const RelayReport& w) const {
    if (!well_formed(w.relay, max_name) || w.zone.size() > max_name) return StaleReason::malformed;
    std::size_t more = 0;
    for (const MemberReport& m : w.joined) {
        if (!well_formed(m.name, max_name) || m.serve_on < 0) return StaleReason::malformed;
        more += !members_.contains(m.name);
    }
    if (members_.size() + more > limits_.max_members) return StaleReason::too_many_members;
    const auto it = relays_.find(w.relay);
    if (it == relays_.end()) {
        if (!w.whole) return StaleReason::unknown_relay;
        if (relays_.size() >= limits_.max_relays) return StaleReason::too_many_relays;
        return std::nullopt;
    }
    const Relay& r = it->second;
    if (w.incarnation < r.incarnation) return StaleReason::earlier_incarnation;
    if (w.incarnation == r.incarnation && w.number <= r.number) return StaleReason::overtaken;
    if (!w.whole && w.incarnation > r.incarnation) return StaleReason::new_incarnation;
    if (!w.whole && !r.live) return StaleReason::lease_expired;
    return std::nullopt;
}

void ChangeState::take(const RelayReport& w) {
    ++looked_at_;
    if (const auto reason = stale_reason(w)) return stale(w.relay, *reason);
    if (w.whole && relays_.contains(w.relay)) dissolve(w.relay);
    Relay& r = relays_[w.relay];
    (r.live ? relay_ends_ : relays_over_).erase({r.lease_until, w.relay});
    if (!r.live || w.incarnation != r.incarnation) r.lease_until = none, r.lowest = 0;
    r.zone = w.zone;
    r.incarnation = w.incarnation;
    r.number = w.number;
    r.live = true;
    r.lease_until = std::max(r.lease_until, plus(now_, limits_.lease));
    relay_ends_.emplace(r.lease_until, w.relay);

    for (const auto& [name, incarnation] : w.left) take_left(name, incarnation);
    for (const auto& [name, incarnation] : w.lost) take_lost(w.relay, name, incarnation);
    if (const std::uint64_t lowest = agreed(w.lowest); lowest != r.lowest) {
        r.lowest = lowest;
        refresh(w.relay, r);
        const std::set<std::string> shared = r.shared;
        for (const std::string& name : shared) {
            Member& m = members_.at(name);
            take_out(name, m);
            put_in(name, m);
        }
    }
    for (const MemberReport& joined : w.joined) take_joined(w.relay, joined);
    take_exceptions(w.relay, w.exceptions);
}

// By its own farewell, whichever relay heard it: the last word of a incarnation.
void ChangeState::take_left(const std::string& name, std::uint64_t incarnation) {
    ++looked_at_;
    const auto it = members_.find(name);
    if (it == members_.end() || it->second.incarnation != incarnation || it->second.left) return;
    Member& m = it->second;
    take_out(name, m);
    m.stated = applied_version(m);
    for (const Hold& h : m.holds) relays_.at(h.relay).exceptions.erase(name);
    m.holds.clear();
    m.left = true;
    m.refused = 0;
    m.ended = now_;
    put_in(name, m);
}

// The relay knows by its own clock that what it granted is over, and `drift` after it.
void ChangeState::take_lost(const std::string& relay, const std::string& name, std::uint64_t incarnation) {
    ++looked_at_;
    const auto it = members_.find(name);
    if (it == members_.end() || it->second.incarnation != incarnation) return;
    Member& m = it->second;
    if (std::none_of(m.holds.begin(), m.holds.end(), [&](const Hold& h) { return h.relay == relay; })) return;
    take_out(name, m);
    release(relay, name);
    relays_.at(relay).exceptions.erase(name);
    m.ended = std::max(m.ended, now_);
    put_in(name, m);
}

void ChangeState::take_joined(const std::string& relay, const MemberReport& w) {
    ++looked_at_;
    Member& m = members_[w.name];
    if (w.incarnation < m.incarnation) return stale(w.name, StaleReason::earlier_incarnation);
    take_out(w.name, m);
    if (w.incarnation > m.incarnation) {
        for (const Hold& h : m.holds) relays_.at(h.relay).exceptions.erase(w.name);
        m = Member{};
    }
    m.incarnation = w.incarnation;
    m.left = false;
    m.serve_on = w.serve_on;
    m.stated = std::max(m.stated, agreed(w.applied_version));
    if (std::none_of(m.holds.begin(), m.holds.end(), [&](const Hold& h) { return h.relay == relay; }))
        m.holds.push_back({relay, false});
    drop_refusal(m);
    put_in(w.name, m);
}

void ChangeState::take_exceptions(const std::string& relay, const std::vector<MemberReport>& words) {
    const auto hold_of = [&](Member& m) {
        return std::find_if(m.holds.begin(), m.holds.end(), [&](const Hold& h) { return h.relay == relay; });
    };
    std::set<std::string> before = std::exchange(relays_.at(relay).exceptions, {}), now;
    for (const MemberReport& w : words) {
        ++looked_at_;
        const auto it = members_.find(w.name);
        if (it == members_.end() || it->second.incarnation != w.incarnation) continue;
        Member& m = it->second;
        if (hold_of(m) == m.holds.end()) continue;
        take_out(w.name, m);
        hold_of(m)->exception = true;
        m.stated = std::max(m.stated, agreed(w.applied_version));
        const std::uint64_t acts = applied_version(m), refused = agreed(w.refused);
        m.refused = refused > acts ? refused : 0;
        m.why = m.refused > 0 ? cut(w.why, max_why) : "";
        put_in(w.name, m);
        now.insert(w.name);
        if (m.refused > m.refused_told) {
            m.refused_told = m.refused;
            emit(MemberRefused{m.refused, w.name, m.why});
        }
    }
    for (const std::string& name : before) {
        if (now.contains(name)) continue;
        Member& m = members_.at(name);
        const auto hold = hold_of(m);
        if (hold == m.holds.end()) continue;
        take_out(name, m);
        hold->exception = false;
        drop_refusal(m);
        put_in(name, m);
    }
    relays_.at(relay).exceptions = std::move(now);
}

void ChangeState::on(const Publish& c) {
    if (halted_) return reject("halted: " + halted_for_);
    if (c.based_on && *c.based_on != version_)
        return reject("based on version " + std::to_string(*c.based_on) + ", the latest is " +
                      std::to_string(version_));
    Change change;
    std::size_t entries = document_.size();
    for (const auto& [key, value] : c.set) {
        if (!well_formed(key, max_key)) return reject("a malformed key");
        if (c.removed.contains(key)) return reject("both set and removed: " + key);
        if (key.size() + value.size() > limits_.max_entry)
            return reject("longer than " + std::to_string(limits_.max_entry) + " bytes: " + key);
        const auto it = document_.find(key);
        if (it != document_.end() && it->second == value) continue;
        entries += it == document_.end();
        change.set.emplace(key, value);
    }
    for (const std::string& key : c.removed) {
        if (!well_formed(key, max_key)) return reject("a malformed key");
        if (!document_.contains(key)) continue;
        --entries;
        change.removed.insert(key);
    }
    if (change.set.empty() && change.removed.empty()) return reject("nothing would change");
    if (entries > limits_.max_entries && entries > document_.size())
        return reject("more than " + std::to_string(limits_.max_entries) + " entries");
    publish(c.asker, change);
}

void ChangeState::on(const Rollback& c) {
    if (c.to == 0 || c.to > version_ || kept_.empty() || c.to < kept_.front().version)
        return reject("version " + std::to_string(c.to) + " is not kept");
    Change back;
    for (auto it = kept_.rbegin(); it->version > c.to; ++it) back.then(it->back);
    // What comes back to what it was is no change.
    std::erase_if(back.set, [&](const auto& e) {
        const auto it = document_.find(e.first);
        return it != document_.end() && it->second == e.second;
    });
    std::erase_if(back.removed, [&](const std::string& key) { return !document_.contains(key); });
    if (back.set.empty() && back.removed.empty()) return reject("nothing would change");
    publish(c.asker, back);
}

void ChangeState::publish(const std::string& asker, const Change& change) {
    Kept k{++version_, now_, cut(asker, max_name), change, {}, 0};
    const auto save_old = [&](const std::string& key) {
        const auto it = document_.find(key);
        if (it == document_.end()) return void(k.back.removed.insert(key));
        digest_ -= digest_of(key, it->second);
        k.back.set.emplace(key, it->second);
    };
    for (const auto& [key, value] : change.set) {
        save_old(key);
        document_[key] = value;
        digest_ += digest_of(key, value);
    }
    for (const std::string& key : change.removed) {
        save_old(key);
        document_.erase(key);
    }
    k.digest = digest_;
    looked_at_ += change.set.size() + change.removed.size();
    kept_bytes_ += k.forth.bytes() + k.back.bytes();
    kept_.push_back(std::move(k));
    trim_kept();
    emit(VersionPublished{version_});
}

// The latest stays, however long it is.
void ChangeState::trim_kept() {
    while (kept_.size() > 1 && (kept_.size() > limits_.max_kept || kept_bytes_ > limits_.max_kept_bytes)) {
        kept_bytes_ -= kept_.front().forth.bytes() + kept_.front().back.bytes();
        kept_.pop_front();
    }
}

void ChangeState::on(const Resume&) {
    halted_ = false;
    halted_for_.clear();
    emit(PublishingResumed{version_});
}

void ChangeState::on(const Forget& c) {
    const auto it = members_.find(c.name);
    if (it == members_.end()) return reject("no such member", c.name);
    if (it->second.place != Member::gone) return reject("its lease is not over", c.name);
    take_out(c.name, it->second);
    members_.erase(it);
    emit(MemberForgotten{version_, c.name});
}

void ChangeState::on(const SetLimits& c) {
    limits_ = c.limits;
    recount();
    trim_kept();
    settle_ends();
}

// The latest version halts once at most; a person who resumes over it is not halted by it again.
void ChangeState::settle_halt() {
    if (tripped_ == version_) return;
    const auto it = refusing_.find(version_);
    if (it == refusing_.end() || it->second < limits_.halt_refused_least ||
        static_cast<double>(it->second) <= limits_.halt_refused * static_cast<double>(live_))
        return;
    tripped_ = version_;
    halted_ = true;
    halted_for_ = std::to_string(it->second) + " of " + std::to_string(live_) + " members refuse version " +
                  std::to_string(version_);
    emit(PublishingHalted{version_, halted_for_});
}

void ChangeState::settle_in_force() {
    if (now_ < hold_until_) return;
    std::uint64_t least = version_;
    if (!least_.empty()) least = std::min(least, least_.begin()->first);
    if (!loose_.empty()) least = std::min(least, loose_.begin()->first);
    if (least <= in_force_) return;
    in_force_ = least;
    std::vector<std::string> names;
    for (const auto& [at, name] : gone_) {
        ++looked_at_;
        const Member& m = members_.at(name);
        if (m.stated < least && may_act(m)) names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    emit(AppliedEverywhere{least, std::move(names)});
}

std::optional<Delta> ChangeState::since(std::uint64_t version) const {
    if (version > version_) return std::nullopt;
    Delta delta{version, version_, {}, {}, digest_};
    if (version == version_) return delta;
    if (kept_.empty() || version + 1 < kept_.front().version) return std::nullopt;
    Change all;
    for (std::size_t i = version + 1 - kept_.front().version; i < kept_.size(); ++i) all.then(kept_[i].forth);
    delta.set = std::move(all.set);
    delta.removed = std::move(all.removed);
    return delta;
}

Page ChangeState::page(const std::string& after, std::size_t max_bytes) const {
    Page page{version_, digest_, after, {}, false};
    std::size_t bytes = 0;
    auto it = document_.upper_bound(after);
    for (; it != document_.end(); ++it) {
        bytes += it->first.size() + it->second.size();
        if (bytes > max_bytes && !page.entries.empty()) break;
        page.entries.emplace_hint(page.entries.end(), *it);
    }
    page.last = it == document_.end();
    return page;
}

RolloutProgress ChangeState::reach(std::uint64_t version, std::size_t max_names) const {
    RolloutProgress reach;
    const auto name_in = [&](std::vector<std::string>& list, const std::string& name) {
        if (list.size() < max_names) list.push_back(name);
    };
    for (const auto& [name, m] : members_) {
        const std::uint64_t acts = applied_version(m);
        if (m.place == Member::gone) {
            if (acts < version && may_act(m)) name_in(reach.unacknowledged, name);
            continue;
        }
        ++reach.live;
        reach.acting += acts >= version;
        if (acts < version) name_in(reach.behind, name);
        if (m.refused > 0) name_in(reach.refusing, name);
    }
    return reach;
}

std::vector<ChangeState::Published> ChangeState::history(std::size_t most) const {
    std::vector<Published> list;
    for (auto it = kept_.rbegin(); it != kept_.rend() && list.size() < most; ++it)
        list.push_back({it->version, it->at, it->asker, it->forth.set.size() + it->forth.removed.size(),
                        it->version <= in_force_});
    return list;
}

std::uint64_t ChangeState::last_number(const std::string& relay, std::uint64_t incarnation) const {
    const auto it = relays_.find(relay);
    return it != relays_.end() && it->second.live && it->second.incarnation == incarnation ? it->second.number
                                                                                           : 0;
}

std::uint64_t ChangeState::last_incarnation(const std::string& relay) const {
    const auto it = relays_.find(relay);
    return it == relays_.end() ? 0 : it->second.incarnation;
}

bool ChangeState::knows_later_life(const std::string& relay, std::uint64_t incarnation) const {
    const auto it = relays_.find(relay);
    return it != relays_.end() && it->second.incarnation > incarnation;
}

}  // namespace tealcart::changes
