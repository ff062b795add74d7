// What the relay tier costs and how fast it is at the planned size: three real managers, 24 real relays and
// up to 3,600 hollow followers (src/testing/hollow_follower.hpp has what is hollow of them) on loopback.
// Costs are processor time, bytes and memory, not wall clock, except where the aim is one: the machine may be
// shared.
//
//   measure_relays [--only FOLLOWERS] [--entries N] [--json FILE]
//
// Lines `point NAME SIZE FIGURE` are what `capacity --take` reads. The last line has the figures; status 1
// where an aim is missed.
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

constexpr double cold_start_s = 300;
constexpr double max_within_s = 2, all_within_s = 19;  // 99% and all followers act on a version
constexpr double follower_cpu_ms_s = 18;               // 1.8% of a core
constexpr double follower_bytes_s = 26'000;            // both ways
constexpr double leader_cpu_ms_s = 250;                // a quarter of a core
constexpr int changes_a_s = 4;
constexpr std::size_t value_bytes = 200;
constexpr Ms still_for{3000}, steady_for{30'000}, relay_killed_for{12'000}, leader_killed_for{15'000};
constexpr Ms look_each{2000}, publish_within{20'000}, come_within{60'000};

double seconds(Clock::duration d) { return std::chrono::duration<double>(d).count(); }

std::string program() {
    char path[4096];
    const auto n = ::readlink("/proc/self/exe", path, sizeof path - 1);
    return n > 0 ? std::string(path, static_cast<std::size_t>(n)) : std::string();
}

struct Aims {
    bool kept = true;
    void operator()(bool holds, const std::string& what) {
        if (!holds) std::printf("missed: %s\n", what.c_str());
        kept &= holds;
    }
};

// What is counted at one moment.
struct Sample {
    TimePoint at = Clock::now();
    std::size_t leader = 0;
    std::vector<ProcessFigures> managers, relays, processes;
    double in = 0, out = 0;  // bytes of all followers' connections
};
Sample sample(RelayRig& rig) {
    Sample s;
    s.leader = rig.leader();
    for (const Json& b : rig.ask("bytes"))
        if (b.is_object()) s.in += b["in"].get<double>(), s.out += b["out"].get<double>();
    s.at = Clock::now();
    const auto figures = [](const auto& from, auto& to) {
        for (const auto& p : from) to.push_back(p ? process_figures(p->pid()) : ProcessFigures());
    };
    figures(rig.managers, s.managers);
    figures(rig.relays, s.relays);
    figures(rig.processes, s.processes);
    return s;
}

// What a span of time cost, by the second; cpu in ms/s, memory is private and written.
struct Cost {
    double s = 0, lead = 0, follow = 0, lead_mb = 0, lead_disk = 0;
    double relay = 0, relay_most = 0, relay_mb = 0, relay_mb_most = 0;
    double relay_down = 0, relay_up = 0;  // bytes/s to its followers, and from them
    double follower = 0, follower_in = 0, follower_out = 0, follower_mb = 0;
};
Cost cost(const Sample& a, const Sample& b, std::size_t followers) {
    Cost c;
    c.s = seconds(b.at - a.at);
    const auto spent = [&c](const ProcessFigures& from, const ProcessFigures& to) {
        return 1000 * (to.cpu_s - from.cpu_s) / c.s;
    };
    for (std::size_t i = 0; i < b.managers.size(); ++i)
        (i == b.leader ? c.lead : c.follow) += spent(a.managers[i], b.managers[i]);
    c.follow /= static_cast<double>(b.managers.size() - 1);
    if (b.leader < b.managers.size()) {
        c.lead_mb = b.managers[b.leader].dirty_mb;
        c.lead_disk = static_cast<double>(b.managers[b.leader].disk_write_bytes -
                                          a.managers[b.leader].disk_write_bytes) /
                      c.s;
    }
    const auto relays = static_cast<double>(b.relays.size()), n = static_cast<double>(followers);
    for (std::size_t i = 0; i < b.relays.size(); ++i) {
        const double cpu = spent(a.relays[i], b.relays[i]);
        c.relay += cpu / relays, c.relay_most = std::max(c.relay_most, cpu);
        c.relay_mb += b.relays[i].dirty_mb / relays;
        c.relay_mb_most = std::max(c.relay_mb_most, b.relays[i].dirty_mb);
    }
    for (std::size_t i = 0; i < b.processes.size(); ++i) {
        c.follower += spent(a.processes[i], b.processes[i]) / n;
        c.follower_mb += b.processes[i].dirty_mb / n;
    }
    c.relay_down = (b.in - a.in) / c.s / relays, c.relay_up = (b.out - a.out) / c.s / relays;
    c.follower_in = (b.in - a.in) / c.s / n, c.follower_out = (b.out - a.out) / c.s / n;
    return c;
}

void print(const char* what, const Cost& c) {
    std::printf(
        "  %s (%.1f s): leader %.1f ms/s, %.1f MB, log %.0f B/s; a following steward %.1f ms/s\n"
        "    a relay: %.2f ms/s (most %.2f), %.2f MB (most %.2f), to followers %.0f B/s, from them "
        "%.0f\n    a follower: %.3f ms/s, %.2f MB, %.0f B/s in, %.0f out\n",
        what, c.s, c.lead, c.lead_mb, c.lead_disk, c.follow, c.relay, c.relay_most, c.relay_mb,
        c.relay_mb_most, c.relay_down, c.relay_up, c.follower, c.follower_mb, c.follower_in, c.follower_out);
    std::fflush(stdout);
}

// A span in which changes are published.
struct Stretch {
    std::string name;
    std::vector<RelayRig::Published> published;
    bool one_by_one = true;  // each version is the one after that before
    double rate = 0, publish_ms = 0, max_publish_ms = 0;
    double p99_s = 0, all_s = 0;          // the worst version's: answered to 99% and to all followers
    double median_ms = 0;                 // of all followers and versions
    std::size_t lost = 0;                 // followers that never acted on a version, summed over versions
    double come_s = -1, in_force_s = -1;  // from the last answer until all act on the last version; told so
    std::uint64_t untrue = 0, looks = 0;  // looks that found a follower with a lease behind what is in force
    FollowerFigures after;
    bool same = false;  // the last digests are the managers'
};

class Bench {
  public:
    Bench(RelayRig& rig, std::size_t entries) : rig_(rig), entries_(entries) {}

    std::string key(std::size_t n) const { return "service/entry-" + std::to_string(n % entries_); }
    std::string value() {
        return numbered_value(++numbered_, Clock::now().time_since_epoch().count(), value_bytes);
    }

    // The document as the followers find it.
    bool first() {
        std::map<std::string, std::string> whole;
        for (std::size_t n = 0; n < entries_; ++n) whole[key(n)] = value();
        const auto p = rig_.publish("first", whole, publish_within);
        last_ = p.version;
        return p.version > 0;
    }
    std::uint64_t last() const { return last_; }

    // `event` happens in the middle, `ended` when the last was published, before what is looked at then.
    Stretch run(std::string name, Ms span, const std::function<void()>& event,
                const std::function<void()>& ended = {}) {
        Stretch s;
        s.name = std::move(name);
        const auto began = Clock::now();
        auto due = began, look_due = began;
        bool happened = false;
        const std::uint64_t before = last_;
        while (Clock::now() - began < span) {
            if (!happened && event && Clock::now() - began > span / 2) happened = true, event();
            if (Clock::now() >= due) {
                due = std::max(due + Ms(1000 / changes_a_s), Clock::now() - Ms(1000));
                const auto p = rig_.publish("change-" + std::to_string(numbered_ + 1),
                                            {{key(chance_()), value()}}, publish_within);
                s.one_by_one &= p.version == last_ + 1;
                if (p.version > 0) last_ = p.version;
                s.published.push_back(p);
            }
            if (Clock::now() >= look_due) look_due = Clock::now() + look_each, look(s);
            const auto pause = std::chrono::duration_cast<Ms>(std::min(due, look_due) - Clock::now());
            if (pause.count() > 0) rig_.run_for(pause);
        }
        s.rate = static_cast<double>(s.published.size()) / seconds(Clock::now() - began);
        if (ended) ended();
        const auto answered = s.published.back().answered;
        const bool come = rig_.until([&] { return rig_.followers().least >= last_; }, come_within);
        s.come_s = come ? seconds(Clock::now() - answered) : 1e9;
        const bool told = rig_.until(
            [&] {
                rig_.run_for(Ms(50));
                return look(s) >= last_;
            },
            come_within);
        s.in_force_s = told ? seconds(Clock::now() - answered) : 1e9;
        s.after = rig_.followers();
        s.same = s.after.digests.size() == 1 && s.after.followers == rig_.options.followers;
        for (std::size_t i = 0; i < rig_.options.managers; ++i) {
            const Json c = rig_.changes(i);
            if (c.is_object()) s.same &= c["digest"] == s.after.digests[0] && c["version"] == last_;
        }
        times(s, before);
        return s;
    }

  private:
    // What the leader tells to be in force is read first: who is behind it afterwards was so then.
    std::uint64_t look(Stretch& s) {
        const Json c = rig_.changes();
        if (!c.is_object()) return 0;
        const auto in_force = c["in_force"].get<std::uint64_t>();
        const FollowerFigures f = rig_.followers();
        s.looks += f.followers == rig_.options.followers;
        s.untrue += f.min_held < in_force;
        return in_force;
    }

    void times(Stretch& s, std::uint64_t before) {
        std::vector<std::vector<std::int64_t>> acted(last_ - before);
        for (const Json& p : rig_.ask("acted " + std::to_string(before + 1) + " " + std::to_string(last_))) {
            for (std::size_t v = 0; p.is_array() && v < acted.size(); ++v)
                for (const Json& us : p[v]) acted[v].push_back(us.get<std::int64_t>());
        }
        std::vector<double> all;
        for (const RelayRig::Published& p : s.published) {
            const double took = 1000 * seconds(p.answered - p.asked);
            s.publish_ms += took / static_cast<double>(s.published.size());
            s.max_publish_ms = std::max(s.max_publish_ms, took);
            if (p.version <= before || p.version > last_) continue;
            auto& at = acted[p.version - before - 1];
            s.lost += rig_.options.followers - std::min(rig_.options.followers, at.size());
            if (at.empty()) continue;
            std::sort(at.begin(), at.end());
            const auto after = [&](std::size_t n) {
                const std::int64_t answered_us =
                    std::chrono::duration_cast<std::chrono::microseconds>(p.answered.time_since_epoch())
                        .count();
                return static_cast<double>(at[n] - answered_us) / 1e6;
            };
            s.p99_s = std::max(s.p99_s, after((at.size() * 99 + 99) / 100 - 1));
            s.all_s = std::max(s.all_s, after(at.size() - 1));
            for (std::size_t n = 0; n < at.size(); ++n) all.push_back(1000 * after(n));
        }
        if (all.empty()) return;
        std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2), all.end());
        s.median_ms = all[all.size() / 2];
    }

    RelayRig& rig_;
    const std::size_t entries_;
    std::uint64_t numbered_ = 0, last_ = 0;
    std::knuth_b chance_{4711};
};

void print(const Stretch& s) {
    std::printf(
        "  %s: %zu changes, %.2f a second, publish answered after %.1f ms (longest %.0f); worst version: "
        "99%% "
        "act on it after %.3f s, all after %.3f s; half of all within %.1f ms\n"
        "    last version at all after %.2f s, told in force after %.2f s; not acted on: %zu; untrue: %llu "
        "of "
        "%llu looks; out of order: %llu; digests %s; leases that lapsed: %llu; spoilt or gap: %llu\n",
        s.name.c_str(), s.published.size(), s.rate, s.publish_ms, s.max_publish_ms, s.p99_s, s.all_s,
        s.median_ms, s.come_s, s.in_force_s, s.lost, static_cast<unsigned long long>(s.untrue),
        static_cast<unsigned long long>(s.looks), static_cast<unsigned long long>(s.after.faults),
        s.same ? "equal" : "DIFFER", static_cast<unsigned long long>(s.after.lapses),
        static_cast<unsigned long long>(s.after.refused));
    std::fflush(stdout);
}

struct Rung {
    std::size_t followers = 0;
    bool up = false;
    double cold_s = -1;
    Cost steady;
    std::vector<Stretch> stretches;
};

Rung climb(std::size_t followers, std::size_t entries) {
    Rung r;
    r.followers = followers;
    boost::asio::io_context io(1);
    RelayRigOptions options;
    options.programs = PROGRAMS;
    options.self = program();
    options.followers = followers;
    RelayRig rig(io, std::move(options));
    Bench bench(rig, entries);
    if (!bench.first()) {
        std::printf("the first version was not published:\n%s", rig.event_log.text(40).c_str());
        return r;
    }
    const auto began = Clock::now();
    rig.start_followers();
    FollowerFigures f;
    r.up = rig.until(
        [&] {
            rig.run_for(Ms(100));
            f = rig.followers();
            return f.holding == followers && f.least == bench.last();
        },
        Ms(static_cast<int>(1000 * cold_start_s)));
    r.cold_s = seconds(Clock::now() - began);
    std::printf("%zu followers, a document of %zu entries: %s after %.1f s\n", followers, entries,
                r.up ? "all have a lease and the version" : "NOT all have a lease and the version", r.cold_s);
    std::printf("  %.1f calls of each meanwhile; leases that lapsed: %llu\n",
                static_cast<double>(f.calls) / static_cast<double>(followers),
                static_cast<unsigned long long>(f.lapses));
    std::fflush(stdout);
    if (!r.up) {
        std::printf("%zu of %zu have a lease; what was said last:\n%s", f.holding, f.followers,
                    rig.event_log.text(40).c_str());
        return r;
    }
    rig.run_for(still_for);
    const Sample before = sample(rig);
    r.stretches.push_back(
        bench.run("steady", steady_for, {}, [&] { r.steady = cost(before, sample(rig), followers); }));
    print("steady", r.steady);
    print(r.stretches.back());
    r.stretches.push_back(
        bench.run("a relay killed", relay_killed_for, [&] { rig.relays[0]->signal(SIGKILL); }));
    print(r.stretches.back());
    rig.start_relay(0);
    rig.until([&] { return rig.run_for(Ms(100)), rig.relays_up(); }, Ms(20'000));
    r.stretches.push_back(bench.run("the leader killed", leader_killed_for, [&] {
        if (const std::size_t led = rig.leader(); led < rig.options.managers)
            rig.managers[led]->signal(SIGKILL);
    }));
    print(r.stretches.back());
    return r;
}

void hold(Aims& aim, const Rung& r) {
    const std::string at = " at " + std::to_string(r.followers);
    aim(r.up && r.cold_s <= cold_start_s, "all have a lease and the latest version within 300 s" + at);
    if (!r.up) return;
    aim(r.steady.follower <= follower_cpu_ms_s, "a follower's processor time" + at);
    aim(r.steady.follower_in + r.steady.follower_out <= follower_bytes_s, "a follower's bytes" + at);
    aim(r.steady.lead < leader_cpu_ms_s, "the leader's processor time" + at);
    for (const Stretch& s : r.stretches) {
        const std::string in = at + ": " + s.name;
        const bool still = s.name == "steady";
        if (still) aim(s.p99_s <= max_within_s, "99% act on each version within 2 s" + in);
        if (still) aim(s.rate >= 0.95 * changes_a_s, "4 changes a second" + in);
        aim((still ? s.all_s : s.come_s) <= all_within_s, "all act on it within 19 s" + in);
        aim(s.one_by_one, "each change is one version, in order" + in);
        aim(s.lost == 0, "each follower acts on each version or a later one" + in);
        aim(s.after.faults == 0, "versions and entries in order at each follower" + in);
        aim(s.same, "all digests are the stewards'" + in);
        aim(s.in_force_s < 1e9, "the last version is told in force" + in);
        aim(s.looks > 0 && s.untrue == 0, "nothing is told in force that a live follower is behind" + in);
    }
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (!words.empty() && words[0] == "--followers") {
        boost::asio::io_context io(1);
        FollowerProcess(io, read_follower_arguments(words)).run();
        return 0;
    }
    std::vector<std::size_t> ladder = {300, 1200, 3600};
    std::size_t entries = 1000;
    std::string json;
    for (std::size_t i = 0; i + 1 < words.size(); ++i) {
        if (words[i] == "--only") ladder = {std::stoull(words[i + 1])};
        if (words[i] == "--entries") entries = std::stoull(words[i + 1]);
        if (words[i] == "--json") json = words[i + 1];
    }
    std::printf(
        "Real: stewards, their logs, 24 relays. Hollow: the followers run the program's watch, copy and "
        "lease on sockets,\na zone's in one process and thread, and act on a version once it is in "
        "their copy; they read no settings from it and\nhave no module and no queries. All on one "
        "machine, which others may use too.\n");
    Aims aim;
    std::vector<Rung> rungs;
    for (const std::size_t followers : ladder) {
        rungs.push_back(climb(followers, entries));
        hold(aim, rungs.back());
    }
    capacity::Slopes slopes;
    std::string points;
    const auto along = [&](const char* name, const char* unit, double of, double Cost::*what,
                           const char* said) {
        capacity::Slope slope;
        slope.name = name, slope.unit = unit, slope.per = "member", slope.by = "make measure-relays";
        slope.kind = "measured", slope.words = said;
        for (const Rung& r : rungs) {
            if (!r.up) continue;
            char line[160];
            std::snprintf(line, sizeof line, "point %s %zu %.6g\n", name, r.followers, r.steady.*what / of);
            points += line;
        }
        slopes.all.push_back(std::move(slope));
    };
    along("relay.cpu", "ms/s", 1, &Cost::relay, "a relay, 24 to all members, 4 changes a second");
    along("relay.memory", "MB", 1, &Cost::relay_mb, "the same: private memory that was written");
    along("relay.down_bytes", "KB/s", 1000, &Cost::relay_down, "the same: bytes to its followers");
    along("relay.from_bytes", "KB/s", 1000, &Cost::relay_up, "the same: bytes from its followers");
    along("steward.changes_lead", "ms/s", 1, &Cost::lead, "the leader, 24 relays, 4 changes a second");
    along("steward.changes_lead_memory", "MB", 1, &Cost::lead_mb,
          "the same: private memory that was written");
    along("steward.changes_follow", "ms/s", 1, &Cost::follow, "a following steward, the same");
    along("router.changes_cpu", "ms/s", 1, &Cost::follower,
          "a follower's watch, copy and lease, 4 changes a second, without settings that are read from it");
    along("router.changes_in", "KB/s", 1000, &Cost::follower_in, "the same: bytes to it");
    along("router.changes_out", "KB/s", 1000, &Cost::follower_out, "the same: bytes from it");
    std::printf("%s", points.c_str());
    if (!points.empty()) {
        capacity::take_points(slopes, points);
        for (const capacity::Slope& s : slopes.all)
            std::printf("slope %s: %.4g + %.4g a %s (%s), farthest point off by %.3g, over %zu rungs\n",
                        s.name.c_str(), s.stated.fixed, s.stated.slope, s.per.c_str(), s.unit.c_str(),
                        s.stated.residual, s.points.size());
        if (!json.empty()) std::ofstream(json) << capacity::write_slopes(slopes);
    }
    std::printf("relays: routers=%zu relays=24", rungs.back().followers);
    for (const Rung& r : rungs) {
        std::printf(
            " %zu=cold_s:%.1f,lead_ms_s:%.1f,follow_ms_s:%.1f,relay_ms_s:%.2f,follower_ms_s:%.3f,"
            "follower_B_s:%.0f",
            r.followers, r.cold_s, r.steady.lead, r.steady.follow, r.steady.relay, r.steady.follower,
            r.steady.follower_in + r.steady.follower_out);
        for (const Stretch& s : r.stretches)
            std::printf(" [%s]=p99_s:%.3f,all_s:%.3f,last_s:%.2f,in_force_s:%.2f,lost:%zu,untrue:%llu",
                        s.name.c_str(), s.p99_s, s.all_s, s.come_s, s.in_force_s, s.lost,
                        static_cast<unsigned long long>(s.untrue));
    }
    std::printf(" %s\n", aim.kept ? "kept" : "MISSED");
    return aim.kept ? 0 : 1;
}
