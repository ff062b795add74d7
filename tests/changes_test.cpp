// Changes of configuration: versions and their way back, how far each has come, relays' words, copies.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "changes/change_state.hpp"
#include "changes/report_aggregator.hpp"
#include "effect_kinds.hpp"

using namespace tealcart::changes;
using tealcart::test::Kinds;
using tealcart::test::kinds;
using tealcart::test::kinds_of;

namespace {

constexpr Nanos second = 1'000'000'000;

Limits small_limits() {
    Limits l;
    l.lease = 10 * second, l.drift = second, l.forget_after = 60 * second;
    l.halt_refused_share = 0.25, l.halt_min_refusals = 2;
    return l;
}

struct Changes {
    explicit Changes(Limits limits = small_limits()) : state(limits) {}

    template <typename What>
    Effects tell(What what, std::string id = "") {
        return state.apply({std::move(id), now, std::move(what)});
    }
    Effects set(const std::string& key, const std::string& value) {
        return tell(Publish{"ann", {{key, value}}, {}, {}});
    }
    Effects says(RelayReport word) { return tell(ReportBatch{{std::move(word)}}); }
    // The next word of a relay, of all its members.
    RelayReport word(const std::string& relay, std::uint64_t lowest,
                     std::vector<MemberReport> exceptions = {}) {
        return {relay, "z", 1, ++numbers[relay], false, {}, {}, {}, lowest, std::move(exceptions)};
    }
    RelayReport first(const std::string& relay, std::vector<MemberReport> joined, std::uint64_t lowest = 0) {
        RelayReport w = word(relay, lowest);
        w.full = true;
        w.joined = std::move(joined);
        return w;
    }
    // In steps that are no gap in the agreement.
    Effects pass(Nanos span) {
        Effects all;
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

MemberReport member(const std::string& name, std::uint64_t applied_version = 0,
                    std::uint64_t incarnation = 1) {
    return {name, incarnation, 3600 * second, applied_version, 0, ""};
}
MemberReport refuses(const std::string& name, std::uint64_t applied_version, std::uint64_t version) {
    return {name, 1, 3600 * second, applied_version, version, "it can't"};
}

using Names = std::vector<std::string>;

}  // namespace

TEST_CASE("a change makes one version more, and is refused where it is wrong or based on an earlier one") {
    Changes c;
    CHECK(kinds(c.set("a", "1")) == kinds_of<Effect, VersionPublished, AppliedEverywhere>());
    CHECK(c.state.version() == 1);
    CHECK(c.state.document() == Document{{"a", "1"}});
    const auto why = [&](Publish p) {
        const auto effects = c.tell(std::move(p));
        REQUIRE(kinds(effects) == kinds_of<Effect, CommandRejected>());
        return std::get<CommandRejected>(effects[0]).reason;
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
    CHECK(kinds(c.tell(Publish{"bob", many, {"a"}, 1})) ==
          kinds_of<Effect, VersionPublished, AppliedEverywhere>());
    CHECK(c.state.version() == 2);
    CHECK(c.state.document() == many);
    CHECK(c.state.digest() == digest_of(many));
}

TEST_CASE("a version is in force once every member that lives acts on it or a later one") {
    Changes c;
    CHECK(c.says(c.first("r1", {member("m1"), member("m2")})).empty());
    CHECK(c.says(c.first("r2", {member("m3")})).empty());
    CHECK(kinds(c.set("a", "1")) == kinds_of<Effect, VersionPublished>());
    CHECK(c.says(c.word("r1", 1)).empty());
    CHECK(c.says(c.word("r2", 0)).empty());
    CHECK(c.state.progress(1, 10).behind == Names{"m3"});
    const auto done = c.says(c.word("r2", 1));
    CHECK(done == Effects{AppliedEverywhere{1, {}}});
    CHECK(c.state.applied_everywhere() == 1);
    // Two at once: only the later is told; one member that is behind by name holds it up.
    c.set("a", "2");
    c.set("a", "3");
    CHECK(c.says(c.word("r2", 3)).empty());
    CHECK(c.says(c.word("r1", 3, {member("m2", 1)})).empty());
    CHECK(c.says(c.word("r1", 3, {member("m2", 2)})) == Effects{AppliedEverywhere{2, {}}});
    CHECK(c.says(c.word("r1", 3)) == Effects{AppliedEverywhere{3, {}}});
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
    CHECK(c.tell(Tick{}) == Effects{RelayLeaseExpired{1, "r2"}, AppliedEverywhere{1, {"m2"}}});
    CHECK(c.state.progress(1, 10).unacknowledged == Names{"m2"});
    // Its relay is back, of the same incarnation: it must say all, since nobody knows what it granted in
    // between.
    CHECK(kinds(c.says(c.word("r2", 1))) == kinds_of<Effect, StaleReport>());
    CHECK(c.state.last_number("r2", 1) == 0);
    CHECK(c.says(c.first("r2", {member("m2", 1)}, 1)).empty());
    CHECK(c.state.progress(1, 10).unacknowledged.empty());
}

TEST_CASE("a refusal is told once, too many halt, and the way back stays open") {
    Changes c;
    c.says(c.first("r1", {member("m1"), member("m2"), member("m3"), member("m4")}));
    c.set("a", "1");
    c.says(c.word("r1", 1));
    c.set("a", "bad");
    CHECK(c.says(c.word("r1", 2, {refuses("m1", 1, 2)})) == Effects{MemberRefused{2, "m1", "it can't"}});
    CHECK(c.says(c.word("r1", 2, {refuses("m1", 1, 2)})).empty());
    CHECK(c.state.progress(2, 9).refusing == Names{"m1"});
    const auto halted = c.says(c.word("r1", 2, {refuses("m1", 1, 2), refuses("m3", 1, 2)}));
    CHECK(kinds(halted) == kinds_of<Effect, MemberRefused, PublishingHalted>());
    CHECK(std::get<PublishingHalted>(halted[1]).reason == "2 of 4 members refuse version 2");
    CHECK(kinds(c.set("b", "1")) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(c.tell(Rollback{"ann", 1})) == kinds_of<Effect, VersionPublished>());
    CHECK(c.state.version() == 3);
    CHECK(c.state.document() == Document{{"a", "1"}});
    CHECK(c.state.halted());
    CHECK(kinds(c.says(c.word("r1", 3))) == kinds_of<Effect, AppliedEverywhere>());
    CHECK(c.state.progress(3, 9).refusing.empty());
    CHECK(kinds(c.tell(Resume{})) == kinds_of<Effect, PublishingResumed>());
    CHECK(kinds(c.set("b", "1")) == kinds_of<Effect, VersionPublished>());
}

TEST_CASE(
    "a relay that starts anew says all; what its life before granted holds its members until it is over") {
    Changes c;
    c.says(c.first("r1", {member("m1"), member("m2")}));
    c.set("a", "1");
    RelayReport again = c.first("r1", {member("m1", 1)}, 1);
    again.incarnation = 2, again.number = 1;
    RelayReport not_whole = again;
    not_whole.full = false;
    CHECK(kinds(c.says(not_whole)) == kinds_of<Effect, StaleReport>());
    CHECK(c.says(again).empty());
    CHECK(c.state.knows_later_incarnation("r1", 1));
    CHECK(c.state.last_number("r1", 2) == 1);
    CHECK(kinds(c.says(c.word("r1", 1))) == kinds_of<Effect, StaleReport>());  // of the incarnation before
    CHECK(c.state.progress(1, 9).behind == Names{"m2"});
    // m2 does not come back: for a lease and its drift from the old incarnation's last word it may go on.
    for (int i = 0; i < 11; ++i) {
        again = c.word("r1", 1);
        again.incarnation = 2;
        c.now += second;
        CHECK(c.says(again).empty());
    }
    c.now += 1;
    CHECK(c.tell(Tick{}) == Effects{AppliedEverywhere{1, {"m2"}}});
}

TEST_CASE("a word that is overtaken or comes again renews nothing and says nothing") {
    Changes c;
    c.says(c.first("r1", {member("m1")}));
    c.set("a", "1");
    const RelayReport early = c.word("r1", 0), late = c.word("r1", 1);
    CHECK(kinds(c.says(late)) == kinds_of<Effect, AppliedEverywhere>());
    c.pass(9 * second);
    CHECK(c.says(early) == Effects{StaleReport{1, "r1", StaleReason::overtaken}});
    CHECK(kinds(c.says(late)) == kinds_of<Effect, StaleReport>());
    CHECK(kinds(c.pass(3 * second)) == kinds_of<Effect, RelayLeaseExpired>());
}

TEST_CASE("a member that turns to another relay lives while either may have granted it something") {
    Changes c;
    c.says(c.first("r1", {member("m1")}));
    c.says(c.first("r2", {member("m2")}));
    c.set("a", "1");
    RelayReport joins = c.word("r2", 1);
    joins.joined = {member("m1", 0)};
    joins.exceptions = {member("m1", 0)};
    CHECK(c.says(joins).empty());
    CHECK(c.state.progress(1, 9).behind == Names{"m1"});
    // The new one loses it; the first one has not.
    RelayReport loses = c.word("r2", 1);
    loses.lost = {{"m1", 1}};
    CHECK(c.says(loses).empty());
    CHECK(c.state.progress(1, 9).live == 2);
    loses = c.word("r1", 1);
    loses.lost = {{"m1", 2}};  // of another incarnation
    loses.exceptions = {member("m1", 0)};
    CHECK(c.says(loses).empty());
    loses = c.word("r1", 1);
    loses.lost = {{"m1", 1}};
    CHECK(c.says(loses) == Effects{AppliedEverywhere{1, {"m1"}}});
    CHECK(c.state.progress(1, 9).unacknowledged == Names{"m1"});
    // A version that either relay says of it is one that it acts on.
    joins = c.word("r1", 0);
    joins.joined = {member("m1", 0)};
    c.says(joins);
    CHECK(c.state.progress(1, 9).behind == Names{"m1"});
    joins = c.word("r2", 1);
    joins.joined = {member("m1", 0)};
    c.says(joins);
    CHECK(c.state.progress(1, 9).behind.empty());
}

TEST_CASE(
    "a farewell ends a life; a later life knows nothing of the one before, an earlier one is not taken") {
    Changes c;
    c.says(c.first("r1", {member("m1"), member("m2")}));
    c.set("a", "1");
    RelayReport w = c.word("r1", 1, {member("m1")});
    w.left = {{"m1", 1}};
    CHECK(c.says(w) == Effects{AppliedEverywhere{1, {}}});
    CHECK(c.state.progress(1, 9).unacknowledged.empty());
    w = c.word("r1", 1, {member("m1", 0, 2)});
    w.joined = {member("m1", 0, 2)};
    CHECK(c.says(w).empty());
    CHECK(c.state.progress(1, 9).behind == Names{"m1"});
    CHECK(c.state.applied_everywhere() == 1);  // it was, of those that lived
    RelayReport other = c.first("r2", {member("m1", 1, 1)}, 1);
    CHECK(c.says(other) == Effects{StaleReport{1, "m1", StaleReason::earlier_incarnation}});
    CHECK(c.state.progress(1, 9).behind == Names{"m1"});
    CHECK(kinds(c.tell(Forget{"m1"})) == kinds_of<Effect, CommandRejected>());
    w = c.word("r1", 1);
    w.lost = {{"m1", 2}};
    c.says(w);
    CHECK(c.state.progress(1, 9).unacknowledged == Names{"m1"});
    CHECK(kinds(c.tell(Forget{"m1"})) == kinds_of<Effect, MemberForgotten>());
    CHECK(c.state.members() == 1);
    CHECK(kinds(c.tell(Forget{"m1"})) == kinds_of<Effect, CommandRejected>());
}

TEST_CASE("time without agreement is given back, and nothing is told in force until all could speak") {
    Changes c;
    c.says(c.first("r1", {member("m1")}));
    c.says(c.first("r2", {member("m2")}));
    c.set("a", "1");
    c.now += 30 * second;
    CHECK(c.says(c.word("r1", 1)).empty());
    CHECK(c.says(c.word("r2", 1)).empty());
    CHECK(c.state.progress(1, 9).live == 2);
    c.now -= 5 * second;  // a leader whose clock is behind: time stands
    c.tell(Tick{});
    CHECK(c.state.now() == 1030 * second);
    c.now += 5 * second;
    Kinds told;
    Nanos told_at = 0;
    for (int i = 0; i < 24; ++i) {
        c.now += second / 2;
        for (const RelayReport& w : {c.word("r1", 1), c.word("r2", 1)})
            for (const Effect& e : c.says(w)) told.push_back(e.index()), told_at = c.now;
    }
    CHECK(told == kinds_of<Effect, AppliedEverywhere>());
    CHECK(told_at == 1041 * second);
}

TEST_CASE("what no agreed version can be counts as none") {
    Changes c;
    c.says(c.first("r1", {member("m1", 7), member("m2", 1)}, 9));
    c.set("a", "1");
    CHECK(c.state.applied_everywhere() == 0);
    CHECK(c.state.progress(1, 9).behind == Names{"m1", "m2"});
    CHECK(kinds(c.says(c.word("r1", 1))) == kinds_of<Effect, AppliedEverywhere>());
}

TEST_CASE("a version is gone back to as far as it is kept; versions never go backward nor skip") {
    Limits l = small_limits();
    l.max_kept = 4;
    Changes c(l);
    std::vector<Document> all{{}};
    for (int i = 1; i <= 6; ++i) {
        c.tell(
            Publish{"ann", {{"k" + std::to_string(i % 3), std::to_string(i)}}, {i == 5 ? "k1" : "k9"}, {}});
        all.push_back(c.state.document());
    }
    CHECK(kinds(c.tell(Rollback{"ann", 0})) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(c.tell(Rollback{"ann", 2})) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(c.tell(Rollback{"ann", 7})) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(c.tell(Rollback{"ann", 6})) == kinds_of<Effect, CommandRejected>());  // nothing would change
    CHECK(c.tell(Rollback{"ann", 3})[0] == Effect{VersionPublished{7}});
    CHECK(c.state.document() == all[3]);
    CHECK_FALSE(c.state.since(2).has_value());
    REQUIRE(c.state.since(3).has_value());
    CHECK_FALSE(c.state.since(8).has_value());
    CHECK(c.state.since(7)->empty());
    const auto history = c.state.history(2);
    REQUIRE(history.size() == 2);
    CHECK(history[0].version == 7);
    CHECK(history[0].requested_by == "ann");
    CHECK(history[0].applied_everywhere);
    // Of long deltas fewer are kept, the latest always.
    l.max_kept_bytes = 1;
    c.tell(SetLimits{l});
    CHECK(c.state.history(9).size() == 1);
    CHECK(kinds(c.tell(Rollback{"ann", 5})) == kinds_of<Effect, CommandRejected>());
}

TEST_CASE("too many members, relays or malformed names: the word is not taken") {
    Limits l = small_limits();
    l.max_members = 2, l.max_relays = 1;
    Changes c(l);
    const auto why = [&](const RelayReport& w) {
        const auto effects = c.says(w);
        return effects.empty() ? std::string() : describe(std::get<StaleReport>(effects[0]).reason);
    };
    CHECK(why(c.first("r1", {member("m1"), member("m2"), member("m3")})) == "no room for so many members");
    CHECK(why(c.first("r1", {member("m1"), member("")})) == "malformed");
    CHECK(why(c.first("r1", {member("m1"), member(std::string(200, 'm'))})) == "malformed");
    CHECK(why(c.first("r1", {member("m1"), member("m2")})).empty());
    CHECK(why(c.first("r2", {})) == "no room for so many relays");
    CHECK(c.state.members() == 2);
}

TEST_CASE("commands and states of changes of another form or noise are told, not read") {
    Changes c;
    c.says(c.first("r1", {member("m1")}));
    c.set("a", "1");
    ChangeState read{Limits{}};
    auto bytes = c.state.save();
    read.load(bytes);
    CHECK(read.save() == bytes);
    CHECK(read.limits() == small_limits());
    std::knuth_b random(1);
    for (int i = 0; i < 2000; ++i) {
        auto noise = i % 2 == 0 ? bytes : write_command({"i", 1, Publish{"ann", {{"a", "1"}}, {"b"}, 3}});
        for (int n = 0; n < 3; ++n) noise[random() % noise.size()] = static_cast<std::uint8_t>(random());
        if (i % 3 == 0) noise.resize(random() % noise.size());
        try {
            if (i % 2 == 0)
                ChangeState(Limits{}).load(noise);
            else
                read_command(noise.data(), noise.size());
        } catch (const std::runtime_error&) {
        }
    }
    CHECK_THROWS_AS(read.load({}), std::runtime_error);
    CHECK_THROWS_AS(read_command(bytes.data(), bytes.size()), std::runtime_error);
}

TEST_CASE("a relay's word costs what it states, not what it has") {
    std::vector<std::uint64_t> plain, one_behind, raised;
    for (const int relays : {1, 12}) {
        Changes c;
        for (int r = 0; r < relays; ++r) {
            std::vector<MemberReport> all;
            for (int m = 0; m < 300; ++m)
                all.push_back(member("m" + std::to_string(r) + "-" + std::to_string(m)));
            c.says(c.first("r" + std::to_string(r), all));
        }
        c.set("a", "1");
        c.says(c.word("r0", 0));
        plain.push_back(c.state.visited_count());
        c.says(c.word("r0", 1, {member("m0-7")}));
        one_behind.push_back(c.state.visited_count());
        c.says(c.word("r0", 1));
        raised.push_back(c.state.visited_count());
        CHECK(c.state.applied_everywhere() == (relays == 1 ? 1 : 0));
        CHECK(c.state.progress(1, 0).live == 300u * static_cast<unsigned>(relays));
    }
    CHECK(plain == std::vector<std::uint64_t>{1, 1});
    CHECK(one_behind[0] == one_behind[1]);
    CHECK(one_behind[0] <= 3);
    CHECK(raised[0] == raised[1]);
    CHECK(raised[0] <= 3);
}

TEST_CASE("a copy takes each version over as a whole or not at all, and never goes backward") {
    std::size_t taken = 0, spoilt = 0, gaps = 0, by_pages = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::knuth_b random(seed);
        const auto below = [&](std::uint64_t n) { return random() % n; };
        Limits l = small_limits();
        l.max_kept = 8;
        Changes c(l);
        std::vector<Document> all{{}};
        DocumentCopy copy;
        std::vector<Delta> deltas;  // that were on the way once
        std::vector<Page> pages;
        for (int step = 0; step < 400; ++step) {
            if (below(4) == 0) {
                Publish p{"ann", {{"k" + std::to_string(below(20)), std::to_string(below(50))}}, {}, {}};
                if (below(3) == 0) p.removed.insert("x" + std::to_string(below(5)));
                if (below(3) == 0) p.set["x" + std::to_string(5 + below(5))] = "y";
                c.tell(p);
                if (c.state.version() == all.size()) all.push_back(c.state.document());
            }
            const std::uint64_t from = below(2) == 0 ? copy.version() : below(c.state.version() + 1);
            if (const auto delta = c.state.since(from)) deltas.push_back(*delta);
            pages.push_back(c.state.page(below(3) == 0 ? "" : copy.next_page_after(), 1 + below(60)));
            const std::uint64_t was = copy.version();
            DocumentCopy::ApplyResult came;
            if (below(2) == 0 && !deltas.empty()) {
                Delta d = below(3) == 0 ? deltas[below(deltas.size())] : deltas.back();
                if (below(8) == 0 && !d.set.empty()) d.set.begin()->second += "!";
                if (below(8) == 0) d.digest ^= 1;
                if (below(12) == 0) d.removed.insert("k3");
                came = copy.apply(d);
                if (came == DocumentCopy::ApplyResult::gap) CHECK(copy.needs_pages());
            } else {
                Page p = below(3) == 0 ? pages[below(pages.size())] : pages.back();
                if (below(8) == 0 && !p.entries.empty()) p.entries.begin()->second += "!";
                if (below(12) == 0) p.last = true;
                came = copy.apply(p);
                by_pages += came == DocumentCopy::ApplyResult::applied;
            }
            taken += came == DocumentCopy::ApplyResult::applied;
            spoilt += came == DocumentCopy::ApplyResult::corrupt;
            gaps += came == DocumentCopy::ApplyResult::gap;
            REQUIRE(copy.version() >= was);
            REQUIRE((came == DocumentCopy::ApplyResult::applied) == (copy.version() > was));
            REQUIRE(copy.document() == all[copy.version()]);
            REQUIRE(copy.digest() == digest_of(all[copy.version()]));
        }
        // By pages alone, while nothing changes.
        DocumentCopy fresh;
        for (int i = 0; i < 100 && fresh.version() == 0; ++i)
            fresh.apply(c.state.page(fresh.next_page_after(), 40));
        CHECK(fresh.document() == c.state.document());
        CHECK_FALSE(fresh.needs_pages());
    }
    CHECK(taken > 1000);
    CHECK(by_pages > 100);
    CHECK(spoilt > 500);
    CHECK(gaps > 100);
}

TEST_CASE("pages that are too long, out of order or without an end are not taken") {
    DocumentCopy copy(8);
    CHECK(copy.apply(Page{1, digest_of({{"a", "12345678"}}), "", {{"a", "12345678"}}, true}) ==
          DocumentCopy::ApplyResult::corrupt);
    CHECK(copy.apply(Page{1, 5, "", {}, false}) == DocumentCopy::ApplyResult::corrupt);
    CHECK(copy.apply(Page{2, 5, "", {{"a", "1"}}, false}) == DocumentCopy::ApplyResult::incomplete);
    CHECK(copy.next_page_after() == "a");
    CHECK(copy.apply(Page{2, 5, "b", {{"c", "1"}}, false}) ==
          DocumentCopy::ApplyResult::incomplete);  // one is missing
    CHECK(copy.next_page_after() == "a");
    CHECK(copy.apply(Page{2, 5, "a", {{"a", "1"}}, false}) == DocumentCopy::ApplyResult::corrupt);
    CHECK(copy.next_page_after().empty());
    // Another relay that is not so far.
    const std::uint64_t digest = digest_of({{"a", "1"}});
    CHECK(copy.apply(Page{9, 5, "", {{"a", "1"}}, false}) == DocumentCopy::ApplyResult::incomplete);
    CHECK(copy.apply(Page{3, digest, "", {{"a", "1"}}, true}) == DocumentCopy::ApplyResult::applied);
    CHECK(copy.version() == 3);
    CHECK(copy.apply(Page{3, digest, "", {{"a", "1"}}, true}) == DocumentCopy::ApplyResult::unchanged);
    CHECK(copy.apply(Delta{5, 6, {{"b", "1"}}, {}, 0}) == DocumentCopy::ApplyResult::gap);
    CHECK(copy.apply(Delta{3, 4, {{"b", "1"}}, {"b"}, 0}) == DocumentCopy::ApplyResult::corrupt);
}

TEST_CASE("a relay grants what is left of its own lease, to members that the stewards know") {
    ReportAggregator g("r1", "z", 1, 10, 2);
    REQUIRE(g.record_report(0, member("m1")));
    CHECK(g.grant_lease(0, "m1") == 0);
    const RelayReport first = g.next_report(0, second);
    CHECK(first.full);
    CHECK(first.joined.size() == 1);
    REQUIRE(g.record_report(second, member("m2", 3)));
    const RelayReport next = g.next_report(second, second);
    CHECK(next.number == 2);
    CHECK(next.full);
    CHECK(next.joined.size() == 2);
    CHECK(g.next_report(second, second) == next);  // nothing new
    // Sent a second time later, it still counts from when it was made.
    g.acknowledge(1, 4 * second, 10 * second);
    CHECK(g.grant_lease(5 * second, "m1") == 5 * second);
    CHECK(g.grant_lease(5 * second, "m2") == 0);
    g.acknowledge(2, second, 10 * second);
    CHECK(g.grant_lease(5 * second, "m2") == 6 * second);
    CHECK(g.grant_lease(11 * second, "m2") == 0);
    CHECK(g.grant_lease(5 * second, "m3") == 0);
    const RelayReport plain = g.next_report(6 * second, second);
    CHECK_FALSE(plain.full);
    CHECK(plain.joined.empty());
    CHECK(plain.number == 3);
    // The managers know nothing of it: all is said again, and nothing granted until they took it.
    g.require_full_report();
    CHECK(g.grant_lease(6 * second, "m1") == 0);
    const RelayReport all = g.next_report(6 * second, second);
    CHECK(all.full);
    CHECK(all.joined.size() == 2);
    g.acknowledge(3, 6 * second, 10 * second);
    CHECK(g.grant_lease(6 * second, "m1") == 0);
    g.acknowledge(all.number, 6 * second, 10 * second);
    CHECK(g.grant_lease(6 * second, "m1") == 10 * second);
}

TEST_CASE("a relay says who is lost once what it granted and the drift are over, and who left") {
    ReportAggregator g("r1", "z", 1, 3, 2);
    for (const char* name : {"m1", "m2", "m3"}) REQUIRE(g.record_report(0, member(name)));
    CHECK_FALSE(g.record_report(0, member("m4")));
    g.acknowledge(g.next_report(0, second).number, 0, 10 * second);
    for (const char* name : {"m1", "m2", "m3"}) CHECK(g.grant_lease(second, name) == 9 * second);
    g.record_leave("m3", 1);
    REQUIRE(g.record_report(5 * second, member("m2")));
    RelayReport w = g.next_report(11 * second, second);
    CHECK(w.left == std::vector<std::pair<std::string, std::uint64_t>>{{"m3", 1}});
    CHECK(w.lost.empty());
    w = g.next_report(11 * second + 1, second);
    CHECK(w.lost == std::vector<std::pair<std::string, std::uint64_t>>{{"m1", 1}});
    CHECK(g.members() == 1);
    // Back before the managers took that: then it is not lost but joined.
    REQUIRE(g.record_report(12 * second, member("m1")));
    const RelayReport back = g.next_report(12 * second, second);
    CHECK(back.lost.empty());
    CHECK(back.joined == std::vector<MemberReport>{member("m1")});
    g.acknowledge(w.number, 11 * second, 10 * second);
    CHECK(g.grant_lease(12 * second, "m1") == 0);
    g.acknowledge(back.number, 12 * second, 10 * second);
    CHECK(g.grant_lease(12 * second, "m1") > 0);
    CHECK(g.next_report(13 * second, second).left.empty());
    // An earlier incarnation says nothing, a later one is joined anew.
    CHECK(g.record_report(13 * second, member("m1", 2, 2)));
    CHECK_FALSE(g.record_report(13 * second, member("m1", 3, 1)));
    CHECK(g.grant_lease(13 * second, "m1") == 0);
    g.record_leave("m1", 1);
    CHECK(g.members() == 2);
}

TEST_CASE("where there are more exceptions than are named, the lowest version holds for those that aren't") {
    ReportAggregator g("r1", "z", 1, 100, 2);
    CHECK(g.lowest() == 0);
    for (std::uint64_t i = 0; i < 6; ++i)
        REQUIRE(g.record_report(0, member("m" + std::to_string(i), i < 4 ? i : 9)));
    RelayReport w = g.next_report(0, second);
    CHECK(w.lowest == 2);
    CHECK(w.exceptions == std::vector<MemberReport>{member("m0", 0), member("m1", 1)});
    REQUIRE(g.record_report(0, member("m2", 9)));
    REQUIRE(g.record_report(0, member("m3", 9)));
    CHECK(g.next_report(0, second).lowest == 9);
    // A word that was overtaken says nothing.
    REQUIRE(g.record_report(0, member("m2", 4)));
    CHECK(g.next_report(0, second).lowest == 9);
    // Who refuses is named as far as there is room, also where no version is lower.
    ReportAggregator all("r1", "z", 1, 100, 2);
    for (int i = 0; i < 4; ++i) REQUIRE(all.record_report(0, refuses("m" + std::to_string(i), 5, 6)));
    w = all.next_report(0, second);
    CHECK(w.lowest == 5);
    CHECK(w.exceptions.size() == 2);
}

TEST_CASE("a long reason is cut between two characters, a name that is too long is not heard") {
    CHECK(truncate_utf8("abc", 3) == "abc");
    CHECK(truncate_utf8("a\xc3\xa4\xc3\xa4", 4) == "a\xc3\xa4");
    CHECK(truncate_utf8("a\xc3\xa4\xc3\xa4", 3) == "a\xc3\xa4");
    MemberReport w = refuses("m1", 0, 1);
    w.refusal_reason.clear();
    for (int i = 0; i < 200; ++i) w.refusal_reason += "\xe2\x82\xac";
    Changes c;
    c.says(c.first("r1", {member("m1")}));
    c.set("a", "1");
    const auto told = c.says(c.word("r1", 1, {w}));
    REQUIRE(told.size() >= 1);
    CHECK(std::get<MemberRefused>(told[0]).reason.size() == 255);
    ReportAggregator g("r1", "z", 1, 10, 2);
    CHECK_FALSE(g.record_report(0, member("")));
    CHECK_FALSE(g.record_report(0, member(std::string(129, 'm'))));
    REQUIRE(g.record_report(0, w));
    CHECK(g.next_report(0, second).joined.at(0).refusal_reason.size() == 255);
}
