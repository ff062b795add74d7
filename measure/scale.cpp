// Measures what the fleet costs as it grows. Each step runs a number of hollow routers (see
// src/testing/hollow.hpp) with a node list of some size against three real fleet managers on loopback. The
// scenarios, such as a restart of routers, run at the largest step. Costs are processor time and bytes. Wall
// clock is measured only where the aim is a duration, as the machine may be shared.
//
//   measure_scale [--quick] [--only ROUTERSxNODES] [--no-days | --day WORDS] [--processes N] [--witnesses N]
//                 [--json FILE]
//
// --only runs one step, --day only the scenarios whose name contains WORDS, and --no-days no scenario.
// --processes is the number of processes with hollow routers, and --witnesses the number of real routers.
//
// The outage and return of a zone sends two deltas of 0.9 MB to each router of the largest step, and reading
// them takes a router some 20 ms. All routers together need more processor time for that than one machine has
// within a lease, so leases that lapse there are reported as missed although the program is not at fault.
//
// The last line has the figures. The exit status is 1 if an aim is missed.
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

// The planned bound for the time from the grant of a removal until it is in force at every router.
constexpr double max_grant_to_done_ms = 19'000;
constexpr double max_router_cpu_ms_s = 18;     // 1.8% of a core
constexpr double max_router_bytes_s = 26'000;  // in both directions
constexpr double router_mb = 256;
// The share of a router's limits above that it may use on the ordinary day.
constexpr double ordinary_share = 0.1;
constexpr double max_leader_cpu_ms_s = 250;  // a quarter of a core
constexpr double max_cold_start_s = 300;
constexpr Ms lease_timeout{300'000}, drain_timeout{40'000}, settle_time{12'000}, quick_check_timeout{60'000};

std::string own_program_path() {
    char path[4096];
    const auto length = ::readlink("/proc/self/exe", path, sizeof path - 1);
    return length > 0 ? std::string(path, static_cast<std::size_t>(length)) : std::string();
}

// The resource use of all processes since their start, taken at one moment.
struct Sample {
    TimePoint taken_at = Clock::now();
    std::vector<ProcessFigures> managers;
    std::vector<pid_t> manager_pids;
    std::size_t leader = 0;
    std::vector<HollowFigures> hollow;
    std::map<int, std::uint64_t> responses_by_status;
    double own_cpu_s = 0;
    HollowDiscovery::Counts discovery;
};
Sample take_sample(HollowRig& rig) {
    Sample sample;
    sample.hollow = rig.hollow_figures();
    sample.leader = rig.leader();
    for (const auto& process : rig.managers) sample.manager_pids.push_back(process ? process->pid() : -1);
    for (const auto& process : rig.managers)
        sample.managers.push_back(process ? process_figures(process->pid()) : ProcessFigures());
    sample.own_cpu_s = process_figures(::getpid()).cpu_s;
    sample.discovery = rig.discovery->counts();
    sample.responses_by_status = rig.responses_by_status;
    sample.taken_at = Clock::now();
    return sample;
}

// The cost of the time between two samples. The figures of a router and a following fleet manager are
// averages.
struct Cost {
    double span_s = 0, leader_cpu = 0, following_manager_cpu = 0, router_cpu = 0;  // cpu: ms/s
    double leader_disk_bytes = 0, following_manager_disk_bytes = 0;                // bytes/s
    double manager_in = 0, manager_out = 0;  // bytes/s of a router, to it and from it
    double discovery_in = 0, discovery_out = 0, manager_calls = 0, discovery_calls = 0;
    double leader_rss_mb = 0, leader_dirty_mb = 0, following_manager_dirty_mb = 0, router_mb = 0,
           leader_descriptors = 0;
    double own_cpu = 0, discovery_bytes = 0;
    std::uint64_t lease_lapses = 0;
    std::uint64_t successful_queries = 0, failed_queries = 0;  // of the real routers
};
Cost cost_between(const Sample& before, const Sample& after) {
    Cost cost;
    cost.span_s = std::chrono::duration<double>(after.taken_at - before.taken_at).count();
    const auto rate = [&cost](double from, double to, double divisor = 1) {
        return (to - from) / cost.span_s / divisor;
    };
    // Only processes that ran all the time are counted, as a restarted process counts from zero.
    HollowFigures sum_before, sum_after;
    const auto add = [](HollowFigures& sum, const HollowFigures& figures) {
        sum.routers += figures.routers, sum.lease_lapses += figures.lease_lapses, sum.cpu_s += figures.cpu_s,
            sum.dirty_mb += figures.dirty_mb;
        for (const auto counters : {&HollowFigures::manager, &HollowFigures::discovery}) {
            (sum.*counters).requests += (figures.*counters).requests,
                (sum.*counters).bytes_received += (figures.*counters).bytes_received,
                (sum.*counters).bytes_sent += (figures.*counters).bytes_sent;
        }
    };
    for (std::size_t i = 0; i < after.hollow.size(); ++i)
        if (before.hollow[i].pid == after.hollow[i].pid && after.hollow[i].pid > 0)
            add(sum_before, before.hollow[i]), add(sum_after, after.hollow[i]);
    const double routers = std::max<double>(1, static_cast<double>(sum_after.routers));
    std::size_t following_manager_count = 0;
    for (std::size_t i = 0; i < after.managers.size(); ++i) {
        if (before.manager_pids[i] != after.manager_pids[i]) continue;  // restarted
        const double cpu = 1000 * rate(before.managers[i].cpu_s, after.managers[i].cpu_s);
        const double disk = rate(static_cast<double>(before.managers[i].disk_write_bytes),
                                 static_cast<double>(after.managers[i].disk_write_bytes));
        if (i == after.leader) {
            cost.leader_cpu = cpu, cost.leader_disk_bytes = disk,
            cost.leader_rss_mb = after.managers[i].rss_mb;
            cost.leader_dirty_mb = after.managers[i].dirty_mb;
            cost.leader_descriptors = static_cast<double>(after.managers[i].descriptors);
        } else {
            cost.following_manager_cpu += cpu, cost.following_manager_disk_bytes += disk,
                cost.following_manager_dirty_mb += after.managers[i].dirty_mb;
            ++following_manager_count;
        }
    }
    if (following_manager_count > 0) {
        const auto divisor = static_cast<double>(following_manager_count);
        cost.following_manager_cpu /= divisor, cost.following_manager_disk_bytes /= divisor,
            cost.following_manager_dirty_mb /= divisor;
    }
    const auto router_rate = [&](std::uint64_t TrafficCounters::*counter,
                                 TrafficCounters HollowFigures::*traffic) {
        return rate(static_cast<double>(sum_before.*traffic.*counter),
                    static_cast<double>(sum_after.*traffic.*counter), routers);
    };
    cost.router_cpu = 1000 * rate(sum_before.cpu_s, sum_after.cpu_s, routers);
    cost.manager_in = router_rate(&TrafficCounters::bytes_received, &HollowFigures::manager);
    cost.manager_out = router_rate(&TrafficCounters::bytes_sent, &HollowFigures::manager);
    cost.manager_calls = router_rate(&TrafficCounters::requests, &HollowFigures::manager);
    cost.discovery_in = router_rate(&TrafficCounters::bytes_received, &HollowFigures::discovery);
    cost.discovery_out = router_rate(&TrafficCounters::bytes_sent, &HollowFigures::discovery);
    cost.discovery_calls = router_rate(&TrafficCounters::requests, &HollowFigures::discovery);
    cost.router_mb = sum_after.dirty_mb / routers;
    cost.own_cpu = 1000 * rate(before.own_cpu_s, after.own_cpu_s);
    cost.discovery_bytes =
        rate(static_cast<double>(before.discovery.bytes), static_cast<double>(after.discovery.bytes));
    cost.lease_lapses = sum_after.lease_lapses - sum_before.lease_lapses;
    for (const auto& [status, count] : after.responses_by_status) {
        const auto earlier = before.responses_by_status.find(status);
        (status == 200 ? cost.successful_queries : cost.failed_queries) +=
            count - (earlier == before.responses_by_status.end() ? 0 : earlier->second);
    }
    return cost;
}

void print(const char* period, const Cost& cost) {
    std::printf(
        "  %s (%.0f s): leader %.1f ms/s, a following fleet manager %.1f ms/s; leader %.1f MB private, "
        "%.0f descriptors, log %.0f and %.0f B/s\n"
        "    a router: %.3f ms/s, %.2f MB; fleet managers %.2f calls/s, %.0f B/s in, %.0f out; "
        "discovery %.2f calls/s, %.0f B/s in, %.0f out; lapsed leases: %llu; this process %.0f ms/s; "
        "real routers: %llu responses with status 200, %llu others\n",
        period, cost.span_s, cost.leader_cpu, cost.following_manager_cpu, cost.leader_dirty_mb,
        cost.leader_descriptors, cost.leader_disk_bytes, cost.following_manager_disk_bytes, cost.router_cpu,
        cost.router_mb, cost.manager_calls, cost.manager_in, cost.manager_out, cost.discovery_calls,
        cost.discovery_in, cost.discovery_out, static_cast<unsigned long long>(cost.lease_lapses),
        cost.own_cpu, static_cast<unsigned long long>(cost.successful_queries),
        static_cast<unsigned long long>(cost.failed_queries));
    std::fflush(stdout);
}

// The results at one size of the fleet.
struct SizeStep {
    std::size_t routers = 0;
    std::uint32_t nodes = 0;
    bool started = false;      // all routers hold a lease
    bool nodes_known = false;  // the fleet managers granted all drains, so they know the nodes
    double cold_start_s = -1;
    std::size_t list_bytes = 0;
    std::size_t reader_nodes = 0;  // the fewest nodes that a reader knows
    Cost idle;
    std::vector<HollowRig::Drain> drains;
    double max_drain_ms = -1;  // 1e9 if a drain was not done
};

// Returns the options of a rig of this size.
HollowRigOptions options_for(std::size_t routers, std::uint32_t nodes) {
    HollowRigOptions options;
    options.programs = PROGRAMS;
    options.self = own_program_path();
    options.routers = routers;
    options.nodes = nodes;
    return options;
}

// Measures the cold start, the cost of a time without changes, and some drains.
SizeStep measure_step(HollowRig& rig, std::chrono::seconds window, int drains) {
    SizeStep step;
    step.routers = rig.options.routers, step.nodes = rig.options.nodes;
    const auto started_at = Clock::now();
    step.list_bytes = rig.discovery->full_list_bytes();
    step.started = rig.until(
        [&] {
            rig.run_for(Ms(200));
            return rig.all_hold_leases();
        },
        lease_timeout);
    step.cold_start_s = std::chrono::duration<double>(Clock::now() - started_at).count();
    std::printf("%zu routers, %u nodes (a list of %zu bytes): %s after %.1f s\n", step.routers, step.nodes,
                step.list_bytes, step.started ? "all hold a lease" : "NOT all hold a lease",
                step.cold_start_s);
    if (!step.started) {
        std::printf("%zu routers hold a lease; the last events:\n%s", rig.lease_holders(),
                    rig.event_log.text(40).c_str());
        return step;
    }
    // Waits until the time after the start in which the fleet managers grant nothing has passed.
    rig.run_for(settle_time);
    const Sample before = take_sample(rig);
    rig.run_for(window);
    const Sample after = take_sample(rig);
    step.idle = cost_between(before, after);
    step.reader_nodes = SIZE_MAX;
    for (const HollowFigures& figures : after.hollow)
        step.reader_nodes = std::min(step.reader_nodes, figures.reader_nodes);
    print("still", step.idle);
    if (step.idle.lease_lapses > 0)
        for (const EventLog::Event& event : rig.event_log.events)
            if (event.source[0] == 's')
                std::printf("    %.3f %s: %s\n", std::chrono::duration<double>(event.at - started_at).count(),
                            event.source.c_str(), event.message.c_str());
    step.nodes_known = true;
    for (int i = 0; i < drains; ++i) {
        step.drains.push_back(
            rig.drain(static_cast<std::uint32_t>(i) % rig.options.known_nodes, drain_timeout));
        const auto& drain = step.drains.back();
        step.nodes_known &= drain.granted;
        step.max_drain_ms = drain.done ? std::max(step.max_drain_ms, drain.grant_to_done_ms) : 1e9;
        std::printf("  drain %d: %s, %.0f ms from grant to done%s%s\n", i + 1,
                    drain.done      ? "done"
                    : drain.granted ? "granted, NOT done"
                                    : "NOT granted",
                    drain.grant_to_done_ms, drain.done ? "" : ": ",
                    drain.done ? "" : drain.response.substr(0, 160).c_str());
        if (!drain.granted) break;
    }
    if (!step.nodes_known) std::printf("  the fleet managers did not learn of these nodes\n");
    if (step.reader_nodes < step.nodes)
        std::printf("  a reader knows %zu of %u nodes\n", step.reader_nodes, step.nodes);
    std::fflush(stdout);
    return step;
}

// One scenario: changes or faults for a while, then their cost and whether all routers hold their leases
// again.
struct Scenario {
    std::string name;
    Cost cost;
    // From the end of the faults until all routers hold a lease; -1 if not measured, 1e9 if it timed out.
    double recovery_s = -1;
    double leaderless_s = -1;  // the time without a leader; -1 if not measured
    HollowRig::Drain drain;
    bool may_lapse = false;    // lapsed leases miss no aim
    bool is_ordinary = false;  // the limits of the ordinary day apply
};

constexpr double node_restarts_per_s = 18'000.0 / 86'400;  // of data nodes, on the ordinary day
constexpr std::uint32_t failed_zone = 3;                   // the zone that run_zone_outage() takes out

// Runs the scenarios on a rig.
class ScenarioRunner {
  public:
    explicit ScenarioRunner(HollowRig& rig) : rig_(rig) {}

    // Runs the scenarios whose name contains `name_part`.
    std::vector<Scenario> run_all(const std::string& name_part) {
        std::vector<Scenario> scenarios;
        const auto run_if_selected = [&](const char* name, bool may_lapse, bool is_ordinary,
                                         const std::function<void(Scenario&)>& action) {
            if (std::string(name).find(name_part) != std::string::npos)
                scenarios.push_back(run_scenario(name, may_lapse, is_ordinary, action));
        };
        run_if_selected("the ordinary day's rate", false, true,
                        [&](Scenario&) { run_node_restarts(1, Ms(30'000)); });
        run_if_selected("20 times that rate", false, false,
                        [&](Scenario&) { run_node_restarts(20, Ms(30'000)); });
        run_if_selected("a zone gone and back", false, false,
                        [&](Scenario& scenario) { run_zone_outage(scenario); });
        run_if_selected("the leader killed", false, false,
                        [&](Scenario& scenario) { run_leader_failure(scenario); });
        run_if_selected("a third of the routers started anew", false, false,
                        [&](Scenario& scenario) { run_router_restarts(scenario); });
        run_if_selected("a sixth of the routers cut off for 15 s", true, false,
                        [&](Scenario& scenario) { run_router_partition(scenario); });
        return scenarios;
    }

  private:
    Scenario run_scenario(std::string name, bool may_lapse, bool is_ordinary,
                          const std::function<void(Scenario&)>& action) {
        Scenario scenario;
        scenario.name = std::move(name), scenario.may_lapse = may_lapse, scenario.is_ordinary = is_ordinary;
        const Sample before = take_sample(rig_);
        action(scenario);
        if (scenario.drain.grant_to_done_ms < 0)
            scenario.drain = rig_.drain(next_drained_node_++ % rig_.options.known_nodes, drain_timeout);
        scenario.cost = cost_between(before, take_sample(rig_));
        print(scenario.name.c_str(), scenario.cost);
        std::printf("    drain: %s, %.0f ms", scenario.drain.done ? "done" : "NOT done",
                    scenario.drain.grant_to_done_ms);
        if (scenario.recovery_s >= 0)
            std::printf("; all hold a lease again after %.1f s", scenario.recovery_s);
        if (scenario.leaderless_s >= 0) std::printf("; %.2f s without a leader", scenario.leaderless_s);
        std::printf("\n");
        std::fflush(stdout);
        return scenario;
    }

    // Restarts data nodes at a multiple of the ordinary rate. Each restart is three changes of the list: the
    // node is draining, is removed, and is ready with a new start time.
    void run_node_restarts(double rate_factor, Ms span) {
        const auto started_at = Clock::now();
        std::deque<std::pair<TimePoint, std::pair<std::uint32_t, int>>> due_changes;
        double started_restarts = 0;
        while (Clock::now() - started_at < span || !due_changes.empty()) {
            const auto now = Clock::now();
            const double elapsed_s = std::chrono::duration<double>(now - started_at).count();
            if (now - started_at < span && elapsed_s * node_restarts_per_s * rate_factor > started_restarts) {
                ++started_restarts;
                const std::uint32_t node =
                    rig_.options.known_nodes +
                    next_restarted_node_++ % (rig_.options.nodes - rig_.options.known_nodes);
                for (int change = 0; change < 3; ++change)
                    due_changes.push_back({now + Ms(300 * change), {node, change}});
                std::sort(due_changes.begin(), due_changes.end());
            }
            while (!due_changes.empty() && due_changes.front().first <= now) {
                const auto [node, change] = due_changes.front().second;
                due_changes.pop_front();
                rig_.discovery->set_lifecycle(node,
                                              change == 0   ? Lifecycle::draining
                                              : change == 1 ? Lifecycle::removed
                                                            : Lifecycle::ready,
                                              change == 2 ? epoch_now() : 0);
                rig_.discovery->publish();
            }
            rig_.run_for(Ms(5));
        }
    }

    // Kills the routers of one zone and removes its data nodes, and returns all of them after 20 s.
    void run_zone_outage(Scenario& scenario) {
        const auto set_zone_lifecycle = [&](Lifecycle lifecycle, Nanos process_started_at) {
            for (std::uint32_t node = 0; node < rig_.options.nodes; ++node)
                if (node % hollow_zones == failed_zone)
                    rig_.discovery->set_lifecycle(node, lifecycle, process_started_at);
            rig_.discovery->publish();
        };
        for (std::size_t i = failed_zone; i < rig_.options.processes; i += hollow_zones)
            rig_.processes[i]->signal(SIGKILL);
        set_zone_lifecycle(Lifecycle::removed, 0);
        rig_.run_for(Ms(20'000));
        set_zone_lifecycle(Lifecycle::ready, epoch_now());
        for (std::size_t i = failed_zone; i < rig_.options.processes; i += hollow_zones)
            rig_.start_hollow_process(i);
        scenario.recovery_s = wait_for_all_leases();
    }

    // Kills the leader, and starts it again once all routers hold a lease under the next one.
    void run_leader_failure(Scenario& scenario) {
        const std::size_t old_leader = rig_.leader();
        if (old_leader == rig_.options.managers) return;
        const auto from = Clock::now();
        rig_.managers[old_leader]->signal(SIGKILL);
        if (rig_.until([&] { return rig_.leader() < rig_.options.managers && rig_.leader() != old_leader; },
                       Ms(30'000)))
            scenario.leaderless_s = seconds_since(from);
        rig_.run_for(Ms(15'000));
        scenario.recovery_s = wait_for_all_leases();
        rig_.start_manager(old_leader);
        rig_.run_for(Ms(5000));
    }

    // Restarts a third of the routers of each process at the same time.
    void run_router_restarts(Scenario& scenario) {
        for (std::size_t i = 0; i < rig_.options.processes; ++i)
            rig_.send_command(i,
                              "restart " + std::to_string(rig_.options.routers / rig_.options.processes / 3));
        scenario.recovery_s = wait_for_all_leases();
        rig_.run_for(Ms(10'000));
    }

    // Cuts off a sixth of the processes until a drain is done or has timed out, and for 5 s more.
    void run_router_partition(Scenario& scenario) {
        const std::size_t process_count = rig_.options.processes / 6;
        for (std::size_t i = 0; i < process_count; ++i) rig_.send_command(i, "cut");
        scenario.drain = rig_.drain(next_drained_node_++ % rig_.options.known_nodes, drain_timeout);
        rig_.run_for(Ms(5000));
        for (std::size_t i = 0; i < process_count; ++i) rig_.send_command(i, "heal");
        scenario.recovery_s = wait_for_all_leases();
    }

    // Returns how many seconds it takes until all routers hold a lease, or 1e9 if they do not within 300 s.
    double wait_for_all_leases() {
        const auto from = Clock::now();
        const bool all_hold =
            rig_.until([&] { return rig_.run_for(Ms(100)), rig_.all_hold_leases(); }, lease_timeout);
        return all_hold ? seconds_since(from) : 1e9;
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
    std::uint32_t next_drained_node_ = 10, next_restarted_node_ = 0;
};

// A line through points, fitted by least squares.
struct Slope {
    std::string name, unit, per;
    std::vector<std::pair<double, double>> points;
    double fixed = 0, slope = 0, residual = 0;  // residual: the largest distance of a point from the line
};
Slope fit(std::string name, std::string unit, std::string per,
          std::vector<std::pair<double, double>> points) {
    Slope line{std::move(name), std::move(unit), std::move(per), std::move(points)};
    const auto count = static_cast<double>(line.points.size());
    double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0;
    for (const auto& [x, y] : line.points) sum_x += x, sum_y += y, sum_xx += x * x, sum_xy += x * y;
    const double spread = count * sum_xx - sum_x * sum_x;
    line.slope = spread > 0 ? (count * sum_xy - sum_x * sum_y) / spread : 0;
    line.fixed = count > 0 ? (sum_y - line.slope * sum_x) / count : 0;
    for (const auto& [x, y] : line.points)
        line.residual = std::max(line.residual, std::abs(y - line.fixed - line.slope * x));
    return line;
}

// Compares results with their aims and prints those that are missed.
struct Aims {
    bool all_met = true;
    void check(bool is_met, const std::string& aim) {
        if (!is_met) std::printf("missed: %s\n", aim.c_str());
        all_met &= is_met;
    }
};

// The quick mode, for CI. It checks only counts, as times are not reliable on a busy machine.
int run_quick_check(Aims& aims) {
    boost::asio::io_context io(1);
    HollowRigOptions options = options_for(120, 2000);
    options.processes = 4;
    options.lease = "60s";  // so that no lease lapses during the run, however late a process is scheduled
    HollowRig rig(io, std::move(options));
    const bool started =
        rig.until([&] { return rig.run_for(Ms(100)), rig.all_hold_leases(); }, quick_check_timeout);
    aims.check(started, "120 routers hold a lease within 60 s");
    const auto all_readers_done = [&] {
        for (const HollowFigures& figures : rig.hollow_figures())
            if (figures.reader_nodes != rig.options.nodes) return false;
        return true;
    };
    aims.check(rig.until([&] { return rig.run_for(Ms(100)), all_readers_done(); }, quick_check_timeout),
               "each reader has 2,000 nodes within 60 s");
    const HollowRig::Drain drain = rig.drain(5, quick_check_timeout);
    aims.check(drain.done, "a drain is granted and done");
    // Waits until all routers have applied the undrain, so that its entry is not counted below.
    const Json status = rig.status(rig.leader() % rig.options.managers);
    const std::uint64_t generation =
        status.is_object() ? status["generation"].get<std::uint64_t>() : UINT64_MAX;
    const auto all_applied = [&] {
        for (const HollowFigures& figures : rig.hollow_figures())
            if (figures.min_applied_generation != generation) return false;
        return true;
    };
    aims.check(rig.until([&] { return rig.run_for(Ms(100)), all_applied(); }, quick_check_timeout),
               "all routers apply the last agreed generation within 60 s");
    // Each router has to receive one entry for each changed node. Counts the entries and their bytes.
    const Sample before = take_sample(rig);
    constexpr std::uint32_t changed_nodes = 100;
    for (std::uint32_t node = 1000; node < 1000 + changed_nodes; ++node)
        rig.discovery->set_lifecycle(node, Lifecycle::draining);
    rig.discovery->publish();
    const auto count_entries = [](const std::vector<HollowFigures>& processes) {
        std::uint64_t sum = 0;
        for (const HollowFigures& figures : processes) sum += figures.list_entries;
        return sum;
    };
    const std::uint64_t expected_entries = count_entries(before.hollow) + changed_nodes * rig.options.routers;
    const bool received = rig.until(
        [&] { return rig.run_for(Ms(100)), count_entries(rig.hollow_figures()) >= expected_entries; },
        quick_check_timeout);
    const Sample after = take_sample(rig);
    const std::uint64_t new_entries = count_entries(after.hollow) - count_entries(before.hollow);
    aims.check(received && new_entries == changed_nodes * rig.options.routers,
               "each change of the list reaches each router once");
    std::uint64_t bytes = 0, lease_lapses = 0, calls = 0;
    for (std::size_t i = 0; i < after.hollow.size(); ++i) {
        const HollowFigures &figures_before = before.hollow[i], &figures_after = after.hollow[i];
        bytes += figures_after.discovery.bytes_received - figures_before.discovery.bytes_received;
        calls += figures_after.manager.requests;
        lease_lapses += figures_after.lease_lapses;
    }
    const double bytes_per_entry =
        static_cast<double>(bytes) / static_cast<double>(rig.options.routers * changed_nodes);
    aims.check(bytes_per_entry > 100 && bytes_per_entry < 400,
               "a changed node costs between 100 and 400 bytes per router");
    aims.check(calls >= rig.options.routers, "each router has called the fleet managers");
    aims.check(lease_lapses == 0, "no lease lapses");
    std::printf(
        "scale: quick routers=120 nodes=2000 entries=%llu of %llu, %.0f bytes each, wrong=%llu, drain %s; "
        "%s\n",
        static_cast<unsigned long long>(new_entries),
        static_cast<unsigned long long>(changed_nodes * rig.options.routers), bytes_per_entry,
        static_cast<unsigned long long>(lease_lapses), drain.done ? "done" : "NOT done",
        aims.all_met ? "kept" : "MISSED");
    return aims.all_met ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments[0] == "--hollow") {
        boost::asio::io_context io(1);
        HollowProcess process(io, read_hollow_arguments(arguments));
        process.run();
        return 0;
    }
    std::string json, only, scenario_name;
    std::size_t processes = 12;
    bool with_scenarios = true, quick = false;
    std::size_t real_routers = 6;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i] == "--json" && i + 1 < arguments.size()) json = arguments[++i];
        if (arguments[i] == "--only" && i + 1 < arguments.size()) only = arguments[++i];
        if (arguments[i] == "--witnesses" && i + 1 < arguments.size())
            real_routers = std::stoull(arguments[++i]);
        if (arguments[i] == "--processes" && i + 1 < arguments.size())
            processes = std::stoull(arguments[++i]);
        if (arguments[i] == "--day" && i + 1 < arguments.size()) scenario_name = arguments[++i];
        if (arguments[i] == "--no-days") with_scenarios = false;
        if (arguments[i] == "--quick") quick = true;
    }
    std::vector<std::pair<std::size_t, std::uint32_t>> sizes = {{300, 1000},   {1200, 1000},  {3600, 1000},
                                                                {300, 10'000}, {300, 81'000}, {3600, 81'000}};
    if (!only.empty())
        sizes = {
            {std::stoull(only), static_cast<std::uint32_t>(std::stoul(only.substr(only.find('x') + 1)))}};
    std::printf(
        "Real: the fleet managers with their logs, and the real routers (with queries). Hollow: the other\n"
        "routers run the program's membership, lease, list and watches on sockets, hundreds in one process\n"
        "and thread. They know only %u nodes and the changes, and have no decision module and no queries.\n"
        "One reader per process has the full list. Discovery is simulated: the data nodes are entries of\n"
        "its list, and twelve listeners respond for all of them.\n",
        options_for(1, 1).known_nodes);
    Aims aims;
    if (quick) return run_quick_check(aims);
    std::vector<SizeStep> steps;
    std::vector<Scenario> scenarios;
    for (const auto& [routers, nodes] : sizes) {
        boost::asio::io_context io(1);
        HollowRigOptions options = options_for(routers, nodes);
        options.real_routers = real_routers;
        options.processes = processes;
        HollowRig rig(io, std::move(options));
        steps.push_back(measure_step(rig, std::chrono::seconds(20), 3));
        const bool is_last = steps.size() == sizes.size();
        if (is_last && with_scenarios && steps.back().started)
            scenarios = ScenarioRunner(rig).run_all(scenario_name);
    }
    for (const SizeStep& step : steps) {
        const std::string label = " at " + std::to_string(step.routers) + " x " + std::to_string(step.nodes);
        aims.check(step.started && step.cold_start_s <= max_cold_start_s,
                   "all routers hold a lease within 5 minutes" + label);
        aims.check(step.idle.lease_lapses == 0, "no lease lapses" + label);
        aims.check(step.nodes_known && step.max_drain_ms <= max_grant_to_done_ms,
                   "drains are done within 19 s of their grant" + label);
        aims.check(step.idle.leader_cpu <= max_leader_cpu_ms_s,
                   "the leader uses at most 250 ms/s of processor time" + label);
        aims.check(step.idle.router_cpu <= max_router_cpu_ms_s * ordinary_share,
                   "a router uses at most 1.8 ms/s of processor time" + label);
        aims.check(
            step.idle.manager_in + step.idle.manager_out + step.idle.discovery_in + step.idle.discovery_out <=
                max_router_bytes_s * ordinary_share,
            "a router transfers at most 2,600 bytes/s" + label);
    }
    for (const Scenario& scenario : scenarios) {
        const std::string label = ": " + scenario.name;
        aims.check(scenario.may_lapse || scenario.cost.lease_lapses == 0, "no lease lapses" + label);
        aims.check(scenario.drain.done && scenario.drain.grant_to_done_ms <= max_grant_to_done_ms,
                   "a drain is done within 19 s of its grant" + label);
        aims.check(scenario.recovery_s <= max_cold_start_s,
                   "all routers hold a lease again within 5 minutes" + label);
        const double share = scenario.is_ordinary ? ordinary_share : 1;
        aims.check(scenario.cost.router_cpu <= max_router_cpu_ms_s * share,
                   "a router keeps its limit of processor time" + label);
        aims.check(scenario.cost.manager_in + scenario.cost.manager_out + scenario.cost.discovery_in +
                           scenario.cost.discovery_out <=
                       max_router_bytes_s * share,
                   "a router keeps its limit of bytes/s" + label);
        aims.check(scenario.cost.leader_cpu <= max_leader_cpu_ms_s,
                   "the leader uses at most 250 ms/s of processor time" + label);
    }
    std::vector<Slope> slopes;
    const auto add_slope = [&](const char* name, const char* unit, const char* per, double Cost::*figure) {
        std::vector<std::pair<double, double>> points;
        for (const SizeStep& step : steps)
            if (step.started &&
                (std::string(per) == "member" ? step.nodes == 1000 : step.routers == 300 && step.nodes_known))
                points.emplace_back(
                    std::string(per) == "member" ? static_cast<double>(step.routers) : step.nodes,
                    step.idle.*figure);
        if (points.size() > 1) slopes.push_back(fit(name, unit, per, points));
    };
    add_slope("steward_lead.cpu_per_member", "ms/s", "member", &Cost::leader_cpu);
    add_slope("steward_lead.mb_per_member", "MB", "member", &Cost::leader_dirty_mb);
    add_slope("steward_lead.descriptors_per_member", "descriptors", "member", &Cost::leader_descriptors);
    add_slope("steward_lead.log_per_member", "B/s", "member", &Cost::leader_disk_bytes);
    add_slope("steward_follow.cpu_per_member", "ms/s", "member", &Cost::following_manager_cpu);
    add_slope("steward_follow.mb_per_member", "MB", "member", &Cost::following_manager_dirty_mb);
    add_slope("steward_follow.log_per_member", "B/s", "member", &Cost::following_manager_disk_bytes);
    add_slope("router.cpu_per_member", "ms/s", "member", &Cost::router_cpu);
    add_slope("router.steward_in_per_member", "B/s", "member", &Cost::manager_in);
    add_slope("router.steward_out_per_member", "B/s", "member", &Cost::manager_out);
    add_slope("router.discovery_in_per_member", "B/s", "member", &Cost::discovery_in);
    add_slope("router.discovery_out_per_member", "B/s", "member", &Cost::discovery_out);
    add_slope("steward_lead.cpu_per_node", "ms/s", "node", &Cost::leader_cpu);
    add_slope("steward_lead.mb_per_node", "MB", "node", &Cost::leader_dirty_mb);
    add_slope("steward_follow.cpu_per_node", "ms/s", "node", &Cost::following_manager_cpu);
    add_slope("steward_follow.mb_per_node", "MB", "node", &Cost::following_manager_dirty_mb);
    Json list = Json::array();
    for (const Slope& slope : slopes) {
        std::printf("slope %s: %.4g + %.4g a %s (%s), largest residual %.3g, over %zu sizes\n",
                    slope.name.c_str(), slope.fixed, slope.slope, slope.per.c_str(), slope.unit.c_str(),
                    slope.residual, slope.points.size());
        list.push_back({{"name", slope.name},
                        {"unit", slope.unit},
                        {"per", slope.per},
                        {"fixed", slope.fixed},
                        {"slope", slope.slope},
                        {"residual", slope.residual},
                        {"from", slope.points.front().first},
                        {"to", slope.points.back().first},
                        {"points", slope.points},
                        {"by", "make measure-scale"},
                        {"kind", "measured"}});
    }
    if (!json.empty()) std::ofstream(json) << list.dump(1) << "\n";
    std::printf("scale:");
    for (const SizeStep& step : steps)
        std::printf(
            " %zux%u=up_s:%.1f,lead_ms_s:%.1f,follow_ms_s:%.1f,router_ms_s:%.3f,drain_ms:%.0f,wrong:%llu",
            step.routers, step.nodes, step.cold_start_s, step.idle.leader_cpu,
            step.idle.following_manager_cpu, step.idle.router_cpu, step.max_drain_ms,
            static_cast<unsigned long long>(step.idle.lease_lapses));
    for (const Scenario& scenario : scenarios)
        std::printf(
            " [%s]=lead_ms_s:%.1f,router_ms_s:%.3f,router_B_s:%.0f,drain_ms:%.0f,back_s:%.1f,wrong:%llu",
            scenario.name.c_str(), scenario.cost.leader_cpu, scenario.cost.router_cpu,
            scenario.cost.manager_in + scenario.cost.manager_out + scenario.cost.discovery_in +
                scenario.cost.discovery_out,
            scenario.drain.grant_to_done_ms, scenario.recovery_s,
            static_cast<unsigned long long>(scenario.cost.lease_lapses));
    std::printf(" %s\n", aims.all_met ? "kept" : "MISSED");
    return aims.all_met ? 0 : 1;
}
