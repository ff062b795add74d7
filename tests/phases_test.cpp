// Two-phase queries without I/O: the time budget, filters, the filter cache and the state machine, each
// checked on generated inputs against a slow, simple model. Section contents and the expected rows come from
// the test data nodes.
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

// A seeded source of random numbers.
class Random {
  public:
    explicit Random(std::uint64_t seed) : engine_(seed) {}
    int below(int bound) { return static_cast<int>(engine_() % static_cast<std::uint64_t>(bound)); }
    bool one_in(int count) { return below(count) == 0; }

  private:
    std::mt19937_64 engine_;
};

}  // namespace

TEST_CASE("the first phase stays within its bounds and leaves the second phase the minimum") {
    Random random(1);
    for (int i = 0; i < 20'000; ++i) {
        TwoPhaseConfig config;
        config.first_phase_share = (1 + random.below(90)) / 100.0;
        config.min_first_phase = (1 + random.below(50)) * ms;
        config.max_first_phase = config.min_first_phase + random.below(500) * ms;
        config.response_reserve = random.below(20) * ms;
        const Nanos now = 1000 * ms, due = now + random.below(2000) * ms - 100 * ms;
        // The model tries all lengths in whole milliseconds: the longest within all bounds is expected, or
        // the minimum if the share is below it.
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
            // The first phase is skipped if it would leave too little time for the second.
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

TEST_CASE("a term filter has no false negatives and under one percent false positives") {
    std::vector<std::uint8_t> filter = make_filter(2000, 12);
    for (int i = 0; i < 2000; ++i) add_term(filter, term_hash("in-" + std::to_string(i)));
    int false_positives = 0;
    for (int i = 0; i < 2000; ++i) REQUIRE(may_contain(filter, term_hash("in-" + std::to_string(i))));
    for (int i = 0; i < 20'000; ++i)
        false_positives += may_contain(filter, term_hash("out-" + std::to_string(i)));
    CHECK(false_positives < 200);
    CHECK(may_contain({}, term_hash("x")));
}

TEST_CASE("the threshold is the Nth highest of all added ranks") {
    Random random(2);
    for (int round = 0; round < 500; ++round) {
        const int rows = 1 + random.below(20);
        TopRankThreshold threshold(rows);
        std::vector<double> all;
        for (int i = random.below(60); i > 0; --i) {
            all.push_back(random.below(30));
            threshold.add(all.back());
        }
        std::sort(all.rbegin(), all.rend());
        const double nth =
            all.size() < static_cast<std::size_t>(rows) ? -HUGE_VAL : all[static_cast<std::size_t>(rows - 1)];
        REQUIRE(threshold.value() == nth);
        REQUIRE(threshold.can_enter(nth));  // a tie
    }
}

TEST_CASE(
    "the filter cache excludes only sections whose current version can't match, and stays within its size") {
    Random random(GENERATE(range<std::uint64_t>(1, 9)));
    constexpr std::uint32_t shards = 12;
    SectionFilterCacheConfig config;
    config.max_bytes = 4096;
    config.max_lease = 2000 * ms;
    SectionFilterCache cache(config, shards);
    struct ModelSection {
        std::uint64_t version = 1;
        Nanos leased_until = 0;  // the end of the latest lease on the current version
        std::set<std::string> terms;
    };
    std::map<std::uint32_t, ModelSection> model;
    Nanos now = 1000 * ms;
    int excluded = 0;
    for (int step = 0; step < 4000; ++step) {
        now += random.below(80) * ms;
        const auto shard = static_cast<std::uint32_t>(random.below(shards));
        ModelSection& section = model[shard];
        // A data node changes a section only after the leases on it have expired.
        if (random.one_in(6) && now >= section.leased_until) {
            ++section.version;
            section.terms.clear();
            for (int i = random.below(30); i > 0; --i)
                section.terms.insert("t" + std::to_string(random.below(60)));
        }
        if (random.one_in(2)) {
            SectionSummary summary;
            summary.version = section.version;
            summary.no_matches = true;
            summary.lease = random.below(3000) * ms;
            summary.has_filter = !random.one_in(5);
            summary.filter.terms = make_filter(section.terms.size(), 12);
            for (const std::string& term : section.terms) add_term(summary.filter.terms, term_hash(term));
            cache.store(shard, static_cast<std::uint32_t>(random.below(3)), summary,
                        now - random.below(50) * ms, now);
            section.leased_until = std::max(section.leased_until, now + summary.lease);
        }
        if (random.one_in(20)) cache.observe_version(shard, section.version);
        if (random.one_in(200)) cache.evict_node(static_cast<std::uint32_t>(random.below(3)));
        SearchCriteria criteria;
        criteria.terms = {"t" + std::to_string(random.below(60))};
        criteria.rows = 3;
        if (cache.excluded_by(shard, SearchKeys(criteria), now)) {
            ++excluded;
            REQUIRE_FALSE(section.terms.contains(criteria.terms[0]));
            REQUIRE(now < section.leased_until);
        }
        REQUIRE(cache.bytes() <= config.max_bytes);
        REQUIRE(cache.size() <= shards);
    }
    CHECK(excluded > 100);
    cache.clear();
    CHECK(cache.size() == 0);
    CHECK(cache.bytes() == 0);
}

TEST_CASE("extents exclude ranges outside them, and fields without an extent exclude nothing") {
    SectionFilterCache cache({}, 2);
    SectionSummary summary{4, true, 0, {}, 1000 * ms, true, {{}, {{"expiry", 10, 20}}}};
    cache.store(1, 7, summary, 0, 0);
    const auto excluded_by = [&](const std::string& field, double from, double to) {
        const SearchCriteria criteria{{}, {{field, from, to}}, 1};
        return cache.excluded_by(1, SearchKeys(criteria), 100 * ms);
    };
    CHECK(excluded_by("expiry", 21, 30) == 7U);
    CHECK(excluded_by("expiry", 0, 9.9) == 7U);
    CHECK_FALSE(excluded_by("expiry", 20, 30));
    CHECK_FALSE(excluded_by("price", 21, 30));
    cache.observe_version(1, 4);
    CHECK(excluded_by("expiry", 21, 30));
    cache.observe_version(1, 5);  // a new version of the section
    CHECK_FALSE(excluded_by("expiry", 21, 30));
    // The old summary arrives late and is stored: its lease still runs, and no newer filter is cached.
    cache.store(1, 7, summary, 0, 0);
    CHECK(cache.size() == 1);
    const SearchCriteria criteria{{}, {{"expiry", 21, 30}}, 1};
    // The lease is shortened by the possible clock drift.
    CHECK_FALSE(cache.excluded_by(1, SearchKeys(criteria), 990 * ms));
}

TEST_CASE(
    "a node stays one-phase until its entry changes, and a distrusted node is trusted again after the "
    "duration") {
    TwoPhaseCapability capability(3, 2, 100 * ms);
    const auto entry = [](std::uint32_t node, std::uint16_t place, Lifecycle lifecycle = Lifecycle::ready) {
        return Endpoint{node, place, lifecycle, 0, 0};
    };
    capability.update_entry(entry(1, 0), true);
    CHECK(capability.may_give_summary(0, 0));
    CHECK(capability.may_give_summary(2, 0));  // places 2 and 0
    CHECK_FALSE(capability.may_give_summary(1, 0));
    capability.mark_one_phase(1);
    CHECK_FALSE(capability.may_give_summary(0, 0));
    capability.update_entry(entry(1, 0), false);  // the same entry again
    CHECK(capability.is_one_phase(1));
    capability.update_entry(entry(1, 0), true);
    CHECK_FALSE(capability.is_one_phase(1));
    capability.mark_two_phase(1);
    capability.distrust(1, 50 * ms);
    CHECK_FALSE(capability.may_give_summary(0, 149 * ms));
    CHECK(capability.may_give_summary(0, 150 * ms));
    CHECK(capability.is_two_phase(1));
    capability.update_entry(entry(1, 0, Lifecycle::draining), false);
    CHECK_FALSE(capability.may_give_summary(0, 150 * ms));
    for (std::uint32_t node = 10; node < 2000; ++node) {  // a new id each time
        capability.update_entry(entry(node, 1), true);
        const Endpoint only = entry(node, 1);
        capability.keep_only({&only, 1});
        REQUIRE(capability.size() == 1);
    }
    CHECK(capability.may_give_summary(0, 0));
    CHECK_FALSE(capability.may_give_summary(2, 0));
}

namespace {

// Executes one query against generated contents; the decision module's choices are drawn at random.
struct QuerySimulation {
    explicit QuerySimulation(std::uint64_t seed) : random(seed) {}

    Random random;
    std::vector<testing::Section> sections;
    SearchCriteria criteria{{"wanted"}, {}, 1};
    // Each section as of its summary and as of its rows.
    std::map<std::uint32_t, testing::Section> at_summary, at_rows;
    std::set<std::uint32_t> overstated;  // sections whose data node states ranks higher than they are
    bool changes_versions = false, loses_answers = false, overstates_ranks = false;
    int legs = 0;

    void maybe_change(std::uint32_t index) {
        if (!changes_versions || !random.one_in(4)) return;
        ++sections[index].version;
        for (testing::Row& row : sections[index].rows) row.rank += random.below(400) - 200;
        testing::sort_rows(sections[index].rows);
    }

    TwoPhaseStateMachine run(std::uint32_t shards) {
        testing::GeneratedContents generated;
        generated.shards = shards;
        generated.rows = random.below(12);
        generated.matching_share = random.below(11) / 10.0;
        generated.top_share = random.below(11) / 10.0;
        generated.seed = static_cast<std::uint64_t>(random.below(1'000'000));
        sections = testing::generate(generated);
        criteria.rows = 1 + random.below(12);
        for (std::uint32_t i = 0; overstates_ranks && i < shards; ++i)
            if (random.one_in(4)) overstated.insert(i);
        TwoPhaseConfig config;
        config.enabled = true;
        std::vector<double> weights(shards, 1.0 / shards);
        TwoPhaseStateMachine machine(config, criteria.rows, 3, weights);
        Nanos now = 1000 * ms;
        const auto may_give_summary = [&](std::uint32_t) { return !loses_answers || !random.one_in(8); };
        Leg leg = machine.begin(now, now + 1000 * ms,
                                {[](std::uint32_t) { return std::nullopt; }, may_give_summary});
        while (leg.kind != Leg::end) {
            REQUIRE(++legs <= 4);
            check_leg(machine, leg);
            for (const LegShardRequest& shard_request : leg.shard_requests) {
                if (shard_request.answered || shard_request.attempts_used >= 3 ||
                    (loses_answers && random.one_in(6)))
                    continue;
                machine.count_attempt(shard_request.section);
                maybe_change(shard_request.section);
                leg.kind == Leg::summaries ? give_summary(machine, shard_request.section)
                                           : give_rows(machine, shard_request.section);
            }
            now += random.below(loses_answers ? 700 : 100) * ms;
            leg = machine.end_leg(LegDecision::answer, now, [] { return false; });
        }
        return machine;
    }

    void check_leg(const TwoPhaseStateMachine& machine, const Leg& leg) const {
        double sum = 0;
        std::set<std::uint32_t> requested;
        for (const LegShardRequest& shard_request : leg.shard_requests) {
            sum += shard_request.weight;
            REQUIRE(requested.insert(shard_request.section).second);
            if (leg.kind == Leg::summaries)
                REQUIRE(shard_request.attempts_used == 1);  // one attempt is reserved for the rows
        }
        REQUIRE(std::abs(sum - 1) < 1e-9);
        REQUIRE(machine.state() != TwoPhaseStateMachine::State::ended);
    }
    void give_summary(TwoPhaseStateMachine& machine, std::uint32_t index) {
        SectionSummary summary = testing::summarize(sections[index], criteria, 0, false);
        at_summary[index] = sections[index];
        if (overstated.contains(index)) {
            summary.max_rank += 5000;
            for (double& rank : summary.top_ranks) rank += 5000;
        }
        machine.on_summary(index, index, summary);
    }
    void give_rows(TwoPhaseStateMachine& machine, std::uint32_t index) {
        if (machine.is_stale(index, sections[index].version)) return;
        std::vector<double> ranks;
        for (const testing::Row* row : testing::best_rows(sections[index], criteria))
            ranks.push_back(row->rank);
        at_rows[index] = sections[index];
        const auto result = machine.on_rows(index, sections[index].version, ranks);
        const bool is_contradicted = overstated.contains(index) && at_summary.contains(index) &&
                                     at_summary[index].version == sections[index].version && !ranks.empty();
        REQUIRE((result == TwoPhaseStateMachine::RowCheck::contradictory) == is_contradicted);
    }
    // Compares the response with the contents of all sections as of their last answer.
    void check(const TwoPhaseStateMachine& machine, std::uint32_t shards) {
        const Coverage coverage = machine.coverage();
        REQUIRE(coverage.answered + coverage.pruned + coverage.missing == shards);
        REQUIRE(std::abs(coverage.answered_weight + coverage.pruned_weight + coverage.missing_weight - 1) <
                1e-9);
        REQUIRE(machine.is_complete() == (coverage.missing == 0));
        const auto missing = machine.missing();
        std::vector<RankedRow> actual, expected;
        for (std::uint32_t i = 0; i < shards; ++i) {
            if (std::find(missing.begin(), missing.end(), i) != missing.end()) continue;
            const auto rows_of = [&](const testing::Section& section, std::vector<RankedRow>& to) {
                for (const testing::Row* row : testing::best_rows(section, criteria))
                    to.push_back({row->doc, row->rank});
            };
            if (at_rows.contains(i))
                rows_of(at_rows[i], actual), rows_of(at_rows[i], expected);
            else
                rows_of(at_summary.at(i), expected);
        }
        REQUIRE(testing::top_rows(actual, criteria.rows) == testing::top_rows(expected, criteria.rows));
    }
};

}  // namespace

TEST_CASE("with pruning, the response equals that of a full scan") {
    std::uint64_t pruned = 0;
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        QuerySimulation simulation(seed);
        const auto shards = static_cast<std::uint32_t>(1 + simulation.random.below(20));
        const TwoPhaseStateMachine machine = simulation.run(shards);
        REQUIRE(machine.is_complete());
        simulation.check(machine, shards);
        pruned += machine.coverage().pruned;
    }
    CHECK(pruned > 5000);
}

TEST_CASE(
    "with lost answers, changing versions and wrong summaries, covered sections still match a full scan") {
    std::uint64_t rechecked = 0, missing = 0;
    for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
        QuerySimulation simulation(seed);
        simulation.loses_answers = seed % 2 == 0;
        simulation.changes_versions = seed % 3 == 0;
        simulation.overstates_ranks = seed % 5 == 0;
        const auto shards = static_cast<std::uint32_t>(1 + simulation.random.below(16));
        const TwoPhaseStateMachine machine = simulation.run(shards);
        simulation.check(machine, shards);
        rechecked += machine.rechecked();
        missing += machine.coverage().missing;
    }
    CHECK(rechecked > 100);
    CHECK(missing > 1000);
}

TEST_CASE("a rejection or failure in any leg ends the query with that decision") {
    for (const LegDecision decision : {LegDecision::reject, LegDecision::fail_query})
        for (int leg = 0; leg < 2; ++leg) {
            TwoPhaseConfig config;
            TwoPhaseStateMachine machine(config, 2, 3, {0.5, 0.5});
            machine.begin(0, 1000 * ms, {[](auto) { return std::nullopt; }, [](auto) { return true; }});
            if (leg == 1)
                REQUIRE(machine.end_leg(LegDecision::answer, 10 * ms, [] { return false; }).kind ==
                        Leg::rows);
            REQUIRE(machine.end_leg(decision, 20 * ms, [] { return false; }).kind == Leg::end);
            CHECK(machine.decision() == decision);
            CHECK_FALSE(machine.is_complete());
            CHECK(machine.coverage().missing == 2);
        }
}

TEST_CASE("sections excluded by filters need no request, and audits query some prunable sections") {
    TwoPhaseConfig config;
    TwoPhaseStateMachine known(config, 2, 3, {0.5, 0.5});
    CHECK(known.begin(0, 1000 * ms, {[](auto) { return 4U; }, [](auto) { return true; }}).kind == Leg::end);
    CHECK(known.is_complete());
    CHECK(known.coverage().pruned == 2);

    TwoPhaseStateMachine audited(config, 2, 3, {0.5, 0.5});
    audited.begin(0, 1000 * ms, {[](auto) { return std::nullopt; }, [](auto) { return true; }});
    SectionSummary no_matches;
    no_matches.no_matches = true;
    audited.on_summary(0, 9, no_matches);
    audited.on_summary(1, 8, no_matches);
    int audit_draws = 0;
    const Leg leg =
        audited.end_leg(LegDecision::answer, 10 * ms, [&audit_draws] { return ++audit_draws == 1; });
    REQUIRE(leg.shard_requests.size() == 1);
    CHECK(leg.shard_requests[0].weight == 1);
    CHECK(audited.on_rows(0, 0, {3.0}) == TwoPhaseStateMachine::RowCheck::contradictory);
    CHECK(audited.take_contradicted_nodes() == std::vector<std::uint32_t>{9});
}
