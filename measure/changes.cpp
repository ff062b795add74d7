// Measures what configuration changes cost the fleet managers' replicated state: 3,600 members behind 24
// relays, a document of 1,000 entries and 17,000 changes, as the time and the encoded size of commands.
// Nothing is sent over a network. The last line has the figures. The exit status is 1 if a report without
// changes visits anything but its relay, if a version is not applied everywhere, or if a member is missing.
#include <chrono>
#include <cstdio>

#include "changes/change_state.hpp"
#include "changes/report_aggregator.hpp"

using namespace tealcart::changes;

namespace {

constexpr Nanos second = 1'000'000'000;
constexpr Nanos lease = 10 * second, drift = second, publish_interval = second / 5;
constexpr int relays = 24, members_per_relay = 150, entries = 1000, changes = 17'000, max_exceptions = 16;

// The mean wall-clock time of repeated calls.
class CallTimer {
  public:
    template <typename Call>
    auto measure(Call call) {
        const auto started_at = std::chrono::steady_clock::now();
        auto result = call();
        total_ += std::chrono::steady_clock::now() - started_at;
        ++call_count_;
        return result;
    }
    double mean_us() const { return std::chrono::duration<double, std::micro>(total_).count() / call_count_; }

  private:
    std::chrono::steady_clock::duration total_{};
    int call_count_ = 0;
};

}  // namespace

int main() {
    ChangeState state{Limits{}};
    Nanos now = 1000 * second;
    const auto apply = [&](auto payload) { return state.apply({"", now, std::move(payload)}); };

    Publish first_version{"ann", {}, {}, {}};
    for (int i = 0; i < entries; ++i)
        first_version.set["service/entry-" + std::to_string(i)] = std::string(200, 'a');
    apply(first_version);

    // The relays send three kinds of reports: the first full one, those while a version is rolled out, and
    // unchanged ones, which only renew the leases.
    std::vector<ReportAggregator> aggregators;
    CallTimer full_report_timer, unchanged_report_timer, rollout_report_timer, publish_timer, save_timer,
        load_timer, aggregation_timer;
    std::size_t full_report_bytes = 0, unchanged_report_bytes = 0, rollout_report_bytes = 0,
                publish_bytes = 0;
    std::uint64_t unchanged_report_visited = 0, rollout_report_visited = 0;
    const auto member_report = [](int relay, int member, std::uint64_t applied_version) {
        return MemberReport{"router-" + std::to_string(relay) + "-" + std::to_string(member),
                            1,
                            24 * 3600 * second,
                            applied_version,
                            0,
                            ""};
    };
    const auto send_report = [&](int relay, CallTimer& timer, std::size_t& max_bytes) {
        ReportAggregator& aggregator = aggregators[static_cast<std::size_t>(relay)];
        const RelayReport report =
            aggregation_timer.measure([&] { return aggregator.next_report(now, drift); });
        max_bytes = std::max(max_bytes, write_command({"", now, ReportBatch{{report}}}).size());
        const auto effects = timer.measure([&] { return apply(ReportBatch{{report}}); });
        aggregator.acknowledge(report.number, now, lease);
        return effects;
    };
    for (int relay = 0; relay < relays; ++relay) {
        aggregators.emplace_back("relay-" + std::to_string(relay), "z" + std::to_string(relay / 2), 1, 1000,
                                 max_exceptions);
        for (int member = 0; member < members_per_relay; ++member)
            aggregators.back().record_report(now, member_report(relay, member, 1));
        send_report(relay, full_report_timer, full_report_bytes);
    }
    std::size_t applied_everywhere = 0;
    for (int i = 0; i < changes; ++i) {
        now += publish_interval;
        const std::string key = "service/entry-" + std::to_string(i * 7 % entries);
        const Command command{"", now,
                              Publish{"ann", {{key, std::to_string(i) + std::string(200, 'b')}}, {}, {}}};
        publish_bytes = std::max(publish_bytes, write_command(command).size());
        publish_timer.measure([&] { return state.apply(command); });
        // Each relay reports once while a tenth of its members lag behind, and once when all have applied the
        // version.
        const std::uint64_t version = state.version();
        for (int relay = 0; relay < relays; ++relay) {
            ReportAggregator& aggregator = aggregators[static_cast<std::size_t>(relay)];
            for (int member = 0; member < members_per_relay; ++member)
                if (member % 10 != 0) aggregator.record_report(now, member_report(relay, member, version));
            send_report(relay, rollout_report_timer, rollout_report_bytes);
            rollout_report_visited = std::max(rollout_report_visited, state.visited_count());
        }
        for (int relay = 0; relay < relays; ++relay) {
            ReportAggregator& aggregator = aggregators[static_cast<std::size_t>(relay)];
            for (int member = 0; member < members_per_relay; member += 10)
                aggregator.record_report(now, member_report(relay, member, version));
            std::size_t bytes = 0;
            for (const Effect& effect : send_report(relay, rollout_report_timer, bytes))
                applied_everywhere += std::holds_alternative<AppliedEverywhere>(effect);
        }
        if (i % 100 != 0) continue;
        for (int relay = 0; relay < relays; ++relay) {
            send_report(relay, unchanged_report_timer, unchanged_report_bytes);
            unchanged_report_visited = std::max(unchanged_report_visited, state.visited_count());
        }
    }
    std::size_t state_bytes = 0;
    for (int i = 0; i < 5; ++i) {
        const auto bytes = save_timer.measure([&] { return state.save(); });
        state_bytes = bytes.size();
        load_timer.measure([&] {
            ChangeState loaded{Limits{}};
            loaded.load(bytes);
            return loaded.version();
        });
    }
    // The first relay stops reporting while the others go on, so that the leases of all its members expire
    // at the same time.
    std::uint64_t expiry_visited = 0;
    for (int i = 0; i < 12; ++i) {
        now += second;
        for (int relay = 1; relay < relays; ++relay) {
            ReportAggregator& aggregator = aggregators[static_cast<std::size_t>(relay)];
            for (int member = 0; member < members_per_relay; ++member)
                aggregator.record_report(now, member_report(relay, member, state.version()));
            const RelayReport report = aggregator.next_report(now, drift);
            apply(ReportBatch{{report}});
            expiry_visited = std::max(expiry_visited, state.visited_count());
            aggregator.acknowledge(report.number, now, lease);
        }
    }
    const bool passed = unchanged_report_visited == 1 && applied_everywhere == changes &&
                        state.members() == relays * members_per_relay;
    std::printf(
        "changes: members=%d relays=%d first_word_kb=%.1f first_word_us=%.0f plain_word_bytes=%zu "
        "plain_word_us=%.1f plain_looked=%llu behind_word_bytes=%zu behind_word_us=%.1f behind_looked=%llu "
        "over_looked=%llu gather_us=%.1f publish_bytes=%zu publish_us=%.1f in_force=%zu state_mb=%.2f "
        "save_ms=%.1f load_ms=%.1f%s\n",
        relays * members_per_relay, relays, static_cast<double>(full_report_bytes) / 1e3,
        full_report_timer.mean_us(), unchanged_report_bytes, unchanged_report_timer.mean_us(),
        static_cast<unsigned long long>(unchanged_report_visited), rollout_report_bytes,
        rollout_report_timer.mean_us(), static_cast<unsigned long long>(rollout_report_visited),
        static_cast<unsigned long long>(expiry_visited), aggregation_timer.mean_us(), publish_bytes,
        publish_timer.mean_us(), applied_everywhere, static_cast<double>(state_bytes) / 1e6,
        save_timer.mean_us() / 1e3, load_timer.mean_us() / 1e3, passed ? " kept" : " MISSED");
    return passed ? 0 : 1;
}
