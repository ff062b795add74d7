#include "fleet/fleet_state.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace tealcart::fleet {
namespace {

using nlohmann::json;

constexpr int form = 1;  // of a saved state

const char* const stages[] = {"queued", "granted", "done", "returning", "ended"};

}  // namespace

std::size_t Limit::of(std::size_t all) const {
    // A share is stated in decimals, so a hair is added before it is rounded down.
    const double by_share = std::floor(share * static_cast<double>(all) + 1e-9);
    return std::min(most, static_cast<std::size_t>(std::max(0.0, by_share)));
}

std::vector<Effect> FleetState::apply(const Command& command) {
    if (const auto known = remembered_.find(command.id); known != remembered_.end()) return known->second;
    now_ = std::max(now_, command.at);  // a new leader's clock may be behind the last one's
    effects_.clear();
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
    // A new life knows nothing of what the old one acted on, and has nothing in hand.
    if (c.life > m.life) m = Member{};
    m.role = c.role, m.zone = c.zone, m.version = c.version, m.digest = c.digest, m.life = c.life;
    m.lease_until = now_ + budgets_.lease;
}

void FleetState::on(const Renew& c) {
    const auto it = members_.find(c.name);
    if (it == members_.end() || it->second.life != c.life)
        return effects_.push_back(
            {Effect::stale, 0, 0, generation_, c.name, "not a member, or of another life"});
    Member& m = it->second;
    m.lease_until = now_ + budgets_.lease;
    if (c.acts_on > generation_)
        return effects_.push_back(
            {Effect::stale, 0, 0, generation_, c.name, "a generation that is not agreed"});
    m.acts_on = std::max(m.acts_on, c.acts_on);  // words may overtake each other
    m.in_hand = c.in_hand;
}

void FleetState::on(const Leave& c) {
    const auto it = members_.find(c.name);
    if (it == members_.end() || it->second.life != c.life)
        return effects_.push_back(
            {Effect::stale, 0, 0, generation_, c.name, "not a member, or of another life"});
    it->second.lease_until = INT64_MIN / 2;
    it->second.in_hand.clear();
}

// A node that discovery forgets while it is out stays known as gone, so that its request and what it uses up
// of the budgets are not lost; others are dropped.
void FleetState::on(const NodesSeen& c) {
    for (auto it = nodes_.begin(); it != nodes_.end();) {
        if (c.nodes.contains(it->first)) {
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
    requests_[++last_request_] = {c.asker, c.target, Stage::queued, 0, 0, {}};
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

bool FleetState::lease_over(const Member& m) const { return now_ > m.lease_until + budgets_.drift; }

// Whoever took it out: what goes out by itself is not ours to stop, but uses up the budget.
bool FleetState::counts_as_out(const Target& t) const {
    if (out_.contains(t)) return true;
    if (!t.router) {
        const auto it = nodes_.find(t.name);
        return it == nodes_.end() || it->second.health != Health::whole;
    }
    const auto it = members_.find(t.name);
    return it == members_.end() || lease_over(it->second);
}

// Not whole yet, but there: what has died in the meantime holds nobody back.
bool FleetState::comes_back(const Target& t) const {
    if (t.router) return false;
    const auto it = nodes_.find(t.name);
    return it != nodes_.end() && it->second.health != Health::gone && it->second.health != Health::whole;
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
    for (const std::uint32_t shard : me.shards) {
        std::size_t whole = 0;
        for (const auto& [name, n] : nodes_)
            whole += name != t.name && !counts_as_out({false, name}) &&
                     std::find(n.shards.begin(), n.shards.end(), shard) != n.shards.end();
        if (whole < budgets_.least_holders)
            return "shard " + std::to_string(shard) + " would keep " + std::to_string(whole) +
                   " whole holders";
    }
    return std::nullopt;
}

// After each command: leases that are over, what is done, the way back, and then grants, first asked first.
void FleetState::settle() {
    for (auto it = members_.begin(); it != members_.end();) {
        // One that is out stays known until its request ends.
        if (lease_over(it->second) && !out_.contains({true, it->first})) {
            effects_.push_back({Effect::over, 0, 0, generation_, it->first, {}});
            it = members_.erase(it);
        } else {
            ++it;
        }
    }
    for (auto& [id, r] : requests_) {
        if (r.stage != Stage::granted) continue;
        // Everyone alive has said that it goes by that generation and has nothing in hand there.
        const bool all = std::all_of(members_.begin(), members_.end(), [&](const auto& m) {
            return lease_over(m.second) ||
                   (m.second.acts_on >= r.generation && !m.second.in_hand.contains(r.target.name));
        });
        if (!all) continue;
        r.stage = Stage::done;
        tell(Effect::done, id);
    }
    // Back in reverse order, and the next one only when the one before is whole again, so that its cold
    // limits hold for all routers together.
    bool one_comes = false;
    const auto look = [&](std::uint64_t id, Request& r) {
        if (comes_back(r.target)) return void(one_comes = true);
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
    // A queued one that waits holds back those behind it of its sort, or a wide one would never come.
    bool node_waits = halted_, router_waits = halted_;
    for (auto& [id, r] : requests_) {
        bool& waits = r.target.router ? router_waits : node_waits;
        if (r.stage != Stage::queued) continue;
        if (waits) {
            r.held_by = halted_ ? "halted: " + halted_for_ : "an earlier request waits";
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

std::vector<std::uint8_t> FleetState::save() const {
    json members = json::object(), nodes = json::object(), requests = json::array(), out = json::array(),
         remembered = json::array();
    for (const auto& [name, m] : members_)
        members[name] = {int(m.role), m.zone,        m.version, m.digest,
                         m.life,      m.lease_until, m.acts_on, m.in_hand};
    for (const auto& [name, n] : nodes_)
        nodes[name] = {n.zone, n.kind, n.shards, int(n.health), n.started_at};
    for (const auto& [id, r] : requests_)
        requests.push_back(
            {id, r.asker, r.target.router, r.target.name, int(r.stage), r.fence, r.generation, r.held_by});
    for (const auto& [t, id] : out_) out.push_back({t.router, t.name, id});
    for (const std::string& id : came_) {
        json list = json::array();
        for (const Effect& e : remembered_.at(id))
            list.push_back({int(e.kind), e.request, e.fence, e.generation, e.about, e.why});
        remembered.push_back({id, list});
    }
    return json::to_cbor({{"form", form},
                          {"members", members},
                          {"nodes", nodes},
                          {"requests", requests},
                          {"out", out},
                          {"remembered", remembered},
                          {"numbers", {generation_, fence_, last_request_}},
                          {"halted", halted_},
                          {"halted_for", halted_for_},
                          {"now", now_}});
}

void FleetState::load(const std::vector<std::uint8_t>& bytes) {
    FleetState read(budgets_);
    try {
        const json all = json::from_cbor(bytes);
        if (const int of = all.at("form").get<int>(); of != form)
            throw std::runtime_error("a fleet's state of form " + std::to_string(of) +
                                     ", this program reads " + std::to_string(form));
        for (const auto& [name, m] : all.at("members").items())
            read.members_[name] = {static_cast<Role>(m.at(0).get<int>()),
                                   m.at(1),
                                   m.at(2),
                                   m.at(3),
                                   m.at(4),
                                   m.at(5),
                                   m.at(6),
                                   m.at(7)};
        for (const auto& [name, n] : all.at("nodes").items())
            read.nodes_[name] = {n.at(0), n.at(1), n.at(2).get<std::vector<std::uint32_t>>(),
                                 static_cast<Health>(n.at(3).get<int>()), n.at(4)};
        for (const json& r : all.at("requests"))
            read.requests_[r.at(0)] = {
                r.at(1), {r.at(2), r.at(3)}, static_cast<Stage>(r.at(4).get<int>()), r.at(5), r.at(6),
                r.at(7)};
        for (const json& o : all.at("out")) read.out_[{o.at(0), o.at(1)}] = o.at(2);
        for (const json& c : all.at("remembered")) {
            std::vector<Effect> effects;
            for (const json& e : c.at(1))
                effects.push_back({static_cast<Effect::Kind>(e.at(0).get<int>()), e.at(1), e.at(2), e.at(3),
                                   e.at(4), e.at(5)});
            read.came_.push_back(c.at(0));
            read.remembered_[read.came_.back()] = std::move(effects);
        }
        read.generation_ = all.at("numbers").at(0);
        read.fence_ = all.at("numbers").at(1);
        read.last_request_ = all.at("numbers").at(2);
        read.halted_ = all.at("halted");
        read.halted_for_ = all.at("halted_for");
        read.now_ = all.at("now");
    } catch (const json::exception& e) {
        throw std::runtime_error(std::string("a fleet's state that can't be read: ") + e.what());
    }
    *this = std::move(read);
}

}  // namespace tealcart::fleet
