// The program of a relay: `serve` runs it, and `check` validates its operators' file.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <random>

#include "log/log.hpp"
#include "relay/relay.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::relay;

enum ExitStatus : int { exit_ok = 0, exit_failed = 1, exit_usage = 2 };

int serve(const std::string& path) {
    std::signal(SIGPIPE, SIG_IGN);
    const RelayConfig config = read_relay_file(path);
    configure_log(config.log);
    boost::asio::io_context io(1);
    std::random_device random;
    Relay relay(io, config, random() | 1u);
    relay.run();
    return exit_ok;
}

int check(const std::string& path) {
    const RelayConfig config = read_relay_file(path);
    std::printf("%s: relay %s of zone %s, %zu fleet managers\n", path.c_str(), config.name.c_str(),
                config.zone.c_str(), config.managers.size());
    return exit_ok;
}

CLI::App* add_command(CLI::App& app, const char* name, const char* description, std::string& file) {
    CLI::App* command = app.add_subcommand(name, description);
    command->add_option("--file", file, "the relay's file (HCL)")->envname("TEALCART_RELAY_FILE")->required();
    return command;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("tealcart-relay: distributes a fleet's configuration to its routers; see docs/changes.md");
    app.name("tealcart relay");
    std::string file;
    const CLI::App* const serve_command = add_command(app, "serve", "run a relay", file);
    add_command(app, "check", "report every mistake in the relay's file with line and column", file);
    app.require_subcommand(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_ok : exit_usage;
    }
    try {
        return serve_command->parsed() ? serve(file) : check(file);
    } catch (const HclErrors& error) {
        std::fprintf(stderr, "%s\n", error.what());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "tealcart relay: %s\n", error.what());
    }
    return exit_failed;
}
