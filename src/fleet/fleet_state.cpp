#include "fleet/fleet_state.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::fleet {
namespace {

const char* const stages[] = {"queued", "granted", "done", "returning", "ended"};

}  // namespace

std::size_t Limit::of(std::size_t all) const {
    // A share is stated in decimals, so a hair is added before it is rounded down.
    const double by_share = std::floor(share * static_cast<double>(all) + 1e-9);
    return std::min(most, static_cast<std::size_t>(std::max(0.0, by_share)));
}

std::vector<Effect> FleetState::apply(const Command& command) {
    if (const auto known = remembered_.find(command.id); known != remembered_.end()) return known->second;
    effects_.clear();
    pass_time(command.at);
    std::visit([this](const auto& what) { on(what); }, command.what);
    settle();
    if (!command.id.empty()) {
        remembered_[command.id] = effects_;
        came_.push_back(command.id);
        while (came_.size() > budgets_.most_remembered) {
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
    if (now_ > 0 && gap > budgets_.lease / 4) {
        for (auto& [name, m] : members_)
            if (!m.lost && !m.left) m.lease_until += gap;
        hold_until_ = at + budgets_.lease + budgets_.drift;
    }
    now_ = at;
}

void FleetState::tell(Effect::Kind kind, std::uint64_t request, std::string why) {
    const auto it = requests_.find(request);
    if (it == requests_.end()) return effects_.push_back({kind, request, 0, generation_, {}, std::move(why)});
    const Request& r = it->second;
    effects_.push_back({kind, request, r.fence, r.generation, r.target.name, std::move(why)});
}

void FleetState::on(const Join& c) {
    Member& m = members_[c.name];
    if (c.life < m.life)
        return effects_.push_back({Effect::stale, 0, 0, generation_, c.name, "an earlier life"});
    // A new life knows nothing of what the old one acted on, and has nothing in hand. The old one's process
    // may still be there: its word is not taken, and it hears so.
    if (c.life > m.life) m = Member{};
    m.role = c.role, m.zone = c.zone, m.version = c.version, m.digest = c.digest, m.life = c.life;
    m.serve_on = c.serve_on;
    m.lost = m.left = false;
    m.lease_until = std::max(m.lease_until, now_ + budgets_.lease);
}

void FleetState::on(const Renew& c) {
    const auto it = members_.find(c.name);
    if (it == members_.end() || it->second.life != c.life || it->second.left)
        return effects_.push_back(
            {Effect::stale, 0, 0, generation_, c.name, "not a member, or of another life"});
    Member& m = it->second;
    m.lease_until = std::max(m.lease_until, now_ + budgets_.lease);
    m.lost = false;
    if (c.word.acts_on > generation_)
        return effects_.push_back(
            {Effect::stale, 0, 0, generation_, c.name, "a generation that is not agreed"});
    // Words may overtake each other: an older one knows nothing of what the member has in hand now.
    if (c.word.acts_on >= m.word.acts_on) m.word = c.word;
}

void FleetState::on(const Words& c) {
    for (const Join& join : c.joins) on(join);
    for (const Renew& renew : c.renewals) on(renew);
}

void FleetState::on(const Leave& c) {
    const auto it = members_.find(c.name);
    if (it == members_.end() || it->second.life != c.life)
        return effects_.push_back(
            {Effect::stale, 0, 0, generation_, c.name, "not a member, or of another life"});
    Member& m = it->second;
    m.left = true;
    m.lease_until = std::min(m.lease_until, now_ - budgets_.drift - 1);
    m.word = {};
}

// Not one that is out: its request would be left without its target.
void FleetState::on(const Forget& c) {
    const auto it = members_.find(c.name);
    std::string why;
    if (it == members_.end())
        why = "no such member";
    else if (!lease_over(it->second))
        why = "its lease is not over";
    else if (out_.contains({true, c.name}))
        why = "it is out by agreement; undrain it first";
    if (!why.empty()) return effects_.push_back({Effect::refused, 0, 0, generation_, c.name, why});
    members_.erase(it);
    effects_.push_back({Effect::forgotten, 0, 0, generation_, c.name, {}});
}

// A node that discovery forgets while it is out stays known as gone, so that its request and what it uses up
// of the budgets are not lost; others are dropped.
void FleetState::on(const NodesSeen& c) {
    for (auto it = nodes_.begin(); it != nodes_.end();) {
        if (c.whole ? c.nodes.contains(it->first) : !c.gone.contains(it->first)) {
            ++it;
        } else if (out_.contains({false, it->first})) {
            (it++)->second.health = Health::gone;
        } else {
            it = nodes_.erase(it);
        }
    }
    for (const auto& [name, node] : c.nodes) nodes_[name] = node;
}

void FleetState::on(const Ask& c) {
    if (requests_.size() >= budgets_.most_open)
        return effects_.push_back(
            {Effect::refused, 0, 0, generation_, c.target.name, "too many requests are open"});
    for (const auto& [id, r] : requests_)
        if (r.target == c.target)
            return tell(Effect::asked, id, std::string("already ") + stages[int(r.stage)]);
    if (const auto why = never(c.target))
        return effects_.push_back({Effect::refused, 0, 0, generation_, c.target.name, *why});
    requests_[++last_request_] = {c.asker, c.target, Stage::queued, 0, 0, {}, {}};
    tell(Effect::asked, last_request_);
}

// The way back. One that is not out yet just ends; one that is out comes back in settle(), the last one out
// first.
void FleetState::on(const Undo& c) {
    const auto it = requests_.find(c.request);
    if (it == requests_.end())
        return effects_.push_back(
            {Effect::refused, c.request, 0, generation_, {}, "no such request is open"});
    if (it->second.stage == Stage::queued) {
        tell(Effect::ended, c.request);
        requests_.erase(it);
    } else {
        it->second.stage = Stage::returning;
    }
}

void FleetState::on(const Halt& c) {
    halted_ = true;
    halted_for_ = c.why;
    effects_.push_back({Effect::halted, 0, 0, generation_, {}, c.why});
}

void FleetState::on(const Resume&) {
    halted_ = false;
    halted_for_.clear();
    effects_.push_back({Effect::resumed, 0, 0, generation_, {}, {}});
}

// Whoever took it out: what goes out by itself is not ours to stop, but uses up the budget.
bool FleetState::counts_as_out(const Target& t) const {
    if (out_.contains(t)) return true;
    if (!t.router) {
        const auto it = nodes_.find(t.name);
        return it == nodes_.end() || it->second.health != Health::whole || found_silent_.contains(t.name);
    }
    const auto it = members_.find(t.name);
    return it == members_.end() || lease_over(it->second);
}

// Not whole yet, but there: what has died in the meantime holds nobody back. A router is whole again once it
// goes by the agreement that lets it back.
bool FleetState::comes_back(const Request& r) const {
    if (r.target.router) {
        const auto it = members_.find(r.target.name);
        return it != members_.end() && !lease_over(it->second) && it->second.word.acts_on < r.generation;
    }
    const auto it = nodes_.find(r.target.name);
    return it != nodes_.end() && it->second.health != Health::gone && it->second.health != Health::whole;
}

// It may still go by an older word: by its lease, or by what it last knew.
bool FleetState::may_act(const Member& m) const {
    if (m.left) return false;
    const Nanos until = m.lease_until > INT64_MAX - m.serve_on - budgets_.drift
                            ? INT64_MAX
                            : m.lease_until + m.serve_on + budgets_.drift;
    return now_ <= until;
}

bool FleetState::holds_up(const std::string& name, const Member& m, const Request& r) const {
    if (budgets_.wait_for_lost ? !may_act(m) : lease_over(m)) return false;
    // A router that is lost can't tell that it has nothing in hand; it has nothing that counts.
    if (r.target.router && r.target.name == name && lease_over(m)) return false;
    return m.word.acts_on < r.generation || m.word.in_hand.contains(r.target);
}

std::vector<std::string> FleetState::waits_for(const Request& request) const {
    std::vector<std::string> names;
    for (const auto& [name, m] : members_)
        if (holds_up(name, m, request)) names.push_back(name);
    return names;
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
        std::size_t others = 0;
        for (const auto& [name, node] : nodes_)
            others += name != t.name &&
                      std::find(node.shards.begin(), node.shards.end(), shard) != node.shards.end();
        if (others < budgets_.least_holders)
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
    std::size_t all = 0, out = 0, all_zone = 0, out_zone = 0, all_kind = 0, out_kind = 0;
    if (t.router) {
        const auto self = members_.find(t.name);
        if (self == members_.end()) return "no such query router is a member";
        for (const auto& [name, m] : members_) {
            if (m.role != Role::router) continue;
            const bool is_out = counts_as_out({true, name}), here = m.zone == self->second.zone;
            ++all, out += is_out, all_zone += here, out_zone += here && is_out;
        }
        if (auto why = over(budgets_.routers, out, all, "routers")) return why;
        return over(budgets_.routers_a_zone, out_zone, all_zone, "routers_a_zone " + self->second.zone);
    }
    const auto self = nodes_.find(t.name);
    if (self == nodes_.end()) return "no such data node is known";
    const Node& me = self->second;
    for (const auto& [name, n] : nodes_) {
        const bool is_out = counts_as_out({false, name}), zone = n.zone == me.zone, kind = n.kind == me.kind;
        ++all, out += is_out, all_zone += zone, out_zone += zone && is_out, all_kind += kind;
        out_kind += kind && is_out;
    }
    if (auto why = over(budgets_.nodes, out, all, "nodes")) return why;
    if (auto why = over(budgets_.nodes_a_zone, out_zone, all_zone, "nodes_a_zone " + me.zone)) return why;
    if (auto why = over(budgets_.nodes_a_kind, out_kind, all_kind, "nodes_a_kind " + me.kind)) return why;
    std::map<std::uint32_t, std::size_t> whole;
    for (const std::uint32_t shard : me.shards) whole[shard] = 0;
    for (const auto& [name, n] : nodes_) {
        if (name == t.name || counts_as_out({false, name})) continue;
        for (const std::uint32_t shard : n.shards)
            if (const auto it = whole.find(shard); it != whole.end()) ++it->second;
    }
    for (const auto& [shard, holders] : whole)
        if (holders < budgets_.least_holders)
            return "shard " + std::to_string(shard) + " would keep " + std::to_string(holders) +
                   " whole holders";
    return std::nullopt;
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
    std::size_t live = 0;
    std::map<std::string, std::size_t> silent;
    for (auto it = members_.begin(); it != members_.end();) {
        Member& m = it->second;
        if (!lease_over(m)) {
            live += m.role == Role::router;
            if (m.role == Role::router)
                for (const std::string& node : m.word.silent) ++silent[node];
        } else if (!std::exchange(m.lost, true)) {
            effects_.push_back({Effect::over, 0, 0, generation_, it->first, {}});
        }
        // One that is out stays known until its request ends.
        const bool old = lease_over(m) && now_ - m.lease_until > budgets_.forget;
        if (old && !out_.contains({true, it->first}))
            it = members_.erase(it);
        else
            ++it;
    }
    found_silent_.clear();
    for (const auto& [node, routers] : silent)
        if (static_cast<double>(routers) >= budgets_.silent_share * static_cast<double>(live))
            found_silent_.insert(node);
}

// Everyone alive has said that it goes by that generation and has nothing in hand there.
void FleetState::settle_done() {
    for (auto& [id, r] : requests_) {
        if (r.stage != Stage::granted) continue;
        if (std::any_of(members_.begin(), members_.end(),
                        [&](const auto& m) { return holds_up(m.first, m.second, r); }))
            continue;
        r.stage = Stage::done;
        for (const auto& [name, m] : members_)
            if (lease_over(m) && may_act(m) && m.word.acts_on < r.generation) r.unheard.insert(name);
        tell(Effect::done, id);
    }
}

// Back in reverse order, and the next one only when the one before is whole again, so that its cold limits
// hold for all routers together.
void FleetState::settle_returns() {
    bool one_comes = false;
    const auto look = [&](std::uint64_t id, Request& r) {
        if (comes_back(r)) return void(one_comes = true);
        r.stage = Stage::ended;
        tell(Effect::ended, id);
    };
    for (auto& [id, r] : requests_)
        if (r.stage == Stage::returning && !out_.contains(r.target)) look(id, r);
    for (auto it = requests_.rbegin(); it != requests_.rend() && !one_comes; ++it) {
        if (it->second.stage != Stage::returning) continue;
        out_.erase(it->second.target);
        it->second.generation = ++generation_;
        tell(Effect::returned, it->first);
        look(it->first, it->second);
    }
    std::erase_if(requests_, [](const auto& r) { return r.second.stage == Stage::ended; });
}

// What calls for a halt, by the name of the condition, with words.
std::map<std::string, std::string> FleetState::trouble() const {
    std::map<std::string, std::string> found;
    std::uint64_t queries = 0, failed = 0;
    std::size_t routers = 0, lost = 0;
    for (const auto& [name, m] : members_) {
        if (m.role != Role::router || m.left) continue;
        ++routers;
        if (lease_over(m)) {
            ++lost;
        } else {
            queries += m.word.queries;
            failed += m.word.failed;
        }
    }
    if (queries >= budgets_.halt_failed_least &&
        static_cast<double>(failed) > budgets_.halt_failed * static_cast<double>(queries))
        found["halt_failed"] =
            std::to_string(failed) + " of " + std::to_string(queries) + " queries failed lately";
    if (static_cast<double>(lost) > budgets_.halt_lost * static_cast<double>(routers))
        found["halt_lost"] = std::to_string(lost) + " of " + std::to_string(routers) + " routers are lost";
    if (budgets_.halt_holders > 0) {
        std::map<std::uint32_t, std::size_t> whole;
        for (const auto& [name, n] : nodes_) {
            const bool is_out = counts_as_out({false, name});
            for (const std::uint32_t shard : n.shards) whole[shard] += !is_out;
        }
        for (const auto& [shard, holders] : whole) {
            if (holders >= budgets_.halt_holders) continue;
            found["halt_holders"] =
                "shard " + std::to_string(shard) + " has " + std::to_string(holders) + " whole holders";
            break;
        }
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
    const bool held = halted_ || now_ < hold_until_;
    bool node_waits = held, router_waits = held;
    for (auto& [id, r] : requests_) {
        bool& waits = r.target.router ? router_waits : node_waits;
        if (r.stage != Stage::queued) continue;
        if (waits) {
            r.held_by = halted_ ? "halted: " + halted_for_
                        : held  ? "agreement was interrupted: members are waited for"
                                : "an earlier request waits";
            continue;
        }
        if (const auto why = holds_back(r.target)) {
            r.held_by = *why;
            waits = true;
            continue;
        }
        r.stage = Stage::granted;
        r.fence = ++fence_;
        r.generation = ++generation_;
        r.held_by.clear();
        out_[r.target] = id;
        tell(Effect::granted, id);
    }
}

}  // namespace tealcart::fleet
