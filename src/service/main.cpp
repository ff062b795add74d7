// The command line. With nothing more it serves one query router, as the platform starts it.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

#include "config/migration.hpp"
#include "log/log.hpp"
#include "service/completion.hpp"
#include "service/service.hpp"
#include "service/version.hpp"

namespace {

struct Asked {
    std::string launch, file, shell, to;
    bool dry_run = false;
};

tealcart::StartupConfig read_all(const Asked& asked) {
    tealcart::StartupConfig launch = tealcart::read_startup_config_file(asked.launch);
    if (!asked.file.empty()) tealcart::follow_operators(launch, tealcart::read_operator_file(asked.file));
    return launch;
}

int serve(const Asked& asked) {
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more ends nothing
    std::signal(SIGHUP, SIG_IGN);   // until the service takes it, which is before it reads the configuration
    boost::asio::io_context io(1);
    tealcart::Service service(io, [&asked] { return read_all(asked); });
    service.run();
    return 0;
}

// The operators' file alone or, where the platform's configuration is at hand, against it.
int check(const Asked& asked) {
    const tealcart::OperatorConfig config = tealcart::read_operator_file(asked.file);
    if (!asked.launch.empty()) {
        tealcart::StartupConfig launch = tealcart::read_startup_config_file(asked.launch);
        tealcart::follow_operators(launch, config);
    }
    std::printf("%s: %zu verticals in two phases%s\n", asked.file.c_str(), config.phases.size(),
                asked.launch.empty() ? "; not held against a configuration" : "");
    return 0;
}

std::string whole_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw tealcart::ConfigError(path + " can't be read");
    return {std::istreambuf_iterator<char>(in), {}};
}

// The operators' file of the earlier shape, carried over to the deployment of the configuration. Writes the
// new file only where it is asked to and not in a dry run; lists what stays behind on standard error.
int migrate(const Asked& asked) {
    const auto config = nlohmann::json::parse(whole_file(asked.launch), nullptr, false);
    if (config.is_discarded() || !config.is_object() || !config.contains("settings"))
        throw tealcart::ConfigError(asked.launch + " is no configuration with 'settings'");
    const tealcart::OperatorFileMigration m =
        tealcart::migrate(whole_file(asked.file), asked.file, config["settings"].dump());
    for (const std::string& line : m.stated) std::fprintf(stderr, "stated: %s\n", line.c_str());
    for (const tealcart::HclError& left : m.left)
        std::fprintf(stderr, "%s:%zu:%zu: not carried over: %s\n", asked.file.c_str(), left.position.line,
                     left.position.column, left.message.c_str());
    if (asked.dry_run || asked.to.empty()) return std::fputs(m.text.c_str(), stdout) < 0;
    if (std::filesystem::exists(asked.to)) throw tealcart::ConfigError(asked.to + " is there already");
    std::ofstream out(asked.to, std::ios::binary);
    if (!(out << m.text) || !out.flush()) throw tealcart::ConfigError(asked.to + " can't be written");
    std::fprintf(stderr, "wrote %s: %zu left behind\n", asked.to.c_str(), m.left.size());
    return 0;
}

// Programs with libraries of their own stand beside this one.
int run_beside(const char* name, const char* option, char** words) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
    ::execv(path.c_str(), words);
    std::fprintf(stderr, "tealcart: %s is not built (%s)\n", path.c_str(), option);
    return 1;
}

// Does not come back where the first word is another program's.
void run_if_beside(char** argv) {
    const std::string_view word = argv[1];
    if (word == "control") std::exit(run_beside("tealcart-control", "TEALCART_CONTROL", argv + 1));
    if (word == "fleet-manager" || word == "steward")  // "steward" is the earlier name of the sub-command
        std::exit(run_beside("tealcart-fleet-manager", "TEALCART_FLEET", argv + 1));
    if (word == "relay") std::exit(run_beside("tealcart-relay", "TEALCART_FLEET", argv + 1));
    for (const char* of_fleet : {"drain", "undrain", "halt", "resume", "fleet", "config"})
        if (word == of_fleet) std::exit(run_beside("tealcart-fleet", "TEALCART_FLEET", argv));
}

}  // namespace

int main(int argc, char** argv) {
    if (argc > 1) run_if_beside(argv);
    CLI::App app("tealcart: a co-ordinator of queries over replicated shards");
    app.name("tealcart");
    Asked asked;
    const auto launch_option = [&asked](CLI::App* of) {
        of->add_option("--config", asked.launch, "the platform's configuration (JSON)")
            ->envname("ROUTER_CONFIG");
    };
    const auto file_option = [&asked](CLI::App* of) {
        of->add_option("--file", asked.file, "the operators' file (HCL); without one, nothing of it is on")
            ->envname("TEALCART_FILE");
    };
    app.require_subcommand(0, 1);
    launch_option(&app);
    file_option(&app);
    CLI::App* serving = app.add_subcommand("serve", "serve one query router; the same as no sub-command");
    launch_option(serving);
    file_option(serving);
    CLI::App* checking =
        app.add_subcommand("check", "tell every mistake in an operators' file, with line and column");
    launch_option(checking);
    checking->add_option("FILE", asked.file, "the operators' file")->required();
    CLI::App* migrating = app.add_subcommand(
        "migrate", "carry an operators' file over to a deployment of the new shape; lists what stays behind");
    migrating->add_option("FILE", asked.file, "the operators' file of the earlier shape")->required();
    migrating->add_option("--config", asked.launch, "the new deployment's configuration (JSON)")->required();
    migrating->add_option("--to", asked.to, "where the new file goes; it must not be there yet");
    migrating->add_flag("--dry-run", asked.dry_run,
                        "print the new file and what stays behind; write nothing");
    app.add_subcommand("control", "hand decisions to other proxies over xDS; see tealcart control --help");
    app.add_subcommand("fleet-manager", "replicate what a fleet agrees on; see tealcart fleet-manager --help")
        ->alias("steward");
    app.add_subcommand("relay", "hand a fleet's changes on to its routers; see tealcart relay --help");
    for (const char* of_fleet : {"drain", "undrain", "halt", "resume", "fleet", "config"})
        app.add_subcommand(of_fleet, "ask a fleet's stewards; see --help of it");
    CLI::App* telling = app.add_subcommand("version", "print the version");
    CLI::App* completing = app.add_subcommand("completion", "print a completion script for a shell");
    completing->add_option("SHELL", asked.shell, "bash, zsh or fish")
        ->required()
        ->check(CLI::IsMember({"bash", "zsh", "fish"}));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    try {
        if (telling->parsed()) return std::printf("tealcart %s\n", tealcart::version) < 0;
        if (completing->parsed())
            return std::fputs(tealcart::completion_script(app, asked.shell).c_str(), stdout) < 0;
        if (migrating->parsed()) return migrate(asked);
        return checking->parsed() ? check(asked) : serve(asked);
    } catch (const tealcart::HclErrors& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return 1;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart: %s\n", e.what());
        return 1;
    }
}
