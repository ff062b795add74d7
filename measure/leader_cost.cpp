// What members' calls cost three real managers on loopback: processor time and bytes written by the one that
// leads and one that follows, by calls a second: `make measure-leader-cost`. A member is the program's own
// watch of the managers, with nothing behind it. Lines `point NAME CALLS FIGURE` are what `capacity --take`
// reads; status 1 where a member lost its lease.
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

struct Member final : ManagerObserver {
    Member(boost::asio::io_context& io, EventClock& clock, std::vector<HostPort> managers, std::size_t number)
        : time(clock), name("m" + std::to_string(number)), watch(io, clock, *this, std::move(managers)) {}

    MemberCall member_call() override {
        MemberCall call;
        call.name = name, call.role = "router", call.zone = "a", call.version = "1",
        call.digest = "0123456789abcdef";
        call.incarnation = 1, call.lease_grace = 86'400'000'000'000;
        call.applied_generation = call.known_generation = known;
        call.wait = lease > 0 ? lease / 5 : 200'000'000;
        call.queries = 5560;
        return call;
    }
    void on_grant(Nanos sent, const MemberAnswer& answer) override {
        if (until > 0 && time.now() > until) ++lapses;
        lease = answer.lease, until = sent + lease, known = answer.generation;
        ++answers;
        watch.next();
    }
    void on_superseded(std::uint64_t) override { ++lapses; }

    EventClock& time;
    const std::string name;
    ManagerWatch watch;
    Nanos lease = 0, until = 0;
    std::uint64_t known = 0, answers = 0, lapses = 0;
};

struct Used {
    double cpu_ms = 0, written = 0;
};
Used used(pid_t pid) {
    Used u;
    const std::string at = "/proc/" + std::to_string(pid) + "/";
    std::ifstream run(at + "schedstat");
    double ns = 0;
    if (run >> ns) u.cpu_ms = ns / 1e6;
    std::ifstream io(at + "io");
    for (std::string key; io >> key;) {
        double value = 0;
        io >> value;
        if (key == "write_bytes:") u.written = value;
    }
    return u;
}

std::vector<HostPort> managers_of(const FleetRig& rig) {
    std::ifstream file(rig.directory.path("r0.hcl"));
    std::stringstream all;
    all << file.rdbuf();
    std::vector<HostPort> found;
    const std::string text = all.str();
    for (std::size_t at = text.find('['), end; (at = text.find('"', at + 1)) != text.npos; at = end) {
        end = text.find('"', at + 1);
        const auto address = parse_host_port(text.substr(at + 1, end - at - 1));
        if (!address) break;
        found.push_back(*address);
    }
    return found;
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
        std::printf("the stewards did not come up\n%s", rig.event_log.text().c_str());
        return 1;
    }
    const auto at = managers_of(rig);
    EventClock time;
    std::vector<std::unique_ptr<Member>> members;
    std::string line;
    const auto answers = [&members] {
        std::uint64_t sum = 0;
        for (const auto& m : members) sum += m->answers;
        return sum;
    };
    // The rig's loop knows nothing of the watches' own deadlines.
    const auto run_for = [&](Ms span) {
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end) {
            rig.run_for(Ms(10));
            time.timers.fire_due(time.now());
        }
    };
    bool sound = true;
    for (const std::size_t count : {0, 300, 900, 3000}) {
        while (members.size() < count) {
            members.push_back(std::make_unique<Member>(io, time, at, members.size()));
            members.back()->watch.start();
            if (members.size() % 50 == 0) run_for(Ms(30));
        }
        run_for(Ms(6000));
        // A look that is not answered in time, while this process is busy, is no word of who leads.
        rig.until([&rig] { return rig.leader() < 3; });
        const std::size_t leader = rig.leader();
        if (leader >= 3) {
            std::printf("no steward leads\n%s", rig.event_log.text(40).c_str());
            return 1;
        }
        const std::size_t other = (leader + 1) % 3;
        const Used a = used(rig.managers[leader]->pid()), b = used(rig.managers[other]->pid());
        const std::uint64_t before = answers();
        const auto began = std::chrono::steady_clock::now();
        run_for(Ms(10'000));
        const double s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        const Used c = used(rig.managers[leader]->pid()), d = used(rig.managers[other]->pid());
        const double calls = static_cast<double>(answers() - before) / s;
        rig.until([&rig] { return rig.leader() < 3; });
        sound &= rig.leader() == leader && calls > 0.3 * static_cast<double>(count);
        std::printf(
            "%zu members, %.0f calls/s: leader %.2f ms/s, %.1f KB/s written; follower %.2f ms/s, %.1f KB/s\n",
            count, calls, (c.cpu_ms - a.cpu_ms) / s, (c.written - a.written) / s / 1e3,
            (d.cpu_ms - b.cpu_ms) / s, (d.written - b.written) / s / 1e3);
        const auto point = [&](const char* name, double figure) {
            std::printf("point %s %.0f %.4g\n", name, calls, figure);
            char text[96];
            std::snprintf(text, sizeof text, " %s@%.0f=%.4g", name, calls, figure);
            line += text;
        };
        point("steward.lead", (c.cpu_ms - a.cpu_ms) / s);
        point("steward.follow", (d.cpu_ms - b.cpu_ms) / s);
        point("steward.lead_written", (c.written - a.written) / s / 1e3);
        point("steward.follow_written", (d.written - b.written) / s / 1e3);
    }
    std::uint64_t lapses = 0;
    for (const auto& m : members) lapses += m->lapses, m->watch.stop();
    sound &= lapses == 0;
    std::printf("leader_cost:%s lapses=%llu %s\n", line.c_str(), static_cast<unsigned long long>(lapses),
                sound ? "kept" : "MISSED");
    return sound ? 0 : 1;
}
