// The operators' commands: drain, undrain, halt, resume, fleet and config. Each request carries an id, so
// that retries at any fleet manager take effect once.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "config/hcl.hpp"
#include "fleet_manager/config_command.hpp"
#include "fleet_manager/drain_command.hpp"
#include "fleet_manager/status_command.hpp"

namespace {

using namespace tealcart;
using namespace tealcart::fleet_manager;

// Defines the commands and their options, and runs the command that was given.
class CommandLine {
  public:
    CommandLine() {
        if (const char* user = std::getenv("USER")) client_.requested_by = user;
        if (client_.requested_by.empty()) client_.requested_by = "operator";
        app_.name("tealcart");
        app_.require_subcommand(1);
        add_drain_commands();
        add_fleet_commands();
        add_config_commands();
    }

    // Throws CLI::ParseError.
    void parse(int argc, char** argv) { app_.parse(argc, argv); }
    int exit(const CLI::ParseError& error) { return app_.exit(error) == 0 ? exit_ok : exit_usage; }
    int run() const { return command_(); }

  private:
    CLI::App* add(CLI::App& group, const char* name, const char* description, std::function<int()> command) {
        CLI::App* sub = group.add_subcommand(name, description);
        sub->add_option("--stewards", client_.managers,
                        "addresses of the fleet managers, separated by commas")
            ->envname("TEALCART_STEWARDS")
            ->delimiter(',');
        sub->add_option("--file", client_.file, "the fleet managers' file (HCL), which names their addresses")
            ->envname("TEALCART_FLEET_FILE");
        sub->add_option("--asker", client_.requested_by,
                        "the operator's name, as it is shown in the state and the history");
        sub->add_option("--within", client_.timeout_s, "seconds to retry for")
            ->check(CLI::Range(0.1, 3600.0));
        sub->callback([this, command = std::move(command)] { command_ = command; });
        return sub;
    }

    void add_target_options(CLI::App* sub) {
        sub->add_option("NODE", drain_.nodes, "the data nodes to select");
        sub->add_option("--zone", drain_.zone, "select all data nodes of a zone");
        sub->add_option("--router", drain_.routers, "the query routers to select");
        sub->add_option("--id", client_.id, "id of the request; a retry with the same id takes effect once");
        sub->add_flag("--wait", drain_.wait,
                      "wait until the requests are done, and print what they wait for");
        sub->add_flag("--json", client_.json, "print the answer as JSON");
    }

    void add_drain_commands() {
        add_target_options(add(app_, "drain", "request that data nodes or query routers are drained",
                               [this] { return drain(client_, drain_); }));
        add_target_options(
            add(app_, "undrain",
                "return drained targets to service, and cancel requests that are not granted yet",
                [this] { return undrain(client_, drain_); }));
        add(app_, "halt", "stop granting requests; drained targets may still return",
            [this] { return halt(client_, drain_); })
            ->add_option("WHY", drain_.reason, "the reason, as it is shown in the state")
            ->required();
        add(app_, "resume", "grant requests again after a halt", [this] { return resume(client_, drain_); });
    }

    void add_fleet_commands() {
        CLI::App& fleet = *app_.add_subcommand("fleet", "the fleet's state and its members");
        fleet.require_subcommand(1);
        CLI::App* status =
            add(fleet, "status", "show the agreed state, what is drained, and what blocks requests",
                [this] { return show_status(client_, all_); });
        status->add_flag("--json", client_.json, "print as JSON");
        status->add_flag("--all", all_, "list every member and data node, even in a large fleet");
        add(fleet, "forget", "stop counting a lost member that will not come back",
            [this] { return forget_member(client_, drain_); })
            ->add_option("NAME", drain_.member, "the member's name")
            ->required();
        CLI::App* adding =
            add(fleet, "steward-add", "add a fleet manager to the group; see docs/fleet.md for the steps",
                [this] { return add_manager(client_, manager_id_, manager_address_); });
        adding->add_option("ID", manager_id_, "id of the fleet manager")->required();
        adding
            ->add_option("ADDRESS", manager_address_,
                         "its address for the replicated log, 'raft' in the file")
            ->required();
        add(fleet, "steward-remove", "remove a fleet manager from the group",
            [this] { return remove_manager(client_, manager_id_); })
            ->add_option("ID", manager_id_, "id of the fleet manager")
            ->required();
    }

    void add_publishing_options(CLI::App* sub) {
        sub->add_option("--id", client_.id, "id of the request; a retry with the same id takes effect once");
        sub->add_flag("--wait", config_.wait, "wait until the version is in force, and print its rollout");
        sub->add_flag("--json", client_.json, "print the answer as JSON");
    }

    void add_config_commands() {
        CLI::App& config =
            *app_.add_subcommand("config", "publish and show the fleet's configuration; see docs/changes.md");
        config.require_subcommand(1);
        CLI::App* set = add(config, "set", "publish entries as one version",
                            [this] { return set_entries(client_, config_); });
        add_publishing_options(set);
        set->add_option("KEY=FILE", config_.entries, "the key of an entry, and the file that holds its text");
        set->add_option("--remove", config_.removed, "the key of an entry to remove");
        set->add_option("--based-on", config_.based_on, "publish only if this is the latest version");
        CLI::App* show = add(config, "show", "show the latest version and its rollout, or one entry",
                             [this] { return show_changes(client_, config_); });
        show->add_option("KEY", config_.key, "the key of the entry to show");
        show->add_flag("--json", client_.json, "print as JSON");
        CLI::App* back = add(config, "back", "publish a new version with the content of an earlier one",
                             [this] { return roll_back(client_, config_); });
        add_publishing_options(back);
        back->add_option("VERSION", config_.version, "the earlier version")->required();
        add(config, "resume", "allow publishing again after refusals halted it",
            [this] { return resume_publishing(client_, config_); });
    }

    CLI::App app_{"operators' commands for a fleet; see docs/fleet.md"};
    ClientOptions client_;
    DrainOptions drain_;
    ConfigOptions config_;
    std::uint64_t manager_id_ = 0;
    std::string manager_address_;  // where the other fleet managers reach it
    bool all_ = false;
    std::function<int()> command_;  // set when the command line is parsed
};

}  // namespace

int main(int argc, char** argv) {
    CommandLine line;
    try {
        line.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return line.exit(error);
    }
    try {
        return line.run();
    } catch (const HclErrors& error) {
        std::fprintf(stderr, "%s\n", error.what());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "tealcart: %s\n", error.what());
    }
    return exit_unreachable;
}
