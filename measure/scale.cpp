// What the fleet costs as it grows: rungs of hollow routers (src/testing/hollow.hpp has what is hollow of
// them) and lists of nodes against three real managers on loopback, and days at a top rung. Costs are
// processor time and bytes, not wall clock, except where the aim is one: the machine may be shared.
//
//   measure_scale [--quick] [--only ROUTERSxNODES] [--no-days | --day WORDS] [--processes N] [--witnesses N]
//                 [--json FILE]
//
// A zone gone and back is 0.9 MB twice for each router of the top rung, and some 20 ms of reading each: all
// of them at once want more processor time than one machine has in a lease, so leases that end there are told
// as missed but can't be laid at the program's door.
//
// The last line has the figures; status 1 where an aim is missed.
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>

#include "testing/hollow_rig.hpp"

using namespace tealcart;
using namespace tealcart::testing;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

constexpr double done_within_ms = 19'000;  // in force everywhere, the plan's
constexpr double router_cpu_ms_s = 18;     // 1.8% of a core
constexpr double router_bytes_s = 26'000;  // both ways
constexpr double router_mb = 256;
constexpr double ordinary = 0.1;         // of these, on the ordinary day
constexpr double leader_cpu_ms_s = 250;  // a quarter of a core
constexpr double cold_start_s = 300;

std::string program() {
    char path[4096];
    const auto n = ::readlink("/proc/self/exe", path, sizeof path - 1);
    return n > 0 ? std::string(path, static_cast<std::size_t>(n)) : std::string();
}

// What is counted at one moment, of all processes.
struct Sample {
    TimePoint at = Clock::now();
    std::vector<ProcessFigures> managers;
    std::vector<pid_t> pids;  // of the managers
    std::size_t leader = 0;
    std::vector<HollowFigures> hollow;
    std::map<int, std::uint64_t> answers;
    double own_cpu_s = 0;
    HollowDiscovery::Counts discovery;
};
Sample sample(HollowRig& rig) {
    Sample s;
    s.hollow = rig.hollow_figures();
    s.leader = rig.leader();
    for (const auto& p : rig.managers) s.pids.push_back(p ? p->pid() : -1);
    for (const auto& p : rig.managers) s.managers.push_back(p ? process_figures(p->pid()) : ProcessFigures());
    s.own_cpu_s = process_figures(::getpid()).cpu_s;
    s.discovery = rig.discovery->counts();
    s.answers = rig.responses_by_status;
    s.at = Clock::now();
    return s;
}

// What a span of time cost, by the second.
struct Cost {
    double s = 0, lead_cpu = 0, follow_cpu = 0, router_cpu = 0;  // ms/s; router: of each
    double lead_disk = 0, follow_disk = 0;                       // bytes/s
    double manager_in = 0, manager_out = 0;                      // bytes/s of each router, to it and from it
    double discovery_in = 0, discovery_out = 0, calls = 0, discovery_calls = 0;
    double lead_mb = 0, lead_dirty_mb = 0, follow_dirty_mb = 0, router_mb = 0, lead_descriptors = 0;
    double own_cpu = 0, discovery_bytes = 0;
    std::uint64_t lapses = 0, good = 0, bad = 0;  // good, bad: answers of witnesses
};
Cost cost(const Sample& a, const Sample& b) {
    Cost c;
    c.s = std::chrono::duration<double>(b.at - a.at).count();
    const auto rate = [&c](double from, double to, double of = 1) { return (to - from) / c.s / of; };
    // Processes that were there all the time; one that was started anew has other counts.
    HollowFigures was, is;
    const auto sum = [](HollowFigures& to, const HollowFigures& f) {
        to.routers += f.routers, to.lease_lapses += f.lease_lapses, to.cpu_s += f.cpu_s,
            to.dirty_mb += f.dirty_mb;
        for (const auto of : {&HollowFigures::manager, &HollowFigures::discovery}) {
            (to.*of).requests += (f.*of).requests, (to.*of).bytes_received += (f.*of).bytes_received,
                (to.*of).bytes_sent += (f.*of).bytes_sent;
        }
    };
    for (std::size_t i = 0; i < b.hollow.size(); ++i)
        if (a.hollow[i].pid == b.hollow[i].pid && b.hollow[i].pid > 0)
            sum(was, a.hollow[i]), sum(is, b.hollow[i]);
    const double routers = std::max<double>(1, static_cast<double>(is.routers));
    std::size_t follow = 0;
    for (std::size_t i = 0; i < b.managers.size(); ++i) {
        if (a.pids[i] != b.pids[i]) continue;  // started anew
        const double cpu = 1000 * rate(a.managers[i].cpu_s, b.managers[i].cpu_s);
        const double disk = rate(static_cast<double>(a.managers[i].disk_write_bytes),
                                 static_cast<double>(b.managers[i].disk_write_bytes));
        if (i == b.leader) {
            c.lead_cpu = cpu, c.lead_disk = disk, c.lead_mb = b.managers[i].rss_mb;
            c.lead_dirty_mb = b.managers[i].dirty_mb;
            c.lead_descriptors = static_cast<double>(b.managers[i].descriptors);
        } else {
            c.follow_cpu += cpu, c.follow_disk += disk, c.follow_dirty_mb += b.managers[i].dirty_mb;
            ++follow;
        }
    }
    if (follow > 0) {
        const auto n = static_cast<double>(follow);
        c.follow_cpu /= n, c.follow_disk /= n, c.follow_dirty_mb /= n;
    }
    const auto wire = [&](std::uint64_t TrafficCounters::*of, TrafficCounters HollowFigures::*whose) {
        return rate(static_cast<double>(was.*whose.*of), static_cast<double>(is.*whose.*of), routers);
    };
    c.router_cpu = 1000 * rate(was.cpu_s, is.cpu_s, routers);
    c.manager_in = wire(&TrafficCounters::bytes_received, &HollowFigures::manager);
    c.manager_out = wire(&TrafficCounters::bytes_sent, &HollowFigures::manager);
    c.calls = wire(&TrafficCounters::requests, &HollowFigures::manager);
    c.discovery_in = wire(&TrafficCounters::bytes_received, &HollowFigures::discovery);
    c.discovery_out = wire(&TrafficCounters::bytes_sent, &HollowFigures::discovery);
    c.discovery_calls = wire(&TrafficCounters::requests, &HollowFigures::discovery);
    c.router_mb = is.dirty_mb / routers;
    c.own_cpu = 1000 * rate(a.own_cpu_s, b.own_cpu_s);
    c.discovery_bytes = rate(static_cast<double>(a.discovery.bytes), static_cast<double>(b.discovery.bytes));
    c.lapses = is.lease_lapses - was.lease_lapses;
    for (const auto& [status, n] : b.answers) {
        const auto before = a.answers.find(status);
        (status == 200 ? c.good : c.bad) += n - (before == a.answers.end() ? 0 : before->second);
    }
    return c;
}

void print(const char* what, const Cost& c) {
    std::printf(
        "  %s (%.0f s): leader %.1f ms/s, a follower %.1f ms/s; leader %.1f MB of its own, %.0f descriptors, "
        "log %.0f and %.0f B/s\n"
        "    a router: %.3f ms/s, %.2f MB; stewards %.2f calls/s, %.0f B/s in, %.0f out; discovery %.2f "
        "calls/s, "
        "%.0f B/s in, %.0f out; leases that ended wrongly: %llu; this process %.0f ms/s; witnesses: %llu "
        "answers of 200, %llu others\n",
        what, c.s, c.lead_cpu, c.follow_cpu, c.lead_dirty_mb, c.lead_descriptors, c.lead_disk, c.follow_disk,
        c.router_cpu, c.router_mb, c.calls, c.manager_in, c.manager_out, c.discovery_calls, c.discovery_in,
        c.discovery_out, static_cast<unsigned long long>(c.lapses), c.own_cpu,
        static_cast<unsigned long long>(c.good), static_cast<unsigned long long>(c.bad));
    std::fflush(stdout);
}

struct Rung {
    std::size_t routers = 0;
    std::uint32_t nodes = 0;
    bool up = false, heard = false;  // all routers hold a lease; the managers know the list
    double up_s = -1;
    std::size_t list_bytes = 0, reader_nodes = 0;
    Cost still;
    std::vector<HollowRig::Drain> drains;
    double drain_ms = -1;  // the slowest
};

HollowRigOptions options_for(std::size_t routers, std::uint32_t nodes) {
    HollowRigOptions options;
    options.programs = PROGRAMS;
    options.self = program();
    options.routers = routers;
    options.nodes = nodes;
    return options;
}

Rung climb(HollowRig& rig, std::chrono::seconds window, int drains) {
    Rung r;
    r.routers = rig.options.routers, r.nodes = rig.options.nodes;
    const auto began = Clock::now();
    r.list_bytes = rig.discovery->full_list_bytes();
    r.up = rig.until(
        [&] {
            rig.run_for(Ms(200));
            return rig.all_hold_leases();
        },
        Ms(300'000));
    r.up_s = std::chrono::duration<double>(Clock::now() - began).count();
    std::printf("%zu routers, %u nodes (a list of %zu bytes): %s after %.1f s\n", r.routers, r.nodes,
                r.list_bytes, r.up ? "all hold a lease" : "NOT all hold a lease", r.up_s);
    if (!r.up) {
        std::printf("%zu hold one; what was said last:\n%s", rig.lease_holders(),
                    rig.event_log.text(40).c_str());
        return r;
    }
    rig.run_for(Ms(12'000));  // past the hold after the start
    const Sample before = sample(rig);
    rig.run_for(window);
    const Sample after = sample(rig);
    r.still = cost(before, after);
    r.reader_nodes = SIZE_MAX;
    for (const HollowFigures& f : after.hollow) r.reader_nodes = std::min(r.reader_nodes, f.reader_nodes);
    print("still", r.still);
    if (r.still.lapses > 0)
        for (const EventLog::Event& e : rig.event_log.events)
            if (e.source[0] == 's')
                std::printf("    %.3f %s: %s\n", std::chrono::duration<double>(e.at - began).count(),
                            e.source.c_str(), e.message.c_str());
    r.heard = true;
    for (int i = 0; i < drains; ++i) {
        r.drains.push_back(rig.drain(static_cast<std::uint32_t>(i) % rig.options.known_nodes, Ms(40'000)));
        const auto& d = r.drains.back();
        r.heard &= d.granted;
        r.drain_ms = d.done ? std::max(r.drain_ms, d.grant_to_done_ms) : 1e9;
        std::printf("  drain %d: %s, %.0f ms from grant to done%s%s\n", i + 1,
                    d.done      ? "done"
                    : d.granted ? "granted, NOT done"
                                : "NOT granted",
                    d.grant_to_done_ms, d.done ? "" : ": ", d.done ? "" : d.response.substr(0, 160).c_str());
        if (!d.granted) break;
    }
    if (!r.heard) std::printf("  the stewards never heard of these nodes\n");
    if (r.reader_nodes < r.nodes) std::printf("  a reader knows %zu of %u nodes\n", r.reader_nodes, r.nodes);
    std::fflush(stdout);
    return r;
}

// A day's bench: something happens for a while, then what it cost and whether all hold their leases again.
struct Day {
    std::string name;
    Cost cost;
    double back_s = -1, leaderless_s = -1;  // until all hold a lease after what happened; without a leader
    HollowRig::Drain drain;
    bool may_lapse = false, is_ordinary = false;
};

constexpr double restarts_a_s = 18'000.0 / 86'400;  // of data nodes, on the ordinary day

class Days {
  public:
    explicit Days(HollowRig& rig) : rig_(rig) {}

    // Those whose name holds `only`.
    std::vector<Day> all(const std::string& only) {
        std::vector<Day> days;
        const auto day = [&](const char* name, bool may_lapse, bool is_ordinary,
                             const std::function<void(Day&)>& what) {
            if (std::string(name).find(only) != std::string::npos)
                days.push_back(play(name, may_lapse, is_ordinary, what));
        };
        day("the ordinary day's rate", false, true, [&](Day&) { restarts(1, Ms(30'000)); });
        day("20 times that rate", false, false, [&](Day&) { restarts(20, Ms(30'000)); });
        day("a zone gone and back", false, false, [&](Day& d) { zone(d); });
        day("the leader killed", false, false, [&](Day& d) { leader(d); });
        day("a third of the routers started anew", false, false, [&](Day& d) { third(d); });
        day("a sixth of the routers cut off for 15 s", true, false, [&](Day& d) { cut(d); });
        return days;
    }

  private:
    Day play(std::string name, bool may_lapse, bool is_ordinary, const std::function<void(Day&)>& what) {
        Day d;
        d.name = std::move(name), d.may_lapse = may_lapse, d.is_ordinary = is_ordinary;
        const Sample before = sample(rig_);
        what(d);
        if (d.drain.grant_to_done_ms < 0)
            d.drain = rig_.drain(next_++ % rig_.options.known_nodes, Ms(40'000));
        d.cost = cost(before, sample(rig_));
        print(d.name.c_str(), d.cost);
        std::printf("    drain: %s, %.0f ms", d.drain.done ? "done" : "NOT done", d.drain.grant_to_done_ms);
        if (d.back_s >= 0) std::printf("; all hold a lease again after %.1f s", d.back_s);
        if (d.leaderless_s >= 0) std::printf("; %.2f s without a leader", d.leaderless_s);
        std::printf("\n");
        std::fflush(stdout);
        return d;
    }

    // A data node drains, goes, and is back with a new start: three changes of the list.
    void restarts(double times, Ms span) {
        const auto began = Clock::now();
        std::deque<std::pair<TimePoint, std::pair<std::uint32_t, int>>> due;
        double begun = 0;
        while (Clock::now() - began < span || !due.empty()) {
            const auto now = Clock::now();
            const double s = std::chrono::duration<double>(now - began).count();
            if (now - began < span && s * restarts_a_s * times > begun) {
                ++begun;
                const std::uint32_t n =
                    rig_.options.known_nodes + turn_++ % (rig_.options.nodes - rig_.options.known_nodes);
                for (int i = 0; i < 3; ++i) due.push_back({now + Ms(300 * i), {n, i}});
                std::sort(due.begin(), due.end());
            }
            while (!due.empty() && due.front().first <= now) {
                const auto [n, what] = due.front().second;
                due.pop_front();
                rig_.discovery->set_lifecycle(n,
                                              what == 0   ? Lifecycle::draining
                                              : what == 1 ? Lifecycle::removed
                                                          : Lifecycle::ready,
                                              what == 2 ? epoch_now() : 0);
                rig_.discovery->publish();
            }
            rig_.run_for(Ms(5));
        }
    }

    void zone(Day& d) {
        const auto all = [&](Lifecycle a, Nanos started) {
            for (std::uint32_t n = 0; n < rig_.options.nodes; ++n)
                if (n % hollow_zones == 3) rig_.discovery->set_lifecycle(n, a, started);
            rig_.discovery->publish();
        };
        for (std::size_t i = 3; i < rig_.options.processes; i += hollow_zones)
            rig_.processes[i]->signal(SIGKILL);
        all(Lifecycle::removed, 0);
        rig_.run_for(Ms(20'000));
        all(Lifecycle::ready, epoch_now());
        for (std::size_t i = 3; i < rig_.options.processes; i += hollow_zones) rig_.start_hollow_process(i);
        d.back_s = back();
    }

    void leader(Day& d) {
        const std::size_t old = rig_.leader();
        if (old == rig_.options.managers) return;
        const auto from = Clock::now();
        rig_.managers[old]->signal(SIGKILL);
        if (rig_.until([&] { return rig_.leader() < rig_.options.managers && rig_.leader() != old; },
                       Ms(30'000)))
            d.leaderless_s = seconds_since(from);
        rig_.run_for(Ms(15'000));
        d.back_s = back();
        rig_.start_manager(old);
        rig_.run_for(Ms(5000));
    }

    void third(Day& d) {
        for (std::size_t i = 0; i < rig_.options.processes; ++i)
            rig_.send_command(i,
                              "restart " + std::to_string(rig_.options.routers / rig_.options.processes / 3));
        d.back_s = back();
        rig_.run_for(Ms(10'000));
    }

    void cut(Day& d) {
        const std::size_t some = rig_.options.processes / 6;
        for (std::size_t i = 0; i < some; ++i) rig_.send_command(i, "cut");
        d.drain = rig_.drain(next_++ % rig_.options.known_nodes, Ms(40'000));
        rig_.run_for(Ms(5000));
        for (std::size_t i = 0; i < some; ++i) rig_.send_command(i, "heal");
        d.back_s = back();
    }

    double back() {
        const auto from = Clock::now();
        const bool held =
            rig_.until([&] { return rig_.run_for(Ms(100)), rig_.all_hold_leases(); }, Ms(300'000));
        return held ? seconds_since(from) : 1e9;
    }
    static double seconds_since(TimePoint from) {
        return std::chrono::duration<double>(Clock::now() - from).count();
    }
    static Nanos epoch_now() {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    HollowRig& rig_;
    std::uint32_t next_ = 10, turn_ = 0;
};

// A line through points by least squares.
struct Slope {
    std::string name, unit, per;
    std::vector<std::pair<double, double>> points;
    double fixed = 0, slope = 0, residual = 0;  // residual: the farthest that a point is off the line
};
Slope fit(std::string name, std::string unit, std::string per,
          std::vector<std::pair<double, double>> points) {
    Slope s{std::move(name), std::move(unit), std::move(per), std::move(points)};
    const auto n = static_cast<double>(s.points.size());
    double x = 0, y = 0, xx = 0, xy = 0;
    for (const auto& [px, py] : s.points) x += px, y += py, xx += px * px, xy += px * py;
    const double spread = n * xx - x * x;
    s.slope = spread > 0 ? (n * xy - x * y) / spread : 0;
    s.fixed = n > 0 ? (y - s.slope * x) / n : 0;
    for (const auto& [px, py] : s.points)
        s.residual = std::max(s.residual, std::abs(py - s.fixed - s.slope * px));
    return s;
}

struct Aims {
    bool kept = true;
    void operator()(bool holds, const std::string& what) {
        if (!holds) std::printf("missed: %s\n", what.c_str());
        kept &= holds;
    }
};

// For CI: counts alone, which hold on a machine that has little time for it.
int quickly(Aims& aim) {
    boost::asio::io_context io(1);
    HollowRigOptions options = options_for(120, 2000);
    options.processes = 4;
    options.lease = "60s";  // no lease ends in the run, however late a process is woken
    HollowRig rig(io, std::move(options));
    const bool up = rig.until([&] { return rig.run_for(Ms(100)), rig.all_hold_leases(); }, Ms(60'000));
    aim(up, "120 routers hold a lease");
    const auto read = [&] {
        for (const HollowFigures& f : rig.hollow_figures())
            if (f.reader_nodes != rig.options.nodes) return false;
        return true;
    };
    aim(rig.until([&] { return rig.run_for(Ms(100)), read(); }, Ms(60'000)), "each reader has 2,000 nodes");
    const HollowRig::Drain drain = rig.drain(5, Ms(60'000));
    aim(drain.done, "a drain is done");
    // Until all have acted on the node's way back, which is an entry of the list too.
    const Json agreed = rig.status(rig.leader() % rig.options.managers);
    const std::uint64_t generation =
        agreed.is_object() ? agreed["generation"].get<std::uint64_t>() : UINT64_MAX;
    const auto acted = [&] {
        for (const HollowFigures& f : rig.hollow_figures())
            if (f.min_applied_generation != generation) return false;
        return true;
    };
    aim(rig.until([&] { return rig.run_for(Ms(100)), acted(); }, Ms(60'000)),
        "all act on what was agreed last");
    // What has changed reaches each router once: as many entries as nodes changed, and their bytes.
    const Sample before = sample(rig);
    constexpr std::uint32_t changed = 100;
    for (std::uint32_t n = 1000; n < 1000 + changed; ++n)
        rig.discovery->set_lifecycle(n, Lifecycle::draining);
    rig.discovery->publish();
    const auto entries = [](const std::vector<HollowFigures>& all) {
        std::uint64_t sum = 0;
        for (const HollowFigures& f : all) sum += f.list_entries;
        return sum;
    };
    const std::uint64_t due = entries(before.hollow) + changed * rig.options.routers;
    const bool told =
        rig.until([&] { return rig.run_for(Ms(100)), entries(rig.hollow_figures()) >= due; }, Ms(60'000));
    const Sample after = sample(rig);
    const std::uint64_t got = entries(after.hollow) - entries(before.hollow);
    aim(told && got == changed * rig.options.routers, "each change of the list reaches each router once");
    std::uint64_t bytes = 0, lapses = 0, calls = 0;
    for (std::size_t i = 0; i < after.hollow.size(); ++i) {
        const HollowFigures &a = before.hollow[i], &b = after.hollow[i];
        bytes += b.discovery.bytes_received - a.discovery.bytes_received;
        calls += b.manager.requests;
        lapses += b.lease_lapses;
    }
    const double each = static_cast<double>(bytes) / static_cast<double>(rig.options.routers * changed);
    aim(each > 100 && each < 400, "bytes of a changed node to a router");
    aim(calls >= rig.options.routers, "each router has called the stewards");
    aim(lapses == 0, "leases that ended wrongly");
    std::printf(
        "scale: quick routers=120 nodes=2000 entries=%llu of %llu, %.0f bytes each, wrong=%llu, drain %s; "
        "%s\n",
        static_cast<unsigned long long>(got), static_cast<unsigned long long>(changed * rig.options.routers),
        each, static_cast<unsigned long long>(lapses), drain.done ? "done" : "NOT done",
        aim.kept ? "kept" : "MISSED");
    return aim.kept ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> words(argv + 1, argv + argc);
    if (!words.empty() && words[0] == "--hollow") {
        boost::asio::io_context io(1);
        HollowProcess process(io, read_hollow_arguments(words));
        process.run();
        return 0;
    }
    std::string json, only, day;
    std::size_t processes = 12;
    bool with_days = true, quick = false;
    std::size_t witnesses = 6;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words[i] == "--json" && i + 1 < words.size()) json = words[++i];
        if (words[i] == "--only" && i + 1 < words.size()) only = words[++i];
        if (words[i] == "--witnesses" && i + 1 < words.size()) witnesses = std::stoull(words[++i]);
        if (words[i] == "--processes" && i + 1 < words.size()) processes = std::stoull(words[++i]);
        if (words[i] == "--day" && i + 1 < words.size()) day = words[++i];
        if (words[i] == "--no-days") with_days = false;
        if (words[i] == "--quick") quick = true;
    }
    std::vector<std::pair<std::size_t, std::uint32_t>> ladder = {
        {300, 1000}, {1200, 1000}, {3600, 1000}, {300, 10'000}, {300, 81'000}, {3600, 81'000}};
    if (!only.empty())
        ladder = {
            {std::stoull(only), static_cast<std::uint32_t>(std::stoul(only.substr(only.find('x') + 1)))}};
    std::printf(
        "Real: stewards, their logs, and the witnesses (routers with traffic). Hollow: the other routers run "
        "the "
        "program's\nmembership, lease, list and watches on sockets, hundreds in a process and thread, know "
        "but %u "
        "nodes and what\nchanges, and have no module and no queries; one reader a process has the whole "
        "list. "
        "Discovery is a script, data\nnodes are its entries, twelve listeners answer for them all.\n",
        options_for(1, 1).known_nodes);
    Aims aim;
    if (quick) return quickly(aim);
    std::vector<Rung> rungs;
    std::vector<Day> days;
    for (const auto& [routers, nodes] : ladder) {
        boost::asio::io_context io(1);
        HollowRigOptions options = options_for(routers, nodes);
        options.real_routers = witnesses;
        options.processes = processes;
        HollowRig rig(io, std::move(options));
        rungs.push_back(climb(rig, std::chrono::seconds(20), 3));
        const bool last = rungs.size() == ladder.size();
        if (last && with_days && rungs.back().up) days = Days(rig).all(day);
    }
    for (const Rung& r : rungs) {
        const std::string at = " at " + std::to_string(r.routers) + " x " + std::to_string(r.nodes);
        aim(r.up && r.up_s <= cold_start_s, "all routers hold a lease within 5 minutes" + at);
        aim(r.still.lapses == 0, "leases that ended wrongly" + at);
        aim(r.heard && r.drain_ms <= done_within_ms, "a drain done within 19 s" + at);
        aim(r.still.lead_cpu <= leader_cpu_ms_s, "leader's processor time" + at);
        aim(r.still.router_cpu <= router_cpu_ms_s * ordinary, "a router's processor time" + at);
        aim(r.still.manager_in + r.still.manager_out + r.still.discovery_in + r.still.discovery_out <=
                router_bytes_s * ordinary,
            "a router's bytes" + at);
    }
    for (const Day& d : days) {
        const std::string at = ": " + d.name;
        aim(d.may_lapse || d.cost.lapses == 0, "leases that ended wrongly" + at);
        aim(d.drain.done && d.drain.grant_to_done_ms <= done_within_ms, "a drain done within 19 s" + at);
        aim(d.back_s <= cold_start_s, "all hold a lease again within 5 minutes" + at);
        const double share = d.is_ordinary ? ordinary : 1;
        aim(d.cost.router_cpu <= router_cpu_ms_s * share, "a router's processor time" + at);
        aim(d.cost.manager_in + d.cost.manager_out + d.cost.discovery_in + d.cost.discovery_out <=
                router_bytes_s * share,
            "a router's bytes" + at);
        aim(d.cost.lead_cpu <= leader_cpu_ms_s, "leader's processor time" + at);
    }
    std::vector<Slope> slopes;
    const auto along = [&](const char* name, const char* unit, const char* per, double Cost::*of) {
        std::vector<std::pair<double, double>> points;
        for (const Rung& r : rungs)
            if (r.up && (std::string(per) == "member" ? r.nodes == 1000 : r.routers == 300 && r.heard))
                points.emplace_back(std::string(per) == "member" ? static_cast<double>(r.routers) : r.nodes,
                                    r.still.*of);
        if (points.size() > 1) slopes.push_back(fit(name, unit, per, points));
    };
    along("steward_lead.cpu_per_member", "ms/s", "member", &Cost::lead_cpu);
    along("steward_lead.mb_per_member", "MB", "member", &Cost::lead_dirty_mb);
    along("steward_lead.descriptors_per_member", "descriptors", "member", &Cost::lead_descriptors);
    along("steward_lead.log_per_member", "B/s", "member", &Cost::lead_disk);
    along("steward_follow.cpu_per_member", "ms/s", "member", &Cost::follow_cpu);
    along("steward_follow.mb_per_member", "MB", "member", &Cost::follow_dirty_mb);
    along("steward_follow.log_per_member", "B/s", "member", &Cost::follow_disk);
    along("router.cpu_per_member", "ms/s", "member", &Cost::router_cpu);
    along("router.steward_in_per_member", "B/s", "member", &Cost::manager_in);
    along("router.steward_out_per_member", "B/s", "member", &Cost::manager_out);
    along("router.discovery_in_per_member", "B/s", "member", &Cost::discovery_in);
    along("router.discovery_out_per_member", "B/s", "member", &Cost::discovery_out);
    along("steward_lead.cpu_per_node", "ms/s", "node", &Cost::lead_cpu);
    along("steward_lead.mb_per_node", "MB", "node", &Cost::lead_dirty_mb);
    along("steward_follow.cpu_per_node", "ms/s", "node", &Cost::follow_cpu);
    along("steward_follow.mb_per_node", "MB", "node", &Cost::follow_dirty_mb);
    Json list = Json::array();
    for (const Slope& s : slopes) {
        std::printf("slope %s: %.4g + %.4g a %s (%s), farthest point off by %.3g, over %zu rungs\n",
                    s.name.c_str(), s.fixed, s.slope, s.per.c_str(), s.unit.c_str(), s.residual,
                    s.points.size());
        list.push_back({{"name", s.name},
                        {"unit", s.unit},
                        {"per", s.per},
                        {"fixed", s.fixed},
                        {"slope", s.slope},
                        {"residual", s.residual},
                        {"from", s.points.front().first},
                        {"to", s.points.back().first},
                        {"points", s.points},
                        {"by", "make measure-scale"},
                        {"kind", "measured"}});
    }
    if (!json.empty()) std::ofstream(json) << list.dump(1) << "\n";
    std::printf("scale:");
    for (const Rung& r : rungs)
        std::printf(
            " %zux%u=up_s:%.1f,lead_ms_s:%.1f,follow_ms_s:%.1f,router_ms_s:%.3f,drain_ms:%.0f,wrong:%llu",
            r.routers, r.nodes, r.up_s, r.still.lead_cpu, r.still.follow_cpu, r.still.router_cpu, r.drain_ms,
            static_cast<unsigned long long>(r.still.lapses));
    for (const Day& d : days)
        std::printf(
            " [%s]=lead_ms_s:%.1f,router_ms_s:%.3f,router_B_s:%.0f,drain_ms:%.0f,back_s:%.1f,wrong:%llu",
            d.name.c_str(), d.cost.lead_cpu, d.cost.router_cpu,
            d.cost.manager_in + d.cost.manager_out + d.cost.discovery_in + d.cost.discovery_out,
            d.drain.grant_to_done_ms, d.back_s, static_cast<unsigned long long>(d.cost.lapses));
    std::printf(" %s\n", aim.kept ? "kept" : "MISSED");
    return aim.kept ? 0 : 1;
}
