// Measures agreed drains across the fleet: 200 seeded fault plans on a virtual clock, compared with
// operators' tools that each act on their own view; the time from a grant to the last acknowledgement with
// 300 and 10,000 simulated members and with 100 router processes; the time without a leader after the leader
// is killed; and what membership costs a router. The last line has the figures. The exit status is 1 if an
// aim is missed.
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

constexpr std::size_t manager_count = 3;  // the default of FleetRigOptions
constexpr int fault_plans = 200;
constexpr int process_drains = 30;  // with 100 router processes
constexpr int traffic_routers = 6;
constexpr int traffic_warm_up_ms = 2000, traffic_ms = 8000;
constexpr double max_leaderless_s = 2;
// What membership may cost: a fraction of the CPU time per query, and memory of each router.
constexpr double max_cpu_overhead = 0.02, max_memory_overhead_mb = 0.5;

SimulationPlan simulation_plan(std::uint64_t seed) {
    SimulationPlan plan;
    plan.seed = seed;
    plan.budgets.nodes = {4, 1};
    plan.budgets.min_holders = 2;
    plan.budgets.lease = 2'000'000'000;
    plan.budgets.drift = 300'000'000;
    plan.stop_without_lease = seed % 2 == 0;
    return plan;
}

// The duration that the given fraction of all does not exceed; -1 if there are none.
double percentile_ms(std::vector<fleet::Nanos> durations, double fraction) {
    if (durations.empty()) return -1;
    std::sort(durations.begin(), durations.end());
    return static_cast<double>(
               durations[static_cast<std::size_t>(fraction * static_cast<double>(durations.size() - 1))]) /
           1e6;
}

// The CPU time and the private dirty memory of a process.
struct ProcessUsage {
    double cpu_s = 0, dirty_mb = 0;
};
ProcessUsage process_usage(pid_t pid) {
    ProcessUsage usage;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string field;
    double ticks = 0;
    // Fields 14 and 15 are the user and the system time.
    for (int i = 1; i <= 15 && stat >> field; ++i)
        if (i >= 14) ticks += std::stod(field);
    usage.cpu_s = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream smaps("/proc/" + std::to_string(pid) + "/smaps_rollup");
    for (std::string line; std::getline(smaps, line);)
        if (line.rfind("Private_Dirty:", 0) == 0) usage.dirty_mb = std::stod(line.substr(14)) / 1024;
    return usage;
}

FleetRigOptions rig_options(std::size_t routers, bool membership, int query_gap_ms) {
    FleetRigOptions options;
    options.programs = PROGRAMS;
    options.routers = routers;
    options.membership = membership;
    options.gap_ms = query_gap_ms;
    options.lease = "10s", options.drift = "1s", options.election = "600ms";
    options.budgets = " data_nodes {\n  most = 2\n  least_holders = 1\n }";
    return options;
}

// What steady traffic cost a router on average, and how the queries ended.
struct TrafficResult {
    double cpu_ms_per_query = 0, dirty_mb = 0;
    std::uint64_t succeeded = 0, failed = 0;
};
// Runs routers with steady traffic and measures it after a warm-up.
TrafficResult run_traffic(bool membership) {
    boost::asio::io_context io(1);
    FleetRig rig(io, rig_options(traffic_routers, membership, 2));
    if (!rig.until([&] { return rig.all_ready(); })) return {};
    rig.run_for(Ms(traffic_warm_up_ms));
    double cpu_s_before = 0, cpu_s_after = 0;
    for (auto& router : rig.routers) cpu_s_before += process_usage(router->pid()).cpu_s;
    rig.answers.clear();
    rig.run_for(Ms(traffic_ms));
    TrafficResult result;
    for (const auto& [status, count] : rig.answers)
        (status == 200 ? result.succeeded : result.failed) += count;
    for (auto& router : rig.routers) {
        const ProcessUsage usage = process_usage(router->pid());
        cpu_s_after += usage.cpu_s;
        result.dirty_mb += usage.dirty_mb / traffic_routers;
    }
    result.cpu_ms_per_query =
        result.succeeded > 0 ? (cpu_s_after - cpu_s_before) * 1000 / static_cast<double>(result.succeeded)
                             : 0;
    return result;
}

}  // namespace

int main() {
    bool aims_met = true;
    const auto check_aim = [&aims_met](bool met, const char* aim) {
        if (!met) std::printf("missed: %s\n", aim);
        aims_met &= met;
    };
    SimulationResult with_consensus, without_consensus;
    for (int i = 0; i < fault_plans; ++i) {
        SimulationPlan plan = simulation_plan(static_cast<std::uint64_t>(i + 1));
        const SimulationResult run = run_simulation(plan);
        with_consensus.budget_violations += run.budget_violations,
            with_consensus.attempts_after_done += run.attempts_after_done,
            with_consensus.late_attempts += run.late_attempts;
        with_consensus.grants += run.grants, with_consensus.removals_done += run.removals_done,
            with_consensus.attempts += run.attempts;
        with_consensus.crashes += run.crashes, with_consensus.pauses += run.pauses,
            with_consensus.partitions += run.partitions, with_consensus.leader_losses += run.leader_losses;
        plan.use_consensus = false;
        const SimulationResult comparison = run_simulation(plan);
        without_consensus.budget_violations += comparison.budget_violations,
            without_consensus.grants += comparison.grants;
    }
    std::printf(
        "%d fault plans: %llu removals granted, %llu done, %llu attempts; %llu member crashes, %llu pauses, "
        "%llu partitions, %llu leaders lost\n",
        fault_plans, static_cast<unsigned long long>(with_consensus.grants),
        static_cast<unsigned long long>(with_consensus.removals_done),
        static_cast<unsigned long long>(with_consensus.attempts),
        static_cast<unsigned long long>(with_consensus.crashes),
        static_cast<unsigned long long>(with_consensus.pauses),
        static_cast<unsigned long long>(with_consensus.partitions),
        static_cast<unsigned long long>(with_consensus.leader_losses));
    std::printf("tools without consensus: %llu drains, %llu over budget\n",
                static_cast<unsigned long long>(without_consensus.grants),
                static_cast<unsigned long long>(without_consensus.budget_violations));
    check_aim(with_consensus.budget_violations == 0, "no grant exceeds the budget (over_budget is 0)");
    check_aim(with_consensus.attempts_after_done == 0,
              "no attempt goes to a node whose removal is done (after_done is 0)");
    check_aim(with_consensus.late_attempts == 0,
              "no attempt goes to a node more than 1 s after its removal was received (late is 0)");
    check_aim(with_consensus.removals_done > fault_plans && without_consensus.budget_violations > 0,
              "more removals are done than there are fault plans, and the tools without consensus exceed the "
              "budget");
    double simulated_ms[2][2];  // by the number of members; median and 99th percentile
    for (const int i : {0, 1}) {
        SimulationPlan plan = simulation_plan(7);
        plan.members = i == 0 ? 300 : 10'000;
        plan.faults = false;
        plan.budgets.lease = 10'000'000'000;
        plan.span = 30'000'000'000;
        const SimulationResult run = run_simulation(plan);
        simulated_ms[i][0] = percentile_ms(run.grant_to_done, 0.5),
        simulated_ms[i][1] = percentile_ms(run.grant_to_done, 0.99);
        std::printf("%d simulated members: %zu removals, grant to done p50 %.1f ms, p99 %.1f ms\n",
                    plan.members, run.grant_to_done.size(), simulated_ms[i][0], simulated_ms[i][1]);
    }

    // 100 routers as processes.
    std::vector<fleet::Nanos> grant_to_done;
    double longest_leaderless_s = 0;
    {
        boost::asio::io_context io(1);
        FleetRig rig(io, rig_options(100, true, 500));
        check_aim(rig.until([&] { return rig.all_ready(); }, std::chrono::seconds(60)),
                  "100 router processes are ready within 60 s");
        std::size_t first_event = 0;
        // When the leader logged the first line with this prefix since `first_event`.
        const auto logged_at = [&](const char* prefix) -> TimePoint {
            for (std::size_t i = first_event; i < rig.event_log.events.size(); ++i) {
                const auto& event = rig.event_log.events[i];
                if (event.source == "s" + std::to_string(rig.leader() + 1) &&
                    event.message.rfind(prefix, 0) == 0)
                    return event.at;
            }
            return {};
        };
        for (int i = 0; i < process_drains; ++i) {
            first_event = rig.event_log.events.size();
            const std::string node = "n" + std::to_string(i % 12);
            const auto drain = rig.command({"drain", node}, {0, 1, 2});
            const bool done = rig.until([&] {
                const auto request = rig.request_for(node);
                return request.is_object() && request["stage"] == "done";
            });
            rig.run_for(Ms(20));
            const TimePoint granted_at = logged_at("granted:"), done_at = logged_at("done:");
            if (done && granted_at != TimePoint() && done_at != TimePoint())
                grant_to_done.push_back((done_at - granted_at).count());
            const auto undrain = rig.command({"undrain", node}, {0, 1, 2});
            rig.until([&] { return undrain->ended() && rig.request_for(node).is_null(); });
        }
        for (int i = 0; i < 5; ++i) {
            const std::size_t old_leader = rig.leader();
            if (old_leader >= manager_count) break;
            const auto killed_at = Clock::now();
            rig.managers[old_leader]->signal(SIGKILL);
            rig.until([&] { return rig.leader() < manager_count; });
            longest_leaderless_s = std::max(longest_leaderless_s,
                                            std::chrono::duration<double>(Clock::now() - killed_at).count());
            rig.start_manager(old_leader);
            rig.until([&] {
                const auto status = rig.status(old_leader);
                return status.is_object() && status["leader"] != 0 && rig.all_ready();
            });
        }
    }
    check_aim(grant_to_done.size() == process_drains, "all 30 drains with 100 router processes are done");
    check_aim(longest_leaderless_s > 0 && longest_leaderless_s < max_leaderless_s,
              "a new leader is elected within 2 s (leaderless_s)");
    const TrafficResult without = run_traffic(false), with = run_traffic(true);
    const double cpu_overhead =
        without.cpu_ms_per_query > 0 ? with.cpu_ms_per_query / without.cpu_ms_per_query - 1 : 1;
    std::printf(
        "without membership: %.3f ms of CPU per query, %.2f MB, %llu queries succeeded, %llu failed; with "
        "membership: %.3f ms, %.2f MB, %llu succeeded, %llu failed\n",
        without.cpu_ms_per_query, without.dirty_mb, static_cast<unsigned long long>(without.succeeded),
        static_cast<unsigned long long>(without.failed), with.cpu_ms_per_query, with.dirty_mb,
        static_cast<unsigned long long>(with.succeeded), static_cast<unsigned long long>(with.failed));
    check_aim(with.succeeded > 0 && with.failed <= without.failed,
              "queries succeed with membership, and no more fail than without it (bad)");
    check_aim(with.dirty_mb - without.dirty_mb < max_memory_overhead_mb,
              "membership costs a router less than 0.5 MB (mb)");
    check_aim(cpu_overhead < max_cpu_overhead,
              "membership costs a router less than 2% of the CPU time per query (cpu)");
    std::printf(
        "drains: plans=%d over_budget=%llu alone_over_budget=%llu after_done=%llu late=%llu "
        "ack_100_p50_ms=%.1f "
        "ack_100_p99_ms=%.1f sim_300_p50_ms=%.1f sim_300_p99_ms=%.1f sim_10000_p50_ms=%.1f "
        "sim_10000_p99_ms=%.1f "
        "leaderless_s=%.2f bad=%llu/%llu cpu=%+.3f mb=%+.2f %s\n",
        fault_plans, static_cast<unsigned long long>(with_consensus.budget_violations),
        static_cast<unsigned long long>(without_consensus.budget_violations),
        static_cast<unsigned long long>(with_consensus.attempts_after_done),
        static_cast<unsigned long long>(with_consensus.late_attempts), percentile_ms(grant_to_done, 0.5),
        percentile_ms(grant_to_done, 0.99), simulated_ms[0][0], simulated_ms[0][1], simulated_ms[1][0],
        simulated_ms[1][1], longest_leaderless_s, static_cast<unsigned long long>(with.failed),
        static_cast<unsigned long long>(without.failed), cpu_overhead, with.dirty_mb - without.dirty_mb,
        aims_met ? "kept" : "MISSED");
    return aims_met ? 0 : 1;
}
