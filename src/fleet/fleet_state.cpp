#include "fleet/fleet_state.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::fleet {
namespace {

template <typename Number>
void step(Number& n, bool up, Number by = 1) {
    up ? n += by : n -= by;
}

// One more or less under a key; a key with none is dropped.
template <typename Map, typename Key>
std::size_t step(Map& counts, const Key& key, bool up) {
    const auto it = counts.try_emplace(key, 0).first;
    step(it->second, up);
    const std::size_t now = it->second;
    if (now == 0) counts.erase(it);
    return now;
}

void step(Counts::Share& share, bool up, bool out) {
    step(share.all, up);
    if (out) step(share.out, up);
}

template <typename Map>
void step(Map& shares, const std::string& key, bool up, bool out) {
    const auto it = shares.try_emplace(key).first;
    step(it->second, up, out);
    if (it->second.all == 0) shares.erase(it);
}

}  // namespace

std::size_t Limit::of(std::size_t all) const {
    // A share is stated in decimals, so a hair is added before it is rounded down.
    const double by_share = std::floor(share * static_cast<double>(all) + 1e-9);
    return std::min(most, static_cast<std::size_t>(std::max(0.0, by_share)));
}

Effects FleetState::apply(const Command& command) {
    if (const auto known = remembered_.find(command.id); known != remembered_.end()) return known->second;
    effects_.clear();
    looked_at_ = 0;
    pass_time(command.at);
    std::visit([this](const auto& what) { on(what); }, command.what);
    settle();
    if (!command.id.empty()) {
        remembered_[command.id] = effects_;
        came_.push_back(command.id);
        while (came_.size() > budgets_.max_remembered) {
            remembered_.erase(came_.front());
            came_.pop_front();
        }
    }
    return std::exchange(effects_, {});
}

// A new leader's clock may be behind the last one's: then time stands until it has caught up. Where nothing
// was agreed for a while, nobody could renew: what was not lost before gets that time back, and nothing is
// granted until all have had the time to say something.
void FleetState::pass_time(Nanos at) {
    const Nanos gap = at - now_;
    if (gap <= 0) return;
    const bool interrupted = now_ > 0 && gap > budgets_.lease / 4;
    now_ = at;
    if (!interrupted) return;
    for (auto& [name, m] : members_)
        if (!m.lost && !m.left) m.lease_until += gap;
    hold_until_ = at + budgets_.lease + budgets_.drift;
    recount();
}

template <typename OfRequest>
void FleetState::emit_of(std::uint64_t request) {
    const Request& r = requests_.at(request);
    emit(OfRequest{request, r.fence, r.generation, r.target.name});
}

void FleetState::reject(std::string subject, std::string reason, std::uint64_t request) {
    emit(CommandRejected{request, generation_, std::move(subject), std::move(reason)});
}

void FleetState::on(const Join& c) {
    const auto [it, is_new] = members_.try_emplace(c.name);
    Member& m = it->second;
    if (c.incarnation < m.incarnation)
        return emit(StaleReport{generation_, c.name, StaleReason::earlier_incarnation});
    if (!is_new) count(c.name, m, false);
    // A new incarnation knows nothing of what the old one acted on, and has nothing in hand. The old one's
    // process may still be there: its word is not taken, and it hears so.
    if (c.incarnation > m.incarnation) m = Member{};
    m.role = c.role, m.zone = c.zone, m.version = c.version, m.digest = c.digest,
    m.incarnation = c.incarnation;
    m.serve_on = c.serve_on;
    m.lost = m.left = false;
    m.lease_until = std::max(m.lease_until, now_ + budgets_.lease);
    count(c.name, m, true);
}

void FleetState::on(const Renew& c) {
    const auto it = members_.find(c.name);
    if (it == members_.end() || it->second.incarnation != c.incarnation || it->second.left)
        return emit(StaleReport{generation_, c.name, StaleReason::unknown_incarnation});
    Member& m = it->second;
    count(c.name, m, false);
    m.lease_until = std::max(m.lease_until, now_ + budgets_.lease);
    m.lost = false;
    // ReportBatch may overtake each other: an older one knows nothing of what the member has in hand now.
    const bool agreed = c.word.applied_generation <= generation_;
    if (agreed && c.word.applied_generation >= m.word.applied_generation) m.word = c.word;
    count(c.name, m, true);
    if (!agreed) emit(StaleReport{generation_, c.name, StaleReason::unagreed_generation});
}

void FleetState::on(const ReportBatch& c) {
    for (const Join& join : c.joins) on(join);
    for (const Renew& renew : c.renewals) on(renew);
}

void FleetState::on(const Leave& c) {
    const auto it = members_.find(c.name);
    if (it == members_.end() || it->second.incarnation != c.incarnation)
        return emit(StaleReport{generation_, c.name, StaleReason::unknown_incarnation});
    Member& m = it->second;
    count(c.name, m, false);
    m.left = true;
    m.lease_until = std::min(m.lease_until, now_ - budgets_.drift - 1);
    m.word = {};
    count(c.name, m, true);
}

// Not one that is out: its request would be left without its target.
void FleetState::on(const Forget& c) {
    const auto it = members_.find(c.name);
    std::string why;
    if (it == members_.end())
        why = "no such member";
    else if (!lease_over(it->second))
        why = "its lease is not over";
    else if (out(true, c.name))
        why = "it is out by agreement; undrain it first";
    if (!why.empty()) return reject(c.name, why);
    count(c.name, it->second, false);
    members_.erase(it);
    emit(MemberForgotten{generation_, c.name});
}

// A node that discovery forgets while it is out stays known as gone, so that its request and what it uses up
// of the budgets are not lost; others are dropped.
void FleetState::on(const EndpointsObserved& c) {
    const auto drop = [this](auto it) {
        count(it->first, it->second, false);
        if (!out(false, it->first)) return void(nodes_.erase(it));
        it->second.health = Health::gone;
        count(it->first, it->second, true);
    };
    if (c.whole) {
        for (auto it = nodes_.begin(); it != nodes_.end();)
            if (const auto one = it++; !c.nodes.contains(one->first)) drop(one);
    } else {
        for (const std::string& name : c.gone)
            if (const auto it = nodes_.find(name); it != nodes_.end()) drop(it);
    }
    for (const auto& [name, node] : c.nodes) {
        const auto [it, is_new] = nodes_.try_emplace(name);
        if (!is_new && it->second == node) continue;
        if (!is_new) count(name, it->second, false);
        it->second = node;
        count(name, node, true);
    }
}

void FleetState::on(const SetBudgets& c) {
    if (budgets_ == c.budgets) return;
    budgets_ = c.budgets;
    recount();
}

void FleetState::on(const RequestRemoval& c) {
    if (requests_.size() >= budgets_.max_open) return reject(c.target.name, "too many requests are open");
    if (const auto it = counts_.open.find(c.target); it != counts_.open.end()) {
        const Request& open = requests_.at(it->second);
        return emit(RemovalAlreadyOpen{it->second, open.fence, open.generation, c.target.name, open.stage});
    }
    if (const auto why = never(c.target)) return reject(c.target.name, *why);
    Request& r = requests_[++last_request_];
    r = {c.asker, c.target, Stage::queued, 0, 0, queue_told_, {}};
    count(last_request_, r, true);
    emit(RemovalQueued{last_request_, c.target.name});
}

// The way back. One that is not out yet just ends; one that is out comes back in settle(), the last one out
// first.
void FleetState::on(const Undo& c) {
    const auto it = requests_.find(c.request);
    if (it == requests_.end()) return reject({}, "no such request is open", c.request);
    if (it->second.stage == Stage::queued) return end(c.request);
    count(c.request, it->second, false);
    it->second.stage = Stage::returning;
    count(c.request, it->second, true);
}

void FleetState::on(const Halt& c) {
    halted_ = true;
    halted_for_ = c.why;
    emit(GrantsHalted{generation_, c.why});
}

void FleetState::on(const Resume&) {
    halted_ = false;
    halted_for_.clear();
    emit(GrantsResumed{generation_});
}

// Whoever took it out: what goes out by itself is not ours to stop, but uses up the budget.
bool FleetState::counts_as_out(bool router, const std::string& name) const {
    if (!router) {
        const auto it = nodes_.find(name);
        return it == nodes_.end() || is_out(name, it->second);
    }
    const auto it = members_.find(name);
    return it == members_.end() || lease_over(it->second) || out(true, name);
}

bool FleetState::is_out(const std::string& name, const Node& node) const {
    return node.health != Health::whole || found_silent_.contains(name) || out(false, name);
}

// Not whole yet, but there: what has died in the meantime holds nobody back. A router is whole again once it
// goes by the agreement that lets it back.
bool FleetState::comes_back(const Request& r) const {
    if (r.target.router) {
        const auto it = members_.find(r.target.name);
        return it != members_.end() && !lease_over(it->second) &&
               it->second.word.applied_generation < r.generation;
    }
    const auto it = nodes_.find(r.target.name);
    return it != nodes_.end() && it->second.health != Health::gone && it->second.health != Health::whole;
}

// It may still go by an older word: by its lease, or by what it last knew.
bool FleetState::may_act(const Member& m) const { return !m.left && now_ <= acts_until(m); }

Nanos FleetState::acts_until(const Member& m) const {
    return m.lease_until > INT64_MAX - m.serve_on - budgets_.drift
               ? INT64_MAX
               : m.lease_until + m.serve_on + budgets_.drift;
}

bool FleetState::holds_up(const std::string& name, const Member& m, const Request& r) const {
    if (budgets_.wait_for_lost ? !may_act(m) : lease_over(m)) return false;
    // A router that is lost can't tell that it has nothing in hand; it has nothing that counts.
    if (r.target.router && r.target.name == name && lease_over(m)) return false;
    return m.word.applied_generation < r.generation || m.word.in_flight.contains(r.target);
}

std::vector<std::string> FleetState::waits_for(const Request& request) const {
    std::vector<std::string> names;
    for (const auto& [name, m] : members_)
        if (holds_up(name, m, request)) names.push_back(name);
    return names;
}

// Whether any member holds up the request, by the counts.
bool FleetState::held_up(const Request& r) const {
    ++looked_at_;
    // Its own target is among those that count, though it does not hold it up.
    const Member* self = nullptr;
    if (r.target.router && exempt_.contains(r.target.name)) self = &members_.at(r.target.name);
    for (auto it = counts_.heard.begin(); it != counts_.heard.end() && it->first < r.generation; ++it)
        if (it->second > (self != nullptr && self->word.applied_generation == it->first)) return true;
    const auto hand = counts_.in_flight.find(r.target);
    return hand != counts_.in_flight.end() &&
           hand->second > (self != nullptr && self->word.in_flight.contains(r.target));
}

// What no waiting can change.
std::optional<std::string> FleetState::never(const Target& t) const {
    if (t.router) {
        const auto it = members_.find(t.name);
        if (it == members_.end() || it->second.role != Role::router)
            return "no such query router is a member";
        if (budgets_.routers.of(1'000'000) == 0) return "no query router may be out: routers";
        if (budgets_.routers_a_zone.of(1'000'000) == 0) return "no query router may be out: routers_a_zone";
        return std::nullopt;
    }
    const auto it = nodes_.find(t.name);
    if (it == nodes_.end()) return "no such data node is known";
    for (const auto* limit : {&budgets_.nodes, &budgets_.nodes_a_zone, &budgets_.nodes_a_kind})
        if (limit->of(1'000'000) == 0) return "no data node may be out";
    for (const std::uint32_t shard : it->second.shards) {
        ++looked_at_;
        const std::size_t others = counts_.shards.at(shard).holders - 1;
        if (others < budgets_.min_holders)
            return "shard " + std::to_string(shard) + " has only " + std::to_string(others) +
                   " other holders";
    }
    return std::nullopt;
}

std::optional<std::string> FleetState::holds_back(const Target& t) const {
    // What is out already, for whatever reason, uses up nothing more.
    const bool adds = !counts_as_out(t);
    const auto over = [&](const Limit& limit, std::size_t out, std::size_t all,
                          const std::string& name) -> std::optional<std::string> {
        if (out + adds <= limit.of(all)) return std::nullopt;
        return name + ": " + std::to_string(out) + " of " + std::to_string(all) + " are out, " +
               std::to_string(limit.of(all)) + " may be";
    };
    ++looked_at_;
    const auto over_all = [&](const Limit& limit, const Counts::Share& share, const std::string& name) {
        return over(limit, share.out, share.all, name);
    };
    if (t.router) {
        const auto self = members_.find(t.name);
        if (self == members_.end()) return "no such query router is a member";
        if (auto why = over_all(budgets_.routers, counts_.routers, "routers")) return why;
        const std::string& zone = self->second.zone;
        const auto here = counts_.router_zones.find(zone);
        return over_all(budgets_.routers_a_zone,
                        here == counts_.router_zones.end() ? Counts::Share{} : here->second,
                        "routers_a_zone " + zone);
    }
    const auto self = nodes_.find(t.name);
    if (self == nodes_.end()) return "no such data node is known";
    const Node& me = self->second;
    if (auto why = over_all(budgets_.nodes, counts_.nodes, "nodes")) return why;
    if (auto why = over_all(budgets_.nodes_a_zone, counts_.node_zones.at(me.zone), "nodes_a_zone " + me.zone))
        return why;
    if (auto why = over_all(budgets_.nodes_a_kind, counts_.node_kinds.at(me.kind), "nodes_a_kind " + me.kind))
        return why;
    std::map<std::uint32_t, std::size_t> own;  // times that it lists each of its shards
    for (const std::uint32_t shard : me.shards) ++own[shard];
    looked_at_ += own.size();
    for (const auto& [shard, times] : own) {
        const std::size_t holders = counts_.shards.at(shard).whole - (adds ? times : 0);
        if (holders < budgets_.min_holders)
            return "shard " + std::to_string(shard) + " would keep " + std::to_string(holders) +
                   " whole holders";
    }
    return std::nullopt;
}

void FleetState::count(const std::string& name, const Node& node, bool in) {
    looked_at_ += 1 + node.shards.size();
    const bool gone = is_out(name, node);
    step(counts_.nodes, in, gone);
    step(counts_.node_zones, node.zone, in, gone);
    step(counts_.node_kinds, node.kind, in, gone);
    const auto& shards = node.shards;
    const bool ascending =
        std::adjacent_find(shards.begin(), shards.end(), std::greater_equal<>()) == shards.end();
    for (auto at = shards.begin(); at != shards.end(); ++at) {
        Counts::Shard& shard = counts_.shards[*at];
        if (ascending || std::find(shards.begin(), at, *at) == at) step(shard.holders, in);
        step(shard.listed, in);
        if (!gone) step(shard.whole, in);
        if (shard.listed > 0 && shard.whole < budgets_.halt_holders)
            counts_.short_shards.insert(*at);
        else if (!counts_.short_shards.empty())
            counts_.short_shards.erase(*at);
        if (shard.listed == 0) counts_.shards.erase(*at);
    }
}

// Whether it was counted as one whose lease is over, or which may act, is told by the lists it stands in:
// time may have gone on.
void FleetState::count(const std::string& name, const Member& m, bool in) {
    looked_at_ += 1 + m.word.silent.size() + m.word.in_flight.size();
    bool over = lease_over(m), acting = may_act(m);
    Counts::End lease(m.lease_until, name), acts(acts_until(m), name);
    if (in) {
        (over ? counts_.over_ends : counts_.live_ends).insert(std::move(lease));
        if (acting) counts_.acting_ends.insert(std::move(acts));
        if (over && !m.lost) newly_over_.insert(name);
    } else {
        over = counts_.over_ends.erase(lease) > 0;
        if (!over) counts_.live_ends.erase(lease);
        acting = counts_.acting_ends.erase(acts) > 0;
    }
    const bool drained = out(true, name);
    if (m.role == Role::router) {
        step(counts_.routers, in, drained || over);
        step(counts_.router_zones, m.zone, in, drained || over);
        if (!m.left) {
            step(counts_.known_routers, in);
            if (over) step(counts_.lost_routers, in);
        }
        if (!over) {
            step(counts_.live_routers, in);
            for (const std::string& node : m.word.silent) count_silent(node, in);
        }
        if (!over && !m.left)
            step(counts_.queries, in, m.word.queries), step(counts_.failed, in, m.word.failed);
    }
    if (over && acting) {
        if (in)
            counts_.lost_acting.emplace(m.word.applied_generation, name);
        else
            counts_.lost_acting.erase({m.word.applied_generation, name});
    }
    if (budgets_.wait_for_lost && over && acting && drained && in)
        exempt_.insert(name);
    else
        exempt_.erase(name);
    if (budgets_.wait_for_lost ? acting : !over) {
        step(counts_.heard, m.word.applied_generation, in);
        for (const Target& t : m.word.in_flight)
            if (step(counts_.in_flight, t, in) == 0) look_again({t.router, t.name});
    }
}

void FleetState::count(std::uint64_t id, const Request& r, bool in) {
    ++looked_at_;
    const auto put = [&](std::set<std::uint64_t>& ids) {
        if (in)
            ids.insert(id);
        else
            ids.erase(id);
    };
    if (in)
        counts_.open.emplace(r.target, id);
    else if (const auto it = counts_.open.find(r.target); it != counts_.open.end() && it->second == id)
        counts_.open.erase(it);
    if (r.stage == Stage::queued) put(counts_.queued[r.target.router]);
    if (r.stage == Stage::returning) put(out_.contains(r.target) ? counts_.returning : counts_.coming);
    if (r.stage != Stage::granted) return;
    if (in)
        counts_.granted[r.generation] = id, look_at_.insert(id);
    else
        counts_.granted.erase(r.generation);
}

void FleetState::count_silent(const std::string& node, bool in) {
    const std::size_t now = step(counts_.silent, node, in), before = in ? now - 1 : now + 1;
    if (before > 0) counts_.by_silent.erase({before, node});
    if (now > 0) counts_.by_silent.emplace(now, node);
    silent_changed_.insert(node);
}

// After a change of everything: budgets, a state from bytes, leases that were all moved.
void FleetState::recount() {
    counts_ = {};
    newly_over_.clear(), exempt_.clear(), look_at_.clear();
    silent_changed_ = found_silent_;
    heard_to_ = 0;
    queue_told_.clear();
    for (const auto& [name, node] : nodes_) count(name, node, true);
    for (const auto& [name, m] : members_) count(name, m, true);
    for (const auto& [id, r] : requests_) count(id, r, true);
}

void FleetState::recount(const std::string& member) {
    const Member& m = members_.at(member);
    count(member, m, false);
    count(member, m, true);
}

void FleetState::set_out(const Target& t, std::uint64_t request) {
    const auto node = t.router ? nodes_.end() : nodes_.find(t.name);
    const auto member = t.router ? members_.find(t.name) : members_.end();
    const auto both = [&](bool in) {
        if (node != nodes_.end()) count(t.name, node->second, in);
        if (member != members_.end()) count(t.name, member->second, in);
    };
    both(false);
    if (request > 0)
        out_[t] = request;
    else
        out_.erase(t);
    both(true);
}

void FleetState::end(std::uint64_t request) {
    const auto it = requests_.find(request);
    count(request, it->second, false);
    it->second.stage = Stage::ended;
    emit_of<RequestEnded>(request);
    requests_.erase(it);
}

void FleetState::look_again(const TargetView& t) {
    if (const auto it = counts_.open.find(t); it != counts_.open.end()) look_at_.insert(it->second);
}

// After each command: leases that are over, what is done, the way back, halts, and then grants.
void FleetState::settle() {
    settle_members();
    settle_done();
    settle_returns();
    settle_halts();
    settle_grants();
}

void FleetState::settle_members() {
    auto& live = counts_.live_ends;
    while (!live.empty() && now_ > live.begin()->first + budgets_.drift)
        recount(std::string(live.begin()->second));
    auto& acting = counts_.acting_ends;
    while (!acting.empty() && now_ > acting.begin()->first) recount(std::string(acting.begin()->second));
    for (const std::string& name : newly_over_) {
        const auto it = members_.find(name);
        if (it != members_.end() && lease_over(it->second) && !std::exchange(it->second.lost, true))
            emit(MemberLeaseExpired{generation_, name});
    }
    newly_over_.clear();
    // One that is out stays known until its request ends.
    auto& over = counts_.over_ends;
    for (auto it = over.begin(); it != over.end() && now_ - it->first > budgets_.forget;) {
        ++looked_at_;
        const std::string name = (it++)->second;
        if (out(true, name)) continue;
        const auto member = members_.find(name);
        count(name, member->second, false);
        members_.erase(member);
    }
    settle_silent();
}

// Nodes that more or fewer routers find silent now, and those that another number of live routers lets in or
// out.
void FleetState::settle_silent() {
    const double least = budgets_.silent_share * static_cast<double>(counts_.live_routers);
    const auto [from, to] = std::minmax(least, silent_least_);
    if (from < to)
        for (auto it = counts_.by_silent.lower_bound({static_cast<std::size_t>(std::max(0.0, from)), {}});
             it != counts_.by_silent.end() && static_cast<double>(it->first) < to; ++it)
            silent_changed_.insert(it->second);
    silent_least_ = least;
    for (const std::string& name : silent_changed_) {
        ++looked_at_;
        const auto routers = counts_.silent.find(name);
        const bool silent = routers != counts_.silent.end() && static_cast<double>(routers->second) >= least;
        if (silent == found_silent_.contains(name)) continue;
        const auto node = nodes_.find(name);
        if (node != nodes_.end()) count(name, node->second, false);
        if (silent)
            found_silent_.insert(name);
        else
            found_silent_.erase(name);
        if (node != nodes_.end()) count(name, node->second, true);
    }
    silent_changed_.clear();
}

// Everyone alive has said that it goes by that generation and has nothing in hand there. Looked at are those
// of which somebody may have said the last word since.
void FleetState::settle_done() {
    const std::uint64_t heard = counts_.heard.empty() ? UINT64_MAX : counts_.heard.begin()->first;
    for (auto it = counts_.granted.upper_bound(heard_to_); it != counts_.granted.end() && it->first <= heard;
         ++it)
        look_at_.insert(it->second);
    heard_to_ = heard;
    for (const std::string& name : exempt_) look_again({true, name});
    for (const std::uint64_t id : look_at_) {
        const auto it = requests_.find(id);
        if (it == requests_.end() || it->second.stage != Stage::granted) continue;
        Request& r = it->second;
        if (held_up(r)) continue;
        count(id, r, false);
        r.stage = Stage::done;
        count(id, r, true);
        for (const auto& [applied_generation, name] : counts_.lost_acting) {
            if (applied_generation >= r.generation) break;
            r.unacknowledged.insert(name);
        }
        looked_at_ += r.unacknowledged.size();
        emit_of<RemovalDone>(id);
    }
    look_at_.clear();
}

// Back in reverse order, and the next one only when the one before is whole again, so that its cold limits
// hold for all routers together.
void FleetState::settle_returns() {
    for (auto it = counts_.coming.begin(); it != counts_.coming.end();) {
        const std::uint64_t id = *it++;
        ++looked_at_;
        if (!comes_back(requests_.at(id))) end(id);
    }
    while (counts_.coming.empty() && !counts_.returning.empty()) {
        const std::uint64_t id = *counts_.returning.rbegin();
        Request& r = requests_.at(id);
        count(id, r, false);
        set_out(r.target, 0);
        r.generation = ++generation_;
        count(id, r, true);
        emit_of<TargetReturned>(id);
        if (!comes_back(r)) end(id);
    }
}

// What calls for a halt, by the name of the condition, with words.
std::map<std::string, std::string> FleetState::trouble() const {
    std::map<std::string, std::string> found;
    const std::uint64_t queries = counts_.queries, failed = counts_.failed;
    const std::size_t routers = counts_.known_routers, lost = counts_.lost_routers;
    if (queries >= budgets_.halt_failed_least &&
        static_cast<double>(failed) > budgets_.halt_failed * static_cast<double>(queries))
        found["halt_failed"] =
            std::to_string(failed) + " of " + std::to_string(queries) + " queries failed lately";
    if (static_cast<double>(lost) > budgets_.halt_lost * static_cast<double>(routers))
        found["halt_lost"] = std::to_string(lost) + " of " + std::to_string(routers) + " routers are lost";
    if (!counts_.short_shards.empty()) {
        const std::uint32_t shard = *counts_.short_shards.begin();
        found["halt_holders"] = "shard " + std::to_string(shard) + " has " +
                                std::to_string(counts_.shards.at(shard).whole) + " whole holders";
    }
    return found;
}

// A condition halts when it begins to hold; one that a person has resumed over does not halt again until it
// has ended.
void FleetState::settle_halts() {
    const auto now = trouble();
    for (const auto& [name, words] : now)
        if (tripped_.insert(name).second && !halted_) on(Halt{words});
    std::erase_if(tripped_, [&](const std::string& name) { return !now.contains(name); });
}

// First asked first. A queued one that waits holds back those behind it of its sort, or a wide one would
// never come.
void FleetState::settle_grants() {
    auto& queued = counts_.queued;
    if (queued[0].empty() && queued[1].empty()) return queue_told_.clear();
    const bool held = halted_ || now_ < hold_until_;
    const std::string told = halted_ ? "halted: " + halted_for_
                             : held  ? "agreement was interrupted: members are waited for"
                                     : "an earlier request waits";
    if (told != queue_told_) {
        queue_told_ = told;
        for (const auto& ids : queued)
            for (const std::uint64_t id : ids) ++looked_at_, requests_.at(id).blocked_by = told;
    }
    bool waits[2] = {held, held};
    while (true) {
        const bool nodes = !waits[0] && !queued[0].empty(), routers = !waits[1] && !queued[1].empty();
        if (!nodes && !routers) return;
        const bool router = !nodes || (routers && *queued[1].begin() < *queued[0].begin());
        const std::uint64_t id = *queued[router].begin();
        Request& r = requests_.at(id);
        if (const auto why = holds_back(r.target)) {
            r.blocked_by = *why;
            waits[router] = true;
            continue;
        }
        count(id, r, false);
        r.stage = Stage::granted;
        r.fence = ++fence_;
        r.generation = ++generation_;
        r.blocked_by.clear();
        set_out(r.target, id);
        count(id, r, true);
        emit_of<RemovalGranted>(id);
    }
}

}  // namespace tealcart::fleet
