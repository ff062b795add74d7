// How long leaf calls take over loopback, and what a fan-out to 74 data nodes makes of it: queries of one
// shard request and of 74, with and without second copies, from a router in this process to stand-in data
// nodes in another: `make measure-leaf-times`. Wall clock: what else the machine does is in it. Lines `point
// NAME 1 FIGURE` are what `capacity --take` reads; status 1 where a query got no answer.
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <deque>
#include <stdexcept>

#include "service/service.hpp"
#include "testing/client.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::testing;
using Clock = std::chrono::steady_clock;

constexpr int places = 24, width = 3, shard_requests = 74;

std::string script_of() {
    std::string text = "fleet {\n shards = 96\n places = " + std::to_string(places) +
                       "\n width = " + std::to_string(width) + "\n}\n";
    for (int n = 0; n < places; ++n)
        text += "node \"n" + std::to_string(n) + "\" {\n place = " + std::to_string(n) +
                "\n call_delay = \"3ms\"\n}\n";
    return text;
}

// The stand-in fleet's process, which goes with this one, and where it is.
struct FarSide {
    pid_t pid = -1;
    std::string discovery, entries;

    FarSide() {
        int ends[2];
        if (::pipe(ends) != 0) throw std::runtime_error("no pipe");
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            boost::asio::io_context io{1};
            Fleet fleet(io, read_script(script_of(), "script"));
            fleet.publish();
            const std::string said = fleet.discovery.address() + '\n' + fleet.entries();
            if (::write(ends[1], said.data(), said.size()) != static_cast<ssize_t>(said.size())) ::_exit(1);
            ::close(ends[1]);
            io.run();
            ::_exit(0);
        }
        ::close(ends[1]);
        std::string text;
        char buffer[1024];
        for (ssize_t n = 0; (n = ::read(ends[0], buffer, sizeof buffer)) > 0;)
            text.append(buffer, static_cast<std::size_t>(n));
        ::close(ends[0]);
        discovery = text.substr(0, text.find('\n'));
        entries = text.substr(text.find('\n') + 1);
    }
    ~FarSide() {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    FarSide(const FarSide&) = delete;
};

StartupConfig launch_of(const FarSide& far, bool copies) {
    const std::string settings =
        R"({"extra":{"places":)" + std::to_string(places) + R"(,"ranges":96,"width":)" +
        std::to_string(width) +
        R"(,"floor_by_class":[1.0],"complete_from":[1.0],"parts_a_call":16},)"
        R"("limits":{"send_cap":3,"connect_timeout":250.0,"idle_close":30000.0,"streams_per_conn":100,)"
        R"("most_held":8000,"may_cancel":true,"second_copies":)" +
        (copies ? "true" : "false") +
        R"(,"retry_after":true,"max_retry_after":500.0},"safety":{"drain_grace":500.0},"step":5.0,)"
        R"("services":[{"name":"whole","promise":500.0,"deadline":2000.0,"semantics":"repeatable"}]})";
    StartupConfig made = read_startup_config(
        R"({"name":"r","listen":"127.0.0.1:1","discovery":")" + far.discovery +
        R"(","seed":"00ff","limits":{"sockets":1024},"known":{"generation":1,)" +
        R"("reset":true,"instances":[)" + far.entries + "]},\"settings\":" + settings + "}");
    made.listen.port = 0;
    apply_operator_config(made, read_operator_config("log { level = \"error\" }", "operators"));
    return made;
}

struct Came {
    std::vector<double> ms;
    int asked = 0, answered = 0, failed = 0;

    double at(double share) const {
        const auto n = static_cast<std::size_t>(share * static_cast<double>(ms.size()));
        return ms.empty() ? 0 : ms[std::min(ms.size() - 1, n)];
    }
};

Came play(const FarSide& far, int width_of_query, int queries, int clients, bool copies) {
    boost::asio::io_context io{1};
    Service service(io, [&] { return launch_of(far, copies); });
    Came came;
    struct Open {
        std::unique_ptr<Client> client;
        Clock::time_point at;
        bool busy = false;
    };
    std::deque<Open> open(static_cast<std::size_t>(clients));
    const int warm_up = queries / 10;
    for (Open& o : open)
        o.client =
            std::make_unique<Client>(io, service.port(), [&came, warm_up, at = &o](ClientResponse got) {
                at->busy = false;
                came.failed += got.status != 200 || !got.whole;
                if (++came.answered > warm_up)
                    came.ms.push_back(
                        std::chrono::duration<double, std::milli>(Clock::now() - at->at).count());
            });
    const auto end = Clock::now() + std::chrono::seconds(90);
    while (came.answered < queries && Clock::now() < end) {
        for (Open& o : open) {
            if (o.busy || came.asked >= queries) continue;
            ClientQuery asking;
            asking.query_class = "whole", asking.id = "q" + std::to_string(++came.asked);
            asking.deadline_ms = 2000, asking.two_phase = false;
            for (int p = 0; p < width_of_query; ++p)
                asking.shards.push_back(static_cast<std::uint32_t>((came.asked * 7 + p) % 96));
            o.at = Clock::now(), o.busy = true;
            o.client->ask(asking);
        }
        service.turn();
    }
    std::sort(came.ms.begin(), came.ms.end());
    return came;
}

}  // namespace

int main() {
    const FarSide far;
    const Came one = play(far, 1, 20'000, 8, false), all = play(far, shard_requests, 3000, 8, false),
               copied = play(far, shard_requests, 3000, 8, true);
    const std::pair<const char*, const Came*> days[] = {{"one", &one}, {"all", &all}, {"copied", &copied}};
    const std::pair<const char*, double> quantiles[] = {
        {"50", 0.5}, {"90", 0.9}, {"99", 0.99}, {"99.86", 0.99858}, {"99.986", 0.99986}};
    std::string line;
    bool sound = true;
    for (const auto& [name, came] : days) {
        std::printf("%s: %zu queries, %d failed\n", name, came->ms.size(), came->failed);
        sound &= came->answered == came->asked && came->failed * 100 < came->asked;
        for (const auto& [words, share] : quantiles) {
            std::printf("point leaf.%s_%s 1 %.4g\n", name, words, came->at(share));
            char text[64];
            std::snprintf(text, sizeof text, " %s_%s=%.4g", name, words, came->at(share));
            line += text;
        }
    }
    std::printf("leaf_times:%s failed=%d/%d/%d %s\n", line.c_str(), one.failed, all.failed, copied.failed,
                sound ? "kept" : "MISSED");
    return sound ? 0 : 1;
}
