// Measures what the relay tier costs and how fast it delivers versions at the planned size: three real fleet
// managers, 24 real relays and up to 3,600 hollow followers (see src/testing/hollow_follower.hpp) on
// loopback. Costs are processor time, bytes and memory. Wall clock is measured only where the aim is a
// duration, as the machine may be shared.
//
//   measure_relays [--only FOLLOWERS] [--entries N] [--json FILE]
//
// `capacity --take` reads the lines `point NAME SIZE FIGURE`. The last line has the figures. The exit status
// is 1 if an aim is missed.
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <random>

#include "capacity/capacity.hpp"
#include "testing/hollow_follower.hpp"
#include "testing/hollow_rig.hpp"
#include "testing/relay_rig.hpp"

using namespace tealcart;
using namespace tealcart::testing;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

constexpr double max_cold_start_s = 300;
// The longest times until 99% and all of the followers have applied a version.
constexpr double max_p99_apply_s = 2, max_all_apply_s = 19;
constexpr double max_follower_cpu_ms_s = 18;     // 1.8% of a core
constexpr double max_follower_bytes_s = 26'000;  // in both directions
constexpr double max_leader_cpu_ms_s = 250;      // a quarter of a core
constexpr int planned_changes_per_s = 4;
constexpr std::size_t value_bytes = 200;
constexpr Ms settle_time{3000}, steady_time{30'000}, relay_killed_time{12'000}, leader_killed_time{15'000};
constexpr Ms in_force_check_interval{2000}, publish_timeout{20'000}, apply_timeout{60'000};

double to_seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string own_program_path() {
    char path[4096];
    const auto length = ::readlink("/proc/self/exe", path, sizeof path - 1);
    return length > 0 ? std::string(path, static_cast<std::size_t>(length)) : std::string();
}

// Compares results with their aims and prints those that are missed.
struct Aims {
    bool all_met = true;
    void check(bool is_met, const std::string& aim) {
        if (!is_met) std::printf("missed: %s\n", aim.c_str());
        all_met &= is_met;
    }
};

// The resource use of all processes since their start, taken at one moment.
struct Sample {
    TimePoint taken_at = Clock::now();
    std::size_t leader = 0;
    std::vector<ProcessFigures> managers, relays, processes;
    double bytes_in = 0, bytes_out = 0;  // of all followers' connections
};
Sample take_sample(RelayRig& rig) {
    Sample sample;
    sample.leader = rig.leader();
    for (const Json& report : rig.broadcast_command("bytes"))
        if (report.is_object())
            sample.bytes_in += report["in"].get<double>(), sample.bytes_out += report["out"].get<double>();
    sample.taken_at = Clock::now();
    const auto append_figures = [](const auto& processes, auto& figures) {
        for (const auto& process : processes)
            figures.push_back(process ? process_figures(process->pid()) : ProcessFigures());
    };
    append_figures(rig.managers, sample.managers);
    append_figures(rig.relays, sample.relays);
    append_figures(rig.processes, sample.processes);
    return sample;
}

// The cost of the time between two samples: processor time in ms/s, bytes in bytes/s, and private memory that
// was written to, in MB. The figures of a relay, a follower and a following fleet manager are averages.
struct Cost {
    double span_s = 0, leader_cpu = 0, following_manager_cpu = 0, leader_mb = 0, leader_disk_bytes = 0;
    double relay_cpu = 0, max_relay_cpu = 0, relay_mb = 0, max_relay_mb = 0;
    double relay_bytes_out = 0, relay_bytes_in = 0;  // to its followers, and from them
    double follower_cpu = 0, follower_bytes_in = 0, follower_bytes_out = 0, follower_mb = 0;
};
Cost cost_between(const Sample& before, const Sample& after, std::size_t followers) {
    Cost cost;
    cost.span_s = to_seconds(after.taken_at - before.taken_at);
    const auto cpu_ms_per_s = [&cost](const ProcessFigures& from, const ProcessFigures& to) {
        return 1000 * (to.cpu_s - from.cpu_s) / cost.span_s;
    };
    for (std::size_t i = 0; i < after.managers.size(); ++i)
        (i == after.leader ? cost.leader_cpu : cost.following_manager_cpu) +=
            cpu_ms_per_s(before.managers[i], after.managers[i]);
    cost.following_manager_cpu /= static_cast<double>(after.managers.size() - 1);
    if (after.leader < after.managers.size()) {
        cost.leader_mb = after.managers[after.leader].dirty_mb;
        cost.leader_disk_bytes = static_cast<double>(after.managers[after.leader].disk_write_bytes -
                                                     before.managers[after.leader].disk_write_bytes) /
                                 cost.span_s;
    }
    const auto relay_count = static_cast<double>(after.relays.size()),
               follower_count = static_cast<double>(followers);
    for (std::size_t i = 0; i < after.relays.size(); ++i) {
        const double cpu = cpu_ms_per_s(before.relays[i], after.relays[i]);
        cost.relay_cpu += cpu / relay_count, cost.max_relay_cpu = std::max(cost.max_relay_cpu, cpu);
        cost.relay_mb += after.relays[i].dirty_mb / relay_count;
        cost.max_relay_mb = std::max(cost.max_relay_mb, after.relays[i].dirty_mb);
    }
    for (std::size_t i = 0; i < after.processes.size(); ++i) {
        cost.follower_cpu += cpu_ms_per_s(before.processes[i], after.processes[i]) / follower_count;
        cost.follower_mb += after.processes[i].dirty_mb / follower_count;
    }
    cost.relay_bytes_out = (after.bytes_in - before.bytes_in) / cost.span_s / relay_count,
    cost.relay_bytes_in = (after.bytes_out - before.bytes_out) / cost.span_s / relay_count;
    cost.follower_bytes_in = (after.bytes_in - before.bytes_in) / cost.span_s / follower_count,
    cost.follower_bytes_out = (after.bytes_out - before.bytes_out) / cost.span_s / follower_count;
    return cost;
}

void print(const char* period, const Cost& cost) {
    std::printf(
        "  %s (%.1f s): leader %.1f ms/s, %.1f MB, log %.0f B/s; a following fleet manager %.1f ms/s\n"
        "    a relay: %.2f ms/s (maximum %.2f), %.2f MB (maximum %.2f), to followers %.0f B/s, from them "
        "%.0f\n    a follower: %.3f ms/s, %.2f MB, %.0f B/s in, %.0f out\n",
        period, cost.span_s, cost.leader_cpu, cost.leader_mb, cost.leader_disk_bytes,
        cost.following_manager_cpu, cost.relay_cpu, cost.max_relay_cpu, cost.relay_mb, cost.max_relay_mb,
        cost.relay_bytes_out, cost.relay_bytes_in, cost.follower_cpu, cost.follower_mb,
        cost.follower_bytes_in, cost.follower_bytes_out);
    std::fflush(stdout);
}

// A period in which changes are published, and what was measured in it.
struct PublishPeriod {
    std::string name;
    std::vector<RelayRig::PublishResult> published;
    bool consecutive_versions = true;  // each version is one more than the version before it
    double changes_per_s = 0, mean_publish_ms = 0, max_publish_ms = 0;
    // From the publish response until 99% and all followers have applied the version, of the slowest version.
    double p99_apply_s = 0, all_apply_s = 0;
    double median_apply_ms = 0;           // of all followers and versions
    std::size_t missed_applications = 0;  // followers that never applied a version, summed over versions
    // From the last publish response until all followers have applied the last version, and until the leader
    // reports it as in force; 1e9 if that timed out.
    double last_apply_s = -1, last_in_force_s = -1;
    // Checks that found a follower with a lease behind the version in force, and all checks.
    std::uint64_t in_force_violations = 0, in_force_checks = 0;
    FollowerFigures final_figures;
    bool digests_equal = false;  // the followers' final digests are equal to the managers'
};

// Publishes changes at the planned rate and measures when the followers apply them.
class PublishBenchmark {
  public:
    PublishBenchmark(RelayRig& rig, std::size_t entries) : rig_(rig), entries_(entries) {}

    // Returns the key of the entry at this index, modulo the number of entries.
    std::string key(std::size_t index) const { return "service/entry-" + std::to_string(index % entries_); }
    // Returns the value for the next change.
    std::string value() {
        return numbered_value(++last_sequence_number_, Clock::now().time_since_epoch().count(), value_bytes);
    }

    // Publishes the document that the followers read when they start.
    bool publish_document() {
        std::map<std::string, std::string> document;
        for (std::size_t index = 0; index < entries_; ++index) document[key(index)] = value();
        const auto result = rig_.publish("first", document, publish_timeout);
        last_version_ = result.version;
        return result.version > 0;
    }
    std::uint64_t last_version() const { return last_version_; }

    // Runs one period. Calls `event` in its middle, and `ended` after the last change was published and
    // before the final checks.
    PublishPeriod run_period(std::string name, Ms span, const std::function<void()>& event,
                             const std::function<void()>& ended = {}) {
        PublishPeriod period;
        period.name = std::move(name);
        const auto started_at = Clock::now();
        auto next_change = started_at, next_check = started_at;
        bool event_done = false;
        const std::uint64_t version_before = last_version_;
        while (Clock::now() - started_at < span) {
            if (!event_done && event && Clock::now() - started_at > span / 2) event_done = true, event();
            if (Clock::now() >= next_change) {
                next_change =
                    std::max(next_change + Ms(1000 / planned_changes_per_s), Clock::now() - Ms(1000));
                const auto result = rig_.publish("change-" + std::to_string(last_sequence_number_ + 1),
                                                 {{key(random_()), value()}}, publish_timeout);
                period.consecutive_versions &= result.version == last_version_ + 1;
                if (result.version > 0) last_version_ = result.version;
                period.published.push_back(result);
            }
            if (Clock::now() >= next_check)
                next_check = Clock::now() + in_force_check_interval, check_in_force(period);
            const auto pause =
                std::chrono::duration_cast<Ms>(std::min(next_change, next_check) - Clock::now());
            if (pause.count() > 0) rig_.run_for(pause);
        }
        period.changes_per_s =
            static_cast<double>(period.published.size()) / to_seconds(Clock::now() - started_at);
        if (ended) ended();
        const auto answered_at = period.published.back().answered_at;
        const bool applied =
            rig_.until([&] { return rig_.followers().min_version >= last_version_; }, apply_timeout);
        period.last_apply_s = applied ? to_seconds(Clock::now() - answered_at) : 1e9;
        const bool reported = rig_.until(
            [&] {
                rig_.run_for(Ms(50));
                return check_in_force(period) >= last_version_;
            },
            apply_timeout);
        period.last_in_force_s = reported ? to_seconds(Clock::now() - answered_at) : 1e9;
        period.final_figures = rig_.followers();
        period.digests_equal = period.final_figures.digests.size() == 1 &&
                               period.final_figures.followers == rig_.options.followers;
        for (std::size_t i = 0; i < rig_.options.managers; ++i) {
            const Json page = rig_.changes(i);
            if (page.is_object())
                period.digests_equal &=
                    page["digest"] == period.final_figures.digests[0] && page["version"] == last_version_;
        }
        summarize_times(period, version_before);
        return period;
    }

  private:
    // Compares the version in force with the followers' versions. It reads the leader's version first, so a
    // follower that is found behind it was also behind it when the leader reported it.
    std::uint64_t check_in_force(PublishPeriod& period) {
        const Json page = rig_.changes();
        if (!page.is_object()) return 0;
        const auto in_force = page["in_force"].get<std::uint64_t>();
        const FollowerFigures figures = rig_.followers();
        period.in_force_checks += figures.followers == rig_.options.followers;
        period.in_force_violations += figures.min_version_of_holders < in_force;
        return in_force;
    }

    // Summarizes how long publishing took, and how long after that the followers applied each version.
    void summarize_times(PublishPeriod& period, std::uint64_t version_before) {
        std::vector<std::vector<std::int64_t>> applied_at(last_version_ - version_before);
        for (const Json& report : rig_.broadcast_command("acted " + std::to_string(version_before + 1) + " " +
                                                         std::to_string(last_version_))) {
            for (std::size_t version = 0; report.is_array() && version < applied_at.size(); ++version)
                for (const Json& time_us : report[version])
                    applied_at[version].push_back(time_us.get<std::int64_t>());
        }
        std::vector<double> all_ms;
        for (const RelayRig::PublishResult& result : period.published) {
            const double publish_ms = 1000 * to_seconds(result.answered_at - result.requested_at);
            period.mean_publish_ms += publish_ms / static_cast<double>(period.published.size());
            period.max_publish_ms = std::max(period.max_publish_ms, publish_ms);
            if (result.version <= version_before || result.version > last_version_) continue;
            auto& times = applied_at[result.version - version_before - 1];
            period.missed_applications +=
                rig_.options.followers - std::min(rig_.options.followers, times.size());
            if (times.empty()) continue;
            std::sort(times.begin(), times.end());
            const auto delay_s = [&](std::size_t index) {
                const std::int64_t answered_us = std::chrono::duration_cast<std::chrono::microseconds>(
                                                     result.answered_at.time_since_epoch())
                                                     .count();
                return static_cast<double>(times[index] - answered_us) / 1e6;
            };
            period.p99_apply_s = std::max(period.p99_apply_s, delay_s((times.size() * 99 + 99) / 100 - 1));
            period.all_apply_s = std::max(period.all_apply_s, delay_s(times.size() - 1));
            for (std::size_t index = 0; index < times.size(); ++index)
                all_ms.push_back(1000 * delay_s(index));
        }
        if (all_ms.empty()) return;
        std::nth_element(all_ms.begin(), all_ms.begin() + static_cast<std::ptrdiff_t>(all_ms.size() / 2),
                         all_ms.end());
        period.median_apply_ms = all_ms[all_ms.size() / 2];
    }

    RelayRig& rig_;
    const std::size_t entries_;
    std::uint64_t last_sequence_number_ = 0, last_version_ = 0;
    std::knuth_b random_{4711};
};

void print(const PublishPeriod& period) {
    std::printf(
        "  %s: %zu changes, %.2f per second, publish response after %.1f ms (maximum %.0f); "
        "slowest version: applied by 99%% after %.3f s, by all after %.3f s; median of all %.1f ms\n"
        "    last version applied by all after %.2f s, reported in force after %.2f s; not applied: %zu; "
        "in force too early: %llu of %llu checks; out of order: %llu; digests %s; lapsed leases: %llu; "
        "rejected as corrupt or after a gap: %llu\n",
        period.name.c_str(), period.published.size(), period.changes_per_s, period.mean_publish_ms,
        period.max_publish_ms, period.p99_apply_s, period.all_apply_s, period.median_apply_ms,
        period.last_apply_s, period.last_in_force_s, period.missed_applications,
        static_cast<unsigned long long>(period.in_force_violations),
        static_cast<unsigned long long>(period.in_force_checks),
        static_cast<unsigned long long>(period.final_figures.order_violations),
        period.digests_equal ? "equal" : "DIFFER",
        static_cast<unsigned long long>(period.final_figures.lease_lapses),
        static_cast<unsigned long long>(period.final_figures.rejected));
    std::fflush(stdout);
}

// The results at one number of followers.
struct SizeStep {
    std::size_t followers = 0;
    bool started = false;  // all followers hold a lease and have the first version
    double cold_start_s = -1;
    Cost steady;
    std::vector<PublishPeriod> periods;
};

// Measures the cold start of this many followers, and then one period without faults, one in which a relay is
// killed, and one in which the leader is killed.
SizeStep measure_step(std::size_t followers, std::size_t entries) {
    SizeStep step;
    step.followers = followers;
    boost::asio::io_context io(1);
    RelayRigOptions options;
    options.programs = PROGRAMS;
    options.self = own_program_path();
    options.followers = followers;
    RelayRig rig(io, std::move(options));
    PublishBenchmark benchmark(rig, entries);
    if (!benchmark.publish_document()) {
        std::printf("the first version was not published:\n%s", rig.event_log.text(40).c_str());
        return step;
    }
    const auto started_at = Clock::now();
    rig.start_followers();
    FollowerFigures figures;
    step.started = rig.until(
        [&] {
            rig.run_for(Ms(100));
            figures = rig.followers();
            return figures.lease_holders == followers && figures.min_version == benchmark.last_version();
        },
        Ms(static_cast<int>(1000 * max_cold_start_s)));
    step.cold_start_s = to_seconds(Clock::now() - started_at);
    std::printf(
        "%zu followers, a document of %zu entries: %s after %.1f s\n", followers, entries,
        step.started ? "all hold a lease and have the version" : "NOT all hold a lease and have the version",
        step.cold_start_s);
    std::printf("  %.1f calls per follower until then; lapsed leases: %llu\n",
                static_cast<double>(figures.calls) / static_cast<double>(followers),
                static_cast<unsigned long long>(figures.lease_lapses));
    std::fflush(stdout);
    if (!step.started) {
        std::printf("%zu of %zu hold a lease; the last events:\n%s", figures.lease_holders, figures.followers,
                    rig.event_log.text(40).c_str());
        return step;
    }
    rig.run_for(settle_time);
    const Sample before = take_sample(rig);
    step.periods.push_back(benchmark.run_period(
        "steady", steady_time, {}, [&] { step.steady = cost_between(before, take_sample(rig), followers); }));
    print("steady", step.steady);
    print(step.periods.back());
    step.periods.push_back(
        benchmark.run_period("a relay killed", relay_killed_time, [&] { rig.relays[0]->signal(SIGKILL); }));
    print(step.periods.back());
    rig.start_relay(0);
    rig.until([&] { return rig.run_for(Ms(100)), rig.all_relays_hold_leases(); }, Ms(20'000));
    step.periods.push_back(benchmark.run_period("the leader killed", leader_killed_time, [&] {
        if (const std::size_t leader = rig.leader(); leader < rig.options.managers)
            rig.managers[leader]->signal(SIGKILL);
    }));
    print(step.periods.back());
    return step;
}

// Compares the results of one step with the aims.
void check_aims(Aims& aims, const SizeStep& step) {
    const std::string size_label = " at " + std::to_string(step.followers);
    aims.check(step.started && step.cold_start_s <= max_cold_start_s,
               "all followers hold a lease and have the latest version within 300 s" + size_label);
    if (!step.started) return;
    aims.check(step.steady.follower_cpu <= max_follower_cpu_ms_s,
               "a follower uses at most 18 ms/s of processor time" + size_label);
    aims.check(step.steady.follower_bytes_in + step.steady.follower_bytes_out <= max_follower_bytes_s,
               "a follower transfers at most 26,000 bytes/s" + size_label);
    aims.check(step.steady.leader_cpu < max_leader_cpu_ms_s,
               "the leader uses less than 250 ms/s of processor time" + size_label);
    for (const PublishPeriod& period : step.periods) {
        const std::string period_label = size_label + ": " + period.name;
        const bool is_steady = period.name == "steady";
        if (is_steady)
            aims.check(period.p99_apply_s <= max_p99_apply_s,
                       "99% of the followers apply each version within 2 s" + period_label);
        if (is_steady)
            aims.check(period.changes_per_s >= 0.95 * planned_changes_per_s,
                       "at least 95% of 4 changes per second are published" + period_label);
        aims.check((is_steady ? period.all_apply_s : period.last_apply_s) <= max_all_apply_s,
                   "all followers apply the version within 19 s" + period_label);
        aims.check(period.consecutive_versions, "each change makes one version, in order" + period_label);
        aims.check(period.missed_applications == 0,
                   "each follower applies each version or a later one" + period_label);
        aims.check(period.final_figures.order_violations == 0,
                   "each follower receives versions and entries in order" + period_label);
        aims.check(period.digests_equal,
                   "all followers' digests are equal to the fleet managers'" + period_label);
        aims.check(period.last_in_force_s < 1e9,
                   "the leader reports the last version as in force" + period_label);
        aims.check(
            period.in_force_checks > 0 && period.in_force_violations == 0,
            "no follower with a lease is behind a version that is reported as in force" + period_label);
    }
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments[0] == "--followers") {
        boost::asio::io_context io(1);
        FollowerProcess(io, read_follower_arguments(arguments)).run();
        return 0;
    }
    std::vector<std::size_t> sizes = {300, 1200, 3600};
    std::size_t entries = 1000;
    std::string json;
    for (std::size_t i = 0; i + 1 < arguments.size(); ++i) {
        if (arguments[i] == "--only") sizes = {std::stoull(arguments[i + 1])};
        if (arguments[i] == "--entries") entries = std::stoull(arguments[i + 1]);
        if (arguments[i] == "--json") json = arguments[i + 1];
    }
    std::printf(
        "Real: the fleet managers with their logs, and 24 relays. Hollow: the followers run the program's\n"
        "watch, document copy and lease on sockets, with one process and thread per zone. A version counts\n"
        "as applied once it is in the follower's document copy. The followers read no settings from that\n"
        "copy and have no decision module and no queries. All processes run on one machine, which may be\n"
        "shared.\n");
    Aims aims;
    std::vector<SizeStep> steps;
    for (const std::size_t followers : sizes) {
        steps.push_back(measure_step(followers, entries));
        check_aims(aims, steps.back());
    }
    capacity::Slopes slopes;
    std::string points;
    const auto add_slope = [&](const char* name, const char* unit, double divisor, double Cost::*figure,
                               const char* description) {
        capacity::Slope slope;
        slope.name = name, slope.unit = unit, slope.per = "member", slope.by = "make measure-relays";
        slope.kind = "measured", slope.words = description;
        for (const SizeStep& step : steps) {
            if (!step.started) continue;
            char line[160];
            std::snprintf(line, sizeof line, "point %s %zu %.6g\n", name, step.followers,
                          step.steady.*figure / divisor);
            points += line;
        }
        slopes.all.push_back(std::move(slope));
    };
    add_slope("relay.cpu", "ms/s", 1, &Cost::relay_cpu,
              "processor time of a relay, with 24 relays for all members and 4 changes per second");
    add_slope("relay.memory", "MB", 1, &Cost::relay_mb,
              "private memory that a relay has written, with 24 relays and 4 changes per second");
    add_slope("relay.down_bytes", "KB/s", 1000, &Cost::relay_bytes_out,
              "bytes from a relay to its followers, with 24 relays and 4 changes per second");
    add_slope("relay.from_bytes", "KB/s", 1000, &Cost::relay_bytes_in,
              "bytes from its followers to a relay, with 24 relays and 4 changes per second");
    add_slope("steward.changes_lead", "ms/s", 1, &Cost::leader_cpu,
              "processor time of the leader, with 24 relays and 4 changes per second");
    add_slope("steward.changes_lead_memory", "MB", 1, &Cost::leader_mb,
              "private memory that the leader has written, with 24 relays and 4 changes per second");
    add_slope("steward.changes_follow", "ms/s", 1, &Cost::following_manager_cpu,
              "processor time of a following fleet manager, with 24 relays and 4 changes per second");
    add_slope("router.changes_cpu", "ms/s", 1, &Cost::follower_cpu,
              "processor time of a follower's watch, document copy and lease at 4 changes per second; it "
              "reads no settings from the document");
    add_slope("router.changes_in", "KB/s", 1000, &Cost::follower_bytes_in,
              "bytes to a follower at 4 changes per second");
    add_slope("router.changes_out", "KB/s", 1000, &Cost::follower_bytes_out,
              "bytes from a follower at 4 changes per second");
    std::printf("%s", points.c_str());
    if (!points.empty()) {
        capacity::take_points(slopes, points);
        for (const capacity::Slope& slope : slopes.all)
            std::printf("slope %s: %.4g + %.4g a %s (%s), largest residual %.3g, over %zu sizes\n",
                        slope.name.c_str(), slope.stated.fixed, slope.stated.slope, slope.per.c_str(),
                        slope.unit.c_str(), slope.stated.residual, slope.points.size());
        if (!json.empty()) std::ofstream(json) << capacity::write_slopes(slopes);
    }
    std::printf("relays: routers=%zu relays=24", steps.back().followers);
    for (const SizeStep& step : steps) {
        std::printf(
            " %zu=cold_s:%.1f,lead_ms_s:%.1f,follow_ms_s:%.1f,relay_ms_s:%.2f,follower_ms_s:%.3f,"
            "follower_B_s:%.0f",
            step.followers, step.cold_start_s, step.steady.leader_cpu, step.steady.following_manager_cpu,
            step.steady.relay_cpu, step.steady.follower_cpu,
            step.steady.follower_bytes_in + step.steady.follower_bytes_out);
        for (const PublishPeriod& period : step.periods)
            std::printf(" [%s]=p99_s:%.3f,all_s:%.3f,last_s:%.2f,in_force_s:%.2f,lost:%zu,untrue:%llu",
                        period.name.c_str(), period.p99_apply_s, period.all_apply_s, period.last_apply_s,
                        period.last_in_force_s, period.missed_applications,
                        static_cast<unsigned long long>(period.in_force_violations));
    }
    std::printf(" %s\n", aims.all_met ? "kept" : "MISSED");
    return aims.all_met ? 0 : 1;
}
