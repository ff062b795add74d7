// Queries in two phases without I/O: budget, filters, memory and the state machine, each on generated inputs
// beside a slow plain model of the rules. Contents and the true answers come from the stand-ins.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "helpers.hpp"
#include "phases/budget.hpp"
#include "phases/section_filter_cache.hpp"
#include "phases/term_filter.hpp"
#include "phases/two_phase.hpp"
#include "phases/two_phase_capability.hpp"
#include "testing/contents.hpp"

using namespace tealcart;
using test::ms;
using testing::RankedRow;

namespace {

class Drawn {
  public:
    explicit Drawn(std::uint64_t seed) : engine_(seed) {}
    int below(int n) { return static_cast<int>(engine_() % static_cast<std::uint64_t>(n)); }
    bool one_in(int n) { return below(n) == 0; }

  private:
    std::mt19937_64 engine_;
};

}  // namespace

TEST_CASE("the first phase's time keeps to what is stated, and leaves the second its least") {
    Drawn drawn(1);
    for (int i = 0; i < 20'000; ++i) {
        TwoPhaseConfig config;
        config.first_phase_share = (1 + drawn.below(90)) / 100.0;
        config.min_first_phase = (1 + drawn.below(50)) * ms;
        config.max_first_phase = config.min_first_phase + drawn.below(500) * ms;
        config.response_reserve = drawn.below(20) * ms;
        const Nanos now = 1000 * ms, due = now + drawn.below(2000) * ms - 100 * ms;
        // Slowly: of all whole lengths, the longest that breaks no bound, or the least where the share is
        // under it.
        Nanos longest = 0;
        for (Nanos length = config.min_first_phase; length <= config.max_first_phase; length += ms) {
            const bool in_share =
                static_cast<double>(length) <=
                config.first_phase_share * static_cast<double>(due - config.response_reserve - now) + 1;
            if ((in_share || length == config.min_first_phase) &&
                now + length + config.min_first_phase <= due - config.response_reserve)
                longest = length;
        }
        const Nanos end = first_phase_end(config, now, due);
        if (longest == 0) {
            // With a share so high that nothing would be left for the second, there is no first.
            CHECK(end == now);
            continue;
        }
        if (end == now) {
            CHECK(now +
                      std::clamp<Nanos>(
                          static_cast<Nanos>(config.first_phase_share *
                                             static_cast<double>(due - config.response_reserve - now)),
                          config.min_first_phase, config.max_first_phase) +
                      config.min_first_phase >
                  due - config.response_reserve);
            continue;
        }
        REQUIRE(end - now >= longest - ms);
        REQUIRE(end - now < longest + ms);
    }
}

TEST_CASE("a term filter never denies what was put in, and seldom affirms what was not") {
    std::vector<std::uint8_t> filter = make_filter(2000, 12);
    for (int i = 0; i < 2000; ++i) add_term(filter, term_hash("in-" + std::to_string(i)));
    int wrong = 0;
    for (int i = 0; i < 2000; ++i) REQUIRE(may_contain(filter, term_hash("in-" + std::to_string(i))));
    for (int i = 0; i < 20'000; ++i) wrong += may_contain(filter, term_hash("out-" + std::to_string(i)));
    CHECK(wrong < 200);
    CHECK(may_contain({}, term_hash("x")));
}

TEST_CASE("the threshold is the rank of the Nth of all that were added") {
    Drawn drawn(2);
    for (int round = 0; round < 500; ++round) {
        const int rows = 1 + drawn.below(20);
        TopRankThreshold threshold(rows);
        std::vector<double> all;
        for (int i = drawn.below(60); i > 0; --i) {
            all.push_back(drawn.below(30));
            threshold.add(all.back());
        }
        std::sort(all.rbegin(), all.rend());
        const double nth =
            all.size() < static_cast<std::size_t>(rows) ? -HUGE_VAL : all[static_cast<std::size_t>(rows - 1)];
        REQUIRE(threshold.value() == nth);
        REQUIRE(threshold.can_enter(nth));  // a tie
    }
}

TEST_CASE("what is remembered rules out only what the current version can't hold, and stays bounded") {
    Drawn drawn(GENERATE(range<std::uint64_t>(1, 9)));
    constexpr std::uint32_t shards = 12;
    SectionFilterCacheConfig terms;
    terms.max_bytes = 4096;
    terms.max_lease = 2000 * ms;
    SectionFilterCache memory(terms, shards);
    struct Plain {
        std::uint64_t version = 1, heard = 0;
        Nanos good_until = 0;  // the latest lease that was given on the current version
        std::set<std::string> held;
    };
    std::map<std::uint32_t, Plain> plain;
    Nanos now = 1000 * ms;
    int ruled_out = 0;
    for (int step = 0; step < 4000; ++step) {
        now += drawn.below(80) * ms;
        const auto shard = static_cast<std::uint32_t>(drawn.below(shards));
        Plain& p = plain[shard];
        // A holder keeps to its lease: contents change only once it is over.
        if (drawn.one_in(6) && now >= p.good_until) {
            ++p.version;
            p.held.clear();
            for (int i = drawn.below(30); i > 0; --i) p.held.insert("t" + std::to_string(drawn.below(60)));
        }
        if (drawn.one_in(2)) {
            SectionSummary word;
            word.version = p.version;
            word.no_matches = true;
            word.lease = drawn.below(3000) * ms;
            word.has_filter = !drawn.one_in(5);
            word.filter.terms = make_filter(p.held.size(), 12);
            for (const std::string& t : p.held) add_term(word.filter.terms, term_hash(t));
            memory.store(shard, static_cast<std::uint32_t>(drawn.below(3)), word, now - drawn.below(50) * ms,
                         now);
            p.good_until = std::max(p.good_until, now + word.lease);
        }
        if (drawn.one_in(20)) memory.observe_version(shard, p.version);
        if (drawn.one_in(200)) memory.evict_node(static_cast<std::uint32_t>(drawn.below(3)));
        SearchCriteria find;
        find.terms = {"t" + std::to_string(drawn.below(60))};
        find.rows = 3;
        if (memory.excluded_by(shard, SearchKeys(find), now)) {
            ++ruled_out;
            REQUIRE_FALSE(p.held.contains(find.terms[0]));
            REQUIRE(now < p.good_until);
        }
        REQUIRE(memory.bytes() <= terms.max_bytes);
        REQUIRE(memory.size() <= shards);
    }
    CHECK(ruled_out > 100);
    memory.clear();
    CHECK(memory.size() == 0);
    CHECK(memory.bytes() == 0);
}

TEST_CASE("extents rule out what lies beyond them, and fields without one rule out nothing") {
    SectionFilterCache memory({}, 2);
    SectionSummary word{4, true, 0, {}, 1000 * ms, true, {{}, {{"expiry", 10, 20}}}};
    memory.store(1, 7, word, 0, 0);
    const auto asks = [&](const std::string& field, double from, double to) {
        const SearchCriteria find{{}, {{field, from, to}}, 1};
        return memory.excluded_by(1, SearchKeys(find), 100 * ms);
    };
    CHECK(asks("expiry", 21, 30) == 7U);
    CHECK(asks("expiry", 0, 9.9) == 7U);
    CHECK_FALSE(asks("expiry", 20, 30));
    CHECK_FALSE(asks("price", 21, 30));
    memory.observe_version(1, 4);
    CHECK(asks("expiry", 21, 30));
    memory.observe_version(1, 5);  // a new version of the section
    CHECK_FALSE(asks("expiry", 21, 30));
    memory.store(1, 7, word, 0,
                 0);  // the old one came late: its time runs, but it is known to be old by nobody now
    CHECK(memory.size() == 1);
    const SearchCriteria find{{}, {{"expiry", 21, 30}}, 1};
    CHECK_FALSE(
        memory.excluded_by(1, SearchKeys(find), 990 * ms));  // less than the lease, by the drift of clocks
}

TEST_CASE("nodes are one-phase until their entry changes, and distrusted for a while") {
    TwoPhaseCapability speakers(3, 2, 100 * ms);
    const auto entry = [](std::uint32_t n, std::uint16_t place, Lifecycle a = Lifecycle::ready) {
        return Endpoint{n, place, a, 0, 0};
    };
    speakers.update_entry(entry(1, 0), true);
    CHECK(speakers.may_give_summary(0, 0));
    CHECK(speakers.may_give_summary(2, 0));  // places 2 and 0
    CHECK_FALSE(speakers.may_give_summary(1, 0));
    speakers.mark_one_phase(1);
    CHECK_FALSE(speakers.may_give_summary(0, 0));
    speakers.update_entry(entry(1, 0), false);  // told again, unchanged
    CHECK(speakers.is_one_phase(1));
    speakers.update_entry(entry(1, 0), true);
    CHECK_FALSE(speakers.is_one_phase(1));
    speakers.mark_two_phase(1);
    speakers.distrust(1, 50 * ms);
    CHECK_FALSE(speakers.may_give_summary(0, 149 * ms));
    CHECK(speakers.may_give_summary(0, 150 * ms));
    CHECK(speakers.is_two_phase(1));
    speakers.update_entry(entry(1, 0, Lifecycle::draining), false);
    CHECK_FALSE(speakers.may_give_summary(0, 150 * ms));
    for (std::uint32_t n = 10; n < 2000; ++n) {  // ever new ids
        speakers.update_entry(entry(n, 1), true);
        const Endpoint only = entry(n, 1);
        speakers.keep_only({&only, 1});
        REQUIRE(speakers.size() == 1);
    }
    CHECK(speakers.may_give_summary(0, 0));
    CHECK_FALSE(speakers.may_give_summary(2, 0));
}

namespace {

// Plays one query against generated contents; what the module would decide is drawn.
struct Played {
    explicit Played(std::uint64_t seed) : drawn(seed) {}

    Drawn drawn;
    std::vector<testing::Section> sections;
    SearchCriteria find{{"wanted"}, {}, 1};
    // As each section was when it gave its word, and when it gave its rows.
    std::map<std::uint32_t, testing::Section> at_word, at_rows;
    std::set<std::uint32_t> liars;  // sections whose holder tells its rows higher than they are
    bool changes = false, loses = false, lies = false;
    int legs = 0;

    void maybe_change(std::uint32_t i) {
        if (!changes || !drawn.one_in(4)) return;
        ++sections[i].version;
        for (testing::Row& row : sections[i].rows) row.rank += drawn.below(400) - 200;
        testing::sort_rows(sections[i].rows);
    }

    TwoPhaseStateMachine play(std::uint32_t shards) {
        testing::GeneratedContents g;
        g.shards = shards;
        g.rows = drawn.below(12);
        g.matching = drawn.below(11) / 10.0;
        g.top = drawn.below(11) / 10.0;
        g.seed = static_cast<std::uint64_t>(drawn.below(1'000'000));
        sections = testing::generate(g);
        find.rows = 1 + drawn.below(12);
        for (std::uint32_t i = 0; lies && i < shards; ++i)
            if (drawn.one_in(4)) liars.insert(i);
        TwoPhaseConfig terms;
        terms.enabled = true;
        std::vector<double> weights(shards, 1.0 / shards);
        TwoPhaseStateMachine machine(terms, find.rows, 3, weights);
        Nanos now = 1000 * ms;
        const auto unheard = [&](std::uint32_t) { return !loses || !drawn.one_in(8); };
        Leg leg = machine.begin(now, now + 1000 * ms, {[](std::uint32_t) { return std::nullopt; }, unheard});
        while (leg.kind != Leg::end) {
            REQUIRE(++legs <= 4);
            check_leg(machine, leg);
            for (const LegShardRequest& shard_request : leg.shard_requests) {
                if (shard_request.answered || shard_request.attempts_used >= 3 || (loses && drawn.one_in(6)))
                    continue;
                machine.count_attempt(shard_request.section);
                maybe_change(shard_request.section);
                leg.kind == Leg::summaries ? give_word(machine, shard_request.section)
                                           : give_rows(machine, shard_request.section);
            }
            now += drawn.below(loses ? 700 : 100) * ms;
            leg = machine.end_leg(LegDecision::answer, now, [] { return false; });
        }
        return machine;
    }

    void check_leg(const TwoPhaseStateMachine& machine, const Leg& leg) const {
        double sum = 0;
        std::set<std::uint32_t> named;
        for (const LegShardRequest& shard_request : leg.shard_requests) {
            sum += shard_request.weight;
            REQUIRE(named.insert(shard_request.section).second);
            if (leg.kind == Leg::summaries)
                REQUIRE(shard_request.attempts_used == 1);  // one call is kept for the rows
        }
        REQUIRE(std::abs(sum - 1) < 1e-9);
        REQUIRE(machine.state() != TwoPhaseStateMachine::State::ended);
    }
    void give_word(TwoPhaseStateMachine& machine, std::uint32_t i) {
        SectionSummary word = testing::summarize(sections[i], find, 0, false);
        at_word[i] = sections[i];
        if (liars.contains(i)) {
            word.max_rank += 5000;
            for (double& rank : word.top_ranks) rank += 5000;
        }
        machine.on_summary(i, i, word);
    }
    void give_rows(TwoPhaseStateMachine& machine, std::uint32_t i) {
        if (machine.is_stale(i, sections[i].version)) return;
        std::vector<double> ranks;
        for (const testing::Row* row : testing::best_rows(sections[i], find)) ranks.push_back(row->rank);
        at_rows[i] = sections[i];
        const auto found = machine.on_rows(i, sections[i].version, ranks);
        const bool told_wrong = liars.contains(i) && at_word.contains(i) &&
                                at_word[i].version == sections[i].version && !ranks.empty();
        REQUIRE((found == TwoPhaseStateMachine::RowCheck::contradictory) == told_wrong);
    }
    // What the answer says, against all that sections held when they spoke for the last time.
    void check(const TwoPhaseStateMachine& machine, std::uint32_t shards) {
        const Coverage c = machine.coverage();
        REQUIRE(c.answered + c.pruned + c.missing == shards);
        REQUIRE(std::abs(c.answered_weight + c.pruned_weight + c.missing_weight - 1) < 1e-9);
        REQUIRE(machine.is_complete() == (c.missing == 0));
        const auto missing = machine.missing();
        std::vector<RankedRow> given, truth;
        for (std::uint32_t i = 0; i < shards; ++i) {
            if (std::find(missing.begin(), missing.end(), i) != missing.end()) continue;
            const auto rows_of = [&](const testing::Section& s, std::vector<RankedRow>& to) {
                for (const testing::Row* row : testing::best_rows(s, find))
                    to.push_back({row->doc, row->rank});
            };
            if (at_rows.contains(i))
                rows_of(at_rows[i], given), rows_of(at_rows[i], truth);
            else
                rows_of(at_word.at(i), truth);
        }
        REQUIRE(testing::top_rows(given, find.rows) == testing::top_rows(truth, find.rows));
    }
};

}  // namespace

TEST_CASE("a pruned answer is the full scan's, on generated contents") {
    std::uint64_t pruned = 0;
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        Played played(seed);
        const auto shards = static_cast<std::uint32_t>(1 + played.drawn.below(20));
        const TwoPhaseStateMachine machine = played.play(shards);
        REQUIRE(machine.is_complete());
        played.check(machine, shards);
        pruned += machine.coverage().pruned;
    }
    CHECK(pruned > 5000);
}

TEST_CASE("with silence, changing versions and wrong words, what an answer covers is still the full scan's") {
    std::uint64_t rechecked = 0, missing = 0;
    for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
        Played played(seed);
        played.loses = seed % 2 == 0;
        played.changes = seed % 3 == 0;
        played.lies = seed % 5 == 0;
        const auto shards = static_cast<std::uint32_t>(1 + played.drawn.below(16));
        const TwoPhaseStateMachine machine = played.play(shards);
        played.check(machine, shards);
        rechecked += machine.rechecked();
        missing += machine.coverage().missing;
    }
    CHECK(rechecked > 100);
    CHECK(missing > 1000);
}

TEST_CASE("a rejection or an abort in any leg ends the query as the module says") {
    for (const LegDecision verdict : {LegDecision::reject, LegDecision::fail_query})
        for (int leg = 0; leg < 2; ++leg) {
            TwoPhaseConfig terms;
            TwoPhaseStateMachine machine(terms, 2, 3, {0.5, 0.5});
            machine.begin(0, 1000 * ms, {[](auto) { return std::nullopt; }, [](auto) { return true; }});
            if (leg == 1)
                REQUIRE(machine.end_leg(LegDecision::answer, 10 * ms, [] { return false; }).kind ==
                        Leg::rows);
            REQUIRE(machine.end_leg(verdict, 20 * ms, [] { return false; }).kind == Leg::end);
            CHECK(machine.decision() == verdict);
            CHECK_FALSE(machine.is_complete());
            CHECK(machine.coverage().missing == 2);
        }
}

TEST_CASE("sections known to hold nothing need no call at all, and audits ask some that could be pruned") {
    TwoPhaseConfig terms;
    TwoPhaseStateMachine known(terms, 2, 3, {0.5, 0.5});
    CHECK(known.begin(0, 1000 * ms, {[](auto) { return 4U; }, [](auto) { return true; }}).kind == Leg::end);
    CHECK(known.is_complete());
    CHECK(known.coverage().pruned == 2);

    TwoPhaseStateMachine audited(terms, 2, 3, {0.5, 0.5});
    audited.begin(0, 1000 * ms, {[](auto) { return std::nullopt; }, [](auto) { return true; }});
    SectionSummary none;
    none.no_matches = true;
    audited.on_summary(0, 9, none);
    audited.on_summary(1, 8, none);
    int asked = 0;
    const Leg leg = audited.end_leg(LegDecision::answer, 10 * ms, [&asked] { return ++asked == 1; });
    REQUIRE(leg.shard_requests.size() == 1);
    CHECK(leg.shard_requests[0].weight == 1);
    CHECK(audited.on_rows(0, 0, {3.0}) == TwoPhaseStateMachine::RowCheck::contradictory);
    CHECK(audited.take_contradicted_nodes() == std::vector<std::uint32_t>{9});
}
