// A recorder by hand: subscribes at a control service as a proxy does and prints what comes.

#include <CLI/CLI.hpp>
#include <cstdio>

#include "xds/recorder.hpp"

int main(int argc, char** argv) {
    CLI::App app("prints what a control service tells a proxy");
    std::string address = "127.0.0.1:18000", node = "recorder";
    bool delta = false;
    app.add_option("--control", address, "the control service");
    app.add_option("--node", node, "the proxy's id");
    app.add_flag("--delta", delta, "the delta form");
    CLI11_PARSE(app, argc, argv);
    const auto channel = grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
    if (!channel->WaitForConnected(std::chrono::system_clock::now() + std::chrono::seconds(10))) {
        std::fprintf(stderr, "tealcart-record: no control service at %s\n", address.c_str());
        return 1;
    }
    tealcart::Recorder recorder(channel, {.node = node, .delta = delta});
    for (std::uint64_t seen = 0;;) {
        recorder.wait_until([&](const auto& h) { return h.responses > seen || h.ended; },
                            std::chrono::hours(1));
        const auto state = recorder.state();
        if (state.ended) {
            std::printf("ended: status %d, %s\n", state.status, state.status_message.c_str());
            return 1;
        }
        seen = state.responses;
        std::printf("version %s\n", state.version.c_str());
        for (const auto& [cluster, endpoints] : state.endpoints) {
            const auto limit = state.limits.find(cluster);
            std::printf("  %s limit %u:", cluster.c_str(), limit == state.limits.end() ? 0 : limit->second);
            for (const auto& [id, e] : endpoints)
                std::printf(" %s %u%s", id.c_str(), e.weight, e.draining ? " draining" : "");
            std::printf("\n");
        }
        std::fflush(stdout);
    }
}
