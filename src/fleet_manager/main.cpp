// The program of a fleet manager: `init` creates its data directory, `serve` runs it, and `check` validates
// the operators' file.

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

// The options of the command line.
struct Options {
    std::string file;            // path of the fleet managers' file (HCL)
    std::string startup_config;  // path of the platform's configuration (JSON)
    std::uint64_t id = 0;        // id of this fleet manager in the file
    bool join = false;           // join a group that is running already
    std::int64_t clock_error_ms = 0;
};

const ManagerAddresses& self_of(const FleetManagerConfig& config, std::uint64_t id) {
    const auto self = config.managers.find(id);
    if (self == config.managers.end())
        throw ConfigError(config.source + " has no 'steward' block with the id " + std::to_string(id));
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
    std::printf("created the data directory %s of fleet manager %llu of the fleet %s\n",
                self.data_directory.c_str(), static_cast<unsigned long long>(options.id),
                config.fleet.c_str());
    return exit_ok;
}

int serve(const Options& options) {
    std::signal(SIGPIPE, SIG_IGN);
    // A file size limit is then reported as an error of the write, like a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
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
    std::printf("%s: %zu fleet managers of the fleet %s\n", options.file.c_str(), config.managers.size(),
                config.fleet.c_str());
    return exit_ok;
}

CLI::App* add_command(CLI::App& app, const char* name, const char* description, Options& options) {
    CLI::App* command = app.add_subcommand(name, description);
    command->add_option("--file", options.file, "the fleet managers' file (HCL)")
        ->envname("TEALCART_FLEET_FILE")
        ->required();
    return command;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("tealcart-fleet-manager: replicates the state that a fleet agrees on; see docs/fleet.md");
    app.name("tealcart fleet-manager");
    Options options;
    CLI::App* const init_command =
        add_command(app, "init", "create the data directory of a fleet manager, once", options);
    init_command->add_option("--id", options.id, "id of the fleet manager in the file")->required();
    init_command->add_flag("--join", options.join,
                           "join fleet managers that are running already; see docs/fleet.md");
    CLI::App* const serve_command = add_command(app, "serve", "run a fleet manager", options);
    serve_command->add_option("--id", options.id, "id of the fleet manager in the file")->required();
    serve_command->add_option("--config", options.startup_config, "the platform's configuration (JSON)")
        ->envname("ROUTER_CONFIG")
        ->required();
    serve_command
        ->add_option("--test-clock-error-ms", options.clock_error_ms,
                     "for tests: milliseconds to add to its clock")
        ->group("");
    add_command(app, "check", "report every mistake in the fleet managers' file with line and column",
                options);
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
        std::fprintf(stderr, "tealcart fleet-manager: %s\n", error.what());
    }
    return exit_failed;
}
