// Tests the watch on discovery with real connections and a simulated clock: how soon it delivers a change
// although polls fail at the worst time. docs/endings.md lists the other failures and their tests.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "helpers.hpp"
#include "wire/discovery_watch.hpp"

using namespace tealcart;
using tealcart::test::FakeServer;
using tealcart::test::ms;
using tealcart::test::TestConnection;

namespace {

const std::string unchanged_list = R"({"generation":4,"reset":false,"instances":[]})";
const std::string list_five =
    R"({"generation":5,"reset":true,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:9","zone":"z",)"
    R"("machineType":"m","cell":0,"lifecycle":"draining","startedAtMs":0}]})";

std::string reply(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A fake discovery server on loopback and a watch on it, with a clock that the test advances.
struct WatchRig final : EndpointListObserver {
    explicit WatchRig(std::uint64_t seed = 1, Discovery mode = Discovery::push) : seed_(seed), mode_(mode) {}

    void on_endpoint_list(const EndpointList& list) override { generation = list.generation; }
    void start() { watch.start(4); }
    // Runs everything that is ready without advancing the clock.
    void run_ready() {
        while (io.poll() > 0) {
        }
        time.timers.fire_due(now);
        while (io.poll() > 0) {
        }
    }
    template <typename Happened>
    void advance_until(Happened happened, Nanos timeout) {
        for (const Nanos end = now + timeout; !happened() && now < end; now += 10 * ms) run_ready();
        run_ready();
    }
    std::size_t request_count() const { return requests.size(); }

    std::uint64_t seed_;
    Discovery mode_;
    ResponseSizeLimit limit{4096, "set by the test"};
    boost::asio::io_context io{1};
    Nanos now = 1'000'000 * ms;
    EventClock time{now};
    std::uint64_t generation = 0;
    std::vector<std::pair<std::string, std::shared_ptr<TestConnection>>> requests;
    std::function<void(TestConnection&, std::size_t)> on_request;  // with the request's number, from 0
    FakeServer server{io, [this](TestConnection& peer) {
                          const auto end = peer.received.find("\r\n\r\n");
                          if (end == std::string::npos) return;
                          requests.emplace_back(peer.received.substr(0, end), peer.shared_from_this());
                          peer.received.erase(0, end + 4);
                          if (on_request) on_request(peer, requests.size() - 1);
                      }};
    DiscoveryWatch watch{io, time, *this, *parse_host_port(server.address()), mode_, 4, seed_, limit};
};

}  // namespace

TEST_CASE("a change is delivered within 6 s of when discovery has it, however two polls in a row fail") {
    // The short first poll is answered. The long one becomes silent as soon as it is sent, and the change
    // happens at that moment. Then up to two connections fail in the same way before one is answered.
    enum Failure { silent, reset, refused_status, garbage };
    const Failure failure = GENERATE(silent, reset, refused_status, garbage);
    const std::size_t failures = GENERATE(0U, 1U, 2U);
    WatchRig rig(GENERATE(1U, 2U, 3U));
    rig.on_request = [&](TestConnection& peer, std::size_t request) {
        if (request == 0) return peer.send(reply(unchanged_list));
        if (request == 1) return;
        if (request == 2 + failures) return peer.send(reply(list_five));
        if (request > 2 + failures) return;
        if (failure == reset) peer.reset();
        if (failure == refused_status) peer.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
        if (failure == garbage) peer.send(reply("{"));
    };
    rig.start();
    rig.advance_until([&] { return rig.request_count() == 2; }, 1000 * ms);
    REQUIRE(rig.request_count() == 2);
    const Nanos changed_at = rig.now;
    rig.advance_until([&] { return rig.generation == 5; }, 30'000 * ms);
    CHECK(rig.generation == 5);
    CHECK(rig.now - changed_at < 6000 * ms);
}

TEST_CASE("a starting watch whose first connection is silent gets the list within 1.5 s") {
    WatchRig rig;
    rig.on_request = [](TestConnection& peer, std::size_t request) {
        if (request == 1) peer.send(reply(list_five));
    };
    rig.start();
    const Nanos began = rig.now;
    rig.advance_until([&] { return rig.generation == 5; }, 30'000 * ms);
    CHECK(rig.watch.has_list());
    CHECK(rig.now - began < 1500 * ms);
}

TEST_CASE(
    "while discovery is down it is polled with backoff and jitter, and its list is delivered soon after its "
    "return") {
    std::vector<std::vector<Nanos>> request_times;
    for (const std::uint64_t seed : {1, 2}) {
        WatchRig rig(seed);
        bool down = true;
        auto& times = request_times.emplace_back();
        rig.on_request = [&](TestConnection& peer, std::size_t) {
            times.push_back(rig.now);
            if (down)
                peer.reset();
            else if (rig.generation != 5)
                peer.send(reply(list_five));
        };
        rig.start();
        rig.advance_until([] { return false; }, 10'000 * ms);
        CHECK(times.size() >= 10'000 / 420);
        CHECK(times.size() <= 10'000 / 200 + 3);
        down = false;
        const Nanos back_at = rig.now;
        rig.advance_until([&] { return rig.generation == 5; }, 10'000 * ms);
        CHECK(rig.now - back_at <= 420 * ms);
    }
    CHECK(request_times[0] != request_times[1]);
}

TEST_CASE(
    "in poll mode a change is delivered within 6 s although a poll fails and the next one queues for 2 s") {
    enum Failure { silent, reset, refused_status, garbage };
    const Failure failure = GENERATE(silent, reset, refused_status, garbage);
    WatchRig rig(GENERATE(1U, 2U, 3U), Discovery::poll);
    Nanos answer_at = 0;
    std::shared_ptr<TestConnection> waiting;
    rig.on_request = [&](TestConnection& peer, std::size_t request) {
        if (request == 0) return peer.send(reply(unchanged_list));
        if (request == 1) return;  // becomes silent, and the change happens at this moment
        const std::size_t failures = failure == silent ? 0 : 2;
        if (request < 2 + failures) {
            if (failure == reset) peer.reset();
            if (failure == refused_status) peer.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
            if (failure == garbage) peer.send(reply("{"));
        } else if (request == 2 + failures) {
            answer_at = rig.now + 2000 * ms;  // end of its wait in discovery's queue
            waiting = peer.shared_from_this();
        }
    };
    rig.start();
    rig.advance_until([&] { return rig.request_count() == 2; }, 1000 * ms);
    REQUIRE(rig.request_count() == 2);
    const Nanos changed_at = rig.now;
    const auto is_due = [&] { return answer_at > 0 && rig.now >= answer_at; };
    rig.advance_until(is_due, 30'000 * ms);
    REQUIRE(waiting);
    waiting->send(reply(list_five));
    rig.advance_until([&] { return rig.generation == 5; }, 30'000 * ms);
    CHECK(rig.generation == 5);
    CHECK(rig.now - changed_at < 6000 * ms);
}

TEST_CASE("many routers that poll one discovery at once all get the list in turn") {
    // Discovery takes 200 ms for a first poll and rejects polls that would wait for over 2 s, which takes 10
    // ms. A poll that its router has abandoned is processed nevertheless.
    constexpr std::size_t routers = 32;
    boost::asio::io_context io{1};
    Nanos now = 1'000'000 * ms;
    EventClock time{now};
    struct ListRecorder final : EndpointListObserver {
        void on_endpoint_list(const EndpointList& list) override { generation = list.generation; }
        std::uint64_t generation = 0;
    };
    std::vector<ListRecorder> observers(routers);
    // A poll that discovery answers at this time.
    struct PendingPoll {
        Nanos at;
        std::shared_ptr<TestConnection> peer;
    };
    std::deque<PendingPoll> pending;
    Nanos busy_until = 0;
    std::size_t refused = 0;
    FakeServer discovery(io, [&](TestConnection& peer) {
        const auto end = peer.received.find("\r\n\r\n");
        if (end == std::string::npos) return;
        // Discovery answers polls for changes at no cost.
        const bool is_poll_for_changes = peer.received.find("index=5&") != std::string::npos;
        peer.received.erase(0, end + 4);
        if (is_poll_for_changes) return;
        busy_until = std::max(busy_until, now);
        if (busy_until - now > 2000 * ms) {
            ++refused;
            busy_until += 10 * ms;
            return peer.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
        }
        pending.push_back({busy_until += 200 * ms, peer.shared_from_this()});
    });
    const HostPort address = *parse_host_port(discovery.address());
    std::vector<std::unique_ptr<DiscoveryWatch>> watches;
    for (std::size_t i = 0; i < routers; ++i) {
        watches.push_back(
            std::make_unique<DiscoveryWatch>(io, time, observers[i], address, Discovery::poll, 4, i + 1));
        watches.back()->start(4);
    }
    const auto updated = [&] {
        return std::count_if(observers.begin(), observers.end(),
                             [](const ListRecorder& observer) { return observer.generation == 5; });
    };
    const Nanos began = now;
    for (; updated() < std::ptrdiff_t{routers} && now - began < 30'000 * ms; now += 10 * ms) {
        for (int i = 0; i < 2; ++i) {
            while (io.poll() > 0) {
            }
            time.timers.fire_due(now);
        }
        for (; !pending.empty() && pending.front().at <= now; pending.pop_front())
            if (!pending.front().peer->ended) pending.front().peer->send(reply(list_five));
    }
    INFO(updated() << " routers have the list, " << refused << " refused after " << (now - began) / ms
                   << " ms");
    CHECK(updated() == std::ptrdiff_t{routers});
    CHECK(now - began < 9'500 * ms);
    for (auto& watch : watches) watch->stop();
}

TEST_CASE("a response without a length is complete at the end of its stream, but not at a reset") {
    const bool reset_by_server = GENERATE(false, true);
    WatchRig rig;
    rig.on_request = [reset_by_server](TestConnection& peer, std::size_t request) {
        if (request > 0) return;
        peer.send("HTTP/1.1 200 OK\r\n\r\n" + list_five);  // looks like a complete list
        if (!reset_by_server) peer.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    };
    rig.start();
    rig.advance_until([&] { return rig.request_count() == 1; }, 100 * ms);
    if (reset_by_server) rig.requests[0].second->reset();
    rig.advance_until([&] { return rig.request_count() == 2; }, 2000 * ms);
    CHECK(rig.request_count() == 2);
    CHECK(rig.generation == (reset_by_server ? 0 : 5));
    CHECK(rig.requests[1].first.find(reset_by_server ? "index=4&" : "index=5&") != std::string::npos);
}

TEST_CASE(
    "a list over the size limit is ignored, the full list is polled, and a later list within the limit is "
    "delivered") {
    const bool states_length = GENERATE(true, false);
    WatchRig rig;
    bool oversized = true;
    rig.on_request = [&](TestConnection& peer, std::size_t) {
        if (rig.generation == 5) return;
        std::string list = list_five;
        list.insert(list.size() - 1, oversized ? 4096 : 0, ' ');  // the padding alone is as long as the limit
        if (states_length) return peer.send(reply(list));
        peer.send("HTTP/1.1 200 OK\r\n\r\n" + list);
        peer.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    };
    rig.start();
    rig.advance_until([&] { return rig.request_count() == 3; }, 5000 * ms);
    CHECK(rig.generation == 0);
    REQUIRE(rig.request_count() == 3);
    CHECK(rig.requests[2].first.find("index=") == std::string::npos);
    oversized = false;
    rig.advance_until([&] { return rig.generation == 5; }, 5000 * ms);
    CHECK(rig.generation == 5);
}

TEST_CASE(
    "the size limit of a list follows from the deployment's size, within its minimum and the memory limit") {
    RouterConfig config;
    config.places = 27'000, config.replicas_per_shard = 3, config.routers = 3600;
    CHECK(endpoint_list_size_limit(config, 0).bytes == 2UL * 81'000 * 1024);
    CHECK(endpoint_list_size_limit(config, 192'000'000).bytes == 48'000'000);
    CHECK(manager_response_size_limit(config, 192'000'000).bytes == (2UL * 81'000 + 3600) * 256);
    CHECK(endpoint_list_size_limit(config, 8'000'000).bytes == 8 * 1024 * 1024);
    CHECK(endpoint_list_size_limit(config, 8'000'000).reason == "the minimum limit");
    config.places = 10;
    CHECK(endpoint_list_size_limit(config, 192'000'000).bytes == 8 * 1024 * 1024);
    CHECK(manager_response_size_limit(config, 0).bytes == 8 * 1024 * 1024);
    config.places = config.replicas_per_shard = 1'000'000;
    CHECK(endpoint_list_size_limit(config, 192'000'000).bytes == 48'000'000);
}
