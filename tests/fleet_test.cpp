// What the fleet agrees on: drains under budgets, members with leases, the way back.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "effect_kinds.hpp"
#include "fleet/fleet_state.hpp"
#include "fleet_recount.hpp"

using namespace tealcart::fleet;
using tealcart::test::kinds;
using tealcart::test::kinds_of;
using tealcart::test::of_kind;

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
        node = {n % 2 == 0 ? "a" : "b", "m", {}, Health::healthy, 0};
        for (int j = 0; j < width; ++j)
            node.shards.push_back(static_cast<std::uint32_t>((n + nodes - j) % nodes));
    }
    return all;
}

struct Fleet {
    explicit Fleet(Budgets budgets = small_budgets()) : state(std::move(budgets)) {
        tell(EndpointsObserved{nodes});
        for (const char* r : {"r1", "r2"}) tell(Join{r, Role::router, "a", "1.0", "d1", 1});
    }
    template <typename What>
    Effects tell(What what, std::string id = "") {
        return state.apply({std::move(id), now, std::move(what)});
    }
    Effects seen(const std::string& node, Health health) {
        nodes[node].health = health;
        return tell(EndpointsObserved{nodes});
    }
    Effects says(const char* router, std::uint64_t generation, std::set<Target> in_flight = {},
                 std::uint64_t incarnation = 1) {
        return tell(Renew{router, incarnation, {generation, std::move(in_flight), {}, 0, 0}});
    }
    // In steps that are no gap in the agreement; both routers renew where asked to.
    void pass(Nanos span, bool r1 = true, bool r2 = true) {
        const Nanos until = now + span;
        while (now < until) {
            now = std::min(until, now + second);
            tell(Tick{});
            if (r1) says("r1", 0);
            if (r2) says("r2", 0);
        }
    }

    Nanos now = 1000 * second;
    std::map<std::string, Node> nodes = ring();
    FleetState state;
};

// What the first effect says of why the command was rejected.
std::string rejection(const Effects& effects) { return std::get<CommandRejected>(effects.at(0)).reason; }

}  // namespace

TEST_CASE(
    "two operators who drain two holders of one shard: the second waits, with the limit that holds it") {
    Budgets b = small_budgets();
    b.min_holders = 2;
    Fleet f(b);
    const auto first = f.tell(RequestRemoval{"ann", {false, "n2"}}, "ann-1");
    CHECK(kinds(first) == kinds_of<Effect, RemovalQueued, RemovalGranted>());
    const auto second_one = f.tell(RequestRemoval{"bob", {false, "n3"}}, "bob-1");
    CHECK(kinds(second_one) == kinds_of<Effect, RemovalQueued>());
    CHECK(f.state.requests().at(2).blocked_by == "shard 1 would keep 1 whole holders");
    // The same request through another manager is the one it was.
    CHECK(f.tell(RequestRemoval{"ann", {false, "n2"}}, "ann-1") == first);
    CHECK(f.state.requests().size() == 2);
    // Once the first is back and whole the second goes out by itself, under a greater fence.
    f.tell(UndoRemoval{1});
    const auto after = f.tell(Tick{});
    CHECK(f.state.is_removed({false, "n3"}));
    CHECK(f.state.requests().at(2).fence > std::get<RemovalGranted>(first.at(1)).fence);
    CHECK(after.empty());
}

TEST_CASE("a drain is done only once every live member goes by it and has nothing in hand there") {
    Fleet f;
    const auto granted = std::get<RemovalGranted>(f.tell(RequestRemoval{"ann", {false, "n0"}}).at(1));
    CHECK(f.says("r1", granted.generation).empty());
    CHECK(f.says("r2", granted.generation - 1).empty());
    CHECK(f.says("r2", granted.generation, {{false, "n0"}}).empty());
    CHECK(f.says("r2", granted.generation - 1).empty());  // late: it says nothing of what is in hand now
    CHECK(kinds(f.says("r2", granted.generation)) == kinds_of<Effect, RemovalDone>());
    // One that says nothing is waited for until its lease has ended, and what its clock may drift by.
    const auto next = std::get<RemovalGranted>(f.tell(RequestRemoval{"ann", {false, "n3"}}).at(1));
    f.says("r1", next.generation);
    f.pass(11 * second, true, false);
    CHECK(f.state.requests().at(2).stage == Stage::granted);
    f.now += 1;
    CHECK(kinds(f.says("r1", next.generation)) == kinds_of<Effect, MemberLeaseExpired, RemovalDone>());
    // It may serve on by what it knew: that is told. It joins with a new incarnation, and knows nothing then.
    CHECK(
        f.state.requests().at(2).unacknowledged.empty());  // it has said that it acts on no later word at all
    f.tell(Join{"r2", Role::router, "a", "1.0", "d1", 2});
    CHECK(f.state.members().at("r2").report.applied_generation == 0);
    CHECK(kinds(f.says("r2", next.generation)) ==
          kinds_of<Effect, StaleReport>());  // of the incarnation before
    // A word for a generation that nobody agreed on is not taken.
    CHECK(kinds(f.says("r2", 99, {}, 2)) == kinds_of<Effect, StaleReport>());
}

TEST_CASE("what goes out by itself uses up the budget, and a grant is never freed by time alone") {
    Fleet f;
    f.tell(RequestRemoval{"ann", {false, "n0"}});
    f.seen("n3", Health::cold);
    CHECK(kinds(f.tell(RequestRemoval{"bob", {false, "n4"}})) == kinds_of<Effect, RemovalQueued>());
    CHECK(f.state.requests().at(2).blocked_by == "nodes: 2 of 6 are out, 2 may be");
    f.pass(1800 * second);
    CHECK(f.state.is_removed({false, "n0"}));
    CHECK_FALSE(f.state.is_removed({false, "n4"}));
    f.seen("n3", Health::healthy);
    CHECK(f.state.is_removed({false, "n4"}));
    // Forgotten by discovery while it is out, it stays counted.
    f.nodes.erase("n0");
    f.tell(EndpointsObserved{f.nodes});
    CHECK(f.state.nodes().at("n0").health == Health::gone);
    CHECK(f.state.is_removed({false, "n0"}));
}

TEST_CASE("what can never be granted is refused with the reason, what is asked twice is told of") {
    Budgets b = small_budgets();
    Fleet f(b);
    CHECK(rejection(f.tell(RequestRemoval{"ann", {false, "n9"}})) == "no such data node is known");
    f.nodes = ring(6, 1);
    f.tell(EndpointsObserved{f.nodes});
    CHECK(rejection(f.tell(RequestRemoval{"ann", {false, "n0"}})) == "shard 0 has only 0 other holders");
    f.nodes = ring();
    f.tell(EndpointsObserved{f.nodes});
    f.tell(RequestRemoval{"ann", {false, "n0"}});
    const Effect again = f.tell(RequestRemoval{"bob", {false, "n0"}}).at(0);
    CHECK(std::get<RemovalAlreadyOpen>(again).request == 1);
    CHECK(record_of(again).code == EffectCode::asked);
    CHECK(record_of(again).reason == "already granted");
    // Budgets lowered below what is out take nothing back, and grant nothing more.
    b.nodes.max_count = 0;
    f.tell(SetBudgets{b});
    CHECK(f.state.is_removed({false, "n0"}));
    CHECK(std::holds_alternative<CommandRejected>(f.tell(RequestRemoval{"ann", {false, "n3"}}).at(0)));
}

TEST_CASE(
    "the way back is the reverse, one at a time until each is whole; a halt grants nothing and stops no "
    "return") {
    Fleet f;
    f.tell(RequestRemoval{"ann", {false, "n0"}});
    f.tell(RequestRemoval{"ann", {false, "n3"}});
    f.seen("n0", Health::draining);
    f.seen("n3", Health::draining);
    CHECK(kinds(f.tell(Halt{"queries fail"})) == kinds_of<Effect, GrantsHalted>());
    CHECK(kinds(f.tell(RequestRemoval{"ann", {true, "r1"}})) == kinds_of<Effect, RemovalQueued>());
    CHECK(f.state.requests().at(3).blocked_by == "halted: queries fail");
    f.tell(UndoRemoval{1});
    f.tell(UndoRemoval{2});
    CHECK(f.state.is_removed({false, "n0"}) == false);  // asked back alone, and first
    CHECK(f.state.is_removed({false, "n3"}));           // waits for n0
    f.seen("n0", Health::cold);
    CHECK(f.state.is_removed({false, "n3"}));
    CHECK(kinds(f.seen("n0", Health::healthy)) == kinds_of<Effect, RequestEnded, TargetReturned>());
    CHECK_FALSE(f.state.is_removed({false, "n3"}));
    CHECK(kinds(f.seen("n3", Health::healthy)) == kinds_of<Effect, RequestEnded>());
    CHECK(kinds(f.tell(Resume{})) == kinds_of<Effect, GrantsResumed, RemovalGranted>());
}

TEST_CASE("a saved state goes on as the one it was saved from; another form and noise are told") {
    Fleet f;
    CHECK_THROWS_WITH(f.state.load({1, 2, 3}), Catch::StartsWith("a fleet's state that can't be read"));
    CHECK(f.state.nodes().size() == 6);
    // Cut off anywhere, or with more behind it, it is noise.
    f.tell(RequestRemoval{"ann", {false, "n0"}});
    f.tell(Renew{"r1", 1, {0, {{false, "n3"}}, {"n4"}, 7, 1}});
    auto cut = f.state.save();
    cut.push_back(0);
    CHECK_THROWS_WITH(f.state.load(cut), Catch::StartsWith("a fleet's state that can't be read"));
    for (cut.pop_back(); !cut.empty();) {
        cut.pop_back();
        CHECK_THROWS_WITH(f.state.load(cut), Catch::StartsWith("a fleet's state that can't be read"));
    }
    const auto whole = f.state.save();
    f.state.load(whole);
    CHECK(f.state.save() == whole);
    auto other = f.state.save();
    const auto at = std::search(other.begin(), other.end(), "form", "form" + 4);
    REQUIRE(at != other.end());
    *(at + 4) = 3;
    CHECK_THROWS_WITH(f.state.load(other), "a fleet's state of form 3, this program reads 2");
}

TEST_CASE("a member that is lost counts as out until it is back, is forgotten, or its time is up") {
    Budgets b = small_budgets();
    b.forget_after = 60 * second;
    Fleet f(b);
    f.pass(12 * second, true, false);
    CHECK(f.state.members().at("r2").lost);
    f.tell(RequestRemoval{"ann", {true, "r1"}});
    CHECK(f.state.requests().at(1).blocked_by == "routers: 1 of 2 are out, 1 may be");
    CHECK(rejection(f.tell(Forget{"r1"})) == "its lease is not over");
    CHECK(rejection(f.tell(Forget{"r9"})) == "no such member");
    SECTION("an operator knows that it does not come back") {
        CHECK(kinds(f.tell(Forget{"r2"})) == kinds_of<Effect, MemberForgotten, RemovalGranted>());
    }
    SECTION("after a farewell too") {
        f.tell(Join{"r2", Role::router, "a", "1.0", "d1", 2});
        CHECK(f.state.is_removed({true, "r1"}));
        f.tell(UndoRemoval{1});
        f.says("r1", f.state.generation());
        f.tell(Leave{"r2", 2});
        f.tell(RequestRemoval{"ann", {true, "r1"}});
        CHECK_FALSE(f.state.is_removed({true, "r1"}));
        CHECK(kinds(f.says("r2", 0, {}, 2)) == kinds_of<Effect, StaleReport>());
    }
    SECTION("its time is up") {
        f.pass(57 * second, true, false);
        CHECK_FALSE(f.state.is_removed({true, "r1"}));
        f.pass(3 * second, true, false);
        CHECK(f.state.is_removed({true, "r1"}));
    }
}

TEST_CASE("after a time without agreement leases go on, and nothing is granted until all could speak") {
    Fleet f;
    f.now += 3600 * second;
    CHECK(std::holds_alternative<RemovalQueued>(f.tell(RequestRemoval{"ann", {false, "n0"}}).at(0)));
    CHECK_FALSE(f.state.members().at("r1").lost);
    CHECK(f.state.requests().at(1).blocked_by == "agreement was interrupted: members are waited for");
    f.pass(10 * second, true, false);
    CHECK_FALSE(f.state.is_removed({false, "n0"}));
    f.pass(2 * second, true, false);
    CHECK(f.state.is_removed({false, "n0"}));
    CHECK(f.state.members().at("r2").lost);
    // A leader whose clock is behind: time stands until it has caught up, and leases only get longer.
    const Nanos until = f.state.members().at("r1").lease_until;
    f.now -= 100 * second;
    f.says("r1", 0);
    CHECK(f.state.members().at("r1").lease_until >= until);
    CHECK(f.state.now() > f.now);
}

TEST_CASE("one that may serve on after its lease is told of, or waited for where operators say so") {
    const bool wait = GENERATE(false, true);
    Budgets b = small_budgets();
    b.wait_for_lost = wait;
    Fleet f(b);
    f.tell(Join{"r2", Role::router, "a", "1.0", "d1", 2, 30 * second});
    const auto granted = std::get<RemovalGranted>(f.tell(RequestRemoval{"ann", {false, "n0"}}).at(1));
    f.says("r1", granted.generation);
    f.pass(12 * second, true, false);
    const Request& r = f.state.requests().at(1);
    CHECK(r.stage == (wait ? Stage::granted : Stage::done));
    CHECK(r.unacknowledged == (wait ? std::set<std::string>{} : std::set<std::string>{"r2"}));
    CHECK(f.state.pending_members(r) == (wait ? std::vector<std::string>{"r2"} : std::vector<std::string>{}));
    f.pass(30 * second, true, false);
    CHECK(r.stage == Stage::done);
}

TEST_CASE("halts that come by themselves, once for each time that their condition begins to hold") {
    Budgets b = small_budgets();
    b.halt_failed_share = 0.1;
    b.halt_lost_share = 0.4;
    b.halt_min_holders = 2;
    Fleet f(b);
    const auto say = [&](std::uint64_t queries, std::uint64_t failed) {
        return f.tell(Renew{"r1", 1, {0, {}, {}, queries, failed}});
    };
    CHECK(say(99, 99).empty());  // too few to judge by
    CHECK(say(1000, 100).empty());
    CHECK(kinds(say(1000, 101)) == kinds_of<Effect, GrantsHalted>());
    CHECK(f.state.halt_reason() == "101 of 1000 queries failed lately");
    f.tell(Resume{});
    CHECK(say(1000, 102).empty());  // a person has resumed over it
    CHECK_FALSE(f.state.halted());
    say(1000, 0);
    CHECK(kinds(say(1000, 200)) == kinds_of<Effect, GrantsHalted>());
    say(1000, 0);
    f.tell(Resume{});
    f.seen("n0", Health::gone);
    CHECK_FALSE(f.state.halted());
    CHECK(kinds(f.seen("n1", Health::cold)) == kinds_of<Effect, GrantsHalted>());
    CHECK(f.state.halt_reason() == "shard 0 has 1 whole holders");
    f.seen("n0", Health::healthy), f.seen("n1", Health::healthy);
    f.tell(Resume{});
    f.pass(12 * second, true, false);
    CHECK(f.state.halt_reason() == "1 of 2 routers are lost");
}

TEST_CASE("a node that enough of the routers find silent counts as out") {
    Budgets b = small_budgets();
    b.unresponsive_share = 0.6;
    b.nodes = {1, 1};
    Fleet f(b);
    f.tell(Renew{"r1", 1, {0, {}, {"n3"}, 0, 0}});
    CHECK_FALSE(f.state.is_out({false, "n3"}));
    f.tell(Renew{"r2", 1, {0, {}, {"n3", "n4"}, 0, 0}});
    CHECK(f.state.is_out({false, "n3"}));
    CHECK_FALSE(f.state.is_out({false, "n4"}));
    f.tell(RequestRemoval{"ann", {false, "n0"}});
    CHECK(f.state.requests().at(1).blocked_by == "nodes: 1 of 6 are out, 1 may be");
}

TEST_CASE("commands that this program can't read are told, and noise is") {
    auto bytes = write_command({"c1", 7, Tick{}});
    CHECK(read_command(bytes.data(), bytes.size()).proposed_at == 7);
    const auto word = std::search(bytes.begin(), bytes.end(), "tick", "tick" + 4);
    REQUIRE(word != bytes.end());
    *word = 't' + 1;
    CHECK_THROWS_WITH(read_command(bytes.data(), bytes.size()),
                      "a command 'uick' that this program does not know");
    CHECK_THROWS_WITH(read_command(bytes.data(), 5), Catch::StartsWith("a fleet's command that can't be"));
}

TEST_CASE("generated commands: no grant over a budget, replicas agree, what comes twice is one") {
    const auto seed = GENERATE(range(1U, 13U));
    std::knuth_b chance(seed);
    const auto pick = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    Budgets b;
    b.nodes = {static_cast<std::size_t>(2 + pick(4)), 0.25 + 0.1 * pick(3)};
    b.nodes_per_zone = {static_cast<std::size_t>(1 + pick(3)), 1};
    b.min_holders = static_cast<std::size_t>(1 + pick(2));
    b.routers = {2, 1};
    b.lease = 16 * second;
    b.drift = second;
    FleetState state(b), replica(b);
    auto nodes = ring(12);
    std::map<std::string, std::uint64_t> lives;
    Nanos now = 1000 * second;
    std::uint64_t last_fence = 0;
    std::set<std::uint64_t> granted, done;
    for (int i = 0; i < 800; ++i) {
        now += pick(5) == 0 ? pick(3) * second : 0;
        if (pick(150) == 0) now += 60 * second;  // nobody agrees on anything
        const std::string node = "n" + std::to_string(pick(12)), router = "r" + std::to_string(pick(6));
        Command c{"c" + std::to_string(i), now - pick(2) * second, Tick{}};
        const int what = pick(14);
        if (what == 0) c.payload = Join{router, Role::router, pick(2) ? "a" : "b", "1", "d", ++lives[router]};
        if (what >= 1 && what <= 4)
            c.payload = Renew{router,
                              lives[router],
                              {state.generation() - std::min<std::uint64_t>(state.generation(), pick(2)),
                               pick(8) == 0 ? std::set<Target>{{false, node}} : std::set<Target>{},
                               pick(16) == 0 ? std::set<std::string>{node} : std::set<std::string>{}, 0, 0}};
        if (what == 5 || what == 6)
            c.payload = RequestRemoval{"ann", {pick(4) == 0, pick(4) == 0 ? router : node}};
        if (what == 7 && !state.requests().empty())
            c.payload =
                UndoRemoval{std::next(state.requests().begin(), pick(int(state.requests().size())))->first};
        if (what >= 8 && what <= 10) {
            nodes[node].health = pick(8) == 0 ? static_cast<Health>(1 + pick(4)) : Health::healthy;
            if (pick(20) == 0) nodes.erase(node);
            if (pick(10) == 0) nodes[node] = ring(12)[node];
            c.payload = EndpointsObserved{nodes};
        }
        if (what == 13) {
            ReportBatch all;
            for (const auto& [name, incarnation] : lives)
                all.renewals.push_back({name, incarnation, {state.generation(), {}, {}, 0, 0}});
            c.payload = all;
        }
        if (what == 12 && pick(3) == 0) c.payload = Leave{router, lives[router]};
        if (what == 12 && pick(3) == 0) c.payload = Forget{router};
        if (what == 11)
            c.payload = pick(4) == 0 ? decltype(c.payload)(Halt{"a person"}) : decltype(c.payload)(Resume{});
        const auto effects = state.apply(c);
        CHECK(kept_counts(state) == recount(state));
        CHECK(left_undone(state, effects) == 0);
        const auto bytes = write_command(c);
        CHECK(replica.apply(read_command(bytes.data(), bytes.size())) == effects);
        // The plain model: everything is counted anew, from what can be seen.
        const auto grants = of_kind<RemovalGranted>(effects);
        for (const RemovalGranted& e : grants) {
            CHECK_FALSE(state.halted());
            CHECK(e.fence == ++last_fence);
            CHECK(granted.insert(e.request).second);
            const Request& r = state.requests().at(e.request);
            CHECK(state.is_removed(r.target));
        }
        if (!grants.empty()) {
            std::size_t out = 0, routers_out = 0;
            std::map<std::string, std::size_t> zone;
            std::map<std::uint32_t, std::size_t> whole;
            for (const auto& [name, n] : state.nodes()) {
                const bool is_out = n.health != Health::healthy || state.is_removed({false, name});
                out += is_out, zone[n.zone] += is_out;
                for (const std::uint32_t s : n.shards) whole[s] += !is_out;
            }
            for (const auto& [name, m] : state.members())
                routers_out += state.is_removed({true, name}) && m.lease_until + b.drift >= state.now();
            bool took_whole = false;
            for (const RemovalGranted& e : grants)
                if (!state.requests().at(e.request).target.router)
                    took_whole |= state.nodes().at(e.target).health == Health::healthy;
            if (took_whole) {  // else it was out already, and uses up nothing more
                CHECK(out <= b.nodes.allowed(state.nodes().size()));
                for (const RemovalGranted& e : grants)
                    if (!state.requests().at(e.request).target.router &&
                        state.nodes().at(e.target).health == Health::healthy) {
                        CHECK(zone[state.nodes().at(e.target).zone] <= b.nodes_per_zone.max_count);
                        for (const std::uint32_t s : state.nodes().at(e.target).shards)
                            CHECK(whole[s] >= b.min_holders);
                    }
            }
            CHECK(routers_out <= 2);
        }
        for (const RemovalDone& e : of_kind<RemovalDone>(effects)) {
            CHECK(done.insert(e.request).second);
            for (const auto& [name, m] : state.members())
                CHECK((m.report.applied_generation >= e.generation || m.lease_until + b.drift < now));
        }
        if (pick(20) != 0) continue;
        const auto saved = state.save();
        CHECK(replica.save() == saved);
        CHECK(state.apply(c) == effects);  // the same command by another leader
        CHECK(state.save() == saved);
        FleetState anew(b);
        anew.load(saved);
        CHECK(anew.save() == saved);
        CHECK(kept_counts(anew) == recount(anew));
        replica = anew;
    }
    CHECK(granted.size() > 3);
    CHECK(!done.empty());
}

// All that the plain model above has not: silent nodes, halts that come by themselves, leases that end,
// members that may act without one, machine kinds, other budgets, and states read from bytes in the middle.
TEST_CASE("generated commands: what is kept as counts is what a recount gives, after every command") {
    const auto seed = GENERATE(range(1U, 13U));
    std::knuth_b chance(seed);
    const auto pick = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    const auto number = [&](int n) { return static_cast<std::size_t>(pick(n)); };
    const auto budgets = [&] {
        Budgets b;
        b.nodes = {2 + number(5), 0.3 + 0.1 * pick(8)};
        b.nodes_per_zone = {1 + number(4), 1}, b.nodes_per_kind = {2 + number(8), 1};
        b.routers = {1 + number(4), 1}, b.routers_per_zone = {1 + number(3), 1};
        b.min_holders = number(3);
        b.lease = (8 + pick(12)) * second, b.drift = (1 + pick(4)) * second;
        b.forget_after = (10 + pick(60)) * second;
        b.wait_for_lost = pick(2) == 0;
        b.halt_failed_share = 0.4, b.halt_failed_min_queries = 50, b.halt_lost_share = 0.3 + 0.1 * pick(5);
        b.halt_min_holders = 1 + number(2);
        b.unresponsive_share = 0.1 + 0.2 * pick(5);
        return b;
    };
    const auto node_of = [&](int n) {
        Node node = ring(12).at("n" + std::to_string(n));
        node.zone = pick(2) == 0 ? "a" : "b", node.kind = pick(3) == 0 ? "k" : "m";
        node.health = pick(3) == 0 ? static_cast<Health>(1 + pick(4)) : Health::healthy;
        return node;
    };
    FleetState state(budgets());
    std::map<std::string, std::uint64_t> lives;
    Nanos now = 1000 * second;
    std::map<std::string, Node> nodes = ring(12);
    state.apply({"", now, EndpointsObserved{nodes}});
    std::map<std::size_t, int> came;
    std::size_t found_silent = 0, short_shards = 0, acting_without_lease = 0, in_flight = 0;
    std::string mute;  // says nothing for a while
    for (int i = 0; i < 1000; ++i) {
        now += pick(3) == 0 ? pick(3) * second : 0;
        if (pick(60) == 0) mute = "r" + std::to_string(pick(7));
        if (pick(200) == 0) now += 60 * second;  // nobody agrees on anything
        const int n = pick(12);
        const std::string node = "n" + std::to_string(n), router = "r" + std::to_string(pick(7));
        const auto join = [&] {
            return Join{router, pick(8) == 0 ? Role::control : Role::router,    pick(2) == 0 ? "a" : "b", "1",
                        "d",    pick(3) == 0 ? lives[router] : ++lives[router], pick(3) * 10 * second};
        };
        const auto word = [&] {
            MemberReport w{state.generation(), {}, {}, static_cast<std::uint64_t>(pick(100)), 0};
            if (pick(4) == 0)
                w.applied_generation -= std::min<std::uint64_t>(w.applied_generation, number(3));
            if (pick(40) == 0) w.applied_generation += 2;
            if (pick(6) == 0) w.in_flight.insert({false, node});
            if (pick(12) == 0) w.in_flight.insert({true, router});
            if (pick(4) == 0) w.unresponsive = {node, "n" + std::to_string(pick(3))};
            if (pick(8) == 0) w.failed = w.queries;
            return w;
        };
        Command c{"", now, Tick{}};
        const int what = pick(20);
        if (what == 0 && router != mute) c.payload = join();
        if (what >= 1 && what <= 4 && router != mute) c.payload = Renew{router, lives[router], word()};
        if (what >= 5 && what <= 7)
            c.payload = RequestRemoval{"ann", {pick(3) == 0, pick(4) == 0 ? router : node}};
        if (what == 8 && !state.requests().empty())
            c.payload =
                UndoRemoval{std::next(state.requests().begin(), pick(int(state.requests().size())))->first};
        if (what == 9 || what == 10)
            c.payload = EndpointsObserved{{{node, nodes[node] = node_of(n)}}, false, {}};
        if (what == 11 && pick(3) == 0) nodes.erase(node);
        if (what == 11)
            c.payload = pick(2) == 0 ? EndpointsObserved{nodes} : EndpointsObserved{{}, false, {node}};
        if (what >= 12 && what <= 15) {
            ReportBatch all;
            if (pick(4) == 0) all.joins.push_back(join());
            for (const auto& [name, incarnation] : lives)
                if (name != mute && pick(8) > 0) all.renewals.push_back({name, incarnation, word()});
            c.payload = all;
        }
        if (what == 16)
            c.payload = pick(2) == 0 ? decltype(c.payload)(Leave{router, lives[router]}) : Forget{router};
        if (what == 17 && pick(3) == 0) c.payload = Halt{"a person"};
        if (what == 18) c.payload = Resume{};
        if (what == 19 && pick(10) == 0) c.payload = SetBudgets{budgets()};
        const auto effects = state.apply(c);
        CHECK(kept_counts(state) == recount(state));
        CHECK(left_undone(state, effects) == 0);
        for (const Effect& e : effects) ++came[e.index()];
        found_silent += !state.vote_counts().by_node.empty(),
            short_shards += !state.node_counts().short_shards.empty();
        acting_without_lease += !state.member_counts().lost_acting.empty();
        in_flight += !state.member_counts().in_flight.empty();
        if (pick(50) != 0) continue;
        FleetState anew({});
        anew.load(state.save());
        CHECK(kept_counts(anew) == recount(anew));
        state = anew;
    }
    // The runs go through all of it.
    for (const auto kind :
         kinds_of<Effect, RemovalGranted, RemovalDone, TargetReturned, GrantsHalted, MemberLeaseExpired>())
        CHECK(came[kind] > 0);
    CHECK(std::min({found_silent, short_shards, acting_without_lease, in_flight}) > 0);
}

namespace {

// The most entries that one command looked at, of a fleet of this size: a batch of six words, the same while
// a drain waits, and a drain: asked and granted, the last words until it is done, taken back.
struct Looked {
    std::size_t words = 0, words_while_one_waits = 0, asked = 0, last_word = 0, undone = 0, news = 0;
};

Looked looked_at(int nodes, int routers) {
    Budgets b;
    b.nodes = {2, 1}, b.halt_min_holders = 1;
    FleetState state(b);
    Nanos now = 1000 * second;
    const auto tell = [&](auto what) {
        state.apply({"", now, std::move(what)});
        return state.visited_count();
    };
    const auto router = [&](int r) { return "r" + std::to_string(r % routers); };
    const auto all = ring(nodes);
    tell(EndpointsObserved{all});
    ReportBatch joins;
    for (int r = 0; r < routers; ++r)
        joins.joins.push_back({router(r), Role::router, r % 2 == 0 ? "a" : "b", "1", "d", 1, 0});
    tell(joins);
    int next = 0;
    const auto batch = [&] {
        ReportBatch words;
        for (int i = 0; i < 6; ++i)
            words.renewals.push_back({router(next++), 1, {state.generation(), {}, {}, 0, 0}});
        return tell(words);
    };
    Looked looked;
    for (int i = 0; i < 20; ++i) looked.words = std::max(looked.words, batch());
    looked.asked = tell(RequestRemoval{"ann", {false, "n0"}});
    REQUIRE(state.is_removed({false, "n0"}));
    while (state.requests().at(1).stage != Stage::done)
        looked.last_word = std::max(looked.last_word, batch());
    tell(RequestRemoval{"ann", {false, "n100"}});
    looked.asked = std::max(looked.asked, tell(RequestRemoval{"ann", {false, "n200"}}));
    CHECK(state.requests().at(3).blocked_by == "nodes: 2 of " + std::to_string(nodes) + " are out, 2 may be");
    for (int i = 0; i < 20; ++i)
        looked.words_while_one_waits = std::max(looked.words_while_one_waits, batch());
    Node cold = all.at("n300");
    cold.health = Health::cold;
    looked.news = tell(EndpointsObserved{{{"n300", cold}}, false, {}});
    looked.undone = tell(UndoRemoval{1});
    return looked;
}

}  // namespace

// Looking through all members or nodes gives 10 and 80 times as many.
TEST_CASE("a command looks at what it changes, however great the fleet") {
    const Looked small = looked_at(1000, 300), great = looked_at(81'000, 3600);
    CHECK(small.words > 0);
    CHECK(great.words <= 3 * small.words);
    CHECK(great.words_while_one_waits <= 3 * small.words_while_one_waits);
    CHECK(great.asked <= 3 * small.asked);
    CHECK(great.last_word <= 3 * small.last_word);
    CHECK(great.undone <= 3 * small.undone);
    CHECK(great.news <= 3 * small.news);
    // Six words, the drain that waits with its node's shards, and nothing else.
    CHECK(great.words_while_one_waits <= 30);
}
