// The watch on discovery on real connections and a given clock: what it owes when calls fail, each in the bad
// order. docs/endings.md lists the other endings and their tests.
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

const std::string nothing_new = R"({"generation":4,"reset":false,"instances":[]})";
const std::string list_five =
    R"({"generation":5,"reset":true,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:9","zone":"z",)"
    R"("machineType":"m","cell":0,"lifecycle":"draining","startedAtMs":0}]})";

std::string reply(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Discovery's agent on loopback and a watch on it, on a clock that the test moves.
struct WatchRig final : EndpointListObserver {
    explicit WatchRig(std::uint64_t seed = 1, Discovery mode = Discovery::push) : seed_(seed), mode_(mode) {}

    void on_endpoint_list(const EndpointList& list) override { generation = list.generation; }
    void start() { watch.start(4); }
    // All that can happen without time passing.
    void settle() {
        while (io.poll() > 0) {
        }
        time.due.fire_due(now);
        while (io.poll() > 0) {
        }
    }
    template <typename Happened>
    void pass_until(Happened happened, Nanos most) {
        for (const Nanos end = now + most; !happened() && now < end; now += 10 * ms) settle();
        settle();
    }
    std::size_t calls() const { return heads.size(); }

    std::uint64_t seed_;
    Discovery mode_;
    ResponseSizeLimit limit{4096, "the test's"};
    boost::asio::io_context io{1};
    Nanos now = 1'000'000 * ms;
    EventClock time{now};
    std::uint64_t generation = 0;
    std::vector<std::pair<std::string, std::shared_ptr<TestConnection>>> heads;
    std::function<void(TestConnection&, std::size_t)> on_call;  // with its number, from 0
    FakeServer agent{io, [this](TestConnection& peer) {
                         const auto end = peer.received.find("\r\n\r\n");
                         if (end == std::string::npos) return;
                         heads.emplace_back(peer.received.substr(0, end), peer.shared_from_this());
                         peer.received.erase(0, end + 4);
                         if (on_call) on_call(peer, heads.size() - 1);
                     }};
    DiscoveryWatch watch{io, time, *this, *parse_host_port(agent.address()), mode_, 4, seed_, limit};
};

}  // namespace

TEST_CASE("a change is heard within 6 s of when discovery had it, whatever became of the calls") {
    // The short call is answered; the long one falls silent the moment it is asked, and that is when the
    // change comes. Then so many connections fail, each in its way, before one is answered.
    enum Way { silent, reset, refused_status, garbage };
    const Way way = GENERATE(silent, reset, refused_status, garbage);
    const std::size_t failures = GENERATE(0U, 1U, 2U);
    WatchRig rig(GENERATE(1U, 2U, 3U));
    rig.on_call = [&](TestConnection& peer, std::size_t n) {
        if (n == 0) return peer.send(reply(nothing_new));
        if (n == 1) return;
        if (n == 2 + failures) return peer.send(reply(list_five));
        if (n > 2 + failures) return;
        if (way == reset) peer.reset();
        if (way == refused_status) peer.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
        if (way == garbage) peer.send(reply("{"));
    };
    rig.start();
    rig.pass_until([&] { return rig.calls() == 2; }, 1000 * ms);
    REQUIRE(rig.calls() == 2);
    const Nanos had = rig.now;
    rig.pass_until([&] { return rig.generation == 5; }, 30'000 * ms);
    CHECK(rig.generation == 5);
    CHECK(rig.now - had < 6000 * ms);
}

TEST_CASE("a process that starts hears what its agent has within 1.5 s, its first connection silent") {
    WatchRig rig;
    rig.on_call = [](TestConnection& peer, std::size_t n) {
        if (n == 1) peer.send(reply(list_five));
    };
    rig.start();
    const Nanos began = rig.now;
    rig.pass_until([&] { return rig.generation == 5; }, 30'000 * ms);
    CHECK(rig.watch.has_list());
    CHECK(rig.now - began < 1500 * ms);
}

TEST_CASE("discovery that is down is asked again with backoff and jitter, and heard at once at its return") {
    std::vector<std::vector<Nanos>> asked;
    for (const std::uint64_t seed : {1, 2}) {
        WatchRig rig(seed);
        bool down = true;
        auto& times = asked.emplace_back();
        rig.on_call = [&](TestConnection& peer, std::size_t) {
            times.push_back(rig.now);
            if (down)
                peer.reset();
            else if (rig.generation != 5)
                peer.send(reply(list_five));
        };
        rig.start();
        rig.pass_until([] { return false; }, 10'000 * ms);
        CHECK(times.size() >= 10'000 / 420);
        CHECK(times.size() <= 10'000 / 200 + 3);
        down = false;
        const Nanos back = rig.now;
        rig.pass_until([&] { return rig.generation == 5; }, 10'000 * ms);
        CHECK(rig.now - back <= 420 * ms);
    }
    CHECK(asked[0] != asked[1]);
}

TEST_CASE(
    "where lists are asked for, a change is heard within 6 s though a call fails and the next one waits 2 "
    "s") {
    enum Way { silent, reset, refused_status, garbage };
    const Way way = GENERATE(silent, reset, refused_status, garbage);
    WatchRig rig(GENERATE(1U, 2U, 3U), Discovery::poll);
    Nanos answer_at = 0;
    std::shared_ptr<TestConnection> waiting;
    rig.on_call = [&](TestConnection& peer, std::size_t n) {
        if (n == 0) return peer.send(reply(nothing_new));
        if (n == 1) return;  // falls silent, and that is when the change comes
        const std::size_t failures = way == silent ? 0 : 2;
        if (n < 2 + failures) {
            if (way == reset) peer.reset();
            if (way == refused_status) peer.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
            if (way == garbage) peer.send(reply("{"));
        } else if (n == 2 + failures) {
            answer_at = rig.now + 2000 * ms;  // its turn in discovery's line
            waiting = peer.shared_from_this();
        }
    };
    rig.start();
    rig.pass_until([&] { return rig.calls() == 2; }, 1000 * ms);
    REQUIRE(rig.calls() == 2);
    const Nanos had = rig.now;
    const auto turn_comes = [&] { return answer_at > 0 && rig.now >= answer_at; };
    rig.pass_until(turn_comes, 30'000 * ms);
    REQUIRE(waiting);
    waiting->send(reply(list_five));
    rig.pass_until([&] { return rig.generation == 5; }, 30'000 * ms);
    CHECK(rig.generation == 5);
    CHECK(rig.now - had < 6000 * ms);
}

TEST_CASE("many routers that ask one discovery at once are all heard, in turn") {
    // It serves a first call in 200 ms, refuses what would wait for over 2 s, and a refusal takes it 10 ms.
    // What its caller gave up is served all the same.
    constexpr std::size_t routers = 32;
    boost::asio::io_context io{1};
    Nanos now = 1'000'000 * ms;
    EventClock time{now};
    struct Told final : EndpointListObserver {
        void on_endpoint_list(const EndpointList& list) override { generation = list.generation; }
        std::uint64_t generation = 0;
    };
    std::vector<Told> told(routers);
    struct Due {
        Nanos at;
        std::shared_ptr<TestConnection> peer;
    };
    std::deque<Due> line;
    Nanos busy_until = 0;
    std::size_t refused = 0;
    FakeServer discovery(io, [&](TestConnection& peer) {
        const auto end = peer.received.find("\r\n\r\n");
        if (end == std::string::npos) return;
        const bool goes_on =
            peer.received.find("index=5&") != std::string::npos;  // a watch, which costs nothing
        peer.received.erase(0, end + 4);
        if (goes_on) return;
        busy_until = std::max(busy_until, now);
        if (busy_until - now > 2000 * ms) {
            ++refused;
            busy_until += 10 * ms;
            return peer.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
        }
        line.push_back({busy_until += 200 * ms, peer.shared_from_this()});
    });
    const HostPort address = *parse_host_port(discovery.address());
    std::vector<std::unique_ptr<DiscoveryWatch>> watches;
    for (std::size_t i = 0; i < routers; ++i) {
        watches.push_back(
            std::make_unique<DiscoveryWatch>(io, time, told[i], address, Discovery::poll, 4, i + 1));
        watches.back()->start(4);
    }
    const auto heard = [&] {
        return std::count_if(told.begin(), told.end(), [](const Told& t) { return t.generation == 5; });
    };
    const Nanos began = now;
    for (; heard() < std::ptrdiff_t{routers} && now - began < 30'000 * ms; now += 10 * ms) {
        for (int i = 0; i < 2; ++i) {
            while (io.poll() > 0) {
            }
            time.due.fire_due(now);
        }
        for (; !line.empty() && line.front().at <= now; line.pop_front())
            if (!line.front().peer->ended) line.front().peer->send(reply(list_five));
    }
    INFO(heard() << " heard, " << refused << " refused after " << (now - began) / ms << " ms");
    CHECK(heard() == std::ptrdiff_t{routers});
    CHECK(now - began < 9'500 * ms);
    for (auto& watch : watches) watch->stop();
}

TEST_CASE("an answer without a length ends with its stream, but never with a reset") {
    const bool cut = GENERATE(false, true);
    WatchRig rig;
    rig.on_call = [cut](TestConnection& peer, std::size_t n) {
        if (n > 0) return;
        peer.send("HTTP/1.1 200 OK\r\n\r\n" + list_five);  // a whole list by its looks
        if (!cut) peer.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    };
    rig.start();
    rig.pass_until([&] { return rig.calls() == 1; }, 100 * ms);
    if (cut) rig.heads[0].second->reset();
    rig.pass_until([&] { return rig.calls() == 2; }, 2000 * ms);
    CHECK(rig.calls() == 2);
    CHECK(rig.generation == (cut ? 0 : 5));
    CHECK(rig.heads[1].first.find(cut ? "index=4&" : "index=5&") != std::string::npos);
}

TEST_CASE(
    "a list over its bound is no list: the last one stands, the whole one is asked for, a later one is "
    "heard") {
    const bool stated = GENERATE(true, false);
    WatchRig rig;
    bool grown = true;
    rig.on_call = [&](TestConnection& peer, std::size_t) {
        if (rig.generation == 5) return;
        std::string list = list_five;
        list.insert(list.size() - 1, grown ? 4096 : 0, ' ');  // as long as its bound would do, and more
        if (stated) return peer.send(reply(list));
        peer.send("HTTP/1.1 200 OK\r\n\r\n" + list);
        peer.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    };
    rig.start();
    rig.pass_until([&] { return rig.calls() == 3; }, 5000 * ms);
    CHECK(rig.generation == 0);
    REQUIRE(rig.calls() == 3);
    CHECK(rig.heads[2].first.find("index=") == std::string::npos);
    grown = false;
    rig.pass_until([&] { return rig.generation == 5; }, 5000 * ms);
    CHECK(rig.generation == 5);
}

TEST_CASE("a list's bound follows from the deployment's size, between its least and what memory allows") {
    RouterConfig config;
    config.places = 27'000, config.replicas_per_shard = 3, config.routers = 3600;
    CHECK(endpoint_list_size_limit(config, 0).bytes == 2UL * 81'000 * 1024);
    CHECK(endpoint_list_size_limit(config, 192'000'000).bytes == 48'000'000);
    CHECK(manager_response_size_limit(config, 192'000'000).bytes == (2UL * 81'000 + 3600) * 256);
    CHECK(endpoint_list_size_limit(config, 8'000'000).bytes == 8 * 1024 * 1024);
    CHECK(endpoint_list_size_limit(config, 8'000'000).reason == "the least bound");
    config.places = 10;
    CHECK(endpoint_list_size_limit(config, 192'000'000).bytes == 8 * 1024 * 1024);
    CHECK(manager_response_size_limit(config, 0).bytes == 8 * 1024 * 1024);
    config.places = config.replicas_per_shard = 1'000'000;
    CHECK(endpoint_list_size_limit(config, 192'000'000).bytes == 48'000'000);
}
