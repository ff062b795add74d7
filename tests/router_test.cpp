// The design's ordinary path, and one small test for each failure that led to a line of the module.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "helpers.hpp"

using namespace tealcart;
using namespace tealcart::test;

namespace {

constexpr Nanos start = 1'000'000 * ms;
using Weights = std::vector<double>;
const Weights steep = {0.05, 0.4, 0.1, 0.2, 0.05, 0.1, 0.05, 0.05};
const Weights quarters = {0.25, 0.25, 0.25, 0.25};

QueryRouter started(const Terms& terms = small_terms(), const std::vector<NodeEntry>& list = small_list()) {
    QueryRouter router(terms, 7);
    play(router, start - 1000 * ms, [&](ArrivalHandler& h) { h.on_nodes(ListKind::cached, list); });
    return router;
}

// Asks with queries of these weights, ids 20 apart, and tells the leaf calls that follow.
std::vector<Sent> ask(QueryRouter& router, Nanos now, std::uint32_t id, std::uint16_t vertical,
                      const Weights& weights, std::uint32_t queries = 1) {
    const auto come = [&](ArrivalHandler& h) {
        for (std::uint32_t i = 0; i < queries; ++i)
            arrive(h, id + 20 * i, vertical, now + 4000 * ms, weights);
    };
    return play(router, now, come).of(Sent::deliver);
}

// Ends these leaf calls alike, but those to `odd` its own way.
void end_all(QueryRouter& router, Nanos now, const std::vector<Sent>& calls, Outcome outcome, Nanos took,
             std::uint32_t odd = 0, Outcome odd_outcome = Outcome::ok) {
    play(router, now, [&](ArrivalHandler& h) {
        for (const Sent& s : calls)
            h.on_leaf_end({s.id, s.node, 0, s.node == odd ? odd_outcome : outcome, took});
    });
}

std::vector<Sent> ask_and_end(QueryRouter& router, Nanos now, std::uint32_t id, std::uint16_t vertical,
                              const Weights& weights, Outcome outcome, Nanos took) {
    const auto calls = ask(router, now, id, vertical, weights);
    end_all(router, now + took, calls, outcome, took);
    return calls;
}

std::vector<std::uint32_t> parts_of(const std::vector<Sent>& calls) {
    std::vector<std::uint32_t> parts;
    for (const Sent& s : calls) parts.push_back(s.id);
    return parts;
}

// Rounds of one outcome for two-second spans: full outcomes cut p to the least, good ones bring it back.
Nanos go_on(QueryRouter& router, Nanos now, std::uint32_t id, Outcome outcome) {
    for (std::uint32_t i = 0; i < 25; ++i, now += 250 * ms)
        ask_and_end(router, now, id + 20 * i, 0, steep, outcome, 10 * ms);
    return now;
}

const Records nothing = [](ArrivalHandler&) {};

}  // namespace

TEST_CASE("without pressure every part is asked, heaviest first") {
    QueryRouter router = started();
    CHECK(parts_of(ask(router, start, 10, 0, steep)) ==
          std::vector<std::uint32_t>{12, 14, 13, 16, 11, 15, 17, 18});
}

TEST_CASE("full outcomes cut p down to the class floor, and it climbs back without them") {
    QueryRouter router = started();
    const Nanos cut = go_on(router, start, 1000, Outcome::full);
    // 0.4 alone is under the floor of 0.5: p grows by one part.
    CHECK(parts_of(ask_and_end(router, cut, 5000, 0, steep, Outcome::ok, 50 * ms)) ==
          std::vector<std::uint32_t>{5002, 5004});
    const Nanos back = go_on(router, cut + 100 * ms, 6000, Outcome::ok);
    CHECK(ask(router, back, 9000, 0, steep).size() == steep.size());
}

TEST_CASE("p is at least one part, and three where the top weights are close") {
    QueryRouter router = started();
    const Nanos now = go_on(router, start, 1000, Outcome::full);
    CHECK(ask_and_end(router, now, 5000, 0, {0.9, 0.06, 0.04}, Outcome::ok, 50 * ms).size() == 1);
    CHECK(ask_and_end(router, now, 5100, 0, {0.31, 0.3, 0.2, 0.19}, Outcome::ok, 50 * ms).size() == 3);
    CHECK(ask_and_end(router, now, 5200, 0, {0.51, 0.49}, Outcome::ok, 50 * ms).size() == 1);
    // A vertical that needs every part is never cut.
    CHECK(ask_and_end(router, now, 5300, 1, {0.9, 0.06, 0.04}, Outcome::ok, 50 * ms).size() == 3);
}

TEST_CASE("timeouts that pile up at one node leave p alone") {
    QueryRouter router = started();
    Nanos now = start;
    for (std::uint32_t i = 0; i < 30; ++i, now += 200 * ms)
        end_all(router, now + 50 * ms, ask(router, now, 1000 + 20 * i, 0, steep), Outcome::ok, 50 * ms, 101,
                Outcome::timeout);
    CHECK(ask(router, now, 9000, 0, steep).size() == steep.size());
}

TEST_CASE("a shard without a sound holder leaves p alone") {
    QueryRouter router = started(small_terms(Effect::repeatable, 12), small_list(12));
    Nanos now = start;
    for (std::uint32_t i = 0; i <= 30; ++i, now += 200 * ms) {
        const auto come = [&](ArrivalHandler& h) {
            arrive(h, 1000 + 20 * i, 0, now + 4000 * ms, Weights(12, 1.0 / 12), 12);
        };
        auto calls = play(router, now, come).of(Sent::deliver);
        if (i == 30) CHECK(calls.size() == 12);
        const auto sound =
            std::partition(calls.begin(), calls.end(), [](const Sent& s) { return s.node > 102; });
        end_all(router, now + 50 * ms, {calls.begin(), sound}, Outcome::ok, 50 * ms);
        end_all(router, now + 55 * ms, {sound, calls.end()}, Outcome::timeout, 55 * ms);
    }
}

TEST_CASE("replicas take turns") {
    QueryRouter router = started();
    std::map<std::uint32_t, int> asked;
    for (std::uint32_t i = 0; i < 9; ++i)
        ++asked
            [ask_and_end(router, start + i * 300 * ms, 10 + 10 * i, 1, {1}, Outcome::ok, 50 * ms).at(0).node];
    CHECK(asked == std::map<std::uint32_t, int>{{100, 3}, {101, 3}, {102, 3}});
}

TEST_CASE("a replica whose last part timed out is skipped, unless all did") {
    QueryRouter router = started();
    const Sent first = ask_and_end(router, start, 10, 1, {1}, Outcome::timeout, 100 * ms).at(0);
    for (std::uint32_t i = 1; i < 5; ++i)
        CHECK(ask_and_end(router, start + (100 + i) * ms, 10 + 10 * i, 1, {1}, Outcome::ok, ms).at(0).node !=
              first.node);
    QueryRouter all = started();
    for (std::uint32_t i = 0; i < 3; ++i)
        ask_and_end(all, start + 10 * i * ms, 10 + 10 * i, 1, {1}, Outcome::timeout, 5 * ms);
    CHECK(!ask(all, start + 40 * ms, 100, 1, {1}).empty());
}

TEST_CASE("a silent node is passed over before any call has timed out") {
    Terms terms = small_terms();
    terms.second_copies = false;
    QueryRouter router = started(terms);
    for (std::uint32_t i = 0; i < 6; ++i)
        ask_and_end(router, start + i * 100 * ms, 10 + 10 * i, 1, {1}, Outcome::ok, 50 * ms);
    const Sent hung = ask(router, start + 1000 * ms, 500, 1, {1}).at(0);
    for (std::uint32_t i = 0; i < 4; ++i)
        CHECK(ask_and_end(router, start + (1400 + i * 100) * ms, 600 + 10 * i, 1, {1}, Outcome::ok, 50 * ms)
                  .at(0)
                  .node != hung.node);
}

TEST_CASE("calls that fail during a pause don't lengthen it") {
    QueryRouter router = started(small_terms(), small_list(3));
    const auto calls = ask(router, start, 10, 1, {1}, 9);
    const std::uint32_t failing = calls.at(0).node;  // three calls fail together: one pause of 250 ms
    end_all(router, start + 20 * ms, calls, Outcome::ok, 20 * ms, failing, Outcome::reset);
    bool asked_again = false;
    for (std::uint32_t i = 0; i < 3; ++i)
        asked_again |=
            ask_and_end(router, start + (400 + 50 * i) * ms, 500 + 10 * i, 1, {1}, Outcome::ok, 20 * ms)
                .at(0)
                .node == failing;
    CHECK(asked_again);
}

TEST_CASE("calls to a draining node stop at once, and a cold one gets few") {
    std::vector<NodeEntry> list = small_list();
    list[0].availability = Availability::draining;
    list[1].started_at = start - 100 * ms;
    QueryRouter router = started(small_terms(), list);
    std::map<std::uint32_t, int> asked;
    for (const Sent& s : ask(router, start, 10, 1, {1}, 12)) ++asked[s.node];
    CHECK(asked[100] == 0);
    CHECK(asked[101] <= 2);
    CHECK(asked[102] >= 10);
}

TEST_CASE("an overdue part gets a second copy only while most nodes answer") {
    const auto hung = GENERATE(1U, 4U);
    QueryRouter router = started();
    for (std::uint32_t i = 0; i < 8; ++i)
        ask_and_end(router, start + i * 100 * ms, 10 + 10 * i, 1, quarters, Outcome::ok, 50 * ms);
    const Nanos now = start + 1000 * ms;
    auto calls = ask(router, now, 500, 1, Weights(16, 0.0625));
    std::erase_if(calls, [&](const Sent& s) { return s.node < 100 + hung; });
    end_all(router, now + 50 * ms, calls, Outcome::ok, 50 * ms);
    std::size_t copies = 0;
    for (Nanos t = now + 100 * ms; t < now + 400 * ms; t += 50 * ms)
        copies += play(router, t, nothing).of(Sent::deliver).size();
    CHECK((hung == 1) == (copies > 0));
}

TEST_CASE("clients that turn impatient do not pass for late repeats") {
    QueryRouter router = started();
    ask_and_end(router, start, 10, 1, {0.5, 0.5}, Outcome::ok, 50 * ms);
    const Kept kept =
        play(router, start + 100 * ms, [](ArrivalHandler& h) { arrive(h, 20, 1, start + 600 * ms, {1}); });
    CHECK(kept.of(Sent::reject).empty());
    CHECK(kept.of(Sent::deliver).size() == 1);
}

TEST_CASE("a query whose parts can't be in in time is rejected at once, with advice") {
    QueryRouter router = started();
    ask_and_end(router, start - 100 * ms, 500, 1, quarters, Outcome::ok, 50 * ms);
    end_all(router, start + 6000 * ms, ask(router, start, 10, 1, quarters, 3), Outcome::ok, 6000 * ms);
    const Kept kept = play(router, start + 6100 * ms,
                           [](ArrivalHandler& h) { arrive(h, 900, 1, start + 10100 * ms, {1}); });
    CHECK(kept.of(Sent::reject).at(0).span > 0);
    CHECK(kept.of(Sent::deliver).empty());
}

TEST_CASE("at the SLO time a query is answered from what is in, or given up if late is worth nothing") {
    Terms terms = small_terms();
    terms.verticals[1].late_utility = 0;
    terms.second_copies = false;
    QueryRouter router = started(terms);
    auto calls = ask(router, start, 10, 0, {0.6, 0.4});
    ask(router, start, 50, 1, {1});
    calls.pop_back();
    end_all(router, start + 50 * ms, calls, Outcome::ok, 50 * ms);
    CHECK(play(router, start + 1900 * ms, nothing).of(Sent::answer).empty());
    const Kept kept = play(router, start + 1995 * ms, nothing);
    CHECK(!kept.of(Sent::answer).at(0).whole);
    CHECK(kept.of(Sent::reject).at(0).id == 50);
    CHECK(kept.of(Sent::cancel).size() == 2);
}

TEST_CASE("where lists must be asked for, one subscription is kept") {
    Terms terms = small_terms();
    terms.discovery = Discovery::ask;
    QueryRouter router(terms, 7);
    const auto told = [](ListKind kind) {
        return [kind](ArrivalHandler& h) { h.on_nodes(kind, small_list()); };
    };
    CHECK(play(router, start, told(ListKind::cached)).of(Sent::listen).size() == 1);
    CHECK(play(router, start + 100 * ms, told(ListKind::failed)).of(Sent::listen).empty());
    CHECK(play(router, start + 1200 * ms, nothing).of(Sent::listen).size() == 1);
    CHECK(play(router, start + 1300 * ms, told(ListKind::full)).of(Sent::wake).empty());
    CHECK(play(router, start + 60'000 * ms, nothing).of(Sent::listen).empty());
}
