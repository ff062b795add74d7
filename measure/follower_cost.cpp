// Measures what it costs a router to follow configuration changes: `make measure-follower-cost`. The CPU time
// to apply one version, from the bytes of the answer to the resulting settings, for documents of 20 and of
// 1,000 entries, each a `two_phase` block of a query class of its own (1,000 is more than a deployment has),
// and the memory of the larger document. Prints one last line. The exit status is 1 if 17,000 versions a day
// take more than the share of a core, or the larger document more than the memory, that a router may spend on
// control.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdio>

#include "changes/document.hpp"
#include "members/config_overlay.hpp"
#include "wire/change_messages.hpp"

namespace {

using namespace tealcart;

constexpr int small_document_entries = 20, large_document_entries = 1000;
constexpr double versions_per_day = 17'000, microseconds_per_day = 86400e6;
// What a router may spend on control.
constexpr double max_core_share = 0.018, max_memory_bytes = 256e6;

std::string entry_key(int entry) { return "two_phase.vertical-" + std::to_string(entry); }

std::string entry_value(int entry, std::uint64_t version) {
    return "share = 0.3\nleast = \"10ms\"\nmost = \"1s\"\nkeep = \"5ms\"\nmost_rows = " +
           std::to_string(1 + (static_cast<std::uint64_t>(entry) + version) % 1000) + "\naudit = 0.01\n";
}

// A router's copy of the document and the settings that it results in.
struct Follower {
    explicit Follower(int entry_count) : entries(entry_count) {
        RouterConfig config;
        std::vector<std::string> query_classes;
        for (int i = 0; i < entries; ++i) {
            config.query_classes.emplace_back().effect = Effect::idempotent;
            query_classes.push_back("vertical-" + std::to_string(i));
        }
        overlay = std::make_unique<ConfigOverlay>(
            ConfigOverlay::Settings{{}, std::vector<TwoPhaseConfig>(query_classes.size())}, config,
            query_classes);
        changes::Delta first{0, 1, {}, {}, 0};
        for (int i = 0; i < entries; ++i) first.set[entry_key(i)] = entry_value(i, 0);
        first.digest = changes::digest_of(first.set);
        apply(first);
    }
    void apply(const changes::Delta& delta) {
        if (copy.apply(delta) != changes::DocumentCopy::ApplyResult::applied) std::abort();
        auto result = overlay->read(copy.document());
        if (auto* settings = std::get_if<ConfigOverlay::Settings>(&result))
            applied_settings = std::move(*settings);
        else
            std::abort();
        changed_entries += overlay->on_applied(copy.document());
    }
    // The relay's answer with the next version, which changes one entry.
    std::string next_answer() {
        const std::uint64_t next_version = copy.version() + 1;
        const int entry = static_cast<int>(next_version % static_cast<std::uint64_t>(entries));
        changes::Delta delta{
            copy.version(), next_version, {{entry_key(entry), entry_value(entry, next_version)}}, {}, 0};
        delta.digest = copy.digest() -
                       changes::digest_of(entry_key(entry), copy.document().at(entry_key(entry))) +
                       changes::digest_of(entry_key(entry), delta.set.at(entry_key(entry)));
        ChangesAnswer answer;
        answer.version = next_version;
        answer.lease = 10'000'000'000;
        answer.delta = delta;
        return write_changes_answer(answer);
    }

    const int entries;
    changes::DocumentCopy copy;
    std::unique_ptr<ConfigOverlay> overlay;
    ConfigOverlay::Settings applied_settings;
    std::size_t changed_entries = 0;
};

void apply_version(benchmark::State& state) {
    Follower follower(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        state.PauseTiming();
        const std::string body = follower.next_answer();
        state.ResumeTiming();
        follower.apply(*read_changes_answer(body)->delta);
    }
}
BENCHMARK(apply_version)
    ->Arg(small_document_entries)
    ->Arg(large_document_entries)
    ->Unit(benchmark::kMicrosecond);

// Prints the cases and keeps the CPU time of each.
class CpuTimeReporter : public benchmark::ConsoleReporter {
  public:
    void ReportRuns(const std::vector<Run>& runs) override {
        for (const Run& run : runs) cpu_us.push_back(run.GetAdjustedCPUTime());
        ConsoleReporter::ReportRuns(runs);
    }
    std::vector<double> cpu_us;  // per version, by case
};

}  // namespace

int main(int argc, char** argv) {
    const auto allocated_bytes = [] { return static_cast<double>(mallinfo2().uordblks); };
    const double bytes_before = allocated_bytes();
    const auto follower = std::make_unique<Follower>(large_document_entries);
    const double follower_bytes = allocated_bytes() - bytes_before;
    benchmark::Initialize(&argc, argv);
    CpuTimeReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    if (reporter.cpu_us.size() != 2) return 1;
    // The CPU time of all versions of a day, as a share of the day.
    const double core_share = reporter.cpu_us[1] * versions_per_day / microseconds_per_day;
    std::printf("follower-cost: version_us=%.1f/%.1f entries=%d/%d core_share=%.6f copy_bytes=%.0f\n",
                reporter.cpu_us[0], reporter.cpu_us[1], small_document_entries, large_document_entries,
                core_share, follower_bytes);
    return core_share < max_core_share && follower_bytes < max_memory_bytes ? 0 : 1;
}
