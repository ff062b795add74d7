// Measures queries in two phases against one phase on the same scripted days, on loopback: `make
// measure-two-phase`. Prints a table, then one last line, and ends with 1 where an aim is missed.
// docs/design-two-phase.md has the aims.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <unordered_set>

#include "phases/section_filter_cache.hpp"
#include "phases/term_filter.hpp"
#include "service/service.hpp"
#include "testing/client.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::testing;
using Clock = std::chrono::steady_clock;

constexpr int shards = 200, places = 8, rows = 10;
constexpr Nanos step = 5'000'000;

struct Day {
    std::string script, operators;
    double top = 1;  // share of sections worth asking
    bool two_phase = true;
    int queries = 200;
    int clients = 4;
    std::function<std::string(int)> term = [](int) { return std::string("wanted"); };
    std::function<void(Fleet&, int)> before = {};  // a query of this number is asked
};

struct Came {
    WorkCounts work;
    TwoPhaseCounters counts;
    std::vector<double> ms;
    int finals = 0, served = 0, whole = 0, differing = 0, asked = 0;
    std::size_t answer_bytes = 0, memory_bytes = 0;

    double at(double share) const {
        return ms.empty() ? 0
                          : ms[std::min(ms.size() - 1,
                                        static_cast<std::size_t>(share * static_cast<double>(ms.size())))];
    }
};

std::string script_of(const Day& day, const std::string& each = "") {
    std::string text =
        "fleet {\n shards = " + std::to_string(shards) + "\n places = " + std::to_string(places) +
        "\n width = 2\n rows = 20\n record = \"8B\"\n top = " + std::to_string(day.top) + "\n}\n";
    for (int n = 0; n < places; ++n)
        text += "node \"n" + std::to_string(n) + "\" {\n place = " + std::to_string(n) +
                "\n word_delay = \"1ms\"\n rows_delay = \"3ms\"\n call_delay = \"3ms\"\n" + each + "}\n";
    return text;
}

StartupConfig launch_of(Fleet& fleet, const std::string& operators) {
    const std::string settings =
        R"({"extra":{"places":)" + std::to_string(places) + R"(,"ranges":)" + std::to_string(shards) +
        R"(,"width":2,"floor_by_class":[0.4],"complete_from":[1.0],"parts_a_call":16},)"
        R"("limits":{"send_cap":3,"connect_timeout":250.0,"idle_close":30000.0,"streams_per_conn":100,)"
        R"("most_held":8000,"may_cancel":true,"second_copies":true,"retry_after":true,"max_retry_after":500.0},)"
        R"("safety":{"drain_grace":500.0,"cold_from":0.2,"cold":2000.0,"tip_multiple":3.0,"fall":500.0},"step":5.0,)"
        R"("services":[{"name":"part","promise":500.0,"deadline":2000.0,"semantics":"repeatable","late_worth":0.5}]})";
    StartupConfig made = read_startup_config(
        R"({"name":"r","listen":"127.0.0.1:1","discovery":")" + fleet.discovery.address() +
        R"(","seed":"00ff","limits":{"sockets":256},"known":{"generation":1,"reset":true,"instances":[)" +
        fleet.entries() + "]},\"settings\":" + settings + "}");
    made.listen.port = 0;
    apply_operator_config(made, read_operator_config(operators + "\nlog { level = \"error\" }", "operators"));
    return made;
}

Came play(const Day& day) {
    boost::asio::io_context io{1};
    Fleet fleet(io, read_script(day.script, "script"));
    // Each section worth asking holds one row of the first rank, so that none of them can be left out.
    for (Section& s : fleet.script().sections)
        if (!s.rows.empty() && s.rows[0].rank >= 1000) s.rows[0].rank = 2000;
    Service service(io, [&] { return launch_of(fleet, day.operators); });
    Came came;
    struct Open {
        std::unique_ptr<Client> client;
        ClientQuery asking;
        Clock::time_point at;
        bool busy = false;
    };
    std::vector<Open> open(static_cast<std::size_t>(day.clients));
    const auto check = [&](Open& o, const ClientResponse& got) {
        o.busy = false;
        ++came.finals;
        came.ms.push_back(std::chrono::duration<double, std::milli>(Clock::now() - o.at).count());
        came.answer_bytes += got.bytes;
        if (got.status != 200) return;
        ++came.served;
        came.whole += got.whole;
        std::vector<std::uint32_t> covered;
        std::vector<std::uint32_t> missing = got.missing_shards;
        if (!day.two_phase && !got.whole)  // an answer in one phase names what is in
            for (const std::uint32_t s : o.asking.shards)
                if (std::none_of(got.values.begin(), got.values.end(),
                                 [s](const auto& v) { return v.first == s; }))
                    missing.push_back(s);
        for (const std::uint32_t s : o.asking.shards)
            if (std::find(missing.begin(), missing.end(), s) == missing.end()) covered.push_back(s);
        came.differing += got.rows(rows) != expected_rows(fleet.script().sections, covered, o.asking.find);
    };
    for (Open& o : open)
        o.client = std::make_unique<Client>(io, service.port(),
                                            [&, at = &o](ClientResponse got) { check(*at, got); });
    const auto end = Clock::now() + std::chrono::seconds(60);
    while (came.finals < day.queries && Clock::now() < end) {
        for (Open& o : open) {
            if (o.busy || came.asked >= day.queries) continue;
            if (day.before) day.before(fleet, came.asked);
            ClientQuery& a = o.asking = {};
            a.query_class = "part", a.id = "q" + std::to_string(++came.asked), a.deadline_ms = 2000;
            a.two_phase = day.two_phase;
            a.find = {{day.term(came.asked)}, {}, rows};
            for (std::uint32_t s = 0; s < shards; ++s) a.shards.push_back(s);
            o.at = Clock::now();
            o.busy = true;
            o.client->ask(a);
        }
        service.turn();
    }
    came.work = fleet.work();
    came.counts = service.dispatcher().two_phase_counters();
    came.memory_bytes = service.dispatcher().section_filter_cache().bytes();
    std::sort(came.ms.begin(), came.ms.end());
    return came;
}

double ratio(double a, double b) { return b > 0 ? a / b : 0; }

// What the benchmark library measured, by name, in ns an iteration.
class Taken final : public benchmark::BenchmarkReporter {
  public:
    bool ReportContext(const Context&) override { return true; }
    void ReportRuns(const std::vector<Run>& runs) override {
        for (const Run& run : runs) ns[run.benchmark_name()] = run.GetAdjustedCPUTime();
    }
    std::map<std::string, double> ns;
};

std::size_t exact_bytes = 0;

// A section's terms as a filter and as an exact set: bytes and time of a look-up, half of them for terms it
// holds.
Taken time_lookups(std::size_t terms) {
    std::vector<std::uint8_t> filter = make_filter(terms, 12);
    std::unordered_set<std::string> exact;
    std::vector<std::string> asked;
    for (std::size_t i = 0; i < terms; ++i) {
        add_term(filter, term_hash("term-" + std::to_string(i)));
        exact.insert("term-" + std::to_string(i));
        asked.push_back("term-" + std::to_string(i * 2));
    }
    exact_bytes = exact.bucket_count() * sizeof(void*);
    for (const std::string& t : exact)
        exact_bytes += sizeof(std::string) + 2 * sizeof(void*) + (t.size() > 15 ? t.capacity() + 1 : 0);
    benchmark::RegisterBenchmark("filter", [=](benchmark::State& state) {
        for (std::size_t i = 0; auto _ : state)
            benchmark::DoNotOptimize(may_contain(filter, term_hash(asked[i++ % asked.size()])));
    });
    benchmark::RegisterBenchmark("exact", [=](benchmark::State& state) {
        for (std::size_t i = 0; auto _ : state)
            benchmark::DoNotOptimize(exact.contains(asked[i++ % asked.size()]));
    });
    Taken taken;
    benchmark::RunSpecifiedBenchmarks(&taken);
    return taken;
}

}  // namespace

int main() {
    bool met = true;
    const auto aim = [&met](bool held, const char* what) {
        if (!held) std::printf("missed: %s\n", what);
        met &= held;
    };
    int lost = 0, differing = 0;
    std::uint64_t first = 0, kept = 0;
    Nanos overrun = 0;
    const auto add = [&](const Came& c) {
        lost += c.asked - c.finals;
        differing += c.differing;
        first += c.counts.first_phases;
        kept += c.counts.within_budget;
        overrun = std::max(overrun, c.counts.worst_overrun);
    };
    std::printf("%-11s %-9s %9s %9s %10s %8s %8s %8s\n", "selectivity", "way", "look-ups", "records",
                "node bytes", "p50 ms", "p99 ms", "whole");
    std::map<double, double> saved;
    double p50[2] = {}, p99[2] = {}, bytes_saved_1 = 0;
    for (const double top : {0.01, 0.1, 0.5, 1.0}) {
        Came by[2];
        for (const bool two : {false, true}) {
            Day day;
            day.top = top;
            day.two_phase = two;
            day.script = script_of(day);
            day.operators = "two_phase \"part\" { remember = false }";
            Came& c = by[two] = play(day);
            add(c);
            std::printf("%-11g %-9s %9llu %9llu %10llu %8.2f %8.2f %8d\n", top,
                        two ? "two-phase" : "one-phase", static_cast<unsigned long long>(c.work.lookups),
                        static_cast<unsigned long long>(c.work.records),
                        static_cast<unsigned long long>(c.work.bytes_in + c.work.bytes_out), c.at(0.5),
                        c.at(0.99), c.whole);
            if (top == 0.01) p50[two] = c.at(0.5), p99[two] = c.at(0.99);
        }
        saved[top] = ratio(static_cast<double>(by[0].work.units()), static_cast<double>(by[1].work.units()));
        if (top == 0.01)
            bytes_saved_1 = ratio(static_cast<double>(by[0].work.bytes_in + by[0].work.bytes_out),
                                  static_cast<double>(by[1].work.bytes_in + by[1].work.bytes_out));
    }

    // Rough days: slow and silent words, nodes of one phase, wrong words, lost sections, changing contents.
    const char* rough[] = {"word_delay = \"60ms\"\n",       "silent_words = true\n",
                           "refuses_phases = \"close\"\n",  "bound_error = 9000\n",
                           "silent_on = [\"3\", \"77\"]\n", "rejects = true\n"};
    for (const char* trouble : rough) {
        Day day;
        day.top = 0.1;
        day.operators = "two_phase \"part\" { share = 0.2 }";
        day.script = script_of(day);
        // Nodes 0 and 4 hold no shard together: every shard keeps a sound holder.
        const HclBlock behaviour = parse_hcl(trouble, "trouble");
        day.before = [behaviour](Fleet& fleet, int n) {
            if (n == 20)
                for (const char* node : {"n0", "n4"}) fleet.play({0, node, behaviour, {}, 0});
        };
        const Came c = play(day);
        add(c);
        std::printf(
            "rough: %-28.*s finals %d of %d, whole %d, p99 %.1f ms, rechecked %llu, wrong words %llu\n",
            static_cast<int>(std::string_view(trouble).size() - 1), trouble, c.finals, c.asked, c.whole,
            c.at(0.99), static_cast<unsigned long long>(c.counts.rechecked),
            static_cast<unsigned long long>(c.counts.wrong_summaries));
    }

    // A day of ever other terms that no section holds, with and without what sections said being remembered.
    std::uint64_t words[2] = {};
    std::size_t memory_bytes = 0;
    for (const bool remember : {false, true}) {
        Day day;
        day.script = script_of(day, "lease = \"5s\"\n");
        day.operators = std::string("two_phase \"part\" { remember = ") + (remember ? "true }" : "false }");
        day.term = [](int n) { return "absent-" + std::to_string(n); };
        day.clients = 1;
        const Came c = play(day);
        add(c);
        words[remember] = c.work.summaries;
        if (remember) memory_bytes = c.memory_bytes;
    }
    const Taken taken = time_lookups(2000);
    const double calls_saved = 1 - ratio(static_cast<double>(words[1]), static_cast<double>(words[0]));
    // An exact set saves every call but each section's first.
    const double exact_saved = 1 - static_cast<double>(shards) / static_cast<double>(words[0]);
    std::printf("memory: filter %zu B and %.1f ns a look-up, exact set %zu B and %.1f ns (2,000 terms)\n",
                make_filter(2000, 12).size(), taken.ns.at("filter"), exact_bytes, taken.ns.at("exact"));
    std::printf(
        "memory: first-phase calls %llu without, %llu with (%.1f%% saved; an exact set %.1f%%), %zu B for %d "
        "sections\n",
        static_cast<unsigned long long>(words[0]), static_cast<unsigned long long>(words[1]),
        100 * calls_saved, 100 * exact_saved, memory_bytes, shards);

    const double in_budget = ratio(static_cast<double>(kept), static_cast<double>(first));
    aim(saved[0.01] >= 5, "at 1% at least 5 times less leaf work");
    aim(saved[1.0] >= 1 / 1.1, "at 100% at most 10% more leaf work");
    aim(in_budget >= 0.999, "99.9% of first phases keep their budget");
    aim(overrun <= step, "an overrun of at most one step");
    aim(lost == 0, "each query one final answer");
    aim(differing == 0, "no answer other than the true one");
    std::printf(
        "two-phase: saved_1=%.2f saved_10=%.2f saved_50=%.2f saved_100=%.2f bytes_saved_1=%.2f "
        "in_budget=%.4f first_phases=%llu "
        "overrun_ms=%.2f lost=%d differing=%d p50_ms=%.2f/%.2f p99_ms=%.2f/%.2f filter_bytes=%zu "
        "exact_bytes=%zu "
        "filter_ns=%.1f exact_ns=%.1f calls_saved=%.3f\n",
        saved[0.01], saved[0.1], saved[0.5], saved[1.0], bytes_saved_1, in_budget,
        static_cast<unsigned long long>(first), static_cast<double>(std::max<Nanos>(overrun, 0)) / 1e6, lost,
        differing, p50[1], p50[0], p99[1], p99[0], make_filter(2000, 12).size(), exact_bytes,
        taken.ns.at("filter"), taken.ns.at("exact"), calls_saved);
    return met ? 0 : 1;
}
