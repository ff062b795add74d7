// Tests of the replicated fleet state: removals under budgets, members and their leases, and the return of
// targets.
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
    Budgets budgets;
    budgets.nodes = {2, 1};
    budgets.routers = {1, 1};
    budgets.lease = 10 * second;
    budgets.drift = second;
    return budgets;
}

// Nodes in a ring: shard s is held by nodes s, s + 1 and s + 2. There are two zones and one machine kind.
std::map<std::string, Node> ring(int nodes = 6, int width = 3) {
    std::map<std::string, Node> node_list;
    for (int node_index = 0; node_index < nodes; ++node_index) {
        Node& node = node_list["n" + std::to_string(node_index)];
        node = {node_index % 2 == 0 ? "a" : "b", "m", {}, Health::healthy, 0};
        for (int offset = 0; offset < width; ++offset)
            node.shards.push_back(static_cast<std::uint32_t>((node_index + nodes - offset) % nodes));
    }
    return node_list;
}

// A FleetState with six nodes and two routers, a clock, and helpers to build commands.
struct FleetFixture {
    explicit FleetFixture(Budgets budgets = small_budgets()) : state(std::move(budgets)) {
        apply(EndpointsObserved{nodes});
        for (const char* router : {"r1", "r2"}) apply(Join{router, Role::router, "a", "1.0", "d1", 1});
    }
    template <typename Payload>
    Effects apply(Payload payload, std::string id = "") {
        return state.apply({std::move(id), now, std::move(payload)});
    }
    Effects observe(const std::string& node, Health health) {
        nodes[node].health = health;
        return apply(EndpointsObserved{nodes});
    }
    Effects renew(const char* router, std::uint64_t generation, std::set<Target> in_flight = {},
                  std::uint64_t incarnation = 1) {
        return apply(Renew{router, incarnation, {generation, std::move(in_flight), {}, 0, 0}});
    }
    // Advances the time in steps small enough not to count as an interruption of the consensus. The selected
    // routers renew their leases.
    void advance(Nanos span, bool r1 = true, bool r2 = true) {
        const Nanos end = now + span;
        while (now < end) {
            now = std::min(end, now + second);
            apply(Tick{});
            if (r1) renew("r1", 0);
            if (r2) renew("r2", 0);
        }
    }

    Nanos now = 1000 * second;
    std::map<std::string, Node> nodes = ring();
    FleetState state;
};

// The reason of the rejection that is the first effect.
std::string rejection_reason(const Effects& effects) {
    return std::get<CommandRejected>(effects.at(0)).reason;
}

}  // namespace

TEST_CASE("of two drains of holders of one shard the second waits and shows the limit that blocks it") {
    Budgets budgets = small_budgets();
    budgets.min_holders = 2;
    FleetFixture fleet(budgets);
    const auto first = fleet.apply(RequestRemoval{"ann", {false, "n2"}}, "ann-1");
    CHECK(kinds(first) == kinds_of<Effect, RemovalQueued, RemovalGranted>());
    const auto later_drain = fleet.apply(RequestRemoval{"bob", {false, "n3"}}, "bob-1");
    CHECK(kinds(later_drain) == kinds_of<Effect, RemovalQueued>());
    CHECK(fleet.state.requests().at(2).blocked_by == "shard 1 would keep 1 whole holders");
    // The same request sent through another fleet manager is deduplicated.
    CHECK(fleet.apply(RequestRemoval{"ann", {false, "n2"}}, "ann-1") == first);
    CHECK(fleet.state.requests().size() == 2);
    // Once the first is back and healthy the second is granted automatically, under a greater fence.
    fleet.apply(UndoRemoval{1});
    const auto after = fleet.apply(Tick{});
    CHECK(fleet.state.is_removed({false, "n3"}));
    CHECK(fleet.state.requests().at(2).fence > std::get<RemovalGranted>(first.at(1)).fence);
    CHECK(after.empty());
}

TEST_CASE(
    "a drain is done only once every live member has applied it and has nothing in flight at the node") {
    FleetFixture fleet;
    const auto granted = std::get<RemovalGranted>(fleet.apply(RequestRemoval{"ann", {false, "n0"}}).at(1));
    CHECK(fleet.renew("r1", granted.generation).empty());
    CHECK(fleet.renew("r2", granted.generation - 1).empty());
    CHECK(fleet.renew("r2", granted.generation, {{false, "n0"}}).empty());
    CHECK(fleet.renew("r2", granted.generation - 1).empty());  // late: it does not show what is in flight now
    CHECK(kinds(fleet.renew("r2", granted.generation)) == kinds_of<Effect, RemovalDone>());
    // A silent member is waited for until its lease and the drift after it have ended.
    const auto next = std::get<RemovalGranted>(fleet.apply(RequestRemoval{"ann", {false, "n3"}}).at(1));
    fleet.renew("r1", next.generation);
    fleet.advance(11 * second, true, false);
    CHECK(fleet.state.requests().at(2).stage == Stage::granted);
    fleet.now += 1;
    CHECK(kinds(fleet.renew("r1", next.generation)) == kinds_of<Effect, MemberLeaseExpired, RemovalDone>());
    // It has no time to serve on after its lease, so it is not listed. It rejoins as a new incarnation that
    // has applied nothing.
    CHECK(fleet.state.requests().at(2).unacknowledged.empty());  // its `lease_grace` is 0
    fleet.apply(Join{"r2", Role::router, "a", "1.0", "d1", 2});
    CHECK(fleet.state.members().at("r2").report.applied_generation == 0);
    CHECK(kinds(fleet.renew("r2", next.generation)) ==
          kinds_of<Effect, StaleReport>());  // of the previous incarnation
    // A report of a generation that was never committed is not applied.
    CHECK(kinds(fleet.renew("r2", 99, {}, 2)) == kinds_of<Effect, StaleReport>());
}

TEST_CASE("a node that fails uses up the budget, and the passage of time alone grants nothing") {
    FleetFixture fleet;
    fleet.apply(RequestRemoval{"ann", {false, "n0"}});
    fleet.observe("n3", Health::cold);
    CHECK(kinds(fleet.apply(RequestRemoval{"bob", {false, "n4"}})) == kinds_of<Effect, RemovalQueued>());
    CHECK(fleet.state.requests().at(2).blocked_by == "nodes: 2 of 6 are out, 2 may be");
    fleet.advance(1800 * second);
    CHECK(fleet.state.is_removed({false, "n0"}));
    CHECK_FALSE(fleet.state.is_removed({false, "n4"}));
    fleet.observe("n3", Health::healthy);
    CHECK(fleet.state.is_removed({false, "n4"}));
    // A removed node that disappears from discovery is still counted.
    fleet.nodes.erase("n0");
    fleet.apply(EndpointsObserved{fleet.nodes});
    CHECK(fleet.state.nodes().at("n0").health == Health::gone);
    CHECK(fleet.state.is_removed({false, "n0"}));
}

TEST_CASE(
    "a request that can never be granted is rejected with the reason; a duplicate names the open request") {
    Budgets budgets = small_budgets();
    FleetFixture fleet(budgets);
    CHECK(rejection_reason(fleet.apply(RequestRemoval{"ann", {false, "n9"}})) ==
          "no such data node is known");
    fleet.nodes = ring(6, 1);
    fleet.apply(EndpointsObserved{fleet.nodes});
    CHECK(rejection_reason(fleet.apply(RequestRemoval{"ann", {false, "n0"}})) ==
          "shard 0 has only 0 other holders");
    fleet.nodes = ring();
    fleet.apply(EndpointsObserved{fleet.nodes});
    fleet.apply(RequestRemoval{"ann", {false, "n0"}});
    const Effect again = fleet.apply(RequestRemoval{"bob", {false, "n0"}}).at(0);
    CHECK(std::get<RemovalAlreadyOpen>(again).request == 1);
    CHECK(record_of(again).code == EffectCode::asked);
    CHECK(record_of(again).reason == "already granted");
    // Budgets lowered below what is out return nothing and grant nothing further.
    budgets.nodes.max_count = 0;
    fleet.apply(SetBudgets{budgets});
    CHECK(fleet.state.is_removed({false, "n0"}));
    CHECK(std::holds_alternative<CommandRejected>(fleet.apply(RequestRemoval{"ann", {false, "n3"}}).at(0)));
}

TEST_CASE(
    "targets return in reverse order, each once the previous one is healthy; a halt stops grants but no "
    "return") {
    FleetFixture fleet;
    fleet.apply(RequestRemoval{"ann", {false, "n0"}});
    fleet.apply(RequestRemoval{"ann", {false, "n3"}});
    fleet.observe("n0", Health::draining);
    fleet.observe("n3", Health::draining);
    CHECK(kinds(fleet.apply(Halt{"queries fail"})) == kinds_of<Effect, GrantsHalted>());
    CHECK(kinds(fleet.apply(RequestRemoval{"ann", {true, "r1"}})) == kinds_of<Effect, RemovalQueued>());
    CHECK(fleet.state.requests().at(3).blocked_by == "halted: queries fail");
    fleet.apply(UndoRemoval{1});
    fleet.apply(UndoRemoval{2});
    CHECK(fleet.state.is_removed({false, "n0"}) ==
          false);                                  // its return was requested when no other was pending
    CHECK(fleet.state.is_removed({false, "n3"}));  // waits for n0
    fleet.observe("n0", Health::cold);
    CHECK(fleet.state.is_removed({false, "n3"}));
    CHECK(kinds(fleet.observe("n0", Health::healthy)) == kinds_of<Effect, RequestEnded, TargetReturned>());
    CHECK_FALSE(fleet.state.is_removed({false, "n3"}));
    CHECK(kinds(fleet.observe("n3", Health::healthy)) == kinds_of<Effect, RequestEnded>());
    CHECK(kinds(fleet.apply(Resume{})) == kinds_of<Effect, GrantsResumed, RemovalGranted>());
}

TEST_CASE(
    "a loaded snapshot continues as the original state; other versions and malformed bytes are rejected") {
    FleetFixture fleet;
    CHECK_THROWS_WITH(fleet.state.load({1, 2, 3}), Catch::StartsWith("malformed fleet snapshot: "));
    CHECK(fleet.state.nodes().size() == 6);
    // Truncated anywhere, or with a trailing byte, the snapshot is malformed.
    fleet.apply(RequestRemoval{"ann", {false, "n0"}});
    fleet.apply(Renew{"r1", 1, {0, {{false, "n3"}}, {"n4"}, 7, 1}});
    auto truncated = fleet.state.save();
    truncated.push_back(0);
    CHECK_THROWS_WITH(fleet.state.load(truncated), Catch::StartsWith("malformed fleet snapshot: "));
    for (truncated.pop_back(); !truncated.empty();) {
        truncated.pop_back();
        CHECK_THROWS_WITH(fleet.state.load(truncated), Catch::StartsWith("malformed fleet snapshot: "));
    }
    const auto saved = fleet.state.save();
    fleet.state.load(saved);
    CHECK(fleet.state.save() == saved);
    auto other_version = fleet.state.save();
    const auto position = std::search(other_version.begin(), other_version.end(), "form", "form" + 4);
    REQUIRE(position != other_version.end());
    *(position + 4) = 3;
    CHECK_THROWS_WITH(fleet.state.load(other_version),
                      "fleet snapshot has format version 3; this program reads version 2");
}

TEST_CASE("a lost member counts as out until it is back, is forgotten, or forget_after has passed") {
    Budgets budgets = small_budgets();
    budgets.forget_after = 60 * second;
    FleetFixture fleet(budgets);
    fleet.advance(12 * second, true, false);
    CHECK(fleet.state.members().at("r2").lost);
    fleet.apply(RequestRemoval{"ann", {true, "r1"}});
    CHECK(fleet.state.requests().at(1).blocked_by == "routers: 1 of 2 are out, 1 may be");
    CHECK(rejection_reason(fleet.apply(Forget{"r1"})) == "its lease is not over");
    CHECK(rejection_reason(fleet.apply(Forget{"r9"})) == "no such member");
    SECTION("an operator forgets it") {
        CHECK(kinds(fleet.apply(Forget{"r2"})) == kinds_of<Effect, MemberForgotten, RemovalGranted>());
    }
    SECTION("a member that left counts in the same way") {
        fleet.apply(Join{"r2", Role::router, "a", "1.0", "d1", 2});
        CHECK(fleet.state.is_removed({true, "r1"}));
        fleet.apply(UndoRemoval{1});
        fleet.renew("r1", fleet.state.generation());
        fleet.apply(Leave{"r2", 2});
        fleet.apply(RequestRemoval{"ann", {true, "r1"}});
        CHECK_FALSE(fleet.state.is_removed({true, "r1"}));
        CHECK(kinds(fleet.renew("r2", 0, {}, 2)) == kinds_of<Effect, StaleReport>());
    }
    SECTION("forget_after has passed") {
        fleet.advance(57 * second, true, false);
        CHECK_FALSE(fleet.state.is_removed({true, "r1"}));
        fleet.advance(3 * second, true, false);
        CHECK(fleet.state.is_removed({true, "r1"}));
    }
}

TEST_CASE("after an interruption leases are extended, and nothing is granted until all could report") {
    FleetFixture fleet;
    fleet.now += 3600 * second;
    CHECK(std::holds_alternative<RemovalQueued>(fleet.apply(RequestRemoval{"ann", {false, "n0"}}).at(0)));
    CHECK_FALSE(fleet.state.members().at("r1").lost);
    CHECK(fleet.state.requests().at(1).blocked_by == "agreement was interrupted: members are waited for");
    fleet.advance(10 * second, true, false);
    CHECK_FALSE(fleet.state.is_removed({false, "n0"}));
    fleet.advance(2 * second, true, false);
    CHECK(fleet.state.is_removed({false, "n0"}));
    CHECK(fleet.state.members().at("r2").lost);
    // With a new leader whose clock is behind, the agreed time stays until the clock has caught up, and
    // leases only get longer.
    const Nanos until = fleet.state.members().at("r1").lease_until;
    fleet.now -= 100 * second;
    fleet.renew("r1", 0);
    CHECK(fleet.state.members().at("r1").lease_until >= until);
    CHECK(fleet.state.now() > fleet.now);
}

TEST_CASE("a member that may still serve after its lease is listed, or waited for with wait_for_lost") {
    const bool wait_for_lost = GENERATE(false, true);
    Budgets budgets = small_budgets();
    budgets.wait_for_lost = wait_for_lost;
    FleetFixture fleet(budgets);
    fleet.apply(Join{"r2", Role::router, "a", "1.0", "d1", 2, 30 * second});
    const auto granted = std::get<RemovalGranted>(fleet.apply(RequestRemoval{"ann", {false, "n0"}}).at(1));
    fleet.renew("r1", granted.generation);
    fleet.advance(12 * second, true, false);
    const Request& request = fleet.state.requests().at(1);
    CHECK(request.stage == (wait_for_lost ? Stage::granted : Stage::done));
    CHECK(request.unacknowledged == (wait_for_lost ? std::set<std::string>{} : std::set<std::string>{"r2"}));
    CHECK(fleet.state.pending_members(request) ==
          (wait_for_lost ? std::vector<std::string>{"r2"} : std::vector<std::string>{}));
    fleet.advance(30 * second, true, false);
    CHECK(request.stage == Stage::done);
}

TEST_CASE("a halt condition halts grants once each time that it becomes true") {
    Budgets budgets = small_budgets();
    budgets.halt_failed_share = 0.1;
    budgets.halt_lost_share = 0.4;
    budgets.halt_min_holders = 2;
    FleetFixture fleet(budgets);
    const auto report_queries = [&](std::uint64_t queries, std::uint64_t failed) {
        return fleet.apply(Renew{"r1", 1, {0, {}, {}, queries, failed}});
    };
    CHECK(report_queries(99, 99).empty());  // too few queries to evaluate
    CHECK(report_queries(1000, 100).empty());
    CHECK(kinds(report_queries(1000, 101)) == kinds_of<Effect, GrantsHalted>());
    CHECK(fleet.state.halt_reason() == "101 of 1000 queries failed lately");
    fleet.apply(Resume{});
    CHECK(report_queries(1000, 102).empty());  // an operator has resumed over it
    CHECK_FALSE(fleet.state.halted());
    report_queries(1000, 0);
    CHECK(kinds(report_queries(1000, 200)) == kinds_of<Effect, GrantsHalted>());
    report_queries(1000, 0);
    fleet.apply(Resume{});
    fleet.observe("n0", Health::gone);
    CHECK_FALSE(fleet.state.halted());
    CHECK(kinds(fleet.observe("n1", Health::cold)) == kinds_of<Effect, GrantsHalted>());
    CHECK(fleet.state.halt_reason() == "shard 0 has 1 whole holders");
    fleet.observe("n0", Health::healthy), fleet.observe("n1", Health::healthy);
    fleet.apply(Resume{});
    fleet.advance(12 * second, true, false);
    CHECK(fleet.state.halt_reason() == "1 of 2 routers are lost");
}

TEST_CASE("a node that enough routers report as unresponsive counts as out") {
    Budgets budgets = small_budgets();
    budgets.unresponsive_share = 0.6;
    budgets.nodes = {1, 1};
    FleetFixture fleet(budgets);
    fleet.apply(Renew{"r1", 1, {0, {}, {"n3"}, 0, 0}});
    CHECK_FALSE(fleet.state.is_out({false, "n3"}));
    fleet.apply(Renew{"r2", 1, {0, {}, {"n3", "n4"}, 0, 0}});
    CHECK(fleet.state.is_out({false, "n3"}));
    CHECK_FALSE(fleet.state.is_out({false, "n4"}));
    fleet.apply(RequestRemoval{"ann", {false, "n0"}});
    CHECK(fleet.state.requests().at(1).blocked_by == "nodes: 1 of 6 are out, 1 may be");
}

TEST_CASE("unknown and malformed commands are rejected") {
    auto bytes = write_command({"c1", 7, Tick{}});
    CHECK(read_command(bytes.data(), bytes.size()).proposed_at == 7);
    const auto kind = std::search(bytes.begin(), bytes.end(), "tick", "tick" + 4);
    REQUIRE(kind != bytes.end());
    *kind = 't' + 1;
    CHECK_THROWS_WITH(read_command(bytes.data(), bytes.size()), "unknown command kind 'uick'");
    CHECK_THROWS_WITH(read_command(bytes.data(), 5), Catch::StartsWith("malformed fleet command: "));
}

TEST_CASE("generated commands: no grant exceeds a budget, replicas agree, and duplicates are applied once") {
    const auto seed = GENERATE(range(1U, 13U));
    std::knuth_b random(seed);
    const auto random_below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    Budgets budgets;
    budgets.nodes = {static_cast<std::size_t>(2 + random_below(4)), 0.25 + 0.1 * random_below(3)};
    budgets.nodes_per_zone = {static_cast<std::size_t>(1 + random_below(3)), 1};
    budgets.min_holders = static_cast<std::size_t>(1 + random_below(2));
    budgets.routers = {2, 1};
    budgets.lease = 16 * second;
    budgets.drift = second;
    FleetState state(budgets), replica(budgets);
    auto nodes = ring(12);
    std::map<std::string, std::uint64_t> incarnations;
    Nanos now = 1000 * second;
    std::uint64_t last_fence = 0;
    std::set<std::uint64_t> granted, done;
    for (int i = 0; i < 800; ++i) {
        now += random_below(5) == 0 ? random_below(3) * second : 0;
        if (random_below(150) == 0) now += 60 * second;  // an interruption of the consensus
        const std::string node = "n" + std::to_string(random_below(12)),
                          router = "r" + std::to_string(random_below(6));
        Command command{"c" + std::to_string(i), now - random_below(2) * second, Tick{}};
        const int operation = random_below(14);
        if (operation == 0)
            command.payload =
                Join{router, Role::router, random_below(2) ? "a" : "b", "1", "d", ++incarnations[router]};
        if (operation >= 1 && operation <= 4)
            command.payload =
                Renew{router,
                      incarnations[router],
                      {state.generation() - std::min<std::uint64_t>(state.generation(), random_below(2)),
                       random_below(8) == 0 ? std::set<Target>{{false, node}} : std::set<Target>{},
                       random_below(16) == 0 ? std::set<std::string>{node} : std::set<std::string>{}, 0, 0}};
        if (operation == 5 || operation == 6)
            command.payload =
                RequestRemoval{"ann", {random_below(4) == 0, random_below(4) == 0 ? router : node}};
        if (operation == 7 && !state.requests().empty())
            command.payload = UndoRemoval{
                std::next(state.requests().begin(), random_below(int(state.requests().size())))->first};
        if (operation >= 8 && operation <= 10) {
            nodes[node].health =
                random_below(8) == 0 ? static_cast<Health>(1 + random_below(4)) : Health::healthy;
            if (random_below(20) == 0) nodes.erase(node);
            if (random_below(10) == 0) nodes[node] = ring(12)[node];
            command.payload = EndpointsObserved{nodes};
        }
        if (operation == 13) {
            ReportBatch batch;
            for (const auto& [name, incarnation] : incarnations)
                batch.renewals.push_back({name, incarnation, {state.generation(), {}, {}, 0, 0}});
            command.payload = batch;
        }
        if (operation == 12 && random_below(3) == 0) command.payload = Leave{router, incarnations[router]};
        if (operation == 12 && random_below(3) == 0) command.payload = Forget{router};
        if (operation == 11)
            command.payload = random_below(4) == 0 ? decltype(command.payload)(Halt{"a person"})
                                                   : decltype(command.payload)(Resume{});
        const auto effects = state.apply(command);
        CHECK(maintained_counts(state) == recount(state));
        CHECK(unfinished_requests(state, effects) == 0);
        const auto bytes = write_command(command);
        CHECK(replica.apply(read_command(bytes.data(), bytes.size())) == effects);
        // The reference model recounts everything from the visible state.
        const auto grants = of_kind<RemovalGranted>(effects);
        for (const RemovalGranted& effect : grants) {
            CHECK_FALSE(state.halted());
            CHECK(effect.fence == ++last_fence);
            CHECK(granted.insert(effect.request).second);
            const Request& request = state.requests().at(effect.request);
            CHECK(state.is_removed(request.target));
        }
        if (!grants.empty()) {
            std::size_t out = 0, routers_out = 0;
            std::map<std::string, std::size_t> zone;
            std::map<std::uint32_t, std::size_t> healthy_holders;
            for (const auto& [name, node_state] : state.nodes()) {
                const bool is_out = node_state.health != Health::healthy || state.is_removed({false, name});
                out += is_out, zone[node_state.zone] += is_out;
                for (const std::uint32_t shard : node_state.shards) healthy_holders[shard] += !is_out;
            }
            for (const auto& [name, member] : state.members())
                routers_out +=
                    state.is_removed({true, name}) && member.lease_until + budgets.drift >= state.now();
            bool removed_healthy = false;
            for (const RemovalGranted& effect : grants)
                if (!state.requests().at(effect.request).target.router)
                    removed_healthy |= state.nodes().at(effect.target).health == Health::healthy;
            if (removed_healthy) {  // a node that was out already uses no further budget
                CHECK(out <= budgets.nodes.allowed(state.nodes().size()));
                for (const RemovalGranted& effect : grants)
                    if (!state.requests().at(effect.request).target.router &&
                        state.nodes().at(effect.target).health == Health::healthy) {
                        CHECK(zone[state.nodes().at(effect.target).zone] <= budgets.nodes_per_zone.max_count);
                        for (const std::uint32_t shard : state.nodes().at(effect.target).shards)
                            CHECK(healthy_holders[shard] >= budgets.min_holders);
                    }
            }
            CHECK(routers_out <= 2);
        }
        for (const RemovalDone& effect : of_kind<RemovalDone>(effects)) {
            CHECK(done.insert(effect.request).second);
            for (const auto& [name, member] : state.members())
                CHECK((member.report.applied_generation >= effect.generation ||
                       member.lease_until + budgets.drift < now));
        }
        if (random_below(20) != 0) continue;
        const auto saved = state.save();
        CHECK(replica.save() == saved);
        CHECK(state.apply(command) == effects);  // the same command, proposed by another leader
        CHECK(state.save() == saved);
        FleetState reloaded(budgets);
        reloaded.load(saved);
        CHECK(reloaded.save() == saved);
        CHECK(maintained_counts(reloaded) == recount(reloaded));
        replica = reloaded;
    }
    CHECK(granted.size() > 3);
    CHECK(!done.empty());
}

// Covers what the test above does not: unresponsive nodes, automatic halts, expiring leases, members that may
// act without a lease, machine kinds, changes of the budgets, and snapshots loaded in the middle of a run.
TEST_CASE("generated commands: the maintained counts equal a recount after every command") {
    const auto seed = GENERATE(range(1U, 13U));
    std::knuth_b random(seed);
    const auto random_below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    const auto random_size = [&](int n) { return static_cast<std::size_t>(random_below(n)); };
    const auto random_budgets = [&] {
        Budgets budgets;
        budgets.nodes = {2 + random_size(5), 0.3 + 0.1 * random_below(8)};
        budgets.nodes_per_zone = {1 + random_size(4), 1}, budgets.nodes_per_kind = {2 + random_size(8), 1};
        budgets.routers = {1 + random_size(4), 1}, budgets.routers_per_zone = {1 + random_size(3), 1};
        budgets.min_holders = random_size(3);
        budgets.lease = (8 + random_below(12)) * second, budgets.drift = (1 + random_below(4)) * second;
        budgets.forget_after = (10 + random_below(60)) * second;
        budgets.wait_for_lost = random_below(2) == 0;
        budgets.halt_failed_share = 0.4, budgets.halt_failed_min_queries = 50,
        budgets.halt_lost_share = 0.3 + 0.1 * random_below(5);
        budgets.halt_min_holders = 1 + random_size(2);
        budgets.unresponsive_share = 0.1 + 0.2 * random_below(5);
        return budgets;
    };
    const auto random_node = [&](int node_index) {
        Node node = ring(12).at("n" + std::to_string(node_index));
        node.zone = random_below(2) == 0 ? "a" : "b", node.kind = random_below(3) == 0 ? "k" : "m";
        node.health = random_below(3) == 0 ? static_cast<Health>(1 + random_below(4)) : Health::healthy;
        return node;
    };
    FleetState state(random_budgets());
    std::map<std::string, std::uint64_t> incarnations;
    Nanos now = 1000 * second;
    std::map<std::string, Node> nodes = ring(12);
    state.apply({"", now, EndpointsObserved{nodes}});
    std::map<std::size_t, int> effect_counts;
    std::size_t with_votes = 0, short_shards = 0, with_lost_acting = 0, in_flight = 0;
    std::string silent_router;  // sends no report for a while
    for (int i = 0; i < 1000; ++i) {
        now += random_below(3) == 0 ? random_below(3) * second : 0;
        if (random_below(60) == 0) silent_router = "r" + std::to_string(random_below(7));
        if (random_below(200) == 0) now += 60 * second;  // an interruption of the consensus
        const int node_index = random_below(12);
        const std::string node = "n" + std::to_string(node_index),
                          router = "r" + std::to_string(random_below(7));
        const auto random_join = [&] {
            return Join{router,
                        random_below(8) == 0 ? Role::control : Role::router,
                        random_below(2) == 0 ? "a" : "b",
                        "1",
                        "d",
                        random_below(3) == 0 ? incarnations[router] : ++incarnations[router],
                        random_below(3) * 10 * second};
        };
        const auto random_report = [&] {
            MemberReport report{state.generation(), {}, {}, static_cast<std::uint64_t>(random_below(100)), 0};
            if (random_below(4) == 0)
                report.applied_generation -=
                    std::min<std::uint64_t>(report.applied_generation, random_size(3));
            if (random_below(40) == 0) report.applied_generation += 2;
            if (random_below(6) == 0) report.in_flight.insert({false, node});
            if (random_below(12) == 0) report.in_flight.insert({true, router});
            if (random_below(4) == 0) report.unresponsive = {node, "n" + std::to_string(random_below(3))};
            if (random_below(8) == 0) report.failed = report.queries;
            return report;
        };
        Command command{"", now, Tick{}};
        const int operation = random_below(20);
        if (operation == 0 && router != silent_router) command.payload = random_join();
        if (operation >= 1 && operation <= 4 && router != silent_router)
            command.payload = Renew{router, incarnations[router], random_report()};
        if (operation >= 5 && operation <= 7)
            command.payload =
                RequestRemoval{"ann", {random_below(3) == 0, random_below(4) == 0 ? router : node}};
        if (operation == 8 && !state.requests().empty())
            command.payload = UndoRemoval{
                std::next(state.requests().begin(), random_below(int(state.requests().size())))->first};
        if (operation == 9 || operation == 10)
            command.payload = EndpointsObserved{{{node, nodes[node] = random_node(node_index)}}, false, {}};
        if (operation == 11 && random_below(3) == 0) nodes.erase(node);
        if (operation == 11)
            command.payload =
                random_below(2) == 0 ? EndpointsObserved{nodes} : EndpointsObserved{{}, false, {node}};
        if (operation >= 12 && operation <= 15) {
            ReportBatch batch;
            if (random_below(4) == 0) batch.joins.push_back(random_join());
            for (const auto& [name, incarnation] : incarnations)
                if (name != silent_router && random_below(8) > 0)
                    batch.renewals.push_back({name, incarnation, random_report()});
            command.payload = batch;
        }
        if (operation == 16)
            command.payload = random_below(2) == 0
                                  ? decltype(command.payload)(Leave{router, incarnations[router]})
                                  : Forget{router};
        if (operation == 17 && random_below(3) == 0) command.payload = Halt{"a person"};
        if (operation == 18) command.payload = Resume{};
        if (operation == 19 && random_below(10) == 0) command.payload = SetBudgets{random_budgets()};
        const auto effects = state.apply(command);
        CHECK(maintained_counts(state) == recount(state));
        CHECK(unfinished_requests(state, effects) == 0);
        for (const Effect& effect : effects) ++effect_counts[effect.index()];
        with_votes += !state.vote_counts().by_node.empty(),
            short_shards += !state.node_counts().short_shards.empty();
        with_lost_acting += !state.member_counts().lost_acting.empty();
        in_flight += !state.member_counts().in_flight.empty();
        if (random_below(50) != 0) continue;
        FleetState reloaded({});
        reloaded.load(state.save());
        CHECK(maintained_counts(reloaded) == recount(reloaded));
        state = reloaded;
    }
    // Makes sure that the runs cover all of these cases.
    for (const auto kind :
         kinds_of<Effect, RemovalGranted, RemovalDone, TargetReturned, GrantsHalted, MemberLeaseExpired>())
        CHECK(effect_counts[kind] > 0);
    CHECK(std::min({with_votes, short_shards, with_lost_acting, in_flight}) > 0);
}

namespace {

// The greatest numbers of entries that one command visits in a fleet of a given size: a batch of six reports,
// the same while a request waits, a request that is granted, the reports until it is done, its undo, and an
// observed change of a node.
struct VisitCounts {
    std::size_t batch = 0, batch_while_one_waits = 0, request = 0, last_report = 0, undo = 0, observation = 0;
};

VisitCounts max_visit_counts(int nodes, int routers) {
    Budgets budgets;
    budgets.nodes = {2, 1}, budgets.halt_min_holders = 1;
    FleetState state(budgets);
    Nanos now = 1000 * second;
    const auto visits_of = [&](auto payload) {
        state.apply({"", now, std::move(payload)});
        return state.visited_count();
    };
    const auto router = [&](int router_index) { return "r" + std::to_string(router_index % routers); };
    const auto node_list = ring(nodes);
    visits_of(EndpointsObserved{node_list});
    ReportBatch joins;
    for (int router_index = 0; router_index < routers; ++router_index)
        joins.joins.push_back(
            {router(router_index), Role::router, router_index % 2 == 0 ? "a" : "b", "1", "d", 1, 0});
    visits_of(joins);
    int next = 0;
    const auto apply_batch = [&] {
        ReportBatch reports;
        for (int i = 0; i < 6; ++i)
            reports.renewals.push_back({router(next++), 1, {state.generation(), {}, {}, 0, 0}});
        return visits_of(reports);
    };
    VisitCounts visits;
    for (int i = 0; i < 20; ++i) visits.batch = std::max(visits.batch, apply_batch());
    visits.request = visits_of(RequestRemoval{"ann", {false, "n0"}});
    REQUIRE(state.is_removed({false, "n0"}));
    while (state.requests().at(1).stage != Stage::done)
        visits.last_report = std::max(visits.last_report, apply_batch());
    visits_of(RequestRemoval{"ann", {false, "n100"}});
    visits.request = std::max(visits.request, visits_of(RequestRemoval{"ann", {false, "n200"}}));
    CHECK(state.requests().at(3).blocked_by == "nodes: 2 of " + std::to_string(nodes) + " are out, 2 may be");
    for (int i = 0; i < 20; ++i)
        visits.batch_while_one_waits = std::max(visits.batch_while_one_waits, apply_batch());
    Node cold = node_list.at("n300");
    cold.health = Health::cold;
    visits.observation = visits_of(EndpointsObserved{{{"n300", cold}}, false, {}});
    visits.undo = visits_of(UndoRemoval{1});
    return visits;
}

}  // namespace

// A scan of all members or of all nodes would visit 10 or 80 times as many entries in the larger fleet.
TEST_CASE("a command visits only what it changes, however large the fleet") {
    const VisitCounts small = max_visit_counts(1000, 300), large = max_visit_counts(81'000, 3600);
    CHECK(small.batch > 0);
    CHECK(large.batch <= 3 * small.batch);
    CHECK(large.batch_while_one_waits <= 3 * small.batch_while_one_waits);
    CHECK(large.request <= 3 * small.request);
    CHECK(large.last_report <= 3 * small.last_report);
    CHECK(large.undo <= 3 * small.undo);
    CHECK(large.observation <= 3 * small.observation);
    // Six reports, and the waiting request with the shards of its node.
    CHECK(large.batch_while_one_waits <= 30);
}
