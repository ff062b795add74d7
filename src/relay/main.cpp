// The relays' program: `serve` runs one, `check` reads its operators' file.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <random>

#include "log/log.hpp"
#include "relay/relay.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::relay;

int serve(const std::string& path) {
    std::signal(SIGPIPE, SIG_IGN);
    const RelayConfig config = read_relay_file(path);
    start_log(config.log);
    boost::asio::io_context io(1);
    std::random_device chance;
    Relay relay(io, config, chance() | 1u);
    relay.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("tealcart-relay: hands a fleet's changes on to its routers; docs/changes.md");
    app.name("tealcart relay");
    std::string file;
    const auto of = [&](const char* command, const char* what) {
        CLI::App* sub = app.add_subcommand(command, what);
        sub->add_option("--file", file, "the relay's file (HCL)")->envname("TEALCART_RELAY_FILE")->required();
        return sub;
    };
    CLI::App* serving = of("serve", "run a relay");
    CLI::App* checking = of("check", "tell every mistake in the relay's file, with line and column");
    app.require_subcommand(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    try {
        if (serving->parsed()) return serve(file);
        if (checking->parsed()) {
            const RelayConfig config = read_relay_file(file);
            std::printf("%s: relay %s of zone %s, %zu stewards\n", file.c_str(), config.name.c_str(),
                        config.zone.c_str(), config.managers.size());
        }
        return 0;
    } catch (const HclErrors& e) {
        std::fprintf(stderr, "%s\n", e.what());
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart relay: %s\n", e.what());
    }
    return 1;
}
