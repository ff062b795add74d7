// Measures what members' calls cost three fleet manager processes on loopback: the CPU time and the written
// bytes of the leader and of one following fleet manager, by calls per second: `make measure-leader-cost`. A
// member is the router's own ManagerWatch with no router behind it. `capacity --take` reads the lines `point
// NAME CALLS FIGURE`. The exit status is 1 if no fleet manager leads, if the leader changes while it is
// measured, if a member loses its lease, or if not more than 0.3 calls per second and member are answered.
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <vector>

#include "config/host_port.hpp"
#include "testing/fleet_rig.hpp"
#include "wire/manager_watch.hpp"

using namespace tealcart;
using namespace tealcart::testing;
using Ms = std::chrono::milliseconds;

namespace {

constexpr std::size_t manager_count = 3;  // the default of FleetRigOptions
constexpr int settle_ms = 6000, measured_ms = 10'000;
constexpr Nanos lease_grace = 86'400'000'000'000;  // a day
constexpr Nanos wait_without_lease = 200'000'000;  // how long a call may wait before the first lease
constexpr std::uint64_t reported_queries = 5560;   // of the last ten seconds
constexpr double min_calls_per_member = 0.3;       // answered calls per second

// A member that renews its lease and counts how often it expired or was superseded.
struct Member final : ManagerObserver {
    Member(boost::asio::io_context& io, EventClock& event_clock, std::vector<HostPort> managers,
           std::size_t number)
        : clock(event_clock), name("m" + std::to_string(number)),
          watch(io, event_clock, *this, std::move(managers)) {}

    MemberCall member_call() override {
        MemberCall call;
        call.name = name, call.role = "router", call.zone = "a", call.version = "1",
        call.digest = "0123456789abcdef";
        call.incarnation = 1, call.lease_grace = lease_grace;
        call.applied_generation = call.known_generation = known_generation;
        call.wait = lease > 0 ? lease / 5 : wait_without_lease;
        call.queries = reported_queries;
        return call;
    }
    void on_grant(Nanos sent, const MemberAnswer& answer) override {
        if (lease_until > 0 && clock.now() > lease_until) ++lease_lapses;
        lease = answer.lease, lease_until = sent + lease, known_generation = answer.generation;
        ++answers;
        watch.next();
    }
    void on_superseded(std::uint64_t) override { ++lease_lapses; }

    EventClock& clock;
    const std::string name;
    ManagerWatch watch;
    Nanos lease = 0, lease_until = 0;
    std::uint64_t known_generation = 0, answers = 0, lease_lapses = 0;
};

// What a process has used since its start.
struct ProcessUsage {
    double cpu_ms = 0, written_bytes = 0;
};
ProcessUsage process_usage(pid_t pid) {
    ProcessUsage usage;
    const std::string directory = "/proc/" + std::to_string(pid) + "/";
    std::ifstream schedstat(directory + "schedstat");
    double cpu_ns = 0;
    if (schedstat >> cpu_ns) usage.cpu_ms = cpu_ns / 1e6;
    std::ifstream io(directory + "io");
    for (std::string key; io >> key;) {
        double value = 0;
        io >> value;
        if (key == "write_bytes:") usage.written_bytes = value;
    }
    return usage;
}

// The fleet managers' addresses: the quoted texts of the first list in the first router's file.
std::vector<HostPort> manager_addresses(const FleetRig& rig) {
    std::ifstream file(rig.directory.path("r0.hcl"));
    std::stringstream content;
    content << file.rdbuf();
    std::vector<HostPort> addresses;
    const std::string text = content.str();
    for (std::size_t begin = text.find('['), end; (begin = text.find('"', begin + 1)) != text.npos;
         begin = end) {
        end = text.find('"', begin + 1);
        const auto address = parse_host_port(text.substr(begin + 1, end - begin - 1));
        if (!address) break;
        addresses.push_back(*address);
    }
    return addresses;
}

}  // namespace

int main() {
    boost::asio::io_context io(1);
    FleetRigOptions options;
    options.programs = PROGRAMS;
    options.routers = 1;
    options.gap_ms = 500;
    options.lease = "10s", options.drift = "1s", options.election = "2s";
    FleetRig rig(io, options);
    if (!rig.until([&] { return rig.all_ready(); })) {
        std::printf("the fleet managers and the router did not become ready within 20 s\n%s",
                    rig.event_log.text().c_str());
        return 1;
    }
    const auto managers = manager_addresses(rig);
    EventClock clock;
    std::vector<std::unique_ptr<Member>> members;
    std::string figures;
    const auto answers = [&members] {
        std::uint64_t sum = 0;
        for (const auto& member : members) sum += member->answers;
        return sum;
    };
    // The rig runs the io_context but not the clock's timers, which end the members' calls at their
    // deadlines.
    const auto run_for = [&](Ms span) {
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end) {
            rig.run_for(Ms(10));
            clock.timers.fire_due(clock.now());
        }
    };
    bool passed = true;
    for (const std::size_t count : {0, 300, 900, 3000}) {
        while (members.size() < count) {
            members.push_back(std::make_unique<Member>(io, clock, managers, members.size()));
            members.back()->watch.start();
            if (members.size() % 50 == 0) run_for(Ms(30));
        }
        run_for(Ms(settle_ms));
        // A status request that times out because this process is busy does not show that there is no leader.
        rig.until([&rig] { return rig.leader() < manager_count; });
        const std::size_t leader = rig.leader();
        if (leader >= manager_count) {
            std::printf("no fleet manager is the leader\n%s", rig.event_log.text(40).c_str());
            return 1;
        }
        const std::size_t follower = (leader + 1) % manager_count;
        const ProcessUsage leader_before = process_usage(rig.managers[leader]->pid()),
                           follower_before = process_usage(rig.managers[follower]->pid());
        const std::uint64_t answers_before = answers();
        const auto started_at = std::chrono::steady_clock::now();
        run_for(Ms(measured_ms));
        const double seconds =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
        const ProcessUsage leader_after = process_usage(rig.managers[leader]->pid()),
                           follower_after = process_usage(rig.managers[follower]->pid());
        const double calls_per_second = static_cast<double>(answers() - answers_before) / seconds;
        rig.until([&rig] { return rig.leader() < manager_count; });
        passed &=
            rig.leader() == leader && calls_per_second > min_calls_per_member * static_cast<double>(count);
        std::printf(
            "%zu members, %.0f calls/s: leader %.2f ms/s, %.1f KB/s written; follower %.2f ms/s, %.1f KB/s\n",
            count, calls_per_second, (leader_after.cpu_ms - leader_before.cpu_ms) / seconds,
            (leader_after.written_bytes - leader_before.written_bytes) / seconds / 1e3,
            (follower_after.cpu_ms - follower_before.cpu_ms) / seconds,
            (follower_after.written_bytes - follower_before.written_bytes) / seconds / 1e3);
        const auto print_point = [&](const char* name, double figure) {
            std::printf("point %s %.0f %.4g\n", name, calls_per_second, figure);
            char text[96];
            std::snprintf(text, sizeof text, " %s@%.0f=%.4g", name, calls_per_second, figure);
            figures += text;
        };
        print_point("steward.lead", (leader_after.cpu_ms - leader_before.cpu_ms) / seconds);
        print_point("steward.follow", (follower_after.cpu_ms - follower_before.cpu_ms) / seconds);
        print_point("steward.lead_written",
                    (leader_after.written_bytes - leader_before.written_bytes) / seconds / 1e3);
        print_point("steward.follow_written",
                    (follower_after.written_bytes - follower_before.written_bytes) / seconds / 1e3);
    }
    std::uint64_t lease_lapses = 0;
    for (const auto& member : members) lease_lapses += member->lease_lapses, member->watch.stop();
    passed &= lease_lapses == 0;
    std::printf("leader_cost:%s lapses=%llu %s\n", figures.c_str(),
                static_cast<unsigned long long>(lease_lapses), passed ? "kept" : "MISSED");
    return passed ? 0 : 1;
}
