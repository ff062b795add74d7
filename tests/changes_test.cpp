// Tests of the replicated state of configuration changes: versions and rollbacks, rollout progress, relay
// reports, and the copies of followers.
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
    Limits limits;
    limits.lease = 10 * second, limits.drift = second, limits.forget_after = 60 * second;
    limits.halt_refused_share = 0.25, limits.halt_min_refusals = 2;
    return limits;
}

// A ChangeState with a clock and helpers to build commands.
struct ChangeFixture {
    explicit ChangeFixture(Limits limits = small_limits()) : state(limits) {}

    template <typename Payload>
    Effects apply(Payload payload, std::string id = "") {
        return state.apply({std::move(id), now, std::move(payload)});
    }
    Effects set_entry(const std::string& key, const std::string& value) {
        return apply(Publish{"ann", {{key, value}}, {}, {}});
    }
    Effects apply_report(RelayReport report) { return apply(ReportBatch{{std::move(report)}}); }
    // The relay's next report, which covers all its members.
    RelayReport next_report(const std::string& relay, std::uint64_t lowest,
                            std::vector<MemberReport> exceptions = {}) {
        return {relay, "z", 1, ++report_numbers[relay], false, {}, {}, {}, lowest, std::move(exceptions)};
    }
    RelayReport full_report(const std::string& relay, std::vector<MemberReport> joined,
                            std::uint64_t lowest = 0) {
        RelayReport report = next_report(relay, lowest);
        report.full = true;
        report.joined = std::move(joined);
        return report;
    }
    // Advances the time in steps small enough not to count as an interruption of the consensus.
    Effects advance(Nanos span) {
        Effects effects;
        const Nanos end = now + span;
        while (now < end) {
            now = std::min(end, now + second);
            for (Effect& effect : apply(Tick{})) effects.push_back(std::move(effect));
        }
        return effects;
    }

    Nanos now = 1000 * second;
    std::map<std::string, std::uint64_t> report_numbers;
    ChangeState state;
};

MemberReport member_report(const std::string& name, std::uint64_t applied_version = 0,
                           std::uint64_t incarnation = 1) {
    return {name, incarnation, 3600 * second, applied_version, 0, ""};
}
MemberReport refusing_report(const std::string& name, std::uint64_t applied_version, std::uint64_t version) {
    return {name, 1, 3600 * second, applied_version, version, "it can't"};
}

using Names = std::vector<std::string>;

}  // namespace

TEST_CASE(
    "a publish creates the next version; an invalid one, or one based on an earlier version, is rejected") {
    ChangeFixture changes;
    CHECK(kinds(changes.set_entry("a", "1")) == kinds_of<Effect, VersionPublished, AppliedEverywhere>());
    CHECK(changes.state.version() == 1);
    CHECK(changes.state.document() == Document{{"a", "1"}});
    const auto reason_of = [&](Publish publish) {
        const auto effects = changes.apply(std::move(publish));
        REQUIRE(kinds(effects) == kinds_of<Effect, CommandRejected>());
        return std::get<CommandRejected>(effects[0]).reason;
    };
    CHECK(reason_of({"ann", {}, {}, {}}) == "nothing would change");
    CHECK(reason_of({"ann", {{"a", "1"}}, {"b"}, {}}) == "nothing would change");
    CHECK(reason_of({"ann", {{"a", "2"}}, {}, 0}) == "based on version 0, the latest is 1");
    CHECK(reason_of({"ann", {{"", "2"}}, {}, {}}) == "a malformed key");
    CHECK(reason_of({"ann", {{"a\n", "2"}}, {}, {}}) == "a malformed key");
    CHECK(reason_of({"ann", {}, {std::string(129, 'k')}, {}}) == "a malformed key");
    CHECK(reason_of({"ann", {{"a", "2"}}, {"a"}, {}}) == "both set and removed: a");
    CHECK(reason_of({"ann", {{"a", std::string(16 * 1024, 'v')}}, {}, {}}) == "longer than 16384 bytes: a");
    std::map<std::string, std::string> many;
    for (int i = 0; i < 1000; ++i) many["k" + std::to_string(i)] = "v";
    CHECK(reason_of({"ann", many, {}, {}}) == "more than 1000 entries");
    CHECK(kinds(changes.apply(Publish{"bob", many, {"a"}, 1})) ==
          kinds_of<Effect, VersionPublished, AppliedEverywhere>());
    CHECK(changes.state.version() == 2);
    CHECK(changes.state.document() == many);
    CHECK(changes.state.digest() == digest_of(many));
}

TEST_CASE("a version is applied everywhere once every live member acts on it or a later one") {
    ChangeFixture changes;
    CHECK(
        changes.apply_report(changes.full_report("r1", {member_report("m1"), member_report("m2")})).empty());
    CHECK(changes.apply_report(changes.full_report("r2", {member_report("m3")})).empty());
    CHECK(kinds(changes.set_entry("a", "1")) == kinds_of<Effect, VersionPublished>());
    CHECK(changes.apply_report(changes.next_report("r1", 1)).empty());
    CHECK(changes.apply_report(changes.next_report("r2", 0)).empty());
    CHECK(changes.state.progress(1, 10).behind == Names{"m3"});
    const auto done = changes.apply_report(changes.next_report("r2", 1));
    CHECK(done == Effects{AppliedEverywhere{1, {}}});
    CHECK(changes.state.applied_everywhere() == 1);
    // Of two versions applied at once only the later is reported; a member listed as lagging holds it up.
    changes.set_entry("a", "2");
    changes.set_entry("a", "3");
    CHECK(changes.apply_report(changes.next_report("r2", 3)).empty());
    CHECK(changes.apply_report(changes.next_report("r1", 3, {member_report("m2", 1)})).empty());
    CHECK(changes.apply_report(changes.next_report("r1", 3, {member_report("m2", 2)})) ==
          Effects{AppliedEverywhere{2, {}}});
    CHECK(changes.apply_report(changes.next_report("r1", 3)) == Effects{AppliedEverywhere{3, {}}});
}

TEST_CASE(
    "a member whose relay's lease has expired holds nothing up, and is listed while it may act on an old "
    "version") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1")}));
    changes.apply_report(changes.full_report("r2", {member_report("m2")}));
    changes.set_entry("a", "1");
    for (int i = 0; i < 11; ++i) {
        changes.now += second;
        CHECK(changes.apply_report(changes.next_report("r1", 1)).empty());
    }
    changes.now += 1;
    CHECK(changes.apply(Tick{}) == Effects{RelayLeaseExpired{1, "r2"}, AppliedEverywhere{1, {"m2"}}});
    CHECK(changes.state.progress(1, 10).unacknowledged == Names{"m2"});
    // The relay reports again under the same incarnation. Its report has to be full, since nobody knows which
    // leases it granted in between.
    CHECK(kinds(changes.apply_report(changes.next_report("r2", 1))) == kinds_of<Effect, StaleReport>());
    CHECK(changes.state.last_number("r2", 1) == 0);
    CHECK(changes.apply_report(changes.full_report("r2", {member_report("m2", 1)}, 1)).empty());
    CHECK(changes.state.progress(1, 10).unacknowledged.empty());
}

TEST_CASE("a refusal is reported once; too many refusals halt publishing but still allow a rollback") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report(
        "r1", {member_report("m1"), member_report("m2"), member_report("m3"), member_report("m4")}));
    changes.set_entry("a", "1");
    changes.apply_report(changes.next_report("r1", 1));
    changes.set_entry("a", "bad");
    CHECK(changes.apply_report(changes.next_report("r1", 2, {refusing_report("m1", 1, 2)})) ==
          Effects{MemberRefused{2, "m1", "it can't"}});
    CHECK(changes.apply_report(changes.next_report("r1", 2, {refusing_report("m1", 1, 2)})).empty());
    CHECK(changes.state.progress(2, 9).refusing == Names{"m1"});
    const auto halted = changes.apply_report(
        changes.next_report("r1", 2, {refusing_report("m1", 1, 2), refusing_report("m3", 1, 2)}));
    CHECK(kinds(halted) == kinds_of<Effect, MemberRefused, PublishingHalted>());
    CHECK(std::get<PublishingHalted>(halted[1]).reason == "2 of 4 members refuse version 2");
    CHECK(kinds(changes.set_entry("b", "1")) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(changes.apply(Rollback{"ann", 1})) == kinds_of<Effect, VersionPublished>());
    CHECK(changes.state.version() == 3);
    CHECK(changes.state.document() == Document{{"a", "1"}});
    CHECK(changes.state.halted());
    CHECK(kinds(changes.apply_report(changes.next_report("r1", 3))) == kinds_of<Effect, AppliedEverywhere>());
    CHECK(changes.state.progress(3, 9).refusing.empty());
    CHECK(kinds(changes.apply(Resume{})) == kinds_of<Effect, PublishingResumed>());
    CHECK(kinds(changes.set_entry("b", "1")) == kinds_of<Effect, VersionPublished>());
}

TEST_CASE(
    "a restarted relay has to send a full report; leases of its previous incarnation stay valid until they "
    "end") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1"), member_report("m2")}));
    changes.set_entry("a", "1");
    RelayReport restarted_report = changes.full_report("r1", {member_report("m1", 1)}, 1);
    restarted_report.incarnation = 2, restarted_report.number = 1;
    RelayReport partial_report = restarted_report;
    partial_report.full = false;
    CHECK(kinds(changes.apply_report(partial_report)) == kinds_of<Effect, StaleReport>());
    CHECK(changes.apply_report(restarted_report).empty());
    CHECK(changes.state.knows_later_incarnation("r1", 1));
    CHECK(changes.state.last_number("r1", 2) == 1);
    CHECK(kinds(changes.apply_report(changes.next_report("r1", 1))) ==
          kinds_of<Effect, StaleReport>());  // of the previous incarnation
    CHECK(changes.state.progress(1, 9).behind == Names{"m2"});
    // m2 does not report again, so it may act on the old version for a lease and the drift after the old
    // incarnation's last report.
    for (int i = 0; i < 11; ++i) {
        restarted_report = changes.next_report("r1", 1);
        restarted_report.incarnation = 2;
        changes.now += second;
        CHECK(changes.apply_report(restarted_report).empty());
    }
    changes.now += 1;
    CHECK(changes.apply(Tick{}) == Effects{AppliedEverywhere{1, {"m2"}}});
}

TEST_CASE("a report that is overtaken or duplicated renews no lease and changes nothing") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1")}));
    changes.set_entry("a", "1");
    const RelayReport early = changes.next_report("r1", 0), late = changes.next_report("r1", 1);
    CHECK(kinds(changes.apply_report(late)) == kinds_of<Effect, AppliedEverywhere>());
    changes.advance(9 * second);
    CHECK(changes.apply_report(early) == Effects{StaleReport{1, "r1", StaleReason::overtaken}});
    CHECK(kinds(changes.apply_report(late)) == kinds_of<Effect, StaleReport>());
    CHECK(kinds(changes.advance(3 * second)) == kinds_of<Effect, RelayLeaseExpired>());
}

TEST_CASE(
    "a member that switches to another relay stays live while either relay may have granted it a lease") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1")}));
    changes.apply_report(changes.full_report("r2", {member_report("m2")}));
    changes.set_entry("a", "1");
    RelayReport joining_report = changes.next_report("r2", 1);
    joining_report.joined = {member_report("m1", 0)};
    joining_report.exceptions = {member_report("m1", 0)};
    CHECK(changes.apply_report(joining_report).empty());
    CHECK(changes.state.progress(1, 9).behind == Names{"m1"});
    // The new relay reports it as lost; the first one has not.
    RelayReport losing_report = changes.next_report("r2", 1);
    losing_report.lost = {{"m1", 1}};
    CHECK(changes.apply_report(losing_report).empty());
    CHECK(changes.state.progress(1, 9).live == 2);
    losing_report = changes.next_report("r1", 1);
    losing_report.lost = {{"m1", 2}};  // of another incarnation
    losing_report.exceptions = {member_report("m1", 0)};
    CHECK(changes.apply_report(losing_report).empty());
    losing_report = changes.next_report("r1", 1);
    losing_report.lost = {{"m1", 1}};
    CHECK(changes.apply_report(losing_report) == Effects{AppliedEverywhere{1, {"m1"}}});
    CHECK(changes.state.progress(1, 9).unacknowledged == Names{"m1"});
    // A version that either of its relays reports counts as applied.
    joining_report = changes.next_report("r1", 0);
    joining_report.joined = {member_report("m1", 0)};
    changes.apply_report(joining_report);
    CHECK(changes.state.progress(1, 9).behind == Names{"m1"});
    joining_report = changes.next_report("r2", 1);
    joining_report.joined = {member_report("m1", 0)};
    changes.apply_report(joining_report);
    CHECK(changes.state.progress(1, 9).behind.empty());
}

TEST_CASE(
    "a member that leaves ends its incarnation; a later one starts from nothing, an earlier one is "
    "rejected") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1"), member_report("m2")}));
    changes.set_entry("a", "1");
    RelayReport report = changes.next_report("r1", 1, {member_report("m1")});
    report.left = {{"m1", 1}};
    CHECK(changes.apply_report(report) == Effects{AppliedEverywhere{1, {}}});
    CHECK(changes.state.progress(1, 9).unacknowledged.empty());
    report = changes.next_report("r1", 1, {member_report("m1", 0, 2)});
    report.joined = {member_report("m1", 0, 2)};
    CHECK(changes.apply_report(report).empty());
    CHECK(changes.state.progress(1, 9).behind == Names{"m1"});
    CHECK(changes.state.applied_everywhere() == 1);  // it was applied by all that were live then
    RelayReport other = changes.full_report("r2", {member_report("m1", 1, 1)}, 1);
    CHECK(changes.apply_report(other) == Effects{StaleReport{1, "m1", StaleReason::earlier_incarnation}});
    CHECK(changes.state.progress(1, 9).behind == Names{"m1"});
    CHECK(kinds(changes.apply(Forget{"m1"})) == kinds_of<Effect, CommandRejected>());
    report = changes.next_report("r1", 1);
    report.lost = {{"m1", 2}};
    changes.apply_report(report);
    CHECK(changes.state.progress(1, 9).unacknowledged == Names{"m1"});
    CHECK(kinds(changes.apply(Forget{"m1"})) == kinds_of<Effect, MemberForgotten>());
    CHECK(changes.state.members() == 1);
    CHECK(kinds(changes.apply(Forget{"m1"})) == kinds_of<Effect, CommandRejected>());
}

TEST_CASE("an interruption extends leases, and no version is applied everywhere until all could report") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1")}));
    changes.apply_report(changes.full_report("r2", {member_report("m2")}));
    changes.set_entry("a", "1");
    changes.now += 30 * second;
    CHECK(changes.apply_report(changes.next_report("r1", 1)).empty());
    CHECK(changes.apply_report(changes.next_report("r2", 1)).empty());
    CHECK(changes.state.progress(1, 9).live == 2);
    changes.now -= 5 * second;  // a new leader whose clock is behind: the agreed time stays
    changes.apply(Tick{});
    CHECK(changes.state.now() == 1030 * second);
    changes.now += 5 * second;
    Kinds effects;
    Nanos effect_at = 0;
    for (int i = 0; i < 24; ++i) {
        changes.now += second / 2;
        for (const RelayReport& report : {changes.next_report("r1", 1), changes.next_report("r2", 1)})
            for (const Effect& effect : changes.apply_report(report))
                effects.push_back(effect.index()), effect_at = changes.now;
    }
    CHECK(effects == kinds_of<Effect, AppliedEverywhere>());
    CHECK(effect_at == 1041 * second);
}

TEST_CASE("a reported version that was never published counts as none") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1", 7), member_report("m2", 1)}, 9));
    changes.set_entry("a", "1");
    CHECK(changes.state.applied_everywhere() == 0);
    CHECK(changes.state.progress(1, 9).behind == Names{"m1", "m2"});
    CHECK(kinds(changes.apply_report(changes.next_report("r1", 1))) == kinds_of<Effect, AppliedEverywhere>());
}

TEST_CASE("a rollback is possible to any retained version; version numbers neither go back nor skip") {
    Limits limits = small_limits();
    limits.max_kept = 4;
    ChangeFixture changes(limits);
    std::vector<Document> documents{{}};
    for (int i = 1; i <= 6; ++i) {
        changes.apply(
            Publish{"ann", {{"k" + std::to_string(i % 3), std::to_string(i)}}, {i == 5 ? "k1" : "k9"}, {}});
        documents.push_back(changes.state.document());
    }
    CHECK(kinds(changes.apply(Rollback{"ann", 0})) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(changes.apply(Rollback{"ann", 2})) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(changes.apply(Rollback{"ann", 7})) == kinds_of<Effect, CommandRejected>());
    CHECK(kinds(changes.apply(Rollback{"ann", 6})) ==
          kinds_of<Effect, CommandRejected>());  // nothing would change
    CHECK(changes.apply(Rollback{"ann", 3})[0] == Effect{VersionPublished{7}});
    CHECK(changes.state.document() == documents[3]);
    CHECK_FALSE(changes.state.since(2).has_value());
    REQUIRE(changes.state.since(3).has_value());
    CHECK_FALSE(changes.state.since(8).has_value());
    CHECK(changes.state.since(7)->empty());
    const auto history = changes.state.history(2);
    REQUIRE(history.size() == 2);
    CHECK(history[0].version == 7);
    CHECK(history[0].requested_by == "ann");
    CHECK(history[0].applied_everywhere);
    // Fewer large deltas are retained, but always the latest one.
    limits.max_kept_bytes = 1;
    changes.apply(SetLimits{limits});
    CHECK(changes.state.history(9).size() == 1);
    CHECK(kinds(changes.apply(Rollback{"ann", 5})) == kinds_of<Effect, CommandRejected>());
}

TEST_CASE("a report with too many members, too many relays or malformed names is not applied") {
    Limits limits = small_limits();
    limits.max_members = 2, limits.max_relays = 1;
    ChangeFixture changes(limits);
    const auto reason_of = [&](const RelayReport& report) {
        const auto effects = changes.apply_report(report);
        return effects.empty() ? std::string() : describe(std::get<StaleReport>(effects[0]).reason);
    };
    CHECK(reason_of(changes.full_report("r1", {member_report("m1"), member_report("m2"),
                                               member_report("m3")})) == "no room for so many members");
    CHECK(reason_of(changes.full_report("r1", {member_report("m1"), member_report("")})) == "malformed");
    CHECK(reason_of(changes.full_report("r1", {member_report("m1"), member_report(std::string(200, 'm'))})) ==
          "malformed");
    CHECK(reason_of(changes.full_report("r1", {member_report("m1"), member_report("m2")})).empty());
    CHECK(reason_of(changes.full_report("r2", {})) == "no room for so many relays");
    CHECK(changes.state.members() == 2);
}

TEST_CASE("malformed commands and snapshots of changes throw instead of being read") {
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1")}));
    changes.set_entry("a", "1");
    ChangeState loaded{Limits{}};
    auto bytes = changes.state.save();
    loaded.load(bytes);
    CHECK(loaded.save() == bytes);
    CHECK(loaded.limits() == small_limits());
    std::knuth_b random(1);
    for (int i = 0; i < 2000; ++i) {
        auto corrupted = i % 2 == 0 ? bytes : write_command({"i", 1, Publish{"ann", {{"a", "1"}}, {"b"}, 3}});
        for (int n = 0; n < 3; ++n)
            corrupted[random() % corrupted.size()] = static_cast<std::uint8_t>(random());
        if (i % 3 == 0) corrupted.resize(random() % corrupted.size());
        try {
            if (i % 2 == 0)
                ChangeState(Limits{}).load(corrupted);
            else
                read_command(corrupted.data(), corrupted.size());
        } catch (const std::runtime_error&) {
        }
    }
    CHECK_THROWS_AS(loaded.load({}), std::runtime_error);
    CHECK_THROWS_AS(read_command(bytes.data(), bytes.size()), std::runtime_error);
}

TEST_CASE("the cost of a relay's report depends on what it lists, not on how many members the relay has") {
    std::vector<std::uint64_t> plain, one_behind, caught_up;
    for (const int relays : {1, 12}) {
        ChangeFixture changes;
        for (int relay = 0; relay < relays; ++relay) {
            std::vector<MemberReport> reports;
            for (int member = 0; member < 300; ++member)
                reports.push_back(member_report("m" + std::to_string(relay) + "-" + std::to_string(member)));
            changes.apply_report(changes.full_report("r" + std::to_string(relay), reports));
        }
        changes.set_entry("a", "1");
        changes.apply_report(changes.next_report("r0", 0));
        plain.push_back(changes.state.visited_count());
        changes.apply_report(changes.next_report("r0", 1, {member_report("m0-7")}));
        one_behind.push_back(changes.state.visited_count());
        changes.apply_report(changes.next_report("r0", 1));
        caught_up.push_back(changes.state.visited_count());
        CHECK(changes.state.applied_everywhere() == (relays == 1 ? 1 : 0));
        CHECK(changes.state.progress(1, 0).live == 300u * static_cast<unsigned>(relays));
    }
    CHECK(plain == std::vector<std::uint64_t>{1, 1});
    CHECK(one_behind[0] == one_behind[1]);
    CHECK(one_behind[0] <= 3);
    CHECK(caught_up[0] == caught_up[1]);
    CHECK(caught_up[0] <= 3);
}

TEST_CASE("a document copy applies each version completely or not at all, and its version never decreases") {
    std::size_t applied = 0, corrupt = 0, gaps = 0, by_pages = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::knuth_b random(seed);
        const auto random_below = [&](std::uint64_t n) { return random() % n; };
        Limits limits = small_limits();
        limits.max_kept = 8;
        ChangeFixture changes(limits);
        std::vector<Document> documents{{}};
        DocumentCopy copy;
        std::vector<Delta> deltas;  // sent earlier; they may arrive late or again
        std::vector<Page> pages;
        for (int step = 0; step < 400; ++step) {
            if (random_below(4) == 0) {
                Publish publish{"ann",
                                {{"k" + std::to_string(random_below(20)), std::to_string(random_below(50))}},
                                {},
                                {}};
                if (random_below(3) == 0) publish.removed.insert("x" + std::to_string(random_below(5)));
                if (random_below(3) == 0) publish.set["x" + std::to_string(5 + random_below(5))] = "y";
                changes.apply(publish);
                if (changes.state.version() == documents.size())
                    documents.push_back(changes.state.document());
            }
            const std::uint64_t from =
                random_below(2) == 0 ? copy.version() : random_below(changes.state.version() + 1);
            if (const auto delta = changes.state.since(from)) deltas.push_back(*delta);
            const auto page_size = 1 + random_below(60);
            const std::string page_after = random_below(3) == 0 ? "" : copy.next_page_after();
            pages.push_back(changes.state.page(page_after, page_size));
            const std::uint64_t previous_version = copy.version();
            DocumentCopy::ApplyResult result;
            if (random_below(2) == 0 && !deltas.empty()) {
                Delta delta = random_below(3) == 0 ? deltas[random_below(deltas.size())] : deltas.back();
                if (random_below(8) == 0 && !delta.set.empty()) delta.set.begin()->second += "!";
                if (random_below(8) == 0) delta.digest ^= 1;
                if (random_below(12) == 0) delta.removed.insert("k3");
                result = copy.apply(delta);
                if (result == DocumentCopy::ApplyResult::gap) CHECK(copy.needs_pages());
            } else {
                Page page = random_below(3) == 0 ? pages[random_below(pages.size())] : pages.back();
                if (random_below(8) == 0 && !page.entries.empty()) page.entries.begin()->second += "!";
                if (random_below(12) == 0) page.last = true;
                result = copy.apply(page);
                by_pages += result == DocumentCopy::ApplyResult::applied;
            }
            applied += result == DocumentCopy::ApplyResult::applied;
            corrupt += result == DocumentCopy::ApplyResult::corrupt;
            gaps += result == DocumentCopy::ApplyResult::gap;
            REQUIRE(copy.version() >= previous_version);
            REQUIRE((result == DocumentCopy::ApplyResult::applied) == (copy.version() > previous_version));
            REQUIRE(copy.document() == documents[copy.version()]);
            REQUIRE(copy.digest() == digest_of(documents[copy.version()]));
        }
        // A new copy that receives pages only, while nothing changes.
        DocumentCopy new_copy;
        for (int i = 0; i < 100 && new_copy.version() == 0; ++i)
            new_copy.apply(changes.state.page(new_copy.next_page_after(), 40));
        CHECK(new_copy.document() == changes.state.document());
        CHECK_FALSE(new_copy.needs_pages());
    }
    CHECK(applied > 1000);
    CHECK(by_pages > 100);
    CHECK(corrupt > 500);
    CHECK(gaps > 100);
}

TEST_CASE("pages that are too long, out of order or without an end are rejected") {
    DocumentCopy copy(8);
    CHECK(copy.apply(Page{1, digest_of({{"a", "12345678"}}), "", {{"a", "12345678"}}, true}) ==
          DocumentCopy::ApplyResult::corrupt);
    CHECK(copy.apply(Page{1, 5, "", {}, false}) == DocumentCopy::ApplyResult::corrupt);
    CHECK(copy.apply(Page{2, 5, "", {{"a", "1"}}, false}) == DocumentCopy::ApplyResult::incomplete);
    CHECK(copy.next_page_after() == "a");
    CHECK(copy.apply(Page{2, 5, "b", {{"c", "1"}}, false}) ==
          DocumentCopy::ApplyResult::incomplete);  // the page before it is missing
    CHECK(copy.next_page_after() == "a");
    CHECK(copy.apply(Page{2, 5, "a", {{"a", "1"}}, false}) == DocumentCopy::ApplyResult::corrupt);
    CHECK(copy.next_page_after().empty());
    // From another relay that has only an earlier version.
    const std::uint64_t digest = digest_of({{"a", "1"}});
    CHECK(copy.apply(Page{9, 5, "", {{"a", "1"}}, false}) == DocumentCopy::ApplyResult::incomplete);
    CHECK(copy.apply(Page{3, digest, "", {{"a", "1"}}, true}) == DocumentCopy::ApplyResult::applied);
    CHECK(copy.version() == 3);
    CHECK(copy.apply(Page{3, digest, "", {{"a", "1"}}, true}) == DocumentCopy::ApplyResult::unchanged);
    CHECK(copy.apply(Delta{5, 6, {{"b", "1"}}, {}, 0}) == DocumentCopy::ApplyResult::gap);
    CHECK(copy.apply(Delta{3, 4, {{"b", "1"}}, {"b"}, 0}) == DocumentCopy::ApplyResult::corrupt);
}

TEST_CASE("a relay grants the rest of its own lease, and only to members that the fleet managers know") {
    ReportAggregator aggregator("r1", "z", 1, 10, 2);
    REQUIRE(aggregator.record_report(0, member_report("m1")));
    CHECK(aggregator.grant_lease(0, "m1") == 0);
    const RelayReport first = aggregator.next_report(0, second);
    CHECK(first.full);
    CHECK(first.joined.size() == 1);
    REQUIRE(aggregator.record_report(second, member_report("m2", 3)));
    const RelayReport next = aggregator.next_report(second, second);
    CHECK(next.number == 2);
    CHECK(next.full);
    CHECK(next.joined.size() == 2);
    CHECK(aggregator.next_report(second, second) == next);  // nothing has changed
    // A report that is sent again later still counts from its creation.
    aggregator.acknowledge(1, 4 * second, 10 * second);
    CHECK(aggregator.grant_lease(5 * second, "m1") == 5 * second);
    CHECK(aggregator.grant_lease(5 * second, "m2") == 0);
    aggregator.acknowledge(2, second, 10 * second);
    CHECK(aggregator.grant_lease(5 * second, "m2") == 6 * second);
    CHECK(aggregator.grant_lease(11 * second, "m2") == 0);
    CHECK(aggregator.grant_lease(5 * second, "m3") == 0);
    const RelayReport plain = aggregator.next_report(6 * second, second);
    CHECK_FALSE(plain.full);
    CHECK(plain.joined.empty());
    CHECK(plain.number == 3);
    // The fleet managers don't know the relay: it has to send a full report, and grants nothing until that is
    // acknowledged.
    aggregator.require_full_report();
    CHECK(aggregator.grant_lease(6 * second, "m1") == 0);
    const RelayReport full_report = aggregator.next_report(6 * second, second);
    CHECK(full_report.full);
    CHECK(full_report.joined.size() == 2);
    aggregator.acknowledge(3, 6 * second, 10 * second);
    CHECK(aggregator.grant_lease(6 * second, "m1") == 0);
    aggregator.acknowledge(full_report.number, 6 * second, 10 * second);
    CHECK(aggregator.grant_lease(6 * second, "m1") == 10 * second);
}

TEST_CASE(
    "a relay reports a member as lost once its granted lease and the drift are over, and as left once it "
    "leaves") {
    ReportAggregator aggregator("r1", "z", 1, 3, 2);
    for (const char* name : {"m1", "m2", "m3"}) REQUIRE(aggregator.record_report(0, member_report(name)));
    CHECK_FALSE(aggregator.record_report(0, member_report("m4")));
    aggregator.acknowledge(aggregator.next_report(0, second).number, 0, 10 * second);
    for (const char* name : {"m1", "m2", "m3"}) CHECK(aggregator.grant_lease(second, name) == 9 * second);
    aggregator.record_leave("m3", 1);
    REQUIRE(aggregator.record_report(5 * second, member_report("m2")));
    RelayReport report = aggregator.next_report(11 * second, second);
    CHECK(report.left == std::vector<std::pair<std::string, std::uint64_t>>{{"m3", 1}});
    CHECK(report.lost.empty());
    report = aggregator.next_report(11 * second + 1, second);
    CHECK(report.lost == std::vector<std::pair<std::string, std::uint64_t>>{{"m1", 1}});
    CHECK(aggregator.members() == 1);
    // The member is back before the fleet managers acknowledged the loss: it is then reported as joined, not
    // as lost.
    REQUIRE(aggregator.record_report(12 * second, member_report("m1")));
    const RelayReport rejoining_report = aggregator.next_report(12 * second, second);
    CHECK(rejoining_report.lost.empty());
    CHECK(rejoining_report.joined == std::vector<MemberReport>{member_report("m1")});
    aggregator.acknowledge(report.number, 11 * second, 10 * second);
    CHECK(aggregator.grant_lease(12 * second, "m1") == 0);
    aggregator.acknowledge(rejoining_report.number, 12 * second, 10 * second);
    CHECK(aggregator.grant_lease(12 * second, "m1") > 0);
    CHECK(aggregator.next_report(13 * second, second).left.empty());
    // A report of an earlier incarnation is ignored; a later incarnation joins again.
    CHECK(aggregator.record_report(13 * second, member_report("m1", 2, 2)));
    CHECK_FALSE(aggregator.record_report(13 * second, member_report("m1", 3, 1)));
    CHECK(aggregator.grant_lease(13 * second, "m1") == 0);
    aggregator.record_leave("m1", 1);
    CHECK(aggregator.members() == 2);
}

TEST_CASE(
    "with more exceptions than may be listed, the lowest version covers the members that are not listed") {
    ReportAggregator aggregator("r1", "z", 1, 100, 2);
    CHECK(aggregator.lowest() == 0);
    for (std::uint64_t i = 0; i < 6; ++i)
        REQUIRE(aggregator.record_report(0, member_report("m" + std::to_string(i), i < 4 ? i : 9)));
    RelayReport report = aggregator.next_report(0, second);
    CHECK(report.lowest == 2);
    CHECK(report.exceptions == std::vector<MemberReport>{member_report("m0", 0), member_report("m1", 1)});
    REQUIRE(aggregator.record_report(0, member_report("m2", 9)));
    REQUIRE(aggregator.record_report(0, member_report("m3", 9)));
    CHECK(aggregator.next_report(0, second).lowest == 9);
    // A report that was overtaken changes nothing.
    REQUIRE(aggregator.record_report(0, member_report("m2", 4)));
    CHECK(aggregator.next_report(0, second).lowest == 9);
    // Members that refuse a version are listed as far as there is room, even if none acts on a lower version.
    ReportAggregator refusals("r1", "z", 1, 100, 2);
    for (int i = 0; i < 4; ++i)
        REQUIRE(refusals.record_report(0, refusing_report("m" + std::to_string(i), 5, 6)));
    report = refusals.next_report(0, second);
    CHECK(report.lowest == 5);
    CHECK(report.exceptions.size() == 2);
}

TEST_CASE(
    "a long reason is truncated between characters; a report with a name that is too long is rejected") {
    CHECK(truncate_utf8("abc", 3) == "abc");
    CHECK(truncate_utf8("a\xc3\xa4\xc3\xa4", 4) == "a\xc3\xa4");
    CHECK(truncate_utf8("a\xc3\xa4\xc3\xa4", 3) == "a\xc3\xa4");
    MemberReport report = refusing_report("m1", 0, 1);
    report.refusal_reason.clear();
    for (int i = 0; i < 200; ++i) report.refusal_reason += "\xe2\x82\xac";
    ChangeFixture changes;
    changes.apply_report(changes.full_report("r1", {member_report("m1")}));
    changes.set_entry("a", "1");
    const auto effects = changes.apply_report(changes.next_report("r1", 1, {report}));
    REQUIRE(effects.size() >= 1);
    CHECK(std::get<MemberRefused>(effects[0]).reason.size() == 255);
    ReportAggregator aggregator("r1", "z", 1, 10, 2);
    CHECK_FALSE(aggregator.record_report(0, member_report("")));
    CHECK_FALSE(aggregator.record_report(0, member_report(std::string(129, 'm'))));
    REQUIRE(aggregator.record_report(0, report));
    CHECK(aggregator.next_report(0, second).joined.at(0).refusal_reason.size() == 255);
}
