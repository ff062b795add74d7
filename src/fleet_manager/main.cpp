// The managers' program: `init` makes a manager's folder, `serve` runs one, `check` reads the operators'
// file.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "fleet_manager/data_directory.hpp"
#include "fleet_manager/fleet_manager.hpp"
#include "log/log.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::manager;

struct Asked {
    std::string file, config;
    std::uint64_t id = 0;
    bool join = false;
    std::int64_t clock_error_ms = 0;
};

const ManagerAddresses& self_of(const FleetManagerConfig& config, std::uint64_t id) {
    const auto it = config.managers.find(id);
    if (it == config.managers.end())
        throw ConfigError(config.source + " names no steward " + std::to_string(id));
    return it->second;
}

int init(const Asked& asked) {
    const FleetManagerConfig config = read_fleet_manager_file(asked.file);
    const ManagerAddresses& self = self_of(config, asked.id);
    create_data_directory(self.folder, config.fleet, asked.id);
    std::vector<RaftServer> servers;
    for (const auto& [id, s] : config.managers) servers.push_back({id, s.raft});
    try {
        if (!asked.join) RaftNode::bootstrap({asked.id, self.raft, self.bind, self.folder}, servers);
    } catch (...) {
        std::error_code ec;
        std::filesystem::remove(self.folder + "/steward.json", ec);
        throw;
    }
    std::printf("%s is steward %llu's of %s\n", self.folder.c_str(),
                static_cast<unsigned long long>(asked.id), config.fleet.c_str());
    return 0;
}

int serve(const Asked& asked) {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is told as a disk that is full is
    const FleetManagerConfig config = read_fleet_manager_file(asked.file);
    const ManagerAddresses& self = self_of(config, asked.id);
    start_log(config.log);
    const StartupConfig launch = read_startup_config_file(asked.config);
    check_data_directory(self.folder, config.fleet, asked.id);
    boost::asio::io_context io(1);
    FleetManager manager(io, config, asked.id, launch, asked.clock_error_ms * 1'000'000);
    manager.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("tealcart-fleet-manager: keeps what a fleet has agreed on; docs/fleet.md");
    app.name("tealcart fleet-manager");
    Asked asked;
    const auto of = [&](const char* command, const char* what) {
        CLI::App* sub = app.add_subcommand(command, what);
        sub->add_option("--file", asked.file, "the stewards' file (HCL)")
            ->envname("TEALCART_FLEET_FILE")
            ->required();
        return sub;
    };
    CLI::App* making = of("init", "make a steward's folder, once");
    making->add_option("--id", asked.id, "which steward of the file")->required();
    making->add_flag("--join", asked.join, "it joins stewards that are there already; see docs/fleet.md");
    CLI::App* serving = of("serve", "run a steward");
    serving->add_option("--id", asked.id, "which steward of the file")->required();
    serving->add_option("--config", asked.config, "the platform's configuration (JSON)")
        ->envname("ROUTER_CONFIG")
        ->required();
    serving->add_option("--test-clock-error-ms", asked.clock_error_ms, "for tests: its clock is off by this")
        ->group("");
    CLI::App* checking = of("check", "tell every mistake in the stewards' file, with line and column");
    app.require_subcommand(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    try {
        if (making->parsed()) return init(asked);
        if (serving->parsed()) return serve(asked);
        if (checking->parsed()) {
            const FleetManagerConfig config = read_fleet_manager_file(asked.file);
            std::printf("%s: %zu stewards of %s\n", asked.file.c_str(), config.managers.size(),
                        config.fleet.c_str());
        }
        return 0;
    } catch (const HclErrors& e) {
        std::fprintf(stderr, "%s\n", e.what());
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart fleet-manager: %s\n", e.what());
    }
    return 1;
}
