// The control service without I/O: its decisions, the division of limits, and the protocol state machine
// under generated sequences of proxies' requests, compared with a slow, simple model.
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

#include "control/controller.hpp"
#include "helpers.hpp"

using namespace tealcart;
using test::ms;

namespace {

constexpr Nanos second = 1000 * ms;
constexpr Nanos start = 1'000'000 * second;

ListedEndpoint node(int number, std::uint32_t place, Lifecycle lifecycle = Lifecycle::ready,
                    Nanos started = 0) {
    return {"n" + std::to_string(number),
            "127.0.0.1:" + std::to_string(1000 + number),
            "z" + std::to_string(number % 2),
            "m",
            place,
            lifecycle,
            started};
}

EndpointList list_of(std::uint64_t generation, std::vector<ListedEndpoint> nodes) {
    return {generation, true, std::move(nodes), 0};
}

const std::vector<std::string> query_class_names = {"part", "whole"};

ControlConfig control_config() {
    ControlConfig config;
    config.enabled = true;
    config.node_limit = 10;
    return config;
}

const PoolEndpoint* find(const Pool& pool, const std::string& id) {
    for (const PoolEndpoint& endpoint : pool.endpoints)
        if (endpoint.id == id) return &endpoint;
    return nullptr;
}

std::vector<ListedEndpoint> four_nodes() { return {node(0, 0), node(1, 1), node(2, 2), node(3, 3)}; }

}  // namespace

TEST_CASE(
    "a pool has the nodes with replicas of its shards; a draining node is marked at once and removed after "
    "the grace period") {
    DecisionEngine engine(test::small_config(), query_class_names, control_config(), 1);
    engine.apply_list(list_of(1, four_nodes()), start);
    Decisions decisions = engine.decide(start);
    REQUIRE(decisions.pools.size() == 4);
    CHECK(decisions.pools[3].endpoints.size() == 3);  // places 3, 0 and 1
    CHECK(find(decisions.pools[3], "n2") == nullptr);
    CHECK(decisions.pools[0].limit == 30);
    auto nodes = four_nodes();
    nodes[1].lifecycle = Lifecycle::draining;
    engine.apply_list(list_of(2, nodes), start + second);
    decisions = engine.decide(start + second);
    REQUIRE(find(decisions.pools[1], "n1") != nullptr);
    CHECK(find(decisions.pools[1], "n1")->state == EndpointState::draining);
    CHECK(decisions.pools[1].limit == 20);
    CHECK(engine.next_change() == start + second + 500 * ms);
    decisions = engine.decide(start + second + 500 * ms);
    CHECK(find(decisions.pools[1], "n1") == nullptr);
    // The node stays removed if a later list still has it as draining.
    engine.apply_list(list_of(3, nodes), start + 3 * second);
    CHECK(find(engine.decide(start + 3 * second).pools[1], "n1") == nullptr);
}

TEST_CASE("a node that drains, is removed and restarts within a second comes back cold") {
    DecisionEngine engine(test::small_config(), query_class_names, control_config(), 1);
    engine.apply_list(list_of(1, four_nodes()), start);
    auto nodes = four_nodes();
    nodes[1].lifecycle = Lifecycle::draining;
    engine.apply_list(list_of(2, nodes), start + 100 * ms);
    nodes.erase(nodes.begin() + 1);
    engine.apply_list(list_of(3, nodes), start + 300 * ms);
    CHECK(find(engine.decide(start + 300 * ms).pools[1], "n1") == nullptr);
    nodes = four_nodes();
    nodes[1].started_at = start + 500 * ms;
    engine.apply_list(list_of(4, nodes), start + 600 * ms);
    const Decisions decisions = engine.decide(start + 600 * ms);
    REQUIRE(find(decisions.pools[1], "n1") != nullptr);
    CHECK(find(decisions.pools[1], "n1")->state == EndpointState::healthy);
    CHECK(find(decisions.pools[1], "n1")->weight < 20);
}

TEST_CASE("a cold node's weight and limit grow with its warm-up and never exceed it") {
    const RouterConfig config = test::small_config();
    DecisionEngine engine(config, query_class_names, control_config(), 1);
    auto nodes = four_nodes();
    nodes[2].started_at = start;
    engine.apply_list(list_of(1, nodes), start);
    std::uint32_t last_weight = 0;
    for (Nanos age = 0; age <= 12 * second; age += 100 * ms) {
        const Decisions decisions = engine.decide(start + age);
        const PoolEndpoint* endpoint = find(decisions.pools[2], "n2");
        REQUIRE(endpoint != nullptr);
        const double warm_fraction =
            std::min(1.0, config.slow_start_min_fraction +
                              (1 - config.slow_start_min_fraction) * static_cast<double>(age) /
                                  static_cast<double>(config.slow_start_duration));
        CHECK(endpoint->weight <= 100 * warm_fraction);
        CHECK(endpoint->weight >= last_weight);
        CHECK(decisions.pools[2].limit <= 20 + 10 * warm_fraction);
        last_weight = endpoint->weight;
        if (age > config.slow_start_duration) CHECK(endpoint->weight == 100);
        if (age > config.slow_start_duration) CHECK(engine.next_change() == INT64_MAX);
    }
}

TEST_CASE("a list that removes most of the fleet at once: drains apply, removals are delayed for a while") {
    DecisionEngine engine(test::small_config(), query_class_names, control_config(), 1);
    engine.apply_list(list_of(1, four_nodes()), start);
    auto nodes = four_nodes();
    nodes[0].lifecycle = Lifecycle::draining;
    nodes.resize(1);
    engine.apply_list(list_of(2, nodes), start + second);
    Decisions decisions = engine.decide(start + second);
    CHECK(engine.in_panic());
    CHECK(engine.take_log_lines() ==
          std::vector<std::string>{"endpoint list 2 leaves 0 of 4 ready data nodes; its removals are not "
                                   "applied for up to 1m"});
    CHECK(find(decisions.pools[0], "n0")->state == EndpointState::draining);
    CHECK(find(decisions.pools[0], "n1")->state == EndpointState::healthy);
    SECTION("until most nodes are listed again") {
        engine.apply_list(list_of(3, {node(1, 1), node(2, 2)}), start + 2 * second);
        decisions = engine.decide(start + 2 * second);
        CHECK_FALSE(engine.in_panic());
        CHECK(engine.take_log_lines() ==
              std::vector<std::string>{"endpoint list 3 has enough ready data nodes again; the removals are "
                                       "applied and 2 data nodes are ready"});
        CHECK(find(decisions.pools[3], "n3") == nullptr);
        CHECK(find(decisions.pools[1], "n1") != nullptr);
    }
    SECTION("until the hold time is over") {
        CHECK(find(engine.decide(start + second + 59 * second).pools[3], "n3") != nullptr);
        decisions = engine.decide(start + second + 61 * second);
        CHECK(find(decisions.pools[3], "n3") == nullptr);
        CHECK(engine.take_log_lines() ==
              std::vector<std::string>{"the removed data nodes did not return within 1m; the removals are "
                                       "applied and 0 data nodes are ready"});
    }
}

TEST_CASE(
    "without new lists decisions stay in force and report their age, and a clock that goes back changes "
    "nothing") {
    DecisionEngine engine(test::small_config(), query_class_names, control_config(), 1);
    auto nodes = four_nodes();
    nodes[2].started_at = start;
    engine.apply_list(list_of(1, nodes), start + second);
    const Decisions before = engine.decide(start + 5 * second);
    CHECK(engine.decide(start - 100 * second).pools == before.pools);
    CHECK(engine.list_age(start + 50 * second) == 49 * second);
    CHECK(engine.decide(start + 3600 * second).pools[0].endpoints.size() == 3);
}

TEST_CASE("attempts and the retry window of a route follow the decision module's retry limits") {
    RouterConfig config = test::small_config(Effect::idempotent_with_key);
    config.query_classes[1].effect = Effect::not_idempotent;
    DecisionEngine engine(config, query_class_names, control_config(), 1);
    const auto routes = engine.decide(start).query_classes;
    CHECK(routes[0].max_attempts == 3);
    CHECK(
        (routes[0].retry_window > 0 && routes[0].retry_window < config.query_classes[0].idempotency_window));
    CHECK(routes[1].max_attempts == 1);
    CHECK(DecisionEngine(test::small_config(), query_class_names, control_config(), 1)
              .decide(start)
              .query_classes[0]
              .retry_window == 0);
}

TEST_CASE("limits in use never exceed a total that doesn't change") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const auto random_below = [&random](std::uint64_t n) { return random() % n; };
        LimitAllocator limits(2);
        const std::uint32_t totals[2] = {static_cast<std::uint32_t>(random_below(40)),
                                         static_cast<std::uint32_t>(1 + random_below(1000))};
        limits.set_total(0, totals[0]);
        limits.set_total(1, totals[1]);
        // The model: each proxy uses any of the limits that it was sent since its latest acknowledgement,
        // including the acknowledged ones.
        struct ModelProxy {
            std::deque<std::pair<std::uint64_t, std::vector<std::uint32_t>>> sent;
            bool connected = true;
            Nanos expires_at = 0;
        };
        std::map<std::uint64_t, ModelProxy> model;
        Nanos now = 0;
        std::uint64_t response_number = 0, last_proxy = 0;
        for (int step = 0; step < 400; ++step) {
            now += static_cast<Nanos>(random_below(20)) * ms;
            const auto action = random_below(10);
            if (action == 0 || model.empty()) {
                limits.join(++last_proxy);
                model[last_proxy];
            } else {
                auto entry = model.begin();
                std::advance(entry, static_cast<long>(random_below(model.size())));
                ModelProxy& proxy = entry->second;
                if (action == 1 && proxy.connected) {
                    proxy.connected = false;
                    proxy.expires_at = now + 100 * ms;
                    limits.leave(entry->first, proxy.expires_at);
                } else if (action < 7 && proxy.connected) {
                    const std::vector<std::uint32_t> due = limits.allowed_limits(entry->first);
                    limits.on_sent(entry->first, ++response_number, due);
                    proxy.sent.emplace_back(response_number, due);
                } else if (proxy.connected && !proxy.sent.empty()) {
                    const std::size_t acknowledged = random_below(proxy.sent.size());
                    limits.on_acknowledged(entry->first, proxy.sent[acknowledged].first);
                    proxy.sent.erase(proxy.sent.begin(),
                                     proxy.sent.begin() + static_cast<long>(acknowledged));
                }
            }
            limits.expire(now);
            std::erase_if(model, [now](const auto& entry) {
                return !entry.second.connected && entry.second.expires_at <= now;
            });
            for (std::size_t pool = 0; pool < 2; ++pool) {
                std::uint64_t sum = 0;
                for (const auto& [id, proxy] : model) {
                    std::uint32_t max_limit = 0;
                    for (const auto& [_, proxy_limits] : proxy.sent)
                        max_limit = std::max(max_limit, proxy_limits[pool]);
                    sum += max_limit;
                    REQUIRE(limits.in_use(id, pool) >= max_limit);
                }
                REQUIRE(sum <= totals[pool]);
                REQUIRE(limits.in_use(pool) <= totals[pool]);
            }
        }
        // After each proxy has been sent limits and has acknowledged twice, all have their even share.
        for (int round = 0; round < 2; ++round) {
            now += second;
            limits.expire(now);
            for (auto& [id, proxy] : model)
                if (proxy.connected) {
                    limits.on_sent(id, ++response_number, limits.allowed_limits(id));
                    limits.on_acknowledged(id, response_number);
                }
        }
        limits.expire(now + second);
        if (limits.proxies() > 0) CHECK(limits.in_use(1) == totals[1]);
    }
}

namespace {

// Encodes resources as short texts that the tests compare.
class PlainEncoder final : public ResourceEncoder {
  public:
    ResourcePtr cluster(std::uint32_t pool, std::uint32_t limit, const std::string& version) const override {
        auto resource =
            std::make_shared<XdsResource>(XdsResource{pool_name(pool), version, "", "", pool, limit});
        resource->state_of_world = std::to_string(limit);
        return resource;
    }
    ResourcePtr endpoints(std::uint32_t pool, const Pool& pool_contents,
                          const std::string& version) const override {
        std::string text;
        for (const PoolEndpoint& endpoint : pool_contents.endpoints)
            text += endpoint.id + "=" + std::to_string(endpoint.weight) +
                    (endpoint.state == EndpointState::draining ? "d " : " ");
        return std::make_shared<XdsResource>(XdsResource{pool_name(pool), version, text, "", pool, 0});
    }
    ResourcePtr listener(const QueryClassRoute& query_class, const std::string& version) const override {
        return std::make_shared<XdsResource>(
            XdsResource{query_class.name, version, "l" + query_class.name, "", 0, 0});
    }
    ResourcePtr route(const QueryClassRoute& query_class, std::size_t,
                      const std::string& version) const override {
        return std::make_shared<XdsResource>(
            XdsResource{query_class.name, version, "r" + query_class.name, "", 0, 0});
    }
};

// A proxy as the protocol's documentation describes it; its requests wait in a queue.
struct Proxy {
    std::string node;
    bool delta = false, open = false, never_acknowledges = false;
    Controller::StreamId stream = 0;
    std::array<std::map<std::string, ResourcePtr>, xds_types> resources;
    std::array<std::set<std::string>, xds_types> subscribed;
    std::array<std::string, xds_types> nonce, version;
    std::array<bool, xds_types> requested{};
    std::deque<ProxyRequest> queued_requests;
    std::set<std::string> rejected_resources;  // by their bytes
    Nanos left_at = 0;
};

// A controller with its proxies, whose requests and responses are delivered one at a time.
struct ControlFixture {
    explicit ControlFixture(std::uint64_t seed)
        : random(seed), controller(config, query_class_names, control, encoder, seed, 77) {}

    std::mt19937_64 random;
    const RouterConfig config = test::small_config();
    const ControlConfig control = [] {
        ControlConfig leave_config = control_config();
        leave_config.leave_grace = 200 * ms;
        return leave_config;
    }();
    PlainEncoder encoder;
    Controller controller;
    std::vector<ListedEndpoint> nodes = four_nodes();
    std::vector<Proxy> proxies;
    Nanos now = start;
    std::uint64_t generation = 0, messages = 0;

    std::uint64_t random_below(std::uint64_t n) { return random() % n; }

    void subscribe(Proxy& proxy, XdsType type, std::set<std::string> names_wanted) {
        const auto type_index = static_cast<std::size_t>(type);
        ProxyRequest request;
        request.type_url = type_url(type);
        if (proxy.delta) {
            for (const std::string& name : names_wanted)
                if (!proxy.subscribed[type_index].contains(name)) request.subscribe.push_back(name);
            for (const std::string& name : proxy.subscribed[type_index])
                if (!names_wanted.contains(name))
                    request.unsubscribe.push_back(name), proxy.resources[type_index].erase(name);
            if (!proxy.requested[type_index])
                for (const auto& [name, resource] : proxy.resources[type_index])
                    request.initial_versions[name] = resource->version;
        } else {
            request.names.assign(names_wanted.begin(), names_wanted.end());
            request.version = proxy.version[type_index];
            if (proxy.requested[type_index]) request.nonce = proxy.nonce[type_index];
        }
        proxy.requested[type_index] = true;
        proxy.subscribed[type_index] = std::move(names_wanted);
        proxy.queued_requests.push_back(std::move(request));
    }
    // After a proxy has left, it uses its limits until the end of the grace period.
    bool limits_expired(const Proxy& proxy) const {
        return !proxy.open && now >= proxy.left_at + control.leave_grace;
    }
    void connect(Proxy& proxy) {
        if (limits_expired(proxy)) proxy.resources[0].clear();
        proxy.stream = controller.open(proxy.delta, now);
        proxy.open = true;
        proxy.queued_requests.clear();
        proxy.requested = {};
        proxy.subscribed = {};
        proxy.nonce = {};
        // Proxies keep their resources over a new connection.
        subscribe(proxy, XdsType::cluster, {});
        subscribe(proxy, XdsType::listener, {});
        send(proxy);  // the first request identifies the proxy
    }
    void send(Proxy& proxy) {
        if (proxy.queued_requests.empty() || !proxy.open) return;
        const ProxyRequest request = std::move(proxy.queued_requests.front());
        proxy.queued_requests.pop_front();
        ++messages;
        REQUIRE(controller.on_request(proxy.stream, proxy.node, request, now) == Controller::Refusal::none);
    }
    void receive(Proxy& proxy) {
        if (!proxy.open) return;
        const auto response = controller.next(proxy.stream, now);
        if (!response) return;
        ++messages;
        const auto type_index = static_cast<std::size_t>(response->type);
        bool rejects = false;
        std::set<std::string> clusters;
        for (const auto& [name, _] : proxy.resources[0]) clusters.insert(name);
        for (const ResourcePtr& resource : response->resources) {
            rejects |= proxy.rejected_resources.contains(resource->state_of_world);
            // A resource must not refer to one that the proxy was not sent.
            if (response->type == XdsType::endpoint) REQUIRE(clusters.contains(resource->name));
            if (response->type == XdsType::route) REQUIRE(clusters.size() == 4);
            // Only resources that the proxy subscribed to may be sent.
            REQUIRE((proxy.subscribed[type_index].empty()
                         ? type_index % 2 == 0
                         : proxy.subscribed[type_index].contains(resource->name)));
        }
        if (!rejects) {
            if (!proxy.delta && type_index % 2 == 0) proxy.resources[type_index].clear();
            for (const ResourcePtr& resource : response->resources)
                proxy.resources[type_index][resource->name] = resource;
            for (const std::string& name : response->removed) proxy.resources[type_index].erase(name);
            proxy.version[type_index] = response->version;
        }
        proxy.nonce[type_index] = response->nonce;
        if (proxy.never_acknowledges) return;
        ProxyRequest request;
        request.type_url = type_url(response->type);
        request.nonce = response->nonce;
        request.is_nack = rejects;
        request.error = "no";
        if (!proxy.delta)
            request.names.assign(proxy.subscribed[type_index].begin(), proxy.subscribed[type_index].end()),
                request.version = proxy.version[type_index];
        proxy.queued_requests.push_back(std::move(request));
        if (rejects) return;
        std::set<std::string> referenced;
        for (const auto& [name, _] : proxy.resources[type_index]) referenced.insert(name);
        if (response->type == XdsType::cluster && proxy.subscribed[1] != referenced)
            subscribe(proxy, XdsType::endpoint, referenced);
        if (response->type == XdsType::listener && proxy.subscribed[3] != referenced)
            subscribe(proxy, XdsType::route, referenced);
    }
    void change_fleet() {
        ListedEndpoint& changed = nodes[random_below(nodes.size())];
        switch (random_below(4)) {
            case 0:
                changed.lifecycle =
                    changed.lifecycle == Lifecycle::ready ? Lifecycle::draining : Lifecycle::ready;
                break;
            case 1:
                changed.started_at = now;
                break;
            case 2:
                nodes.push_back(node(static_cast<int>(random_below(30)) + 10,
                                     static_cast<std::uint32_t>(random_below(4))));
                break;
            default:
                if (nodes.size() > 4)
                    nodes.erase(nodes.begin() + static_cast<long>(4 + random_below(nodes.size() - 4)));
        }
        controller.apply_list(list_of(++generation, nodes), now);
    }
    // Checks that the limits that proxies use do not exceed those counted as in use.
    void check_limits() {
        for (std::uint32_t pool = 0; pool < 4; ++pool) {
            std::uint64_t sum = 0;
            for (const Proxy& proxy : proxies) {
                const auto entry = proxy.resources[0].find(pool_name(pool));
                if (entry != proxy.resources[0].end() && !limits_expired(proxy)) sum += entry->second->limit;
            }
            REQUIRE(sum <= controller.limits().in_use(pool));
        }
    }
    void settle() {
        for (int i = 0; i < 400; ++i) {
            now += 60 * ms;
            controller.tick(now);
            for (Proxy& proxy : proxies) {
                while (!proxy.queued_requests.empty() && proxy.open) send(proxy);
                receive(proxy);
            }
        }
    }
};

}  // namespace

TEST_CASE(
    "after any sequence of requests and changes, each proxy ends up with the newest resources it subscribed "
    "to") {
    std::uint64_t messages = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        ControlFixture fixture(seed);
        fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
        for (int i = 0; i < 6; ++i) {
            Proxy proxy;
            proxy.node = "p" + std::to_string(i);
            proxy.delta = i % 2 == 1;
            fixture.proxies.push_back(proxy);
        }
        for (int step = 0; step < 500; ++step) {
            fixture.now += static_cast<Nanos>(fixture.random_below(40)) * ms;
            fixture.controller.tick(fixture.now);
            Proxy& proxy = fixture.proxies[fixture.random_below(fixture.proxies.size())];
            const auto action = fixture.random_below(40);
            if (!proxy.open)
                fixture.connect(proxy);
            else if (action == 0)
                fixture.change_fleet();
            else if (action == 1)
                fixture.controller.close(proxy.stream, fixture.now), proxy.open = false,
                                                                     proxy.left_at = fixture.now;
            else if (action == 2)
                fixture.connect(proxy);  // the end of its old stream has not been noticed yet
            else if (action == 3)
                proxy.never_acknowledges = !proxy.never_acknowledges;
            else if (action < 20)
                fixture.send(proxy);
            else
                fixture.receive(proxy);
            fixture.check_limits();
        }
        for (Proxy& proxy : fixture.proxies) {
            proxy.never_acknowledges = false;
            fixture.controller.close(proxy.stream, fixture.now);
            fixture.connect(proxy);
        }
        fixture.settle();
        fixture.check_limits();
        const Decisions& decisions = fixture.controller.decisions();
        std::vector<std::uint64_t> limits(4);
        for (const Proxy& proxy : fixture.proxies) {
            CHECK(fixture.controller.settled(proxy.stream));
            REQUIRE(proxy.resources[0].size() == 4);
            REQUIRE(proxy.resources[1].size() == 4);
            CHECK(proxy.resources[2].size() == 2);
            CHECK(proxy.resources[3].size() == 2);
            for (std::uint32_t pool = 0; pool < 4; ++pool) {
                const std::string expected =
                    fixture.encoder.endpoints(pool, decisions.pools[pool], "")->state_of_world;
                CHECK(proxy.resources[1].at(pool_name(pool))->state_of_world == expected);
                limits[pool] += proxy.resources[0].at(pool_name(pool))->limit;
            }
        }
        for (std::uint32_t pool = 0; pool < 4; ++pool) CHECK(limits[pool] == decisions.pools[pool].limit);
        messages += fixture.messages;
    }
    CHECK(messages > 20'000);
}

TEST_CASE("a rejected resource doesn't hold up others, and is sent again once it changes") {
    const bool delta = GENERATE(false, true);
    ControlFixture fixture(5);
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    Proxy proxy;
    proxy.node = "p";
    proxy.delta = delta;
    const std::string bad =
        fixture.encoder.endpoints(2, fixture.controller.decisions().pools[2], "")->state_of_world;
    proxy.rejected_resources = {bad};
    fixture.proxies = {proxy};
    fixture.connect(fixture.proxies[0]);
    fixture.settle();
    Proxy& connected_proxy = fixture.proxies[0];
    CHECK(connected_proxy.resources[1].size() == 3);
    CHECK_FALSE(connected_proxy.resources[1].contains(pool_name(2)));
    CHECK(connected_proxy.resources[3].size() == 2);
    CHECK_FALSE(fixture.controller.take_log_lines().empty());
    const std::uint64_t messages = fixture.messages;
    fixture.settle();
    CHECK(fixture.messages == messages);  // a rejected resource is not sent again and again
    fixture.nodes[2].lifecycle = Lifecycle::draining;
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    fixture.settle();
    CHECK(connected_proxy.resources[1].size() == 4);
}

TEST_CASE("a proxy that never acknowledges still gets the newest resources, and its limits stay in use") {
    ControlFixture fixture(6);
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    fixture.proxies.resize(2);
    fixture.proxies[0].node = "mute";
    fixture.proxies[1].node = "other";
    fixture.connect(fixture.proxies[0]);
    fixture.settle();
    fixture.proxies[0].never_acknowledges = true;
    fixture.connect(fixture.proxies[1]);
    fixture.settle();
    fixture.check_limits();
    CHECK(fixture.proxies[0].resources[0].at(pool_name(0))->limit == 15);
    CHECK(fixture.proxies[1].resources[0].at(pool_name(0))->limit ==
          0);  // the other proxy has not acknowledged a decrease
    fixture.nodes[0].lifecycle = Lifecycle::draining;
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    fixture.settle();
    CHECK(fixture.proxies[0].resources[1].at(pool_name(0))->state_of_world.find("n0") == std::string::npos);
    fixture.proxies[0].never_acknowledges = false;
    fixture.controller.close(fixture.proxies[0].stream, fixture.now);
    fixture.connect(fixture.proxies[0]);
    fixture.settle();
    CHECK(fixture.proxies[1].resources[0].at(pool_name(0))->limit == 10);
}

TEST_CASE("a proxy that knows a newer list gets no older one for a limited time") {
    const bool delta = GENERATE(false, true);
    ControlFixture fixture(7);
    fixture.generation = 40;
    fixture.controller.apply_list(list_of(fixture.generation, fixture.nodes), fixture.now);
    const auto stream = fixture.controller.open(delta, fixture.now);
    ProxyRequest request;
    request.type_url = type_url(XdsType::cluster);
    if (delta)
        request.initial_versions[pool_name(0)] = "41.9.9";
    else
        request.version = "41.9.9";
    fixture.controller.on_request(stream, "p", request, fixture.now);
    CHECK_FALSE(fixture.controller.next(stream, fixture.now));
    SECTION("until this service has the list too") {
        fixture.controller.apply_list(list_of(41, fixture.nodes), fixture.now + 50 * ms);
        const auto due = fixture.controller.take_due();
        CHECK(std::find(due.begin(), due.end(), stream) != due.end());
        CHECK(fixture.controller.next(stream, fixture.now + 50 * ms));
    }
    SECTION("until the wait is over") {
        fixture.controller.tick(fixture.now + 5 * second);
        CHECK(fixture.controller.next(stream, fixture.now + 5 * second));
    }
}

TEST_CASE("a drain during a response in flight is sent with the next response, even if the clock steps") {
    ControlFixture fixture(9);
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    fixture.proxies.resize(1);
    Proxy& proxy = fixture.proxies[0];
    proxy.node = "p";
    fixture.connect(proxy);
    fixture.settle();
    fixture.nodes[1].started_at = fixture.now;
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    fixture.receive(proxy);  // the restarted node, not acknowledged yet
    fixture.nodes[0].lifecycle = Lifecycle::draining;
    fixture.now -= 3600 * second;  // the clock is set back
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    fixture.receive(proxy);
    const auto is_draining = [&proxy] {
        return proxy.resources[1].at(pool_name(0))->state_of_world.find("n0=1d") != std::string::npos;
    };
    CHECK_FALSE(is_draining());
    fixture.send(proxy);
    fixture.receive(proxy);
    CHECK(is_draining());
    // If an acknowledgement is lost, the next response is sent after the timeout, on the clock that goes on
    // from its latest time.
    fixture.nodes[3].lifecycle = Lifecycle::draining;
    proxy.never_acknowledges = true;
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    fixture.now += 3600 * second + 300 * ms;
    fixture.controller.tick(fixture.now);
    fixture.receive(proxy);
    CHECK(proxy.resources[1].at(pool_name(3))->state_of_world.find("n3=1d") != std::string::npos);
}

TEST_CASE("invalid requests end their stream or are ignored, and affect no other stream") {
    ControlFixture fixture(8);
    fixture.controller.apply_list(list_of(++fixture.generation, fixture.nodes), fixture.now);
    const auto send_request = [&fixture](Controller::StreamId id, const std::string& from,
                                         ProxyRequest request) {
        return fixture.controller.on_request(id, from, request, fixture.now);
    };
    ProxyRequest request;
    request.type_url = type_url(XdsType::cluster);
    const auto id = fixture.controller.open(false, fixture.now);
    CHECK(send_request(id, "", request) == Controller::Refusal::no_node);
    CHECK(send_request(id, "p", request) == Controller::Refusal::none);
    CHECK(send_request(id, "q", request) == Controller::Refusal::other_node);
    const auto first = fixture.controller.next(id, fixture.now);
    REQUIRE(first);
    request.nonce = "999";  // stale: nothing is taken from it
    request.is_nack = true;
    CHECK(send_request(id, "", request) == Controller::Refusal::none);
    CHECK(fixture.controller.take_log_lines().empty());
    ProxyRequest unknown;
    unknown.type_url = "type.googleapis.com/something.Else";
    CHECK(send_request(id, "", unknown) == Controller::Refusal::unknown_type);
    ProxyRequest many;
    many.type_url = type_url(XdsType::endpoint);
    many.names.resize(ProxyStream::max_names + 1, "x");
    CHECK(send_request(id, "", many) == Controller::Refusal::too_many);
    // The same node on a new stream ends the old one.
    const auto again = fixture.controller.open(false, fixture.now);
    CHECK(send_request(again, "p",
                       {std::string(type_url(XdsType::cluster)), "", "", {}, {}, {}, {}, false, ""}) ==
          Controller::Refusal::none);
    CHECK(fixture.controller.take_ended() == std::vector<Controller::StreamId>{id});
    fixture.controller.close(id, fixture.now);
    CHECK(fixture.controller.next(again, fixture.now));
}

TEST_CASE(
    "a cluster is removed only after the routes have moved off it, and sent before routes that refer to "
    "it") {
    const bool delta = GENERATE(false, true);
    const auto make_resource = [](const std::string& name, const std::string& version) {
        return std::make_shared<const XdsResource>(XdsResource{name, version, name + version, "", 0, 0});
    };
    ResourceMap clusters{{"a", make_resource("a", "1")}}, none, routes{{"r", make_resource("r", "1")}};
    XdsView view{{1, 1, 1}, {&clusters, &none, &none, &routes}, {}};
    ProxyStream stream(delta, 200 * ms);
    const auto request_from_proxy = [&](XdsType type, std::vector<std::string> names,
                                        const std::string& nonce = "") {
        ProxyRequest request;
        request.type_url = type_url(type);
        request.nonce = nonce;
        if (!delta)
            request.names = names;
        else if (nonce.empty())
            request.subscribe = names;
        std::uint64_t acknowledged_response = 0;
        ProxyStream::SubscriptionChange change;
        stream.on_request(request, acknowledged_response, change);
    };
    request_from_proxy(XdsType::cluster, {});
    request_from_proxy(XdsType::route, {"r"});
    Nanos now = 0;
    for (int i = 0; i < 2; ++i) {
        const auto response = stream.next(view, now);
        REQUIRE(response);
        CHECK(response->type == (i == 0 ? XdsType::cluster : XdsType::route));
        request_from_proxy(response->type,
                           i == 0 ? std::vector<std::string>() : std::vector<std::string>{"r"},
                           response->nonce);
    }
    REQUIRE_FALSE(stream.next(view, now));
    // The routes move from cluster a to cluster b.
    clusters = {{"b", make_resource("b", "2")}};
    routes = {{"r", make_resource("r", "2")}};
    view.version.number = 2;
    view.change_counts = {2, 2, 2, 2};
    const auto added = stream.next(view, now);
    REQUIRE((added && added->type == XdsType::cluster));
    CHECK(added->resources.size() == (delta ? 1 : 2));  // state of the world includes the old cluster
    CHECK(added->removed.empty());
    request_from_proxy(XdsType::cluster, {}, added->nonce);
    const auto rerouted = stream.next(view, now + 2 * ms);
    REQUIRE((rerouted && rerouted->type == XdsType::route));
    CHECK_FALSE(stream.next(view, now + 3 * ms));  // not yet acknowledged
    request_from_proxy(XdsType::route, {"r"}, rerouted->nonce);
    const auto removed = stream.next(view, now + 4 * ms);
    REQUIRE((removed && removed->type == XdsType::cluster));
    if (delta)
        CHECK(removed->removed == std::vector<std::string>{"a"});
    else
        CHECK((removed->resources.size() == 1 && removed->resources[0]->name == "b"));
}

TEST_CASE("versions are parsed as formatted, and other texts are rejected") {
    const auto version = parse_version(format_version({7, 1700000000000, 3}));
    REQUIRE(version);
    CHECK((version->generation == 7 && version->epoch == 1700000000000 && version->number == 3));
    for (const char* text : {"", "1", "1.2", "1.2.", "1.2.3.4", "a.b.c", "1.2.x", "-1.2.3"})
        CHECK_FALSE(parse_version(text));
}
