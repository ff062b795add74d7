// What is kept: slots, deadlines and the list of nodes, the former beside plain models on generated steps.
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "helpers.hpp"
#include "tables/node_table.hpp"
#include "tables/slot_map.hpp"
#include "tables/timer_queue.hpp"

using namespace tealcart;

TEST_CASE("a handle of an earlier life finds nothing, others keep what they hold") {
    std::knuth_b chance(GENERATE(range(1U, 6U)));
    SlotMap<int> slots;
    std::vector<std::pair<Handle, int>> held;
    std::vector<Handle> old;
    for (int i = 0; i < 2000; ++i) {
        if (held.empty() || chance() % 5 < 3) {
            held.emplace_back(slots.emplace(i), i);
        } else {
            const std::size_t at = chance() % held.size();
            slots.release(held[at].first);
            slots.release(held[at].first);  // once more does nothing
            old.push_back(held[at].first);
            held.erase(held.begin() + static_cast<std::ptrdiff_t>(at));
        }
        REQUIRE(slots.size() == held.size());
    }
    for (const auto& [h, value] : held) REQUIRE((slots.find(h) != nullptr && *slots.find(h) == value));
    for (const Handle h : old) REQUIRE(slots.find(h) == nullptr);
    CHECK(slots.find(Handle{}) == nullptr);
}

namespace {

struct Told final : TimerHandler {
    std::vector<std::uint64_t> all;
    void on_timer_due(Handle, std::uint64_t what) override { all.push_back(what); }
};

}  // namespace

TEST_CASE("deadlines are told in their order, and none that was dropped") {
    std::knuth_b chance(GENERATE(range(1U, 11U)));
    TimerQueue due;
    Told told;
    std::multimap<Nanos, std::uint64_t> plain;  // keeps the order of adding where times are equal
    std::map<std::uint64_t, TimerQueue::TimerId> timers;
    Nanos now = 0;
    for (std::uint64_t i = 0; i < 1500; ++i) {
        if (chance() % 3 > 0) {
            const Nanos at = now + static_cast<Nanos>(chance() % 50);
            timers[i] = due.add(at, told, {}, i);
            plain.emplace(at, i);
        } else if (!plain.empty() && chance() % 2 == 0) {
            const auto it = std::next(plain.begin(), static_cast<std::ptrdiff_t>(chance() % plain.size()));
            due.cancel(timers[it->second]);
            REQUIRE(timers[it->second] == TimerQueue::none);
            plain.erase(it);
        }
        REQUIRE(due.next() == (plain.empty() ? TimerQueue::never : plain.begin()->first));
        if (chance() % 8 != 0) continue;
        now += static_cast<Nanos>(chance() % 40);
        told.all.clear();
        due.fire_due(now);
        std::vector<std::uint64_t> expected;
        for (; !plain.empty() && plain.begin()->first <= now; plain.erase(plain.begin()))
            expected.push_back(plain.begin()->second);
        REQUIRE(told.all == expected);
        REQUIRE(due.size() == plain.size());
    }
}

TEST_CASE("the list of nodes keeps its numbers, and tells who leaves or moves") {
    NodeTable nodes;
    const auto node = [](std::string id, std::string address, Lifecycle a, Nanos started = 0) {
        return ListedEndpoint{std::move(id), std::move(address), "z", "k", 1, a, started};
    };
    using enum Lifecycle;
    auto news = nodes.apply({1, true, {node("a", "h:1", ready), node("b", "h:2", ready)}, 0});
    CHECK(news.entries.size() == 2);
    CHECK(news.moved.empty());
    CHECK(nodes.ready() == 2);
    news = nodes.apply({2, false, {node("b", "h:2", draining)}, 0});
    CHECK(news.leaving == std::vector<std::uint32_t>{1});
    CHECK(nodes.ready() == 1);
    // A new address or a new start means that connections lead to a process that is no more.
    news = nodes.apply({3, false, {node("a", "h:9", ready), node("b", "h:2", ready, 5)}, 0});
    CHECK(news.moved == std::vector<std::uint32_t>{0, 1});
    CHECK(news.leaving.empty());
    CHECK(nodes.address(0) == "h:9");
    news = nodes.apply({4, false, {node("a", "", removed)}, 0});
    CHECK(news.entries[0].lifecycle == removed);
    CHECK(news.leaving == std::vector<std::uint32_t>{0});
    CHECK(nodes.address(0) == "h:9");
    // What a whole list does not name is gone; the next new node gets a number of its own.
    news = nodes.apply({5, true, {node("c", "h:3", ready)}, 0});
    CHECK(news.entries[0].node == 2);
    CHECK(news.leaving == std::vector<std::uint32_t>{1});
    CHECK(nodes.ready() == 1);
    // Two at a time were the most, so of those that are gone the last two are remembered.
    news = nodes.apply({6, false, {node("b", "h:2", ready, 5), node("never met", "", removed)}, 0});
    CHECK(news.added.empty());
    CHECK(news.entries.size() == 1);
    CHECK(nodes.size() == 3);
    nodes.apply({7, false, {node("d", "h:4", ready), node("b", "", removed), node("c", "", removed)}, 0});
    news = nodes.apply({8, false, {node("a", "h:1", ready), node("d", "", removed)}, 0});
    CHECK(news.added == std::vector<std::uint32_t>{4});  // a, forgotten meanwhile
}

TEST_CASE("lists that bring ever new nodes leave nothing behind") {
    NodeTable nodes;
    std::size_t held = 0;
    for (std::uint64_t life = 0; life < 2000; ++life) {
        const auto named = [&](std::uint64_t n, Lifecycle a) {
            return ListedEndpoint{"node " + std::to_string(n), "h:1", "z", "k", 0, a, 0};
        };
        std::vector<ListedEndpoint> list = {named(life, Lifecycle::ready)};
        const bool whole = life % 3 == 0;  // which does not name the one before
        if (life > 0 && !whole) list.push_back(named(life - 1, Lifecycle::removed));
        nodes.apply({life, whole, list, 0});
        REQUIRE(nodes.size() <= 4);
        if (life == 100) held = test::allocated_bytes();
    }
    CHECK(test::allocated_bytes() <= held + 1000);
}
