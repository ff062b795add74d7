// What it costs a router to follow changes of configuration: `make measure-follower-cost`. Processor time of
// a version from the answer's bytes to what the bridge is handed, for documents of 20 and of 1,000 entries,
// each a `two_phase` block of a query class of its own (1,000 is more than a deployment has), and the memory
// of the larger copy. Prints one last line, and ends with 1 where 17,000 versions a day take more than the
// share of a core, or the copy more of the memory, that a router may spend on control.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdio>

#include "changes/document.hpp"
#include "members/config_overlay.hpp"
#include "wire/change_messages.hpp"

namespace {

using namespace tealcart;

constexpr int many = 1000, few = 20;  // entries
constexpr double versions_a_day = 17'000;

std::string key_of(int i) { return "two_phase.vertical-" + std::to_string(i); }

std::string value_of(int i, std::uint64_t version) {
    return "share = 0.3\nleast = \"10ms\"\nmost = \"1s\"\nkeep = \"5ms\"\nmost_rows = " +
           std::to_string(1 + (static_cast<std::uint64_t>(i) + version) % 1000) + "\naudit = 0.01\n";
}

struct Follows {
    explicit Follows(int of) : entries(of) {
        RouterConfig config;
        std::vector<std::string> query_classes;
        for (int i = 0; i < entries; ++i) {
            config.query_classes.emplace_back().effect = Effect::idempotent;
            query_classes.push_back("vertical-" + std::to_string(i));
        }
        configuration = std::make_unique<ConfigOverlay>(
            ConfigOverlay::Settings{{}, std::vector<TwoPhaseConfig>(query_classes.size())}, config,
            query_classes);
        changes::Delta first{0, 1, {}, {}, 0};
        for (int i = 0; i < entries; ++i) first.set[key_of(i)] = value_of(i, 0);
        first.digest = changes::digest_of(first.set);
        take(first);
    }
    void take(const changes::Delta& delta) {
        if (copy.apply(delta) != changes::DocumentCopy::ApplyResult::applied) std::abort();
        auto read = configuration->read(copy.document());
        if (auto* settings = std::get_if<ConfigOverlay::Settings>(&read))
            applied_version = std::move(*settings);
        else
            std::abort();
        changed += configuration->on_applied(copy.document());
    }
    // The answer that a relay gives for the next version, of one entry.
    std::string answer() {
        const std::uint64_t next = copy.version() + 1;
        const int i = static_cast<int>(next % static_cast<std::uint64_t>(entries));
        changes::Delta delta{copy.version(), next, {{key_of(i), value_of(i, next)}}, {}, 0};
        delta.digest = copy.digest() - changes::digest_of(key_of(i), copy.document().at(key_of(i))) +
                       changes::digest_of(key_of(i), delta.set.at(key_of(i)));
        ChangesAnswer a;
        a.version = next;
        a.lease = 10'000'000'000;
        a.delta = delta;
        return write_changes_answer(a);
    }

    const int entries;
    changes::DocumentCopy copy;
    std::unique_ptr<ConfigOverlay> configuration;
    ConfigOverlay::Settings applied_version;
    std::size_t changed = 0;
};

void take_version(benchmark::State& state) {
    Follows follows(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        state.PauseTiming();
        const std::string body = follows.answer();
        state.ResumeTiming();
        follows.take(*read_changes_answer(body)->delta);
    }
}
BENCHMARK(take_version)->Arg(few)->Arg(many)->Unit(benchmark::kMicrosecond);

class Kept : public benchmark::ConsoleReporter {
  public:
    void ReportRuns(const std::vector<Run>& runs) override {
        for (const Run& run : runs) us.push_back(run.GetAdjustedCPUTime());
        ConsoleReporter::ReportRuns(runs);
    }
    std::vector<double> us;  // of each case
};

}  // namespace

int main(int argc, char** argv) {
    const auto held = [] { return static_cast<double>(mallinfo2().uordblks); };
    const double before = held();
    const auto follows = std::make_unique<Follows>(many);
    const double bytes = held() - before;
    benchmark::Initialize(&argc, argv);
    Kept kept;
    benchmark::RunSpecifiedBenchmarks(&kept);
    if (kept.us.size() != 2) return 1;
    // All of a day's versions over the day.
    const double share = kept.us[1] * versions_a_day / 86400e6;
    std::printf("follower-cost: version_us=%.1f/%.1f entries=%d/%d core_share=%.6f copy_bytes=%.0f\n",
                kept.us[0], kept.us[1], few, many, share, bytes);
    return share < 0.018 && bytes < 256e6 ? 0 : 1;
}
