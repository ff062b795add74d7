// What the fleet agrees on: drains under budgets, members with leases, the way back.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "fleet/fleet_state.hpp"

using namespace tealcart::fleet;

namespace {

constexpr Nanos second = 1'000'000'000;

Budgets small_budgets() {
    Budgets b;
    b.nodes = {2, 1};
    b.routers = {1, 1};
    b.lease = 10 * second;
    b.drift = second;
    return b;
}

// Six nodes in a ring: shard s is held by nodes s, s + 1 and s + 2; two zones, one machine kind.
std::map<std::string, Node> ring(int nodes = 6, int width = 3) {
    std::map<std::string, Node> all;
    for (int n = 0; n < nodes; ++n) {
        Node& node = all["n" + std::to_string(n)];
        node = {n % 2 == 0 ? "a" : "b", "m", {}, Health::whole, 0};
        for (int j = 0; j < width; ++j)
            node.shards.push_back(static_cast<std::uint32_t>((n + nodes - j) % nodes));
    }
    return all;
}

struct Fleet {
    explicit Fleet(Budgets budgets = small_budgets()) : state(std::move(budgets)) {
        tell(NodesSeen{nodes});
        for (const char* r : {"r1", "r2"}) tell(Join{r, Role::router, "a", "1.0", "d1", 1});
    }
    template <typename What>
    std::vector<Effect> tell(What what, std::string id = "") {
        return state.apply({std::move(id), now, std::move(what)});
    }
    std::vector<Effect> seen(const std::string& node, Health health) {
        nodes[node].health = health;
        return tell(NodesSeen{nodes});
    }
    std::vector<Effect> says(const char* router, std::uint64_t generation, std::set<std::string> in_hand = {},
                             std::uint64_t life = 1) {
        return tell(Renew{router, life, generation, std::move(in_hand)});
    }

    Nanos now = 1000 * second;
    std::map<std::string, Node> nodes = ring();
    FleetState state;
};

std::vector<Effect::Kind> kinds(const std::vector<Effect>& effects) {
    std::vector<Effect::Kind> all;
    for (const Effect& e : effects) all.push_back(e.kind);
    return all;
}
using Kinds = std::vector<Effect::Kind>;

}  // namespace

TEST_CASE(
    "two operators who drain two holders of one shard: the second waits, with the limit that holds it") {
    Budgets b = small_budgets();
    b.least_holders = 2;
    Fleet f(b);
    const auto first = f.tell(Ask{"ann", {false, "n2"}}, "ann-1");
    CHECK(kinds(first) == Kinds{Effect::asked, Effect::granted});
    const auto second_one = f.tell(Ask{"bob", {false, "n3"}}, "bob-1");
    CHECK(kinds(second_one) == Kinds{Effect::asked});
    CHECK(f.state.requests().at(2).held_by == "shard 2 would keep 1 whole holders");
    // The same request through another steward is the one it was.
    CHECK(f.tell(Ask{"ann", {false, "n2"}}, "ann-1") == first);
    CHECK(f.state.requests().size() == 2);
    // Once the first is back and whole the second goes out by itself, under a greater fence.
    f.tell(Undo{1});
    const auto after = f.tell(Tick{});
    CHECK(f.state.out({false, "n3"}));
    CHECK(f.state.requests().at(2).fence > first.at(1).fence);
    CHECK(after.empty());
}

TEST_CASE("a drain is done only once every live member goes by it and has nothing in hand there") {
    Fleet f;
    const auto granted = f.tell(Ask{"ann", {false, "n0"}}).at(1);
    CHECK(f.says("r1", granted.generation).empty());
    CHECK(f.says("r2", granted.generation - 1).empty());
    CHECK(f.says("r2", granted.generation, {"n0"}).empty());
    CHECK(kinds(f.says("r2", granted.generation)) == Kinds{Effect::done});
    // One that says nothing is waited for until its lease has ended, and what its clock may drift by.
    const auto next = f.tell(Ask{"ann", {false, "n3"}}).at(1);
    f.says("r1", next.generation);
    f.now += 10 * second;
    f.says("r1", next.generation);
    CHECK(f.state.members().size() == 2);
    f.now += second + 1;
    CHECK(kinds(f.says("r1", next.generation)) == Kinds{Effect::over, Effect::done});
    // It comes back with its old life and is not heard; with a new one it is, and knows nothing.
    CHECK(kinds(f.says("r2", next.generation)) == Kinds{Effect::stale});
    f.tell(Join{"r2", Role::router, "a", "1.0", "d1", 2});
    CHECK(f.state.members().at("r2").acts_on == 0);
    // A word for a generation that nobody agreed on is not taken.
    CHECK(kinds(f.says("r2", 99, {}, 2)) == Kinds{Effect::stale});
}

TEST_CASE("what goes out by itself uses up the budget, and a grant is never freed by time alone") {
    Fleet f;
    f.tell(Ask{"ann", {false, "n0"}});
    f.seen("n3", Health::cold);
    CHECK(kinds(f.tell(Ask{"bob", {false, "n4"}})) == Kinds{Effect::asked});
    CHECK(f.state.requests().at(2).held_by == "nodes: 2 of 6 are out, 2 may be");
    f.now += 3600 * second;
    f.tell(Tick{});
    CHECK(f.state.out({false, "n0"}));
    CHECK_FALSE(f.state.out({false, "n4"}));
    // One that is out by itself already takes no more of it.
    CHECK(kinds(f.tell(Ask{"bob", {true, "r1"}})) == Kinds{Effect::refused});  // its lease is over
    f.seen("n3", Health::whole);
    CHECK(f.state.out({false, "n4"}));
    // Forgotten by discovery while it is out, it stays counted.
    f.nodes.erase("n0");
    f.tell(NodesSeen{f.nodes});
    CHECK(f.state.nodes().at("n0").health == Health::gone);
    CHECK(f.state.out({false, "n0"}));
}

TEST_CASE("what can never be granted is refused with the reason, what is asked twice is told of") {
    Budgets b = small_budgets();
    Fleet f(b);
    CHECK(f.tell(Ask{"ann", {false, "n9"}}).at(0).why == "no such data node is known");
    f.nodes = ring(6, 1);
    f.tell(NodesSeen{f.nodes});
    CHECK(f.tell(Ask{"ann", {false, "n0"}}).at(0).why == "shard 0 has only 0 other holders");
    f.nodes = ring();
    f.tell(NodesSeen{f.nodes});
    f.tell(Ask{"ann", {false, "n0"}});
    const auto again = f.tell(Ask{"bob", {false, "n0"}}).at(0);
    CHECK(again.request == 1);
    CHECK(again.why == "already granted");
    // Budgets lowered below what is out take nothing back, and grant nothing more.
    b.nodes.most = 0;
    f.state.take_budgets(b);
    f.tell(Tick{});
    CHECK(f.state.out({false, "n0"}));
    CHECK(f.tell(Ask{"ann", {false, "n3"}}).at(0).kind == Effect::refused);
}

TEST_CASE(
    "the way back is the reverse, one at a time until each is whole; a halt grants nothing and stops no "
    "return") {
    Fleet f;
    f.tell(Ask{"ann", {false, "n0"}});
    f.tell(Ask{"ann", {false, "n3"}});
    f.seen("n0", Health::draining);
    f.seen("n3", Health::draining);
    CHECK(kinds(f.tell(Halt{"queries fail"})) == Kinds{Effect::halted});
    CHECK(kinds(f.tell(Ask{"ann", {true, "r1"}})) == Kinds{Effect::asked});
    CHECK(f.state.requests().at(3).held_by == "halted: queries fail");
    f.tell(Undo{1});
    f.tell(Undo{2});
    CHECK(f.state.out({false, "n0"}) == false);  // asked back alone, and first
    CHECK(f.state.out({false, "n3"}));           // waits for n0
    f.seen("n0", Health::cold);
    CHECK(f.state.out({false, "n3"}));
    CHECK(kinds(f.seen("n0", Health::whole)) == Kinds{Effect::ended, Effect::returned});
    CHECK_FALSE(f.state.out({false, "n3"}));
    CHECK(kinds(f.seen("n3", Health::whole)) == Kinds{Effect::ended});
    CHECK(kinds(f.tell(Resume{})) == Kinds{Effect::resumed, Effect::granted});
}

TEST_CASE("a saved state goes on as the one it was saved from; another form and noise are told") {
    Fleet f;
    CHECK_THROWS_WITH(f.state.load({1, 2, 3}), Catch::StartsWith("a fleet's state that can't be read"));
    CHECK(f.state.nodes().size() == 6);
    auto other = f.state.save();
    const auto at = std::search(other.begin(), other.end(), "form", "form" + 4);
    REQUIRE(at != other.end());
    *(at + 4) = 2;
    CHECK_THROWS_WITH(f.state.load(other), "a fleet's state of form 2, this program reads 1");
}

TEST_CASE("generated commands: no grant over a budget, replicas agree, what comes twice is one") {
    const auto seed = GENERATE(range(1U, 13U));
    std::knuth_b chance(seed);
    const auto pick = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    Budgets b;
    b.nodes = {static_cast<std::size_t>(2 + pick(4)), 0.25 + 0.1 * pick(3)};
    b.nodes_a_zone = {static_cast<std::size_t>(1 + pick(3)), 1};
    b.least_holders = static_cast<std::size_t>(1 + pick(2));
    b.routers = {2, 1};
    b.lease = 10 * second;
    b.drift = second;
    FleetState state(b), replica(b);
    auto nodes = ring(12);
    std::map<std::string, std::uint64_t> lives;
    Nanos now = 1000 * second;
    std::uint64_t last_fence = 0;
    std::set<std::uint64_t> granted, done;
    for (int i = 0; i < 800; ++i) {
        now += pick(5) == 0 ? pick(6) * second : 0;
        const std::string node = "n" + std::to_string(pick(12)), router = "r" + std::to_string(pick(6));
        Command c{"c" + std::to_string(i), now - pick(2) * second, Tick{}};
        const int what = pick(12);
        if (what == 0) c.what = Join{router, Role::router, pick(2) ? "a" : "b", "1", "d", ++lives[router]};
        if (what >= 1 && what <= 4)
            c.what = Renew{router, lives[router],
                           state.generation() - std::min<std::uint64_t>(state.generation(), pick(2)),
                           pick(8) == 0 ? std::set<std::string>{node} : std::set<std::string>{}};
        if (what == 5 || what == 6) c.what = Ask{"ann", {pick(4) == 0, pick(4) == 0 ? router : node}};
        if (what == 7 && !state.requests().empty())
            c.what = Undo{std::next(state.requests().begin(), pick(int(state.requests().size())))->first};
        if (what >= 8 && what <= 10) {
            nodes[node].health = pick(8) == 0 ? static_cast<Health>(1 + pick(4)) : Health::whole;
            if (pick(20) == 0) nodes.erase(node);
            if (pick(10) == 0) nodes[node] = ring(12)[node];
            c.what = NodesSeen{nodes};
        }
        if (what == 11)
            c.what = pick(4) == 0 ? decltype(c.what)(Halt{"a person"}) : decltype(c.what)(Resume{});
        const auto effects = state.apply(c);
        CHECK(replica.apply(c) == effects);
        // The plain model: everything is counted anew, from what can be seen.
        for (const Effect& e : effects) {
            if (e.kind != Effect::granted) continue;
            CHECK_FALSE(state.halted());
            CHECK(e.fence == ++last_fence);
            CHECK(granted.insert(e.request).second);
            const Request& r = state.requests().at(e.request);
            CHECK(state.out(r.target));
        }
        const bool any =
            std::any_of(effects.begin(), effects.end(), [](auto& e) { return e.kind == Effect::granted; });
        if (any) {
            std::size_t out = 0, routers_out = 0;
            std::map<std::string, std::size_t> zone;
            std::map<std::uint32_t, std::size_t> whole;
            for (const auto& [name, n] : state.nodes()) {
                const bool is_out = n.health != Health::whole || state.out({false, name});
                out += is_out, zone[n.zone] += is_out;
                for (const std::uint32_t s : n.shards) whole[s] += !is_out;
            }
            for (const auto& [name, m] : state.members()) routers_out += state.out({true, name});
            bool took_whole = false;
            for (const Effect& e : effects)
                if (e.kind == Effect::granted && !state.requests().at(e.request).target.router)
                    took_whole |= state.nodes().at(e.about).health == Health::whole;
            if (took_whole) {  // else it was out already, and uses up nothing more
                CHECK(out <= b.nodes.of(state.nodes().size()));
                for (const Effect& e : effects)
                    if (e.kind == Effect::granted && !state.requests().at(e.request).target.router &&
                        state.nodes().at(e.about).health == Health::whole) {
                        CHECK(zone[state.nodes().at(e.about).zone] <= b.nodes_a_zone.most);
                        for (const std::uint32_t s : state.nodes().at(e.about).shards)
                            CHECK(whole[s] >= b.least_holders);
                    }
            }
            CHECK(routers_out <= 2);
        }
        for (const Effect& e : effects)
            if (e.kind == Effect::done) {
                CHECK(done.insert(e.request).second);
                for (const auto& [name, m] : state.members())
                    CHECK((m.acts_on >= e.generation || m.lease_until + b.drift < now));
            }
        if (pick(20) != 0) continue;
        const auto saved = state.save();
        CHECK(replica.save() == saved);
        CHECK(state.apply(c) == effects);  // the same command by another leader
        CHECK(state.save() == saved);
        FleetState anew(b);
        anew.load(saved);
        CHECK(anew.save() == saved);
        replica = anew;
    }
    CHECK(granted.size() > 3);
    CHECK(!done.empty());
}
