// The command line of tealcart. Without a subcommand it serves one query router, which is how the platform
// starts it.

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

// The values of the command line's options.
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
    std::signal(SIGPIPE, SIG_IGN);  // a write to a log without a reader must not end the process
    // SIGHUP is ignored until the service handles it, which it does before it reads the configuration.
    std::signal(SIGHUP, SIG_IGN);
    boost::asio::io_context io(1);
    tealcart::Service service(io, [&options] { return read_startup_config(options); });
    service.run();
    return 0;
}

// Checks the operators' file, and whether it fits the platform's configuration if that is given.
int check(const Options& options) {
    const tealcart::OperatorConfig config = tealcart::read_operator_file(options.file);
    if (!options.config.empty()) {
        tealcart::StartupConfig startup = tealcart::read_startup_config_file(options.config);
        tealcart::apply_operator_config(startup, config);
    }
    std::printf("%s is valid: %zu query classes in two phases%s\n", options.file.c_str(),
                config.phases.size(), options.config.empty() ? "; not checked against a configuration" : "");
    return 0;
}

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw tealcart::ConfigError("failed to read " + path);
    return {std::istreambuf_iterator<char>(in), {}};
}

// Converts an operators' file of the earlier format into one for the deployment of the configuration. Writes
// the new file only if --to is given without --dry-run, and prints it otherwise. Lists on standard error what
// is not carried over.
int migrate(const Options& options) {
    const auto config = nlohmann::json::parse(read_file(options.config), nullptr, false);
    if (config.is_discarded() || !config.is_object() || !config.contains("settings"))
        throw tealcart::ConfigError(options.config +
                                    " is not a JSON configuration with the member 'settings'");
    const tealcart::OperatorFileMigration migration =
        tealcart::migrate(read_file(options.file), options.file, config["settings"].dump());
    for (const std::string& line : migration.settings_summary)
        std::fprintf(stderr, "new deployment: %s\n", line.c_str());
    for (const tealcart::HclError& left : migration.invalid_blocks)
        std::fprintf(stderr, "%s:%zu:%zu: not carried over: %s\n", options.file.c_str(), left.position.line,
                     left.position.column, left.message.c_str());
    if (options.dry_run || options.to.empty()) return std::fputs(migration.text.c_str(), stdout) < 0;
    if (std::filesystem::exists(options.to))
        throw tealcart::ConfigError(options.to + " already exists; expected the path of a new file");
    std::ofstream out(options.to, std::ios::binary);
    if (!(out << migration.text) || !out.flush())
        throw tealcart::ConfigError("failed to write " + options.to);
    std::fprintf(stderr, "wrote %s: %zu entries not carried over\n", options.to.c_str(),
                 migration.invalid_blocks.size());
    return 0;
}

int print_version(const Options&) { return std::printf("tealcart %s\n", tealcart::version) < 0; }

// A subcommand that another program in this program's directory carries out, since it needs further
// libraries.
struct SiblingCommand {
    const char* name;
    const char* alias;  // an earlier name; null for none
    const char* program;
    const char* build_option;
    bool passes_name;  // the program serves several subcommands and gets the name as an argument
    const char* description;
};
constexpr const char* fleet_description = "send a command to the fleet managers; see its --help";
constexpr SiblingCommand sibling_commands[] = {
    {"control", nullptr, "tealcart-control", "TEALCART_CONTROL", false,
     "run the control service, which configures proxies over xDS; see tealcart control --help"},
    {"fleet-manager", "steward", "tealcart-fleet-manager", "TEALCART_FLEET", false,
     "run a fleet manager, which replicates the state of a fleet; see tealcart fleet-manager --help"},
    {"relay", nullptr, "tealcart-relay", "TEALCART_FLEET", false,
     "run a relay, which distributes a fleet's configuration to its routers; see tealcart relay --help"},
    {"drain", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"undrain", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"halt", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"resume", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"fleet", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
    {"config", nullptr, "tealcart-fleet", "TEALCART_FLEET", true, fleet_description},
};

// Replaces this process with the program. Returns only if the program does not exist.
int run_sibling(const SiblingCommand& command, char** arguments) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / command.program;
    ::execv(path.c_str(), command.passes_name ? arguments : arguments + 1);
    std::fprintf(stderr, "tealcart: %s does not exist; build it with the CMake option %s\n", path.c_str(),
                 command.build_option);
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
    app.add_option("--file", options.file,
                   "the operators' file (HCL); without one, all of its features are off")
        ->envname("TEALCART_FILE");
}

void add_check_options(CLI::App& app, Options& options) {
    add_config_option(app, options);
    app.add_option("FILE", options.file, "the operators' file")->required();
}

void add_migrate_options(CLI::App& app, Options& options) {
    app.add_option("FILE", options.file, "the operators' file of the earlier format")->required();
    app.add_option("--config", options.config, "the new deployment's configuration (JSON)")->required();
    app.add_option("--to", options.to, "path of the new file, which must not exist yet");
    app.add_flag("--dry-run", options.dry_run,
                 "print the new file and what is not carried over; write no file");
}

void add_completion_options(CLI::App& app, Options& options) {
    app.add_option("SHELL", options.shell, "bash, zsh or fish")
        ->required()
        ->check(CLI::IsMember({"bash", "zsh", "fish"}));
}

// A subcommand that this program carries out itself.
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
    CLI::App app("tealcart: a query router over replicated shards");
    app.name("tealcart");
    app.require_subcommand(0, 1);
    Options options;
    add_serve_options(app, options);
    const auto print_completion = [&app](const Options& of) {
        return std::fputs(tealcart::completion_script(app, of.shell).c_str(), stdout) < 0;
    };
    std::vector<Command> commands{
        {"serve", "serve one query router (the default without a subcommand)", add_serve_options, serve},
        {"check", "report every error in an operators' file with its line and column", add_check_options,
         check},
        {"migrate", "convert an operators' file to the new format; lists what is not carried over",
         add_migrate_options, migrate},
        {"version", "print the version", nullptr, print_version},
        {"completion", "print a completion script for a shell", add_completion_options, print_completion}};
    // The order determines that of --help, which lists the other programs' subcommands in the middle.
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
