// Tests of the tables. SlotMap and TimerQueue are compared with simple models over generated operations.
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "helpers.hpp"
#include "tables/node_table.hpp"
#include "tables/slot_map.hpp"
#include "tables/timer_queue.hpp"

using namespace tealcart;

TEST_CASE("the handle of a released value finds nothing, other handles keep their values") {
    std::knuth_b random(GENERATE(range(1U, 6U)));
    SlotMap<int> slots;
    std::vector<std::pair<Handle, int>> present;
    std::vector<Handle> released;
    for (int i = 0; i < 2000; ++i) {
        if (present.empty() || random() % 5 < 3) {
            present.emplace_back(slots.emplace(i), i);
        } else {
            const std::size_t at = random() % present.size();
            slots.release(present[at].first);
            slots.release(present[at].first);  // a second release does nothing
            released.push_back(present[at].first);
            present.erase(present.begin() + static_cast<std::ptrdiff_t>(at));
        }
        REQUIRE(slots.size() == present.size());
    }
    for (const auto& [handle, value] : present)
        REQUIRE((slots.find(handle) != nullptr && *slots.find(handle) == value));
    for (const Handle handle : released) REQUIRE(slots.find(handle) == nullptr);
    CHECK(slots.find(Handle{}) == nullptr);
}

namespace {

// Records the timers that fire.
struct RecordedTimers final : TimerHandler {
    std::vector<std::uint64_t> cookies;
    void on_timer_due(Handle, std::uint64_t cookie) override { cookies.push_back(cookie); }
};

}  // namespace

TEST_CASE("timers fire in order of time and insertion, and cancelled ones never fire") {
    std::knuth_b random(GENERATE(range(1U, 11U)));
    TimerQueue queue;
    RecordedTimers fired;
    std::multimap<Nanos, std::uint64_t> model;  // keeps insertion order among equal times
    std::map<std::uint64_t, TimerQueue::TimerId> timers;
    Nanos now = 0;
    for (std::uint64_t i = 0; i < 1500; ++i) {
        if (random() % 3 > 0) {
            const Nanos at = now + static_cast<Nanos>(random() % 50);
            timers[i] = queue.add(at, fired, {}, i);
            model.emplace(at, i);
        } else if (!model.empty() && random() % 2 == 0) {
            const auto it = std::next(model.begin(), static_cast<std::ptrdiff_t>(random() % model.size()));
            queue.cancel(timers[it->second]);
            REQUIRE(timers[it->second] == TimerQueue::none);
            model.erase(it);
        }
        REQUIRE(queue.next() == (model.empty() ? TimerQueue::never : model.begin()->first));
        if (random() % 8 != 0) continue;
        now += static_cast<Nanos>(random() % 40);
        fired.cookies.clear();
        queue.fire_due(now);
        std::vector<std::uint64_t> expected;
        for (; !model.empty() && model.begin()->first <= now; model.erase(model.begin()))
            expected.push_back(model.begin()->second);
        REQUIRE(fired.cookies == expected);
        REQUIRE(queue.size() == model.size());
    }
}

TEST_CASE("NodeTable keeps indices stable and reports nodes that leave, move or are new") {
    NodeTable nodes;
    const auto node = [](std::string id, std::string address, Lifecycle lifecycle, Nanos started_at = 0) {
        return ListedEndpoint{std::move(id), std::move(address), "z", "k", 1, lifecycle, started_at};
    };
    using enum Lifecycle;
    auto changes = nodes.apply({1, true, {node("a", "h:1", ready), node("b", "h:2", ready)}, 0});
    CHECK(changes.entries.size() == 2);
    CHECK(changes.moved.empty());
    CHECK(nodes.ready() == 2);
    changes = nodes.apply({2, false, {node("b", "h:2", draining)}, 0});
    CHECK(changes.leaving == std::vector<std::uint32_t>{1});
    CHECK(nodes.ready() == 1);
    // With a new address or start time, old connections lead to a process that has ended.
    changes = nodes.apply({3, false, {node("a", "h:9", ready), node("b", "h:2", ready, 5)}, 0});
    CHECK(changes.moved == std::vector<std::uint32_t>{0, 1});
    CHECK(changes.leaving.empty());
    CHECK(nodes.address(0) == "h:9");
    changes = nodes.apply({4, false, {node("a", "", removed)}, 0});
    CHECK(changes.entries[0].lifecycle == removed);
    CHECK(changes.leaving == std::vector<std::uint32_t>{0});
    CHECK(nodes.address(0) == "h:9");
    // A node that a full list does not contain is removed, and a new node gets an unused index.
    changes = nodes.apply({5, true, {node("c", "h:3", ready)}, 0});
    CHECK(changes.entries[0].node == 2);
    CHECK(changes.leaving == std::vector<std::uint32_t>{1});
    CHECK(nodes.ready() == 1);
    // At most two nodes were present at one time, so the last two removed nodes are remembered.
    changes = nodes.apply({6, false, {node("b", "h:2", ready, 5), node("never listed", "", removed)}, 0});
    CHECK(changes.added.empty());
    CHECK(changes.entries.size() == 1);
    CHECK(nodes.size() == 3);
    nodes.apply({7, false, {node("d", "h:4", ready), node("b", "", removed), node("c", "", removed)}, 0});
    changes = nodes.apply({8, false, {node("a", "h:1", ready), node("d", "", removed)}, 0});
    CHECK(changes.added == std::vector<std::uint32_t>{4});  // node a was forgotten before
}

TEST_CASE("lists with ever new nodes do not grow the node table") {
    NodeTable nodes;
    std::size_t allocated = 0;
    for (std::uint64_t generation = 0; generation < 2000; ++generation) {
        const auto listed = [&](std::uint64_t number, Lifecycle lifecycle) {
            return ListedEndpoint{"node " + std::to_string(number), "h:1", "z", "k", 0, lifecycle, 0};
        };
        std::vector<ListedEndpoint> list = {listed(generation, Lifecycle::ready)};
        const bool full = generation % 3 == 0;  // does not contain the previous node
        if (generation > 0 && !full) list.push_back(listed(generation - 1, Lifecycle::removed));
        nodes.apply({generation, full, list, 0});
        REQUIRE(nodes.size() <= 4);
        if (generation == 100) allocated = test::allocated_bytes();
    }
    CHECK(test::allocated_bytes() <= allocated + 1000);
}
