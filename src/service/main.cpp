// The command line. Without a subcommand it serves one query router, as the platform starts it.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/migration.hpp"
#include "log/log.hpp"
#include "service/completion.hpp"
#include "service/service.hpp"
#include "service/version.hpp"

namespace {

constexpr int exit_failure = 1, exit_usage = 2;

// What the command line states.
struct Options {
    std::string config;  // path of the platform's configuration
    std::string file;    // path of the operators' file
    std::string shell, to;
    bool dry_run = false;
};

tealcart::StartupConfig read_startup_config(const Options& options) {
    tealcart::StartupConfig startup = tealcart::read_startup_config_file(options.config);
    if (!options.file.empty())
        tealcart::apply_operator_config(startup, tealcart::read_operator_file(options.file));
    return startup;
}

int serve(const Options& options) {
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more ends nothing
    std::signal(SIGHUP, SIG_IGN);   // until the service takes it, which is before it reads the configuration
    boost::asio::io_context io(1);
    tealcart::Service service(io, [&options] { return read_startup_config(options); });
    service.run();
    return 0;
}

// Checks the operators' file alone or, where the platform's configuration is at hand, against it.
int check(const Options& options) {
    const tealcart::OperatorConfig config = tealcart::read_operator_file(options.file);
    if (!options.config.empty()) {
        tealcart::StartupConfig startup = tealcart::read_startup_config_file(options.config);
        tealcart::apply_operator_config(startup, config);
    }
    std::printf("%s: %zu verticals in two phases%s\n", options.file.c_str(), config.phases.size(),
                options.config.empty() ? "; not held against a configuration" : "");
    return 0;
}

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw tealcart::ConfigError(path + " can't be read");
    return {std::istreambuf_iterator<char>(in), {}};
}

// Turns an operators' file of the earlier form into one for the deployment of the configuration. Writes the
// new file only where it is asked to and not in a dry run; lists what stays behind on standard error.
int migrate(const Options& options) {
    const auto config = nlohmann::json::parse(read_file(options.config), nullptr, false);
    if (config.is_discarded() || !config.is_object() || !config.contains("settings"))
        throw tealcart::ConfigError(options.config + " is no configuration with 'settings'");
    const tealcart::OperatorFileMigration migration =
        tealcart::migrate(read_file(options.file), options.file, config["settings"].dump());
    for (const std::string& line : migration.stated) std::fprintf(stderr, "stated: %s\n", line.c_str());
    for (const tealcart::HclError& left : migration.left)
        std::fprintf(stderr, "%s:%zu:%zu: not carried over: %s\n", options.file.c_str(), left.position.line,
                     left.position.column, left.message.c_str());
    if (options.dry_run || options.to.empty()) return std::fputs(migration.text.c_str(), stdout) < 0;
    if (std::filesystem::exists(options.to)) throw tealcart::ConfigError(options.to + " is there already");
    std::ofstream out(options.to, std::ios::binary);
    if (!(out << migration.text) || !out.flush())
        throw tealcart::ConfigError(options.to + " can't be written");
    std::fprintf(stderr, "wrote %s: %zu left behind\n", options.to.c_str(), migration.left.size());
    return 0;
}

int print_version(const Options&) { return std::printf("tealcart %s\n", tealcart::version) < 0; }

// Subcommands that other programs carry out, which have libraries of their own and stand beside this one.
struct SiblingCommand {
    const char* name;
    const char* alias;  // its earlier name; null for none
    const char* program;
    const char* build_option;
    bool passes_name;  // the program serves several subcommands, and is told which
    const char* description;
};
constexpr const char* fleet_description = "ask a fleet's stewards; see --help of it";
constexpr SiblingCommand sibling_commands[] = {
    {"control", nullptr, "tealcart-control", "TEALCART_CONTROL", false,
     "hand decisions to other proxies over xDS; see tealcart control --help"},
    {"fleet-manager", "steward", "tealcart-fleet-manager", "TEALCART_FLEET", false,
     "replicate what a fleet agrees on; see tealcart fleet-manager --help"},
    {"relay", nullptr, "tealcart-relay", "TEALCART_FLEET", false,
     "hand a fleet's changes on to its routers; see tealcart relay --help"},
    {"drain", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"undrain", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"halt", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"resume", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"fleet", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"config", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
};

// Replaces this process; returns only where the program is not there.
int run_sibling(const SiblingCommand& command, char** arguments) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / command.program;
    ::execv(path.c_str(), command.passes_name ? arguments : arguments + 1);
    std::fprintf(stderr, "tealcart: %s is not built (%s)\n", path.c_str(), command.build_option);
    return exit_failure;
}

const SiblingCommand* find_sibling(std::string_view name) {
    for (const SiblingCommand& command : sibling_commands)
        if (name == command.name || (command.alias != nullptr && name == command.alias)) return &command;
    return nullptr;
}

void add_config_option(CLI::App& app, Options& options) {
    app.add_option("--config", options.config, "the platform's configuration (JSON)")
        ->envname("ROUTER_CONFIG");
}

void add_serve_options(CLI::App& app, Options& options) {
    add_config_option(app, options);
    app.add_option("--file", options.file, "the operators' file (HCL); without one, nothing of it is on")
        ->envname("TEALCART_FILE");
}

void add_check_options(CLI::App& app, Options& options) {
    add_config_option(app, options);
    app.add_option("FILE", options.file, "the operators' file")->required();
}

void add_migrate_options(CLI::App& app, Options& options) {
    app.add_option("FILE", options.file, "the operators' file of the earlier shape")->required();
    app.add_option("--config", options.config, "the new deployment's configuration (JSON)")->required();
    app.add_option("--to", options.to, "where the new file goes; it must not be there yet");
    app.add_flag("--dry-run", options.dry_run, "print the new file and what stays behind; write nothing");
}

void add_completion_options(CLI::App& app, Options& options) {
    app.add_option("SHELL", options.shell, "bash, zsh or fish")
        ->required()
        ->check(CLI::IsMember({"bash", "zsh", "fish"}));
}

// Subcommands that this program carries out itself.
struct Command {
    const char* name;
    const char* description;
    void (*add_options)(CLI::App& app, Options& options);  // null for none
    std::function<int(const Options&)> run;
    CLI::App* parser = nullptr;
};

void add_command(CLI::App& app, Command& command, Options& options) {
    command.parser = app.add_subcommand(command.name, command.description);
    if (command.add_options != nullptr) command.add_options(*command.parser, options);
}

int run(const std::vector<Command>& commands, const Options& options) {
    try {
        for (const Command& command : commands)
            if (command.parser->parsed()) return command.run(options);
        return serve(options);
    } catch (const tealcart::HclErrors& e) {
        std::fprintf(stderr, "%s\n", e.what());
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart: %s\n", e.what());
    }
    return exit_failure;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc > 1)
        if (const SiblingCommand* command = find_sibling(argv[1])) return run_sibling(*command, argv);
    CLI::App app("tealcart: a co-ordinator of queries over replicated shards");
    app.name("tealcart");
    app.require_subcommand(0, 1);
    Options options;
    add_serve_options(app, options);
    const auto print_completion = [&app](const Options& of) {
        return std::fputs(tealcart::completion_script(app, of.shell).c_str(), stdout) < 0;
    };
    std::vector<Command> commands{
        {"serve", "serve one query router; the same as no sub-command", add_serve_options, serve},
        {"check", "tell every mistake in an operators' file, with line and column", add_check_options, check},
        {"migrate", "carry an operators' file over to a deployment of the new shape; lists what stays behind",
         add_migrate_options, migrate},
        {"version", "print the version", nullptr, print_version},
        {"completion", "print a completion script for a shell", add_completion_options, print_completion}};
    // In the order of --help: the programs beside this one stand in the middle.
    constexpr std::size_t before_siblings = 3;
    for (std::size_t i = 0; i < before_siblings; ++i) add_command(app, commands[i], options);
    for (const SiblingCommand& sibling : sibling_commands) {
        CLI::App* parser = app.add_subcommand(sibling.name, sibling.description);
        if (sibling.alias != nullptr) parser->alias(sibling.alias);
    }
    for (std::size_t i = before_siblings; i < commands.size(); ++i) add_command(app, commands[i], options);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : exit_usage;
    }
    return run(commands, options);
}
