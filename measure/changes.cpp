// What changes of configuration cost the managers' state at the size of a fleet: 3,600 members behind 24
// relays, a document of 1,000 entries and 17,000 changes, as commands and bytes, without a wire. The last
// line has the figures; status 1 where a plain word costs more than what it states or a version does not come
// through.
#include <chrono>
#include <cstdio>

#include "changes/change_state.hpp"
#include "changes/report_aggregator.hpp"

using namespace tealcart::changes;

namespace {

constexpr Nanos second = 1'000'000'000;
constexpr int relays = 24, members = 150, entries = 1000, changes = 17'000, max_exceptions = 16;

class Spent {
  public:
    template <typename Do>
    auto of(Do what) {
        const auto begin = std::chrono::steady_clock::now();
        auto came = what();
        spent_ += std::chrono::steady_clock::now() - begin;
        ++times_;
        return came;
    }
    double us() const { return std::chrono::duration<double, std::micro>(spent_).count() / times_; }

  private:
    std::chrono::steady_clock::duration spent_{};
    int times_ = 0;
};

}  // namespace

int main() {
    ChangeState state{Limits{}};
    Nanos now = 1000 * second;
    const auto tell = [&](auto what) { return state.apply({"", now, std::move(what)}); };

    Publish whole{"ann", {}, {}, {}};
    for (int i = 0; i < entries; ++i) whole.set["service/entry-" + std::to_string(i)] = std::string(200, 'a');
    tell(whole);

    std::vector<ReportAggregator> gathers;
    Spent first, plain, mixed, publish, save, load, gathered;
    std::size_t first_bytes = 0, plain_bytes = 0, mixed_bytes = 0, delta_bytes = 0;
    std::uint64_t plain_looked = 0, mixed_looked = 0;
    const auto member = [](int r, int m, std::uint64_t applied_version) {
        return MemberReport{"router-" + std::to_string(r) + "-" + std::to_string(m),
                            1,
                            24 * 3600 * second,
                            applied_version,
                            0,
                            ""};
    };
    const auto say = [&](int r, Spent& spent, std::size_t& bytes) {
        ReportAggregator& g = gathers[static_cast<std::size_t>(r)];
        const RelayReport word = gathered.of([&] { return g.next_report(now, second); });
        bytes = std::max(bytes, write_command({"", now, ReportBatch{{word}}}).size());
        const auto effects = spent.of([&] { return tell(ReportBatch{{word}}); });
        g.acknowledge(word.number, now, 10 * second);
        return effects;
    };
    for (int r = 0; r < relays; ++r) {
        gathers.emplace_back("relay-" + std::to_string(r), "z" + std::to_string(r / 2), 1, 1000,
                             max_exceptions);
        for (int m = 0; m < members; ++m) gathers.back().record_report(now, member(r, m, 1));
        say(r, first, first_bytes);
    }
    std::size_t in_force = 0;
    for (int i = 0; i < changes; ++i) {
        now += second / 5;
        const std::string key = "service/entry-" + std::to_string(i * 7 % entries);
        const Command c{"", now, Publish{"ann", {{key, std::to_string(i) + std::string(200, 'b')}}, {}, {}}};
        delta_bytes = std::max(delta_bytes, write_command(c).size());
        publish.of([&] { return state.apply(c); });
        // Each says once while a tenth of its members are behind, and once when all have followed.
        const std::uint64_t version = state.version();
        for (int r = 0; r < relays; ++r) {
            ReportAggregator& g = gathers[static_cast<std::size_t>(r)];
            for (int m = 0; m < members; ++m)
                if (m % 10 != 0) g.record_report(now, member(r, m, version));
            say(r, mixed, mixed_bytes);
            mixed_looked = std::max(mixed_looked, state.visited_count());
        }
        for (int r = 0; r < relays; ++r) {
            ReportAggregator& g = gathers[static_cast<std::size_t>(r)];
            for (int m = 0; m < members; m += 10) g.record_report(now, member(r, m, version));
            std::size_t bytes = 0;
            for (const Effect& effect : say(r, mixed, bytes))
                in_force += std::holds_alternative<AppliedEverywhere>(effect);
        }
        if (i % 100 != 0) continue;
        for (int r = 0; r < relays; ++r) {
            say(r, plain, plain_bytes);
            plain_looked = std::max(plain_looked, state.visited_count());
        }
    }
    std::size_t state_bytes = 0;
    for (int i = 0; i < 5; ++i) {
        const auto bytes = save.of([&] { return state.save(); });
        state_bytes = bytes.size();
        load.of([&] {
            ChangeState read{Limits{}};
            read.load(bytes);
            return read.version();
        });
    }
    // One relay says nothing more, the others do: its members' leases end together.
    std::uint64_t over_looked = 0;
    for (int i = 0; i < 12; ++i) {
        now += second;
        for (int r = 1; r < relays; ++r) {
            ReportAggregator& g = gathers[static_cast<std::size_t>(r)];
            for (int m = 0; m < members; ++m) g.record_report(now, member(r, m, state.version()));
            const RelayReport word = g.next_report(now, second);
            tell(ReportBatch{{word}});
            over_looked = std::max(over_looked, state.visited_count());
            g.acknowledge(word.number, now, 10 * second);
        }
    }
    const bool kept = plain_looked == 1 && in_force == changes && state.members() == relays * members;
    std::printf(
        "changes: members=%d relays=%d first_word_kb=%.1f first_word_us=%.0f plain_word_bytes=%zu "
        "plain_word_us=%.1f plain_looked=%llu behind_word_bytes=%zu behind_word_us=%.1f behind_looked=%llu "
        "over_looked=%llu gather_us=%.1f publish_bytes=%zu publish_us=%.1f in_force=%zu state_mb=%.2f "
        "save_ms=%.1f load_ms=%.1f%s\n",
        relays * members, relays, static_cast<double>(first_bytes) / 1e3, first.us(), plain_bytes, plain.us(),
        static_cast<unsigned long long>(plain_looked), mixed_bytes, mixed.us(),
        static_cast<unsigned long long>(mixed_looked), static_cast<unsigned long long>(over_looked),
        gathered.us(), delta_bytes, publish.us(), in_force, static_cast<double>(state_bytes) / 1e6,
        save.us() / 1e3, load.us() / 1e3, kept ? " kept" : " MISSED");
    return kept ? 0 : 1;
}
