// What the fleet costs as it grows: rungs of hollow routers (src/standin/hollow.hpp has what is hollow of
// them) and lists of nodes against three real stewards on loopback, and days at a top rung. Costs are
// processor time and bytes, not wall clock, except where the aim is one: the machine may be shared.
//
//   measure_scale [--quick] [--only ROUTERSxNODES] [--json FILE]
//
// The last line has the figures; status 1 where an aim is missed.
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>

#include "standin/hollow_rig.hpp"

using namespace tealcart;
using namespace tealcart::standin;
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
    Moment at = Clock::now();
    std::vector<ProcessFigures> stewards;
    std::size_t leader = 0;
    HollowFigures hollow;
    double own_cpu_s = 0;
    HollowDiscovery::Counts discovery;
};
Sample sample(HollowRig& rig) {
    Sample s;
    s.hollow = rig.hollow();
    s.leader = rig.leader();
    for (const auto& p : rig.stewards) s.stewards.push_back(p ? figures_of(p->pid()) : ProcessFigures());
    s.own_cpu_s = figures_of(::getpid()).cpu_s;
    s.discovery = rig.discovery->counts();
    s.at = Clock::now();
    return s;
}

// What a span of time cost, by the second.
struct Cost {
    double s = 0, lead_cpu = 0, follow_cpu = 0, router_cpu = 0;  // ms/s; router: of each
    double lead_disk = 0, follow_disk = 0;                       // bytes/s
    double steward_in = 0, steward_out = 0;                      // bytes/s of each router, to it and from it
    double discovery_in = 0, discovery_out = 0, calls = 0, discovery_calls = 0;
    double lead_mb = 0, lead_dirty_mb = 0, follow_dirty_mb = 0, router_mb = 0, lead_descriptors = 0;
    double own_cpu = 0, discovery_bytes = 0;
    std::uint64_t lapses = 0;
};
Cost cost(const Sample& a, const Sample& b) {
    Cost c;
    c.s = std::chrono::duration<double>(b.at - a.at).count();
    const auto rate = [&c](double from, double to, double of = 1) { return (to - from) / c.s / of; };
    const double routers = std::max<double>(1, static_cast<double>(b.hollow.routers));
    std::size_t follow = 0;
    for (std::size_t i = 0; i < b.stewards.size(); ++i) {
        const double cpu = 1000 * rate(a.stewards[i].cpu_s, b.stewards[i].cpu_s);
        const double disk =
            rate(static_cast<double>(a.stewards[i].disk), static_cast<double>(b.stewards[i].disk));
        if (i == b.leader) {
            c.lead_cpu = cpu, c.lead_disk = disk, c.lead_mb = b.stewards[i].rss_mb;
            c.lead_dirty_mb = b.stewards[i].dirty_mb;
            c.lead_descriptors = static_cast<double>(b.stewards[i].descriptors);
        } else {
            c.follow_cpu += cpu, c.follow_disk += disk, c.follow_dirty_mb += b.stewards[i].dirty_mb;
            ++follow;
        }
    }
    if (follow > 0) {
        const auto n = static_cast<double>(follow);
        c.follow_cpu /= n, c.follow_disk /= n, c.follow_dirty_mb /= n;
    }
    const auto wire = [&](std::uint64_t WireCount::*of, WireCount HollowFigures::*whose) {
        return rate(static_cast<double>(a.hollow.*whose.*of), static_cast<double>(b.hollow.*whose.*of),
                    routers);
    };
    c.router_cpu = 1000 * rate(a.hollow.cpu_s, b.hollow.cpu_s, routers);
    c.steward_in = wire(&WireCount::in, &HollowFigures::steward);
    c.steward_out = wire(&WireCount::out, &HollowFigures::steward);
    c.calls = wire(&WireCount::calls, &HollowFigures::steward);
    c.discovery_in = wire(&WireCount::in, &HollowFigures::discovery);
    c.discovery_out = wire(&WireCount::out, &HollowFigures::discovery);
    c.discovery_calls = wire(&WireCount::calls, &HollowFigures::discovery);
    c.router_mb = b.hollow.dirty_mb / routers;
    c.own_cpu = 1000 * rate(a.own_cpu_s, b.own_cpu_s);
    c.discovery_bytes = rate(static_cast<double>(a.discovery.bytes), static_cast<double>(b.discovery.bytes));
    c.lapses = b.hollow.lapses - a.hollow.lapses;
    return c;
}

void print(const char* what, const Cost& c) {
    std::printf(
        "  %s (%.0f s): leader %.1f ms/s, a follower %.1f ms/s; leader %.1f MB of its own, %.0f descriptors, "
        "log %.0f and %.0f B/s\n"
        "    a router: %.3f ms/s, %.2f MB; stewards %.2f calls/s, %.0f B/s in, %.0f out; discovery %.2f "
        "calls/s, "
        "%.0f B/s in, %.0f out; leases that ended wrongly: %llu; this process %.0f ms/s\n",
        what, c.s, c.lead_cpu, c.follow_cpu, c.lead_dirty_mb, c.lead_descriptors, c.lead_disk, c.follow_disk,
        c.router_cpu, c.router_mb, c.calls, c.steward_in, c.steward_out, c.discovery_calls, c.discovery_in,
        c.discovery_out, static_cast<unsigned long long>(c.lapses), c.own_cpu);
    std::fflush(stdout);
}

struct Rung {
    std::size_t routers = 0;
    std::uint32_t nodes = 0;
    bool up = false, heard = false;  // all routers hold a lease; the stewards know the list
    double up_s = -1;
    std::size_t list_bytes = 0, reader_nodes = 0;
    Cost still;
    std::vector<HollowRig::Drain> drains;
    double drain_ms = -1;  // the slowest
};

HollowPlan plan_of(std::size_t routers, std::uint32_t nodes) {
    HollowPlan plan;
    plan.programs = PROGRAMS;
    plan.self = program();
    plan.routers = routers;
    plan.nodes = nodes;
    return plan;
}

Rung climb(HollowRig& rig, std::chrono::seconds window, int drains) {
    Rung r;
    r.routers = rig.plan.routers, r.nodes = rig.plan.nodes;
    const auto began = Clock::now();
    r.list_bytes = rig.discovery->whole_bytes();
    r.up = rig.until(
        [&] {
            rig.run_for(Ms(200));
            return rig.all_hold();
        },
        Ms(300'000));
    r.up_s = std::chrono::duration<double>(Clock::now() - began).count();
    std::printf("%zu routers, %u nodes (a list of %zu bytes): %s after %.1f s\n", r.routers, r.nodes,
                r.list_bytes, r.up ? "all hold a lease" : "NOT all hold a lease", r.up_s);
    if (!r.up) {
        const HollowFigures f = rig.hollow();
        std::printf("%zu of %zu hold one, in %zu processes; what was said last:\n%s", f.holding, f.routers,
                    f.processes, rig.history.text(40).c_str());
        return r;
    }
    rig.run_for(Ms(12'000));  // past the hold after the start
    const Sample before = sample(rig);
    rig.run_for(window);
    const Sample after = sample(rig);
    r.still = cost(before, after);
    r.reader_nodes = after.hollow.reader_nodes;
    print("still", r.still);
    r.heard = true;
    for (int i = 0; i < drains; ++i) {
        r.drains.push_back(rig.drain(static_cast<std::uint32_t>(i) % rig.plan.seeded, Ms(40'000)));
        const auto& d = r.drains.back();
        r.heard &= d.granted;
        r.drain_ms = d.done ? std::max(r.drain_ms, d.ms) : 1e9;
        std::printf("  drain %d: %s, %.0f ms from grant to done%s%s\n", i + 1,
                    d.done      ? "done"
                    : d.granted ? "granted, NOT done"
                                : "NOT granted",
                    d.ms, d.done ? "" : ": ", d.done ? "" : d.said.substr(0, 160).c_str());
        if (!d.granted) break;
    }
    if (!r.heard) std::printf("  the stewards never heard of these nodes\n");
    if (r.reader_nodes < r.nodes) std::printf("  a reader knows %zu of %u nodes\n", r.reader_nodes, r.nodes);
    std::fflush(stdout);
    return r;
}

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

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> words(argv + 1, argv + argc);
    if (!words.empty() && words[0] == "--hollow") {
        boost::asio::io_context io(1);
        HollowProcess process(io, read_hollow(words));
        process.run();
        return 0;
    }
    std::string json, only;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words[i] == "--json" && i + 1 < words.size()) json = words[++i];
        if (words[i] == "--only" && i + 1 < words.size()) only = words[++i];
    }
    std::vector<std::pair<std::size_t, std::uint32_t>> ladder = {
        {300, 1000}, {1200, 1000}, {3600, 1000}, {300, 10'000}, {300, 81'000}, {3600, 81'000}};
    if (!only.empty())
        ladder = {
            {std::stoull(only), static_cast<std::uint32_t>(std::stoul(only.substr(only.find('x') + 1)))}};
    Aims aim;
    std::vector<Rung> rungs;
    for (const auto& [routers, nodes] : ladder) {
        boost::asio::io_context io(1);
        HollowRig rig(io, plan_of(routers, nodes));
        rungs.push_back(climb(rig, std::chrono::seconds(20), 3));
    }
    for (const Rung& r : rungs) {
        const std::string at = " at " + std::to_string(r.routers) + " x " + std::to_string(r.nodes);
        aim(r.up && r.up_s <= cold_start_s, "all routers hold a lease within 5 minutes" + at);
        aim(r.still.lapses == 0, "leases that ended wrongly" + at);
        aim(r.heard && r.drain_ms <= done_within_ms, "a drain done within 19 s" + at);
        aim(r.still.lead_cpu <= leader_cpu_ms_s, "leader's processor time" + at);
        aim(r.still.router_cpu <= router_cpu_ms_s * ordinary, "a router's processor time" + at);
        aim(r.still.steward_in + r.still.steward_out + r.still.discovery_in + r.still.discovery_out <=
                router_bytes_s * ordinary,
            "a router's bytes" + at);
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
    along("router.steward_in_per_member", "B/s", "member", &Cost::steward_in);
    along("router.steward_out_per_member", "B/s", "member", &Cost::steward_out);
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
    std::printf(" %s\n", aim.kept ? "kept" : "MISSED");
    return aim.kept ? 0 : 1;
}
