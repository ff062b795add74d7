// Compares the decisions of the module with recorded digests, so that a change of any decision in these
// simulated runs fails.
//
// The digests were recorded before the module was split into its present classes. A change that is meant to
// alter decisions records new ones, which a failing run of `tealcart_tests "[digest]"` prints, and says so in
// its commit.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <span>
#include <vector>

#include "simulated_fleet.hpp"

using namespace tealcart::test;

namespace {

constexpr int rounds = 3200;  // of 5 ms each, 16 seconds in total

struct RecordedRun {
    std::uint64_t seed;
    std::uint64_t digest;
};

// Seeds are left out if their decisions depend on the last bit of an estimate, since that bit may differ
// between C libraries.
constexpr std::array<RecordedRun, 48> recorded_runs = {{
    {1, 0xa34a28d775c95344ULL},  {2, 0xc33e076ca5f90a68ULL},  {3, 0x6b8accb5a1bd0c55ULL},
    {4, 0x621312487a503a04ULL},  {5, 0x317895e746dae2aaULL},  {6, 0xdd12b39a5747d73aULL},
    {8, 0x3b16e41a0f0d0936ULL},  {10, 0x7fa36ec9a12ca5e5ULL}, {11, 0x8ba2c841deae7b9bULL},
    {12, 0x6bdd16abab84efffULL}, {14, 0x25f19eda7ebc2b79ULL}, {15, 0xc512d7a1236d2fa9ULL},
    {16, 0x3bc592d7b9d1b27cULL}, {17, 0x47a85ac46eacf101ULL}, {19, 0x6f34cd53227030c1ULL},
    {20, 0x117d2420ad2075a7ULL}, {21, 0x6b6ed2d667fb6bdcULL}, {23, 0x9cf8331d238575fdULL},
    {24, 0xf5721312909e10d2ULL}, {25, 0xcc3baedcdefc8a36ULL}, {26, 0x802b09c60352a532ULL},
    {27, 0x4f98ec8359ffe4a8ULL}, {28, 0x878464e7a71d467dULL}, {29, 0x45ca48e8d0e6e8daULL},
    {30, 0xc0e527f7c417b3b2ULL}, {31, 0x03eaa608936b0285ULL}, {32, 0x69bf812ebaab6724ULL},
    {33, 0x2c393fb51d7b395fULL}, {35, 0x25bb3b3c0873d3b9ULL}, {36, 0x7bc354dfacf68ae8ULL},
    {37, 0x89abac38f2301ae0ULL}, {38, 0x7cc7709833159b4fULL}, {39, 0xc63fff9a8b07adffULL},
    {40, 0x79f00983910a9f55ULL}, {42, 0x7f95cf2590c20500ULL}, {43, 0x92ffab756898dd6cULL},
    {44, 0xee0613817b09058cULL}, {45, 0xdb590a8913ed09bcULL}, {46, 0xb2f06da389f87829ULL},
    {47, 0x5fb3d58c22930599ULL}, {48, 0x759bc0ed786d34f0ULL}, {49, 0xa1d8ed517dfcf92dULL},
    {50, 0xb8fcf10130cdd963ULL}, {51, 0xa87bde4a80e9f710ULL}, {52, 0x134c0c9b03c78f85ULL},
    {53, 0x3fb2b5d07692ede8ULL}, {54, 0x367831608bc10424ULL}, {55, 0xae85638462a8b95fULL},
}};

struct SimulatedRun {
    std::uint64_t digest = 0;
    SimulatedFleet::Counts counts;
};

const std::vector<SimulatedRun>& simulated_runs() {
    static const std::vector<SimulatedRun> runs = [] {
        std::vector<SimulatedRun> results;
        for (const RecordedRun& recorded : recorded_runs) {
            SimulatedFleet fleet(recorded.seed);
            const std::uint64_t digest = fleet.run(rounds);
            results.push_back({digest, fleet.counts()});
        }
        return results;
    }();
    return runs;
}

bool all_above(std::span<const int> counts, int bound) {
    return std::all_of(counts.begin(), counts.end(), [bound](int count) { return count > bound; });
}

}  // namespace

TEST_CASE("the decisions in simulated runs match the recorded digests", "[digest]") {
    for (std::size_t i = 0; i < recorded_runs.size(); ++i) {
        const std::uint64_t digest = simulated_runs()[i].digest;
        INFO("seed " << recorded_runs[i].seed << ", digest 0x" << std::hex << digest);
        CHECK(digest == recorded_runs[i].digest);
    }
}

TEST_CASE("the simulated runs contain every kind of event and decision", "[digest]") {
    SimulatedFleet::Counts all;
    for (const SimulatedRun& run : simulated_runs()) all += run.counts;
    CHECK(all_above(all.outcomes, 100));
    CHECK(all_above(all.lists, 40));
    CHECK(all_above(std::array{all.attempts, all.cancels, all.complete_answers, all.partial_answers}, 1000));
    CHECK(
        all_above(std::array{all.rejections, all.failures, all.timers, all.retries, all.later_phases}, 1000));
    CHECK(all_above(std::array{all.watches, all.drops, all.second_steps, all.hedges}, 50));
    CHECK(all_above(std::array{all.warming_attempts, all.logs}, 50));
}
