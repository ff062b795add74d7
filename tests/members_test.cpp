// A router's membership: its lease, discovery's list combined with the agreed drains, its reports and
// messages. Also the fleet managers' file, their view of the data nodes, and the status page.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "fleet_manager/endpoint_view.hpp"
#include "fleet_manager/fleet_manager_config.hpp"
#include "fleet_manager/operator_requests.hpp"
#include "fleet_manager/status_page.hpp"
#include "helpers.hpp"
#include "members/endpoint_overlay.hpp"
#include "members/member_lease.hpp"
#include "members/outcome_stats.hpp"
#include "service/membership.hpp"
#include "wire/member_messages.hpp"

using namespace tealcart;

namespace {

constexpr Nanos second = 1'000'000'000;

MemberConfig member_config(Nanos lease_grace, bool stop) {
    MemberConfig config;
    config.lease_grace = lease_grace;
    config.stop_after_grace = stop;
    config.startup_wait = 5 * second;
    return config;
}

ListedEndpoint listed_node(const std::string& id, Lifecycle lifecycle = Lifecycle::ready,
                           std::uint32_t place = 0) {
    ListedEndpoint node;
    node.id = id, node.address = "127.0.0.1:1", node.zone = "a", node.place = place,
    node.lifecycle = lifecycle;
    return node;
}

std::map<std::string, Lifecycle> lifecycles_of(const EndpointList& list) {
    std::map<std::string, Lifecycle> lifecycles;
    for (const ListedEndpoint& node : list.nodes) lifecycles[node.id] = node.lifecycle;
    return lifecycles;
}
using Lifecycles = std::map<std::string, Lifecycle>;

}  // namespace

namespace {

// A member host without queries, which records the lifecycle of each node that it receives.
class FakeMemberHost final : public MemberHost {
  public:
    std::map<std::string, Lifecycle> nodes;

    void on_endpoint_list(const EndpointList& list) override {
        for (const ListedEndpoint& node : list.nodes) nodes[node.id] = node.lifecycle;
    }
    void observe_outcomes(OutcomeObserver*) override {}
    void set_serving_state(ServingStateSource, const MemberServingState&) override {}
    Nanos next_round() const override { return TimerQueue::never; }
    std::size_t unfinished_count() const override { return 0; }
    bool any_attempt_to(const std::function<bool(const std::string&)>&) const override { return false; }
    const std::string& node_name(std::uint32_t) const override { return none_; }

  private:
    const std::string none_;
};

}  // namespace

TEST_CASE("a node that is known only from the startup list is drained by agreement too") {
    boost::asio::io_context io(1);
    EventClock time;
    test::FakeServer manager(io, [](test::TestConnection& peer) {
        if (peer.received.find("\r\n\r\n") == std::string::npos || peer.received.back() != '}') return;
        peer.received.clear();
        const std::string body = write_member_answer({1, 10 * second, {{false, "n0"}}, false});
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    StartupConfig startup = read_startup_config(
        R"({"name":"r","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"00ff","limits":{"sockets":256},)"
        R"("settings":)" +
        test::settings_text + "}");
    startup.operator_config.member.enabled = true;
    startup.operator_config.member.managers = {*parse_host_port(manager.address())};
    FakeMemberHost host;
    Membership member(io, time, startup, host);
    const EndpointList known{1, true, {listed_node("n0"), listed_node("n1")}, 0};
    host.on_endpoint_list(known);
    member.apply_cached_list(known);
    member.start();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (member.applied_generation() != 1 && std::chrono::steady_clock::now() < end) {
        io.run_one_for(std::chrono::milliseconds(10));
        time.timers.fire_due(time.now());
    }
    CHECK(member.applied_generation() == 1);
    CHECK(host.nodes == Lifecycles{{"n0", Lifecycle::draining}, {"n1", Lifecycle::ready}});
    member.stop();
    io.poll();
}

TEST_CASE("a lease starts when the answered call was sent; the settings decide what is allowed after it") {
    const bool stop = GENERATE(false, true);
    MemberLease lease(member_config(3 * second, stop), 100 * second, 7);
    CHECK(lease.serving_state(100 * second) == ServingState::unregistered);
    CHECK_FALSE(lease.ready(100 * second));
    CHECK(lease.admits(100 * second) == !stop);  // the fleet managers may have registered it already
    lease.renewed(101 * second, 10 * second);
    lease.renewed(100 * second, 10 * second);  // an answer to an earlier call does not shorten the lease
    CHECK(lease.lease_until() == 111 * second);
    CHECK(lease.serving_state(111 * second - 1) == ServingState::leased);
    CHECK(lease.serving_state(111 * second) == ServingState::lease_expired);
    CHECK(lease.ready(113 * second));
    CHECK(lease.serving_state(114 * second) == ServingState::fenced);
    CHECK_FALSE(lease.ready(114 * second));
    CHECK(lease.admits(114 * second) == !stop);
    CHECK(lease.attempts_until(102 * second) == (stop ? 114 * second : INT64_MAX));
    CHECK(lease.next_change(101 * second) == 111 * second);
    CHECK(lease.next_change(111 * second) == 114 * second);
    CHECK(lease.next_change(114 * second) == INT64_MAX);
    lease.renewed(120 * second, 10 * second);
    CHECK(lease.serving_state(121 * second) == ServingState::leased);
    CHECK(lease.long_poll_wait(false) == 2 * second);
    CHECK(lease.long_poll_wait(true) < second / 10);
}

TEST_CASE(
    "without an answer the grace period counts from the start, and an unlimited one does not overflow") {
    MemberLease strict(member_config(0, true), 100 * second, 7);
    CHECK(strict.attempts_until(101 * second) == 0);
    CHECK(strict.serving_state(105 * second) == ServingState::fenced);
    MemberLease lenient(member_config(INT64_MAX, false), 100 * second, 7);
    CHECK(lenient.serving_state(105 * second) == ServingState::lease_expired);
    CHECK(lenient.ready(1'000'000 * second));
}

TEST_CASE(
    "a member superseded before its first lease takes a later incarnation; one superseded later is fenced") {
    MemberLease lease(member_config(3600 * second, false), 100 * second, 7);
    lease.superseded(50);
    CHECK(lease.incarnation() == 51);
    CHECK(lease.serving_state(101 * second) == ServingState::unregistered);
    lease.renewed(101 * second, 10 * second);
    lease.superseded(90);
    CHECK(lease.incarnation() == 51);
    CHECK(lease.serving_state(102 * second) == ServingState::fenced);
    CHECK_FALSE(lease.admits(102 * second));
    CHECK(lease.attempts_until(102 * second) == 0);
}

TEST_CASE("random lists and drains: the router receives the stricter state of each node") {
    std::knuth_b random(GENERATE(range(1U, 9U)));
    const auto random_below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    EndpointOverlay overlay;
    // The reference model: discovery's latest list, the drained nodes, and what the router received.
    std::map<std::string, Lifecycle> discovery, received;
    std::set<std::string> drained;
    bool fenced = false;
    for (int i = 0; i < 600; ++i) {
        EndpointList update{static_cast<std::uint64_t>(i), random_below(8) == 0, {}, 0};
        EndpointList delivered;
        switch (random_below(3)) {
            case 0:
                if (update.full) discovery.clear();
                for (int n = 0; n < 6; ++n) {
                    if (random_below(3) != 0) continue;
                    const auto lifecycle = static_cast<Lifecycle>(random_below(3));
                    update.nodes.push_back(listed_node("n" + std::to_string(n), lifecycle));
                    if (lifecycle == Lifecycle::removed)
                        discovery.erase(update.nodes.back().id);
                    else
                        discovery[update.nodes.back().id] = lifecycle;
                }
                delivered = overlay.apply_discovered(update);
                break;
            case 1:
                drained.clear();
                for (int n = 0; n < 6; ++n)
                    if (random_below(4) == 0) drained.insert("n" + std::to_string(n));
                delivered = overlay.apply_drains(drained);
                break;
            default:
                fenced = random_below(4) == 0;
                delivered = overlay.set_fenced(fenced);
        }
        if (delivered.full) received.clear();
        for (const ListedEndpoint& node : delivered.nodes) {
            if (node.lifecycle == Lifecycle::removed)
                received.erase(node.id);
            else
                received[node.id] = node.lifecycle;
        }
        Lifecycles expected = discovery;
        for (auto& [id, lifecycle] : expected)
            if (fenced || drained.contains(id)) lifecycle = Lifecycle::draining;
        CHECK(received == expected);
    }
}

TEST_CASE("an update that changes nothing yields an empty list") {
    EndpointOverlay overlay;
    overlay.apply_discovered({1, true, {listed_node("n0"), listed_node("n1", Lifecycle::draining)}, 0});
    CHECK(lifecycles_of(overlay.apply_drains({"n0", "n1", "n9"})) == Lifecycles{{"n0", Lifecycle::draining}});
    CHECK(lifecycles_of(overlay.apply_drains({"n0", "n1"})).empty());
    CHECK(lifecycles_of(overlay.set_fenced(true)).empty());
    CHECK(lifecycles_of(overlay.set_fenced(false)).empty());
    CHECK(lifecycles_of(overlay.apply_drains({})) == Lifecycles{{"n0", Lifecycle::ready}});
}

TEST_CASE("outcome statistics cover ten seconds, and nodes with consecutive failures are unresponsive") {
    OutcomeStats stats;
    Nanos now = 1000 * second;
    stats.record_query(now, true);
    for (int i = 0; i < 9; ++i) stats.record_query(now += second, false);
    CHECK(stats.counts(now).queries == 10);
    CHECK(stats.counts(now).failed == 1);
    CHECK(stats.counts(now + second).failed == 0);
    CHECK(stats.counts(now + 60 * second).queries == 0);
    for (int i = 0; i < 5; ++i) stats.record_attempt(now + i * second, 3, Outcome::timeout);
    for (int i = 0; i < 9; ++i)
        stats.record_attempt(now, 4, Outcome::reset);  // all at once, which is one interruption
    for (int i = 0; i < 9; ++i)
        stats.record_attempt(now + i * second, 5, Outcome::overloaded);  // the node responds
    CHECK(stats.unresponsive(now + 5 * second) == std::set<std::uint32_t>{3});
    stats.record_attempt(now + 5 * second, 3, Outcome::not_sent);
    CHECK(stats.unresponsive(now + 5 * second).size() == 1);
    CHECK(stats.unresponsive(now + 60 * second).empty());
    stats.record_attempt(now + 6 * second, 3, Outcome::ok);
    CHECK(stats.unresponsive(now + 6 * second).empty());
}

TEST_CASE("messages between members and fleet managers round-trip, and malformed ones give a reason") {
    MemberCall call{
        "r1",   "router", "a", "0.3.0", "d1", 5, 3 * second, 7, 8, second, {{false, "n1"}, {true, "r1"}},
        {"n2"}, 10,       1,   true};
    const auto read = read_member_call(write_member_call(call));
    REQUIRE(read);
    CHECK(write_member_call(*read) == write_member_call(call));
    CHECK(read->in_flight == call.in_flight);
    CHECK(read->leaving);
    const std::string malformed_calls[] = {
        "",
        "[]",
        "{",
        R"({"role":"router","life":1})",
        R"({"name":"a b","role":"router","life":1})",
        R"({"name":"r","role":"king","life":1})",
        R"({"name":"r","role":"router","life":0})",
        R"({"name":"r","role":"router","life":-1})",
        R"({"name":"r","role":"router","life":1,"wait_ms":1e30})",
        R"({"name":"r","role":"router","life":1,"in_hand":[["shelf","n1"]]})",
        R"({"name":"r","role":"router","life":1,"silent":[3]})"};
    for (const std::string& text : malformed_calls) {
        const auto malformed = read_member_call(text);
        REQUIRE_FALSE(malformed);
        CHECK_FALSE(malformed.error().reason.empty());
    }
    const auto answer = read_member_answer(write_member_answer({9, 10 * second, {{false, "n1"}}, true}));
    REQUIRE(answer);
    CHECK(answer->generation == 9);
    CHECK(answer->drained == std::vector<TargetName>{{false, "n1"}});
    CHECK(answer->halted);
    CHECK_FALSE(read_member_answer(R"({"generation":9,"lease_ms":0,"out":[],"halted":false})"));
    CHECK_FALSE(read_member_answer(R"({"generation":9,"lease_ms":5,"halted":false})"));
    CHECK(read_superseded(write_superseded(7)) == 7);
    CHECK(read_not_leader(write_not_leader("127.0.0.1:1")) == "127.0.0.1:1");
    CHECK_FALSE(read_not_leader("{}"));
}

TEST_CASE("an operator's request is read, and a malformed one gives a reason") {
    using namespace tealcart::fleet_manager;
    const auto call =
        read_operator_call(R"({"id":"x","asker":"ann","targets":[["node","n1"],["router","r1"]]})");
    REQUIRE(call);
    CHECK(call->targets == std::vector<fleet::Target>{{false, "n1"}, {true, "r1"}});
    for (const char* text : {"", "{}", R"({"id":""})", R"({"id":"x","targets":[["node"]]})",
                             R"({"id":"x","targets":[["shelf","n1"]]})", R"({"id":"x","requests":["1"]})"}) {
        const auto malformed = read_operator_call(text);
        REQUIRE_FALSE(malformed);
        CHECK_FALSE(malformed.error().reason.empty());
    }
}

TEST_CASE("the fleet managers' file is read, and mistakes are reported with line and column") {
    using namespace tealcart::fleet_manager;
    const FleetManagerConfig config = read_fleet_manager_file("deploy/fleet.hcl");
    CHECK(config.fleet == "example");
    CHECK(config.managers.size() == 3);
    CHECK(config.managers.at(2).http.port == 7202);
    CHECK(config.managers.at(2).http_bind == config.managers.at(2).http);
    CHECK(config.budgets.nodes.max_count == 1);
    CHECK(config.budgets.nodes_per_zone.max_share == 0.5);
    CHECK(config.budgets.halt_min_holders == 1);
    CHECK(config.budgets.lease == 10 * second);
    const auto mistakes = [](const char* text) {
        try {
            read_fleet_manager_config(text, "f");
        } catch (const HclErrors& e) {
            return std::string(e.what());
        }
        return std::string("none");
    };
    CHECK(mistakes("") == "f:1:1: the 'fleet' block is missing");
    const std::string errors = mistakes(
        "fleet \"x\" {\n lease = \"700ms\"\n election = \"600ms\"\n steward \"0\" {\n"
        "  raft = \"here\"\n  http = \"127.0.0.1:1\"\n  folder = \"f\"\n }\n nodes {\n }\n}\n");
    CHECK(errors.find("f:1:1: 'lease' is 700ms; expected at least 1200ms, twice 'election', so that a leader "
                      "can be elected within one lease\n") != std::string::npos);
    CHECK(
        errors.find("f:4:2: the label of a 'steward' block is \"0\"; expected an id: an integer above 0\n") !=
        std::string::npos);
    CHECK(errors.find("f:4:2: 'raft' is \"here\"; expected HOST:PORT\n") != std::string::npos);
    CHECK(errors.find("f:9:2: ") != std::string::npos);
    CHECK(
        mistakes("fleet \"a b\" {\n steward \"1\" {\n raft = \"h:1\"\n http = \"h:2\"\n folder = \"f\"\n }\n"
                 " steward \"1\" {\n raft = \"h:3\"\n http = \"h:2\"\n folder = \"f\"\n }\n}\n") ==
        "f:1:1: the fleet's name is \"a b\"; expected 1 to 128 printable characters without blanks\n"
        "f:7:2: 'http' is the same as that of steward 1; expected a different value\n"
        "f:7:2: there is more than one 'steward' block with the id 1; expected at most one");
}

TEST_CASE("the endpoint view derives shards and health, and health is unknown while discovery is silent") {
    using namespace tealcart::fleet_manager;
    RouterConfig config;
    config.places = 4, config.replicas_per_shard = 2, config.shards = 8,
    config.slow_start_duration = 10 * second;
    EndpointView view(config);
    fleet::FleetState state({});
    const Nanos now = 1000 * second;
    CHECK_FALSE(view.differences(state, now));  // before discovery's first answer there is nothing to report
    ListedEndpoint cold_node = listed_node("n1", Lifecycle::ready, 1);
    cold_node.started_at = now - 4 * second;
    view.on_endpoints({1, true, {listed_node("n0"), cold_node, listed_node("n2", Lifecycle::draining, 2)}, 0},
                      now);
    auto observed = view.differences(state, now);
    REQUIRE(observed);
    CHECK(observed->nodes.at("n0").shards == std::vector<std::uint32_t>{0, 3, 4, 7});
    CHECK(observed->nodes.at("n1").health == fleet::Health::cold);
    CHECK(observed->nodes.at("n2").health == fleet::Health::draining);
    state.apply({"", now, *observed});
    CHECK_FALSE(view.differences(state, now));
    observed = view.differences(state, now + 7 * second);
    REQUIRE(observed);
    CHECK(observed->nodes.size() == 1);
    CHECK(observed->nodes.at("n1").health == fleet::Health::healthy);
    view.on_endpoints({2, false, {listed_node("n0", Lifecycle::removed)}, 0}, now + second);
    observed = view.differences(state, now + second);
    REQUIRE(observed);
    CHECK(observed->removed == std::set<std::string>{"n0"});
    observed = view.differences(state, now + 60 * second);
    REQUIRE(observed);
    CHECK(observed->nodes.at("n2").health == fleet::Health::unknown);
}

TEST_CASE("comparing only changed nodes finds the same differences as comparing all nodes") {
    using namespace tealcart::fleet_manager;
    const auto seed = GENERATE(range(1U, 9U));
    std::knuth_b random(seed);
    const auto random_below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    RouterConfig config;
    config.places = 5, config.replicas_per_shard = 2, config.shards = 13,
    config.slow_start_duration = 10 * second;
    const auto name_of = [](int n) { return "n" + std::to_string(n); };
    EndpointView view(config);
    fleet::FleetState state({});
    std::map<std::string, ListedEndpoint> listed_nodes;
    Nanos now = 1000 * second, last_list_at = 0;
    int differing = 0, unknown = 0, cold = 0;
    for (int i = 0; i < 2000; ++i) {
        now += random_below(3) * second / 4;
        if (random_below(100) == 0) now += 60 * second;  // discovery is silent
        if (random_below(3) > 0) {
            EndpointList list{static_cast<std::uint64_t>(i), random_below(100) == 0, {}, 0};
            const std::string name = name_of(random_below(30));
            const auto place = std::uint32_t(random_below(5));
            const auto lifecycle = static_cast<Lifecycle>(random_below(3));
            ListedEndpoint endpoint = listed_node(name, lifecycle, place);
            endpoint.started_at = random_below(2) == 0 ? now - random_below(12) * second : 0;
            if (list.full) {
                std::erase_if(listed_nodes, [&](const auto&) { return random_below(4) == 0; });
                for (const auto& [id, node] : listed_nodes) list.nodes.push_back(node);
            }
            list.nodes.push_back(endpoint);
            if (endpoint.lifecycle == Lifecycle::removed)
                listed_nodes.erase(name);
            else
                listed_nodes[name] = endpoint;
            view.on_endpoints(list, last_list_at = now);
        }
        // An entry of a former leader is committed after this fleet manager has started to compare.
        if (random_below(50) == 0) {
            fleet::EndpointsObserved other{{}, random_below(4) == 0, {name_of(random_below(30))}};
            other.nodes[name_of(random_below(30))] = {"b", "k", {1}, fleet::Health::draining, 0};
            state.apply({"", now, other});
            view.on_committed(other);
        }
        if (random_below(30) == 0)
            state.apply({"", now, fleet::RequestRemoval{"ann", {false, name_of(random_below(30))}}});
        if (last_list_at == 0 || random_below(4) == 0) continue;  // another fleet manager leads
        EndpointView fresh_view(config);
        EndpointList full_list{1, true, {}, 0};
        for (const auto& [id, node] : listed_nodes) full_list.nodes.push_back(node);
        fresh_view.on_endpoints(full_list, last_list_at);
        const auto full_comparison = fresh_view.differences(state, now);
        const auto observed = view.differences(state, now);
        REQUIRE(observed.has_value() == full_comparison.has_value());
        if (!observed) continue;
        CHECK(observed->nodes == full_comparison->nodes);
        CHECK(observed->removed == full_comparison->removed);
        ++differing;
        for (const auto& [id, node] : observed->nodes)
            unknown += node.health == fleet::Health::unknown, cold += node.health == fleet::Health::cold;
        if (random_below(5) == 0) continue;  // not committed
        state.apply({"", now, *observed});
        if (random_below(2) == 0) view.on_committed(*observed);
    }
    CHECK(std::min({differing, unknown, cold}) > 20);
}

TEST_CASE("a change of one node makes the endpoint view compare one node") {
    using namespace tealcart::fleet_manager;
    RouterConfig config;
    config.places = 100, config.replicas_per_shard = 2, config.shards = 200,
    config.slow_start_duration = 10 * second;
    EndpointView view(config);
    fleet::FleetState state({});
    Nanos now = 1000 * second;
    EndpointList list{1, true, {}, 0};
    for (std::uint32_t n = 0; n < 1000; ++n)
        list.nodes.push_back(listed_node("n" + std::to_string(n), Lifecycle::ready, n % 100));
    const auto commit_differences = [&] {
        if (auto observed = view.differences(state, now))
            state.apply({"", now, *observed}), view.on_committed(*observed);
        return view.compared_count();
    };
    view.on_endpoints(list, now);
    CHECK(commit_differences() == 1000);
    CHECK(commit_differences() == 1000);  // now they match the agreed state
    CHECK(commit_differences() == 0);
    ListedEndpoint cold_node = listed_node("n7", Lifecycle::ready, 7);
    cold_node.started_at = now;
    view.on_endpoints({2, false, {cold_node}, 0}, now);
    CHECK(commit_differences() == 1);
    CHECK(state.nodes().at("n7").health == fleet::Health::cold);
    CHECK(commit_differences() == 1);
    CHECK(commit_differences() == 0);
    now += 10 * second;
    CHECK(commit_differences() == 1);
    CHECK(state.nodes().at("n7").health == fleet::Health::healthy);
    CHECK((commit_differences(), commit_differences()) == 0);
    view.compare_all();
    CHECK(commit_differences() == 1000);
    CHECK(commit_differences() == 0);
    now += 60 * second;  // discovery is silent
    CHECK(commit_differences() == 1000);
    CHECK(state.nodes().at("n8").health == fleet::Health::unknown);
}

TEST_CASE("the status of a large fleet lists only exceptions, and counts all by zone") {
    using namespace tealcart::fleet_manager;
    fleet::FleetState state({});
    const Nanos now = 1000 * second;
    const int nodes = GENERATE(200, 201, 2000);
    fleet::EndpointsObserved observed;
    for (int node = 0; node < nodes; ++node)
        observed.nodes["n" + std::to_string(node)] = {
            node % 2 == 0 ? "a" : "b", "k", {}, fleet::Health::healthy, 0};
    observed.nodes["n3"].health = fleet::Health::cold;
    state.apply({"", now, observed});
    fleet::ReportBatch reports;
    for (int router = 0; router < nodes; ++router)
        reports.joins.push_back({"r" + std::to_string(router), fleet::Role::router, "a", "1", "d", 1, 0});
    state.apply({"", now, reports});
    const auto status = [&](bool all) { return nlohmann::json::parse(write_status(state, {}, all)); };
    const bool large = nodes > 200;
    auto page = status(false);
    CHECK(page["nodes"].size() == (large ? 1U : 200U));
    CHECK(page["members"].size() == (large ? 0U : 200U));
    CHECK(page["nodes_listed"]["listed"] == (large ? "exceptions" : "all"));
    CHECK(page["nodes_counted"]["all"] == nodes);
    CHECK(page["nodes_counted"]["out"] == 1);
    CHECK(page["nodes_counted"]["zones"]["b"]["out"] == 1);
    CHECK(page["nodes_counted"]["zones"]["a"]["all"] == (nodes + 1) / 2);
    CHECK(page["routers_counted"]["all"] == nodes);
    CHECK(status(true)["nodes"].size() == static_cast<std::size_t>(nodes));
    CHECK(status(true)["members_listed"]["listed"] == "all");
    // After a grant no member has applied the latest generation yet; at most 1000 of them are listed.
    state.apply({"", now, fleet::RequestRemoval{"ann", {false, "n0"}}});
    page = status(false);
    CHECK(page["members"].size() == std::min<std::size_t>(1000, reports.joins.size()));
    CHECK(page["members_listed"]["exceptions_left_out"] == std::max(0, nodes - 1000));
    CHECK(page["nodes"][0]["name"] == "n0");
    CHECK(page["nodes"][0]["out"] == true);
}
