// Decisions for other proxies without I/O: what is decided, how limits are divided, and the protocol's state
// machine under generated sequences of proxies' messages beside a slow plain model.
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

#include "control/controller.hpp"
#include "helpers.hpp"

using namespace tealcart;
using test::ms;

namespace {

constexpr Nanos s = 1000 * ms;
constexpr Nanos start = 1'000'000 * s;

ListedEndpoint node(int n, std::uint32_t place, Lifecycle a = Lifecycle::ready, Nanos started = 0) {
    return {"n" + std::to_string(n),
            "127.0.0.1:" + std::to_string(1000 + n),
            "z" + std::to_string(n % 2),
            "m",
            place,
            a,
            started};
}

EndpointList list_of(std::uint64_t generation, std::vector<ListedEndpoint> nodes) {
    return {generation, true, std::move(nodes), 0};
}

const std::vector<std::string> names = {"part", "whole"};

ControlConfig control_config() {
    ControlConfig c;
    c.on = true;
    c.node_limit = 10;
    return c;
}

const PoolEndpoint* find(const Pool& pool, const std::string& id) {
    for (const PoolEndpoint& e : pool.endpoints)
        if (e.id == id) return &e;
    return nullptr;
}

std::vector<ListedEndpoint> four() { return {node(0, 0), node(1, 1), node(2, 2), node(3, 3)}; }

}  // namespace

TEST_CASE("pools hold the holders of their shards; a drain is told at once and removed after its grace") {
    DecisionEngine engine(test::small_config(), names, control_config(), 1);
    engine.apply_list(list_of(1, four()), start);
    Decisions made = engine.decide(start);
    REQUIRE(made.pools.size() == 4);
    CHECK(made.pools[3].endpoints.size() == 3);  // places 3, 0 and 1
    CHECK(find(made.pools[3], "n2") == nullptr);
    CHECK(made.pools[0].limit == 30);
    auto nodes = four();
    nodes[1].lifecycle = Lifecycle::draining;
    engine.apply_list(list_of(2, nodes), start + s);
    made = engine.decide(start + s);
    REQUIRE(find(made.pools[1], "n1") != nullptr);
    CHECK(find(made.pools[1], "n1")->state == EndpointState::draining);
    CHECK(made.pools[1].limit == 20);
    CHECK(engine.next_change() == start + s + 500 * ms);
    made = engine.decide(start + s + 500 * ms);
    CHECK(find(made.pools[1], "n1") == nullptr);
    // Told again while it drains, it stays away.
    engine.apply_list(list_of(3, nodes), start + 3 * s);
    CHECK(find(engine.decide(start + 3 * s).pools[1], "n1") == nullptr);
}

TEST_CASE("a node that drains, goes and returns within a second returns cold") {
    DecisionEngine engine(test::small_config(), names, control_config(), 1);
    engine.apply_list(list_of(1, four()), start);
    auto nodes = four();
    nodes[1].lifecycle = Lifecycle::draining;
    engine.apply_list(list_of(2, nodes), start + 100 * ms);
    nodes.erase(nodes.begin() + 1);
    engine.apply_list(list_of(3, nodes), start + 300 * ms);
    CHECK(find(engine.decide(start + 300 * ms).pools[1], "n1") == nullptr);
    nodes = four();
    nodes[1].started_at = start + 500 * ms;
    engine.apply_list(list_of(4, nodes), start + 600 * ms);
    const Decisions made = engine.decide(start + 600 * ms);
    REQUIRE(find(made.pools[1], "n1") != nullptr);
    CHECK(find(made.pools[1], "n1")->state == EndpointState::healthy);
    CHECK(find(made.pools[1], "n1")->weight < 20);
}

TEST_CASE("a cold node's weight and its part of the limit climb with its warmth, and never pass them") {
    const RouterConfig config = test::small_config();
    DecisionEngine engine(config, names, control_config(), 1);
    auto nodes = four();
    nodes[2].started_at = start;
    engine.apply_list(list_of(1, nodes), start);
    std::uint32_t last = 0;
    for (Nanos age = 0; age <= 12 * s; age += 100 * ms) {
        const Decisions made = engine.decide(start + age);
        const PoolEndpoint* e = find(made.pools[2], "n2");
        REQUIRE(e != nullptr);
        const double warm =
            std::min(1.0, config.slow_start_min_fraction +
                              (1 - config.slow_start_min_fraction) * static_cast<double>(age) /
                                  static_cast<double>(config.slow_start_duration));
        CHECK(e->weight <= 100 * warm);
        CHECK(e->weight >= last);
        CHECK(made.pools[2].limit <= 20 + 10 * warm);
        last = e->weight;
        if (age > config.slow_start_duration) CHECK(e->weight == 100);
        if (age > config.slow_start_duration) CHECK(engine.next_change() == INT64_MAX);
    }
}

TEST_CASE("a list that loses most of the fleet at once is not believed for a while; drains in it are") {
    DecisionEngine engine(test::small_config(), names, control_config(), 1);
    engine.apply_list(list_of(1, four()), start);
    auto nodes = four();
    nodes[0].lifecycle = Lifecycle::draining;
    nodes.resize(1);
    engine.apply_list(list_of(2, nodes), start + s);
    Decisions made = engine.decide(start + s);
    CHECK(engine.in_panic());
    CHECK(engine.take_log_lines().size() == 1);
    CHECK(find(made.pools[0], "n0")->state == EndpointState::draining);
    CHECK(find(made.pools[0], "n1")->state == EndpointState::healthy);
    SECTION("until most are back") {
        engine.apply_list(list_of(3, {node(1, 1), node(2, 2)}), start + 2 * s);
        made = engine.decide(start + 2 * s);
        CHECK_FALSE(engine.in_panic());
        CHECK(find(made.pools[3], "n3") == nullptr);
        CHECK(find(made.pools[1], "n1") != nullptr);
    }
    SECTION("until it has stood for long") {
        CHECK(find(engine.decide(start + s + 59 * s).pools[3], "n3") != nullptr);
        made = engine.decide(start + s + 61 * s);
        CHECK(find(made.pools[3], "n3") == nullptr);
        CHECK(engine.take_log_lines().size() == 1);
    }
}

TEST_CASE("on silence decisions stand and their age is told; a clock that goes back changes nothing") {
    DecisionEngine engine(test::small_config(), names, control_config(), 1);
    auto nodes = four();
    nodes[2].started_at = start;
    engine.apply_list(list_of(1, nodes), start + s);
    const Decisions before = engine.decide(start + 5 * s);
    CHECK(engine.decide(start - 100 * s).pools == before.pools);
    CHECK(engine.list_age(start + 50 * s) == 49 * s);
    CHECK(engine.decide(start + 3600 * s).pools[0].endpoints.size() == 3);
}

TEST_CASE("what may run twice, and how long, is the module's word") {
    RouterConfig config = test::small_config(Effect::idempotent_with_key);
    config.query_classes[1].effect = Effect::not_idempotent;
    DecisionEngine engine(config, names, control_config(), 1);
    const auto routes = engine.decide(start).query_classes;
    CHECK(routes[0].max_attempts == 3);
    CHECK(
        (routes[0].retry_window > 0 && routes[0].retry_window < config.query_classes[0].idempotency_window));
    CHECK(routes[1].max_attempts == 1);
    CHECK(DecisionEngine(test::small_config(), names, control_config(), 1)
              .decide(start)
              .query_classes[0]
              .retry_window == 0);
}

TEST_CASE("limits are divided so that what may be in use never passes a total that stands") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 drawn(seed);
        const auto below = [&drawn](std::uint64_t n) { return drawn() % n; };
        LimitAllocator limits(2);
        const std::uint32_t totals[2] = {static_cast<std::uint32_t>(below(40)),
                                         static_cast<std::uint32_t>(1 + below(1000))};
        limits.set_total(0, totals[0]);
        limits.set_total(1, totals[1]);
        // Plainly: each proxy goes by any one of what it was told since it last acknowledged, that one
        // included.
        struct Plain {
            std::deque<std::pair<std::uint64_t, std::vector<std::uint32_t>>> told;
            bool here = true;
            Nanos until = 0;
        };
        std::map<std::uint64_t, Plain> plain;
        Nanos now = 0;
        std::uint64_t number = 0, last = 0;
        for (int step = 0; step < 400; ++step) {
            now += static_cast<Nanos>(below(20)) * ms;
            const auto what = below(10);
            if (what == 0 || plain.empty()) {
                limits.join(++last);
                plain[last];
            } else {
                auto at = plain.begin();
                std::advance(at, static_cast<long>(below(plain.size())));
                Plain& p = at->second;
                if (what == 1 && p.here) {
                    p.here = false;
                    p.until = now + 100 * ms;
                    limits.leave(at->first, p.until);
                } else if (what < 7 && p.here) {
                    const std::vector<std::uint32_t> due = limits.allowed_limits(at->first);
                    limits.on_sent(at->first, ++number, due);
                    p.told.emplace_back(number, due);
                } else if (p.here && !p.told.empty()) {
                    const std::size_t which = below(p.told.size());
                    limits.on_acknowledged(at->first, p.told[which].first);
                    p.told.erase(p.told.begin(), p.told.begin() + static_cast<long>(which));
                }
            }
            limits.expire(now);
            std::erase_if(plain, [now](const auto& p) { return !p.second.here && p.second.until <= now; });
            for (std::size_t pool = 0; pool < 2; ++pool) {
                std::uint64_t sum = 0;
                for (const auto& [id, p] : plain) {
                    std::uint32_t most = 0;
                    for (const auto& [_, proxy_limits] : p.told) most = std::max(most, proxy_limits[pool]);
                    sum += most;
                    REQUIRE(limits.in_use(id, pool) >= most);
                }
                REQUIRE(sum <= totals[pool]);
                REQUIRE(limits.in_use(pool) <= totals[pool]);
            }
        }
        // Quiet: after each has been told and has acknowledged twice, all have their even shard requests.
        for (int round = 0; round < 2; ++round) {
            now += s;
            limits.expire(now);
            for (auto& [id, p] : plain)
                if (p.here) {
                    limits.on_sent(id, ++number, limits.allowed_limits(id));
                    limits.on_acknowledged(id, number);
                }
        }
        limits.expire(now + s);
        if (limits.proxies() > 0) CHECK(limits.in_use(1) == totals[1]);
    }
}

namespace {

class PlainEncoder final : public ResourceEncoder {
  public:
    ResourcePtr cluster(std::uint32_t pool, std::uint32_t limit, const std::string& version) const override {
        auto made = std::make_shared<XdsResource>(XdsResource{pool_name(pool), version, "", "", pool, limit});
        made->state_of_world = std::to_string(limit);
        return made;
    }
    ResourcePtr endpoints(std::uint32_t pool, const Pool& what, const std::string& version) const override {
        std::string text;
        for (const PoolEndpoint& e : what.endpoints)
            text += e.id + "=" + std::to_string(e.weight) + (e.state == EndpointState::draining ? "d " : " ");
        return std::make_shared<XdsResource>(XdsResource{pool_name(pool), version, text, "", pool, 0});
    }
    ResourcePtr listener(const QueryClassRoute& of, const std::string& version) const override {
        return std::make_shared<XdsResource>(XdsResource{of.name, version, "l" + of.name, "", 0, 0});
    }
    ResourcePtr route(const QueryClassRoute& of, std::size_t, const std::string& version) const override {
        return std::make_shared<XdsResource>(XdsResource{of.name, version, "r" + of.name, "", 0, 0});
    }
};

// A proxy as the protocol's pages have one, with answers that wait on the way.
struct Proxy {
    std::string node;
    bool delta = false, open = false, mute = false;
    Controller::StreamId stream = 0;
    std::array<std::map<std::string, ResourcePtr>, xds_types> held;
    std::array<std::set<std::string>, xds_types> wanted;
    std::array<std::string, xds_types> nonce, version;
    std::array<bool, xds_types> asked{};
    std::deque<ProxyRequest> to_send;
    std::set<std::string> cannot_take;  // resources, by their bytes
    Nanos left_at = 0;
};

struct Fleet {
    explicit Fleet(std::uint64_t seed) : drawn(seed), controller(config, names, control, encoder, seed, 77) {}

    std::mt19937_64 drawn;
    const RouterConfig config = test::small_config();
    const ControlConfig control = [] {
        ControlConfig c = control_config();
        c.leave_grace = 200 * ms;
        return c;
    }();
    PlainEncoder encoder;
    Controller controller;
    std::vector<ListedEndpoint> nodes = four();
    std::vector<Proxy> proxies;
    Nanos now = start;
    std::uint64_t generation = 0, messages = 0;

    std::uint64_t below(std::uint64_t n) { return drawn() % n; }

    void ask(Proxy& p, XdsType type, std::set<std::string> want) {
        const auto t = static_cast<std::size_t>(type);
        ProxyRequest request;
        request.type_url = type_url(type);
        if (p.delta) {
            for (const std::string& name : want)
                if (!p.wanted[t].contains(name)) request.subscribe.push_back(name);
            for (const std::string& name : p.wanted[t])
                if (!want.contains(name)) request.unsubscribe.push_back(name), p.held[t].erase(name);
            if (!p.asked[t])
                for (const auto& [name, what] : p.held[t]) request.initial_versions[name] = what->version;
        } else {
            request.names.assign(want.begin(), want.end());
            request.version = p.version[t];
            if (p.asked[t]) request.nonce = p.nonce[t];
        }
        p.asked[t] = true;
        p.wanted[t] = std::move(want);
        p.to_send.push_back(std::move(request));
    }
    // A proxy that left goes by what it was told for its grace, and is none after.
    bool gone(const Proxy& p) const { return !p.open && now >= p.left_at + control.leave_grace; }
    void connect(Proxy& p) {
        if (gone(p)) p.held[0].clear();
        p.stream = controller.open(p.delta, now);
        p.open = true;
        p.to_send.clear();
        p.asked = {};
        p.wanted = {};
        p.nonce = {};
        // A new connection keeps what was held, as proxies do.
        ask(p, XdsType::cluster, {});
        ask(p, XdsType::listener, {});
        send(p);  // by which it is known
    }
    void send(Proxy& p) {
        if (p.to_send.empty() || !p.open) return;
        const ProxyRequest request = std::move(p.to_send.front());
        p.to_send.pop_front();
        ++messages;
        REQUIRE(controller.on_request(p.stream, p.node, request, now) == Controller::Refusal::none);
    }
    void receive(Proxy& p) {
        if (!p.open) return;
        const auto out = controller.next(p.stream, now);
        if (!out) return;
        ++messages;
        const auto t = static_cast<std::size_t>(out->type);
        bool rejects = false;
        std::set<std::string> clusters;
        for (const auto& [name, _] : p.held[0]) clusters.insert(name);
        for (const ResourcePtr& r : out->resources) {
            rejects |= p.cannot_take.contains(r->state_of_world);
            // Never something that refers to what the proxy was not told of.
            if (out->type == XdsType::endpoint) REQUIRE(clusters.contains(r->name));
            if (out->type == XdsType::route) REQUIRE(clusters.size() == 4);
            // Never what it did not ask for.
            REQUIRE((p.wanted[t].empty() ? t % 2 == 0 : p.wanted[t].contains(r->name)));
        }
        if (!rejects) {
            if (!p.delta && t % 2 == 0) p.held[t].clear();
            for (const ResourcePtr& r : out->resources) p.held[t][r->name] = r;
            for (const std::string& name : out->removed) p.held[t].erase(name);
            p.version[t] = out->version;
        }
        p.nonce[t] = out->nonce;
        if (p.mute) return;
        ProxyRequest request;
        request.type_url = type_url(out->type);
        request.nonce = out->nonce;
        request.is_nack = rejects;
        request.error = "no";
        if (!p.delta)
            request.names.assign(p.wanted[t].begin(), p.wanted[t].end()), request.version = p.version[t];
        p.to_send.push_back(std::move(request));
        if (rejects) return;
        std::set<std::string> refer;
        for (const auto& [name, _] : p.held[t]) refer.insert(name);
        if (out->type == XdsType::cluster && p.wanted[1] != refer) ask(p, XdsType::endpoint, refer);
        if (out->type == XdsType::listener && p.wanted[3] != refer) ask(p, XdsType::route, refer);
    }
    void change_fleet() {
        ListedEndpoint& n = nodes[below(nodes.size())];
        switch (below(4)) {
            case 0:
                n.lifecycle = n.lifecycle == Lifecycle::ready ? Lifecycle::draining : Lifecycle::ready;
                break;
            case 1:
                n.started_at = now;
                break;
            case 2:
                nodes.push_back(node(static_cast<int>(below(30)) + 10, static_cast<std::uint32_t>(below(4))));
                break;
            default:
                if (nodes.size() > 4)
                    nodes.erase(nodes.begin() + static_cast<long>(4 + below(nodes.size() - 4)));
        }
        controller.apply_list(list_of(++generation, nodes), now);
    }
    // The rule on limits, of what proxies really hold, where totals stand.
    void check_limits() {
        for (std::uint32_t pool = 0; pool < 4; ++pool) {
            std::uint64_t sum = 0;
            for (const Proxy& p : proxies) {
                const auto at = p.held[0].find(pool_name(pool));
                if (at != p.held[0].end() && !gone(p)) sum += at->second->limit;
            }
            REQUIRE(sum <= controller.limits().in_use(pool));
        }
    }
    void quiet() {
        for (int i = 0; i < 400; ++i) {
            now += 60 * ms;
            controller.tick(now);
            for (Proxy& p : proxies) {
                while (!p.to_send.empty() && p.open) send(p);
                receive(p);
            }
        }
    }
};

}  // namespace

TEST_CASE(
    "whatever proxies say and whatever changes, once it is quiet each holds the newest of what it asked "
    "for") {
    std::uint64_t messages = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Fleet f(seed);
        f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
        for (int i = 0; i < 6; ++i) {
            Proxy p;
            p.node = "p" + std::to_string(i);
            p.delta = i % 2 == 1;
            f.proxies.push_back(p);
        }
        for (int step = 0; step < 500; ++step) {
            f.now += static_cast<Nanos>(f.below(40)) * ms;
            f.controller.tick(f.now);
            Proxy& p = f.proxies[f.below(f.proxies.size())];
            const auto what = f.below(40);
            if (!p.open)
                f.connect(p);
            else if (what == 0)
                f.change_fleet();
            else if (what == 1)
                f.controller.close(p.stream, f.now), p.open = false, p.left_at = f.now;
            else if (what == 2)
                f.connect(p);  // its old stream is not yet noticed to be gone
            else if (what == 3)
                p.mute = !p.mute;
            else if (what < 20)
                f.send(p);
            else
                f.receive(p);
            f.check_limits();
        }
        for (Proxy& p : f.proxies) {
            p.mute = false;
            f.controller.close(p.stream, f.now);
            f.connect(p);
        }
        f.quiet();
        f.check_limits();
        const Decisions& decisions = f.controller.decisions();
        std::vector<std::uint64_t> limits(4);
        for (const Proxy& p : f.proxies) {
            CHECK(f.controller.settled(p.stream));
            REQUIRE(p.held[0].size() == 4);
            REQUIRE(p.held[1].size() == 4);
            CHECK(p.held[2].size() == 2);
            CHECK(p.held[3].size() == 2);
            for (std::uint32_t pool = 0; pool < 4; ++pool) {
                const std::string wanted =
                    f.encoder.endpoints(pool, decisions.pools[pool], "")->state_of_world;
                CHECK(p.held[1].at(pool_name(pool))->state_of_world == wanted);
                limits[pool] += p.held[0].at(pool_name(pool))->limit;
            }
        }
        for (std::uint32_t pool = 0; pool < 4; ++pool) CHECK(limits[pool] == decisions.pools[pool].limit);
        messages += f.messages;
    }
    CHECK(messages > 20'000);
}

TEST_CASE("a resource that a proxy can't take leaves the others moving, until it changes") {
    const bool delta = GENERATE(false, true);
    Fleet f(5);
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    Proxy p;
    p.node = "p";
    p.delta = delta;
    const std::string bad = f.encoder.endpoints(2, f.controller.decisions().pools[2], "")->state_of_world;
    p.cannot_take = {bad};
    f.proxies = {p};
    f.connect(f.proxies[0]);
    f.quiet();
    Proxy& held = f.proxies[0];
    CHECK(held.held[1].size() == 3);
    CHECK_FALSE(held.held[1].contains(pool_name(2)));
    CHECK(held.held[3].size() == 2);
    CHECK_FALSE(f.controller.take_log_lines().empty());
    const std::uint64_t messages = f.messages;
    f.quiet();
    CHECK(f.messages == messages);  // what was rejected is not sent over and over
    f.nodes[2].lifecycle = Lifecycle::draining;
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    f.quiet();
    CHECK(held.held[1].size() == 4);
}

TEST_CASE(
    "a proxy that never acknowledges is told the newest all the same, and keeps its limits from others") {
    Fleet f(6);
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    f.proxies.resize(2);
    f.proxies[0].node = "mute";
    f.proxies[1].node = "other";
    f.connect(f.proxies[0]);
    f.quiet();
    f.proxies[0].mute = true;
    f.connect(f.proxies[1]);
    f.quiet();
    f.check_limits();
    CHECK(f.proxies[0].held[0].at(pool_name(0))->limit == 15);
    CHECK(f.proxies[1].held[0].at(pool_name(0))->limit == 0);  // nothing says that the other goes by less
    f.nodes[0].lifecycle = Lifecycle::draining;
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    f.quiet();
    CHECK(f.proxies[0].held[1].at(pool_name(0))->state_of_world.find("n0") == std::string::npos);
    f.proxies[0].mute = false;
    f.controller.close(f.proxies[0].stream, f.now);
    f.connect(f.proxies[0]);
    f.quiet();
    CHECK(f.proxies[1].held[0].at(pool_name(0))->limit == 10);
}

TEST_CASE("a proxy that has heard of a newer list is told nothing older, but not for ever") {
    const bool delta = GENERATE(false, true);
    Fleet f(7);
    f.generation = 40;
    f.controller.apply_list(list_of(f.generation, f.nodes), f.now);
    const auto stream = f.controller.open(delta, f.now);
    ProxyRequest request;
    request.type_url = type_url(XdsType::cluster);
    if (delta)
        request.initial_versions[pool_name(0)] = "41.9.9";
    else
        request.version = "41.9.9";
    f.controller.on_request(stream, "p", request, f.now);
    CHECK_FALSE(f.controller.next(stream, f.now));
    SECTION("until the list has come here too") {
        f.controller.apply_list(list_of(41, f.nodes), f.now + 50 * ms);
        const auto due = f.controller.take_due();
        CHECK(std::find(due.begin(), due.end(), stream) != due.end());
        CHECK(f.controller.next(stream, f.now + 50 * ms));
    }
    SECTION("until it has waited for long") {
        f.controller.tick(f.now + 5 * s);
        CHECK(f.controller.next(stream, f.now + 5 * s));
    }
}

TEST_CASE(
    "a drain that is told while a response is under way goes out with the next, whatever the clock does") {
    Fleet f(9);
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    f.proxies.resize(1);
    Proxy& p = f.proxies[0];
    p.node = "p";
    f.connect(p);
    f.quiet();
    f.nodes[1].started_at = f.now;
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    f.receive(p);  // the cold node; not yet acknowledged
    f.nodes[0].lifecycle = Lifecycle::draining;
    f.now -= 3600 * s;  // the clock is set back
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    f.receive(p);
    const auto drains = [&p] {
        return p.held[1].at(pool_name(0))->state_of_world.find("n0=1d") != std::string::npos;
    };
    CHECK_FALSE(drains());
    f.send(p);
    f.receive(p);
    CHECK(drains());
    // Told with the acknowledgement lost: after the wait, by the clock as it goes on from where it was.
    f.nodes[3].lifecycle = Lifecycle::draining;
    p.mute = true;
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    f.now += 3600 * s + 300 * ms;
    f.controller.tick(f.now);
    f.receive(p);
    CHECK(p.held[1].at(pool_name(3))->state_of_world.find("n3=1d") != std::string::npos);
}

TEST_CASE("messages that make no sense end their stream, or are passed over, and touch no other") {
    Fleet f(8);
    f.controller.apply_list(list_of(++f.generation, f.nodes), f.now);
    const auto hears = [&f](Controller::StreamId id, const std::string& from, ProxyRequest request) {
        return f.controller.on_request(id, from, request, f.now);
    };
    ProxyRequest request;
    request.type_url = type_url(XdsType::cluster);
    const auto id = f.controller.open(false, f.now);
    CHECK(hears(id, "", request) == Controller::Refusal::no_node);
    CHECK(hears(id, "p", request) == Controller::Refusal::none);
    CHECK(hears(id, "q", request) == Controller::Refusal::other_node);
    const auto first = f.controller.next(id, f.now);
    REQUIRE(first);
    request.nonce = "999";  // stale: nothing is taken from it
    request.is_nack = true;
    CHECK(hears(id, "", request) == Controller::Refusal::none);
    CHECK(f.controller.take_log_lines().empty());
    ProxyRequest unknown;
    unknown.type_url = "type.googleapis.com/something.Else";
    CHECK(hears(id, "", unknown) == Controller::Refusal::unknown_type);
    ProxyRequest many;
    many.type_url = type_url(XdsType::endpoint);
    many.names.resize(ProxyStream::max_names + 1, "x");
    CHECK(hears(id, "", many) == Controller::Refusal::too_many);
    // The same node on a new stream ends the old one.
    const auto again = f.controller.open(false, f.now);
    CHECK(hears(again, "p", {std::string(type_url(XdsType::cluster)), "", "", {}, {}, {}, {}, false, ""}) ==
          Controller::Refusal::none);
    CHECK(f.controller.take_ended() == std::vector<Controller::StreamId>{id});
    f.controller.close(id, f.now);
    CHECK(f.controller.next(again, f.now));
}

TEST_CASE(
    "a cluster goes only once the proxy's routes have moved on, and new ones come before what refers to "
    "them") {
    const bool delta = GENERATE(false, true);
    const auto made = [](const std::string& name, const std::string& version) {
        return std::make_shared<const XdsResource>(XdsResource{name, version, name + version, "", 0, 0});
    };
    ResourceMap clusters{{"a", made("a", "1")}}, none, routes{{"r", made("r", "1")}};
    XdsView view{{1, 1, 1}, {&clusters, &none, &none, &routes}, {}};
    ProxyStream stream(delta, 200 * ms);
    const auto hear = [&](XdsType type, std::vector<std::string> names, const std::string& nonce = "") {
        ProxyRequest request;
        request.type_url = type_url(type);
        request.nonce = nonce;
        if (!delta)
            request.names = names;
        else if (nonce.empty())
            request.subscribe = names;
        std::uint64_t told = 0;
        ProxyStream::SubscriptionChange change;
        stream.on_request(request, told, change);
    };
    hear(XdsType::cluster, {});
    hear(XdsType::route, {"r"});
    Nanos now = 0;
    for (int i = 0; i < 2; ++i) {
        const auto out = stream.next(view, now);
        REQUIRE(out);
        CHECK(out->type == (i == 0 ? XdsType::cluster : XdsType::route));
        hear(out->type, i == 0 ? std::vector<std::string>() : std::vector<std::string>{"r"}, out->nonce);
    }
    REQUIRE_FALSE(stream.next(view, now));
    // The routes move from cluster a to cluster b.
    clusters = {{"b", made("b", "2")}};
    routes = {{"r", made("r", "2")}};
    view.version.number = 2;
    view.change_counts = {2, 2, 2, 2};
    const auto make = stream.next(view, now);
    REQUIRE((make && make->type == XdsType::cluster));
    CHECK(make->resources.size() == (delta ? 1 : 2));  // with the old one, where all are told
    CHECK(make->removed.empty());
    hear(XdsType::cluster, {}, make->nonce);
    const auto moved = stream.next(view, now + 2 * ms);
    REQUIRE((moved && moved->type == XdsType::route));
    CHECK_FALSE(stream.next(view, now + 3 * ms));  // not yet acknowledged
    hear(XdsType::route, {"r"}, moved->nonce);
    const auto broken = stream.next(view, now + 4 * ms);
    REQUIRE((broken && broken->type == XdsType::cluster));
    if (delta)
        CHECK(broken->removed == std::vector<std::string>{"a"});
    else
        CHECK((broken->resources.size() == 1 && broken->resources[0]->name == "b"));
}

TEST_CASE("versions are read back as written, and nothing else is one") {
    const auto read = parse_version(format_version({7, 1700000000000, 3}));
    REQUIRE(read);
    CHECK((read->generation == 7 && read->epoch == 1700000000000 && read->number == 3));
    for (const char* text : {"", "1", "1.2", "1.2.", "1.2.3.4", "a.b.c", "1.2.x", "-1.2.3"})
        CHECK_FALSE(parse_version(text));
}
