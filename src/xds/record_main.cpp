// Subscribes to a control service as a proxy does and prints the state after each response.

#include <CLI/CLI.hpp>
#include <cstdio>

#include "xds/recorder.hpp"

int main(int argc, char** argv) {
    CLI::App app("prints what a control service sends to a proxy");
    std::string address = "127.0.0.1:18000", node = "recorder";
    bool delta = false;
    app.add_option("--control", address, "address of the control service");
    app.add_option("--node", node, "the proxy's id");
    app.add_flag("--delta", delta, "use the delta protocol");
    CLI11_PARSE(app, argc, argv);
    const auto channel = grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
    if (!channel->WaitForConnected(std::chrono::system_clock::now() + std::chrono::seconds(10))) {
        std::fprintf(stderr, "tealcart-record: can't connect to a control service at %s within 10 s\n",
                     address.c_str());
        return 1;
    }
    tealcart::Recorder recorder(channel, {.node = node, .delta = delta});
    for (std::uint64_t seen = 0;;) {
        recorder.wait_until([&](const auto& now) { return now.responses > seen || now.ended; },
                            std::chrono::hours(1));
        const auto state = recorder.state();
        if (state.ended) {
            std::printf("the stream ended with status %d: %s\n", state.status, state.status_message.c_str());
            return 1;
        }
        seen = state.responses;
        std::printf("version %s\n", state.version.c_str());
        for (const auto& [cluster, endpoints] : state.endpoints) {
            const auto limit = state.limits.find(cluster);
            std::printf("  %s limit %u:", cluster.c_str(), limit == state.limits.end() ? 0 : limit->second);
            for (const auto& [id, endpoint] : endpoints)
                std::printf(" %s %u%s", id.c_str(), endpoint.weight, endpoint.draining ? " draining" : "");
            std::printf("\n");
        }
        std::fflush(stdout);
    }
}
