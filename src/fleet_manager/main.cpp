// The fleet managers' program: `init` creates the data directory of one, `serve` runs one, `check` reads the
// operators' file.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "fleet_manager/data_directory.hpp"
#include "fleet_manager/fleet_manager.hpp"
#include "log/log.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::fleet_manager;

constexpr Nanos millisecond = 1'000'000;
enum ExitStatus : int { exit_ok = 0, exit_failed = 1, exit_usage = 2 };

struct Options {
    std::string file;            // the fleet managers' (HCL)
    std::string startup_config;  // the platform's (JSON)
    std::uint64_t id = 0;        // which fleet manager of the file
    bool join = false;           // of a group that runs already
    std::int64_t clock_error_ms = 0;
};

const ManagerAddresses& self_of(const FleetManagerConfig& config, std::uint64_t id) {
    const auto self = config.managers.find(id);
    if (self == config.managers.end())
        throw ConfigError(config.source + " names no steward " + std::to_string(id));
    return self->second;
}

int init(const Options& options) {
    const FleetManagerConfig config = read_fleet_manager_file(options.file);
    const ManagerAddresses& self = self_of(config, options.id);
    create_data_directory(self.data_directory, config.fleet, options.id);
    std::vector<RaftServer> servers;
    for (const auto& [id, manager] : config.managers) servers.push_back({id, manager.raft});
    try {
        if (!options.join)
            RaftNode::bootstrap({options.id, self.raft, self.bind, self.data_directory}, servers);
    } catch (...) {
        remove_marker(self.data_directory);
        throw;
    }
    std::printf("%s is steward %llu's of %s\n", self.data_directory.c_str(),
                static_cast<unsigned long long>(options.id), config.fleet.c_str());
    return exit_ok;
}

int serve(const Options& options) {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is reported like a full disk
    const FleetManagerConfig config = read_fleet_manager_file(options.file);
    const ManagerAddresses& self = self_of(config, options.id);
    configure_log(config.log);
    const StartupConfig startup = read_startup_config_file(options.startup_config);
    check_data_directory(self.data_directory, config.fleet, options.id);
    boost::asio::io_context io(1);
    FleetManager manager(io, config, options.id, startup, options.clock_error_ms * millisecond);
    manager.run();
    return exit_ok;
}

int check(const Options& options) {
    const FleetManagerConfig config = read_fleet_manager_file(options.file);
    std::printf("%s: %zu stewards of %s\n", options.file.c_str(), config.managers.size(),
                config.fleet.c_str());
    return exit_ok;
}

CLI::App* add_command(CLI::App& app, const char* name, const char* description, Options& options) {
    CLI::App* command = app.add_subcommand(name, description);
    command->add_option("--file", options.file, "the stewards' file (HCL)")
        ->envname("TEALCART_FLEET_FILE")
        ->required();
    return command;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("tealcart-fleet-manager: keeps what a fleet has agreed on; docs/fleet.md");
    app.name("tealcart fleet-manager");
    Options options;
    CLI::App* const init_command = add_command(app, "init", "make a steward's folder, once", options);
    init_command->add_option("--id", options.id, "which steward of the file")->required();
    init_command->add_flag("--join", options.join,
                           "it joins stewards that are there already; see docs/fleet.md");
    CLI::App* const serve_command = add_command(app, "serve", "run a steward", options);
    serve_command->add_option("--id", options.id, "which steward of the file")->required();
    serve_command->add_option("--config", options.startup_config, "the platform's configuration (JSON)")
        ->envname("ROUTER_CONFIG")
        ->required();
    serve_command
        ->add_option("--test-clock-error-ms", options.clock_error_ms, "for tests: its clock is off by this")
        ->group("");
    add_command(app, "check", "tell every mistake in the stewards' file, with line and column", options);
    app.require_subcommand(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_ok : exit_usage;
    }
    try {
        if (init_command->parsed()) return init(options);
        if (serve_command->parsed()) return serve(options);
        return check(options);
    } catch (const HclErrors& error) {
        std::fprintf(stderr, "%s\n", error.what());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "tealcart steward: %s\n", error.what());
    }
    return exit_failed;
}
