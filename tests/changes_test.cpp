// Changes of configuration: versions and their way back, how far each has come, relays' words, copies.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "changes/change_state.hpp"
#include "changes/gather.hpp"

using namespace tealcart::changes;

namespace {

constexpr Nanos second = 1'000'000'000;

Limits small_limits() {
    Limits l;
    l.lease = 10 * second, l.drift = second, l.forget = 60 * second;
    l.halt_refused = 0.25, l.halt_refused_least = 2;
    return l;
}

struct Changes {
    explicit Changes(Limits limits = small_limits()) : state(limits) {}

    template <typename What>
    std::vector<Effect> tell(What what, std::string id = "") {
        return state.apply({std::move(id), now, std::move(what)});
    }
    std::vector<Effect> set(const std::string& key, const std::string& value) {
        return tell(Publish{"ann", {{key, value}}, {}, {}});
    }
    std::vector<Effect> says(RelayWord word) { return tell(Words{{std::move(word)}}); }
    // The next word of a relay, of all its members.
    RelayWord word(const std::string& relay, std::uint64_t lowest, std::vector<MemberWord> exceptions = {}) {
        return {relay, "z", 1, ++numbers[relay], false, {}, {}, {}, lowest, std::move(exceptions)};
    }
    RelayWord first(const std::string& relay, std::vector<MemberWord> joined, std::uint64_t lowest = 0) {
        RelayWord w = word(relay, lowest);
        w.whole = true;
        w.joined = std::move(joined);
        return w;
    }
    // In steps that are no gap in the agreement.
    std::vector<Effect> pass(Nanos span) {
        std::vector<Effect> all;
        const Nanos until = now + span;
        while (now < until) {
            now = std::min(until, now + second);
            for (Effect& e : tell(Tick{})) all.push_back(std::move(e));
        }
        return all;
    }

    Nanos now = 1000 * second;
    std::map<std::string, std::uint64_t> numbers;
    ChangeState state;
};

MemberWord member(const std::string& name, std::uint64_t acts_on = 0, std::uint64_t life = 1) {
    return {name, life, 3600 * second, acts_on, 0, ""};
}
MemberWord refuses(const std::string& name, std::uint64_t acts_on, std::uint64_t version) {
    return {name, 1, 3600 * second, acts_on, version, "it can't"};
}

using Kinds = std::vector<Effect::Kind>;
Kinds kinds(const std::vector<Effect>& effects) {
    Kinds all;
    for (const Effect& e : effects) all.push_back(e.kind);
    return all;
}
using Names = std::vector<std::string>;

}  // namespace

TEST_CASE("a change makes one version more, and is refused where it is wrong or based on an earlier one") {
    Changes c;
    CHECK(kinds(c.set("a", "1")) == Kinds{Effect::published, Effect::in_force});
    CHECK(c.state.version() == 1);
    CHECK(c.state.document() == Document{{"a", "1"}});
    const auto why = [&](Publish p) {
        const auto effects = c.tell(std::move(p));
        REQUIRE(kinds(effects) == Kinds{Effect::refused});
        return effects[0].why;
    };
    CHECK(why({"ann", {}, {}, {}}) == "nothing would change");
    CHECK(why({"ann", {{"a", "1"}}, {"b"}, {}}) == "nothing would change");
    CHECK(why({"ann", {{"a", "2"}}, {}, 0}) == "based on version 0, the latest is 1");
    CHECK(why({"ann", {{"", "2"}}, {}, {}}) == "a malformed key");
    CHECK(why({"ann", {{"a\n", "2"}}, {}, {}}) == "a malformed key");
    CHECK(why({"ann", {}, {std::string(129, 'k')}, {}}) == "a malformed key");
    CHECK(why({"ann", {{"a", "2"}}, {"a"}, {}}) == "both set and removed: a");
    CHECK(why({"ann", {{"a", std::string(16 * 1024, 'v')}}, {}, {}}) == "longer than 16384 bytes: a");
    std::map<std::string, std::string> many;
    for (int i = 0; i < 1000; ++i) many["k" + std::to_string(i)] = "v";
    CHECK(why({"ann", many, {}, {}}) == "more than 1000 entries");
    CHECK(kinds(c.tell(Publish{"bob", many, {"a"}, 1})) == Kinds{Effect::published, Effect::in_force});
    CHECK(c.state.version() == 2);
    CHECK(c.state.document() == many);
    CHECK(c.state.digest() == digest_of(many));
}

TEST_CASE("a version is in force once every member that lives acts on it or a later one") {
    Changes c;
    CHECK(c.says(c.first("r1", {member("m1"), member("m2")})).empty());
    CHECK(c.says(c.first("r2", {member("m3")})).empty());
    CHECK(kinds(c.set("a", "1")) == Kinds{Effect::published});
    CHECK(c.says(c.word("r1", 1)).empty());
    CHECK(c.says(c.word("r2", 0)).empty());
    CHECK(c.state.reach(1, 10).behind == Names{"m3"});
    const auto done = c.says(c.word("r2", 1));
    CHECK(done == std::vector<Effect>{{Effect::in_force, 1, "", {}}});
    CHECK(c.state.in_force() == 1);
    // Two at once: only the later is told; one member that is behind by name holds it up.
    c.set("a", "2");
    c.set("a", "3");
    CHECK(c.says(c.word("r2", 3)).empty());
    CHECK(c.says(c.word("r1", 3, {member("m2", 1)})).empty());
    CHECK(c.says(c.word("r1", 3, {member("m2", 2)})) == std::vector<Effect>{{Effect::in_force, 2, "", {}}});
    CHECK(c.says(c.word("r1", 3)) == std::vector<Effect>{{Effect::in_force, 3, "", {}}});
}

TEST_CASE(
    "a member whose relay's lease is over holds nothing up, and is named while it may act by what it had") {
    Changes c;
    c.says(c.first("r1", {member("m1")}));
    c.says(c.first("r2", {member("m2")}));
    c.set("a", "1");
    for (int i = 0; i < 11; ++i) {
        c.now += second;
        CHECK(c.says(c.word("r1", 1)).empty());
    }
    c.now += 1;
    CHECK(c.tell(Tick{}) ==
          std::vector<Effect>{{Effect::over, 1, "", {"r2"}}, {Effect::in_force, 1, "", {"m2"}}});
    CHECK(c.state.reach(1, 10).unheard == Names{"m2"});
    // Its relay is back, of the same life: it must say all, since nobody knows what it granted in between.
    CHECK(kinds(c.says(c.word("r2", 1))) == Kinds{Effect::stale});
    CHECK(c.state.last_number("r2", 1) == 0);
    CHECK(c.says(c.first("r2", {member("m2", 1)}, 1)).empty());
    CHECK(c.state.reach(1, 10).unheard.empty());
}

TEST_CASE("a refusal is told once, too many halt, and the way back stays open") {
    Changes c;
    c.says(c.first("r1", {member("m1"), member("m2"), member("m3"), member("m4")}));
    c.set("a", "1");
    c.says(c.word("r1", 1));
    c.set("a", "bad");
    CHECK(c.says(c.word("r1", 2, {refuses("m1", 1, 2)})) ==
          std::vector<Effect>{{Effect::member_refuses, 2, "it can't", {"m1"}}});
    CHECK(c.says(c.word("r1", 2, {refuses("m1", 1, 2)})).empty());
    CHECK(c.state.reach(2, 9).refusing == Names{"m1"});
    const auto halted = c.says(c.word("r1", 2, {refuses("m1", 1, 2), refuses("m3", 1, 2)}));
    CHECK(kinds(halted) == Kinds{Effect::member_refuses, Effect::halted});
    CHECK(halted[1].why == "2 of 4 members refuse version 2");
    CHECK(kinds(c.set("b", "1")) == Kinds{Effect::refused});
    CHECK(kinds(c.tell(GoBack{"ann", 1})) == Kinds{Effect::published});
    CHECK(c.state.version() == 3);
    CHECK(c.state.document() == Document{{"a", "1"}});
    CHECK(c.state.halted());
    CHECK(kinds(c.says(c.word("r1", 3))) == Kinds{Effect::in_force});
    CHECK(c.state.reach(3, 9).refusing.empty());
    CHECK(kinds(c.tell(Resume{})) == Kinds{Effect::resumed});
    CHECK(kinds(c.set("b", "1")) == Kinds{Effect::published});
}
