// Drains agreed across the fleet: 200 seeded fault plans on a virtual clock against tools that each look and
// act; grant to the last acknowledgement at 300 and 10,000 simulated members and at 100 router processes; how
// long there is no leader after a kill; what membership costs a router. The last line has the figures; status
// 1 where an aim is missed.
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "testing/fleet_rig.hpp"
#include "testing/fleet_sim.hpp"

using namespace tealcart;
using namespace tealcart::testing;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

namespace {

constexpr int plans = 200;
constexpr double max_leaderless_s = 2, max_cpu = 0.02, max_mb = 0.5;

SimulationPlan plan_of(std::uint64_t seed) {
    SimulationPlan plan;
    plan.seed = seed;
    plan.budgets.nodes = {4, 1};
    plan.budgets.min_holders = 2;
    plan.budgets.lease = 2'000'000'000;
    plan.budgets.drift = 300'000'000;
    plan.stop_without_lease = seed % 2 == 0;
    return plan;
}

double ms_at(std::vector<fleet::Nanos> all, double share) {
    if (all.empty()) return -1;
    std::sort(all.begin(), all.end());
    return static_cast<double>(all[static_cast<std::size_t>(share * static_cast<double>(all.size() - 1))]) /
           1e6;
}

struct Figures {
    double cpu_s = 0, rss_mb = 0;
};
Figures of_process(pid_t pid) {
    Figures f;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && stat >> word; ++i)
        if (i >= 14) ticks += std::stod(word);
    f.cpu_s = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream smaps("/proc/" + std::to_string(pid) + "/smaps_rollup");
    for (std::string line; std::getline(smaps, line);)
        if (line.rfind("Private_Dirty:", 0) == 0) f.rss_mb = std::stod(line.substr(14)) / 1024;
    return f;
}

FleetRigOptions rig_plan(std::size_t routers, bool member, int gap_ms) {
    FleetRigOptions options;
    options.programs = PROGRAMS;
    options.routers = routers;
    options.membership = member;
    options.gap_ms = gap_ms;
    options.lease = "10s", options.drift = "1s", options.election = "600ms";
    options.budgets = " data_nodes {\n  most = 2\n  least_holders = 1\n }";
    return options;
}

// Six routers with steady traffic for a while: CPU per query and memory, and how queries ended.
struct Load {
    double cpu_ms_a_query = 0, mb = 0;
    std::uint64_t good = 0, bad = 0;
};
Load load(bool member) {
    boost::asio::io_context io(1);
    FleetRig rig(io, rig_plan(6, member, 2));
    if (!rig.until([&] { return rig.all_ready(); })) return {};
    rig.run_for(Ms(2000));
    double before = 0, after = 0;
    for (auto& r : rig.routers) before += of_process(r->pid()).cpu_s;
    rig.answers.clear();
    rig.run_for(Ms(8000));
    Load l;
    for (const auto& [status, n] : rig.answers) (status == 200 ? l.good : l.bad) += n;
    for (auto& r : rig.routers) {
        const Figures f = of_process(r->pid());
        after += f.cpu_s;
        l.mb += f.rss_mb / 6;
    }
    l.cpu_ms_a_query = l.good > 0 ? (after - before) * 1000 / static_cast<double>(l.good) : 0;
    return l;
}

}  // namespace

int main() {
    bool kept = true;
    const auto aim = [&kept](bool holds, const char* what) {
        if (!holds) std::printf("missed: %s\n", what);
        kept &= holds;
    };
    SimulationResult all, alone;
    for (int i = 0; i < plans; ++i) {
        SimulationPlan plan = plan_of(static_cast<std::uint64_t>(i + 1));
        const SimulationResult v = run_simulation(plan);
        all.budget_violations += v.budget_violations, all.attempts_after_done += v.attempts_after_done,
            all.late_attempts += v.late_attempts;
        all.grants += v.grants, all.removals_done += v.removals_done, all.attempts += v.attempts;
        all.crashes += v.crashes, all.pauses += v.pauses, all.partitions += v.partitions,
            all.leader_losses += v.leader_losses;
        plan.use_consensus = false;
        const SimulationResult w = run_simulation(plan);
        alone.budget_violations += w.budget_violations, alone.grants += w.grants;
    }
    std::printf(
        "%d plans: %llu grants, %llu done, %llu leaf calls; %llu deaths, %llu pauses, %llu cuts, %llu "
        "leaders lost\n",
        plans, static_cast<unsigned long long>(all.grants),
        static_cast<unsigned long long>(all.removals_done), static_cast<unsigned long long>(all.attempts),
        static_cast<unsigned long long>(all.crashes), static_cast<unsigned long long>(all.pauses),
        static_cast<unsigned long long>(all.partitions), static_cast<unsigned long long>(all.leader_losses));
    std::printf("each looks and acts: %llu drains, %llu over budget\n",
                static_cast<unsigned long long>(alone.grants),
                static_cast<unsigned long long>(alone.budget_violations));
    aim(all.budget_violations == 0, "moments over budget");
    aim(all.attempts_after_done == 0, "leaf calls after done");
    aim(all.late_attempts == 0, "leaf calls later than 1 s after telling");
    aim(all.removals_done > plans && alone.budget_violations > 0, "the plans show something");
    double simulated[2][2];
    for (const int which : {0, 1}) {
        SimulationPlan plan = plan_of(7);
        plan.members = which == 0 ? 300 : 10'000;
        plan.faults = false;
        plan.budgets.lease = 10'000'000'000;
        plan.span = 30'000'000'000;
        const SimulationResult v = run_simulation(plan);
        simulated[which][0] = ms_at(v.grant_to_done, 0.5), simulated[which][1] = ms_at(v.grant_to_done, 0.99);
        std::printf("%d members simulated: %zu grants to done, p50 %.1f ms, p99 %.1f ms\n", plan.members,
                    v.grant_to_done.size(), simulated[which][0], simulated[which][1]);
    }

    // 100 routers as processes.
    std::vector<fleet::Nanos> acks;
    double leaderless = 0;
    {
        boost::asio::io_context io(1);
        FleetRig rig(io, rig_plan(100, true, 500));
        aim(rig.until([&] { return rig.all_ready(); }, std::chrono::seconds(60)), "100 routers up");
        std::size_t seen = 0;
        const auto done_line = [&](const char* word) -> TimePoint {
            for (std::size_t i = seen; i < rig.event_log.events.size(); ++i) {
                const auto& e = rig.event_log.events[i];
                if (e.source == "s" + std::to_string(rig.leader() + 1) && e.message.rfind(word, 0) == 0)
                    return e.at;
            }
            return {};
        };
        for (int i = 0; i < 30; ++i) {
            seen = rig.event_log.events.size();
            const std::string node = "n" + std::to_string(i % 12);
            const auto ask = rig.command({"drain", node}, {0, 1, 2});
            const bool done = rig.until([&] {
                const auto r = rig.request_for(node);
                return r.is_object() && r["stage"] == "done";
            });
            rig.run_for(Ms(20));
            const TimePoint from = done_line("granted:"), to = done_line("done:");
            if (done && from != TimePoint() && to != TimePoint()) acks.push_back((to - from).count());
            const auto undo = rig.command({"undrain", node}, {0, 1, 2});
            rig.until([&] { return undo->ended() && rig.request_for(node).is_null(); });
        }
        for (int i = 0; i < 5; ++i) {
            const std::size_t old = rig.leader();
            if (old >= 3) break;
            const auto from = Clock::now();
            rig.managers[old]->signal(SIGKILL);
            rig.until([&] { return rig.leader() < 3; });
            leaderless = std::max(leaderless, std::chrono::duration<double>(Clock::now() - from).count());
            rig.start_manager(old);
            rig.until([&] {
                const auto s = rig.status(old);
                return s.is_object() && s["leader"] != 0 && rig.all_ready();
            });
        }
    }
    aim(acks.size() == 30, "drains of 100 routers done");
    aim(leaderless > 0 && leaderless < max_leaderless_s, "time without a leader");
    const Load without = load(false), with = load(true);
    const double cpu = without.cpu_ms_a_query > 0 ? with.cpu_ms_a_query / without.cpu_ms_a_query - 1 : 1;
    std::printf(
        "without: %.3f ms a query, %.2f MB, %llu good, %llu not; with: %.3f ms, %.2f MB, %llu good, %llu "
        "not\n",
        without.cpu_ms_a_query, without.mb, static_cast<unsigned long long>(without.good),
        static_cast<unsigned long long>(without.bad), with.cpu_ms_a_query, with.mb,
        static_cast<unsigned long long>(with.good), static_cast<unsigned long long>(with.bad));
    aim(with.good > 0 && with.bad <= without.bad, "queries lost or failed more");
    aim(with.mb - without.mb < max_mb, "memory of membership");
    aim(cpu < max_cpu, "CPU of membership");
    std::printf(
        "drains: plans=%d over_budget=%llu alone_over_budget=%llu after_done=%llu late=%llu "
        "ack_100_p50_ms=%.1f "
        "ack_100_p99_ms=%.1f sim_300_p50_ms=%.1f sim_300_p99_ms=%.1f sim_10000_p50_ms=%.1f "
        "sim_10000_p99_ms=%.1f "
        "leaderless_s=%.2f bad=%llu/%llu cpu=%+.3f mb=%+.2f %s\n",
        plans, static_cast<unsigned long long>(all.budget_violations),
        static_cast<unsigned long long>(alone.budget_violations),
        static_cast<unsigned long long>(all.attempts_after_done),
        static_cast<unsigned long long>(all.late_attempts), ms_at(acks, 0.5), ms_at(acks, 0.99),
        simulated[0][0], simulated[0][1], simulated[1][0], simulated[1][1], leaderless,
        static_cast<unsigned long long>(with.bad), static_cast<unsigned long long>(without.bad), cpu,
        with.mb - without.mb, kept ? "kept" : "MISSED");
    return kept ? 0 : 1;
}
