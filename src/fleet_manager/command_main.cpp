// The operators' commands: drain, undrain, halt, resume, fleet and config. Each call has an id, so that its
// retries, at whichever fleet manager, are one call.

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

// The command line: options are parsed into these, and the chosen command reads them.
class CommandLine {
  public:
    CommandLine() {
        if (const char* user = std::getenv("USER")) client_.asker = user;
        if (client_.asker.empty()) client_.asker = "operator";
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
        sub->add_option("--stewards", client_.managers, "their addresses, with commas")
            ->envname("TEALCART_STEWARDS")
            ->delimiter(',');
        sub->add_option("--file", client_.file, "or the stewards' file")->envname("TEALCART_FLEET_FILE");
        sub->add_option("--asker", client_.asker, "who asks, as it is shown");
        sub->add_option("--within", client_.timeout_s, "seconds to try for")->check(CLI::Range(0.1, 3600.0));
        sub->callback([this, command = std::move(command)] { command_ = command; });
        return sub;
    }

    void add_target_options(CLI::App* sub) {
        sub->add_option("NODE", drain_.nodes, "data nodes");
        sub->add_option("--zone", drain_.zone, "all data nodes of a zone");
        sub->add_option("--router", drain_.routers, "query routers");
        sub->add_option("--id", client_.id, "the call's id: the same again is one call");
        sub->add_flag("--wait", drain_.wait, "show what it waits for until it is done");
        sub->add_flag("--json", client_.json, "what came of it, as JSON");
    }

    void add_drain_commands() {
        add_target_options(add(app_, "drain", "ask for data nodes or query routers to be let out",
                               [this] { return drain(client_, drain_); }));
        add_target_options(add(app_, "undrain",
                               "let them back; also what has not been granted yet is taken back",
                               [this] { return undrain(client_, drain_); }));
        add(app_, "halt", "grant nothing more; what is out may come back",
            [this] { return halt(client_, drain_); })
            ->add_option("WHY", drain_.reason, "the reason, as it is shown")
            ->required();
        add(app_, "resume", "grant again", [this] { return resume(client_, drain_); });
    }

    void add_fleet_commands() {
        CLI::App& fleet = *app_.add_subcommand("fleet", "the fleet's state and its members");
        fleet.require_subcommand(1);
        CLI::App* status = add(fleet, "status", "what is agreed, who is out, and what holds requests back",
                               [this] { return show_status(client_, all_); });
        status->add_flag("--json", client_.json, "as JSON");
        status->add_flag("--all", all_, "list all, also of a great fleet");
        add(fleet, "forget", "a router that is lost and will not come back counts no more",
            [this] { return forget_member(client_, drain_); })
            ->add_option("NAME", drain_.member, "the member")
            ->required();
        CLI::App* adding = add(fleet, "steward-add", "a steward joins; see docs/fleet.md for the order",
                               [this] { return add_manager(client_, manager_id_, manager_address_); });
        adding->add_option("ID", manager_id_, "its id")->required();
        adding->add_option("ADDRESS", manager_address_, "its 'raft' address")->required();
        add(fleet, "steward-remove", "a steward is taken out",
            [this] { return remove_manager(client_, manager_id_); })
            ->add_option("ID", manager_id_, "its id")
            ->required();
    }

    void add_publishing_options(CLI::App* sub) {
        sub->add_option("--id", client_.id, "the call's id: the same again is one call");
        sub->add_flag("--wait", config_.wait, "show how far it has come until it is in force");
        sub->add_flag("--json", client_.json, "what came of it, as JSON");
    }

    void add_config_commands() {
        CLI::App& config =
            *app_.add_subcommand("config", "a fleet's changes of configuration; docs/changes.md");
        config.require_subcommand(1);
        CLI::App* set = add(config, "set", "publish entries, as one version",
                            [this] { return set_entries(client_, config_); });
        add_publishing_options(set);
        set->add_option("KEY=FILE", config_.entries, "an entry, and the file with its text");
        set->add_option("--remove", config_.removed, "an entry that goes");
        set->add_option("--based-on", config_.based_on, "refuse it where another version is the latest");
        CLI::App* show = add(config, "show", "the latest version and how far it has come, or one entry",
                             [this] { return show_changes(client_, config_); });
        show->add_option("KEY", config_.key, "the entry");
        show->add_flag("--json", client_.json, "as JSON");
        CLI::App* back = add(config, "back", "a further version with the content of an earlier one",
                             [this] { return roll_back(client_, config_); });
        add_publishing_options(back);
        back->add_option("VERSION", config_.version, "the earlier one")->required();
        add(config, "resume", "publish again after a halt by refusals",
            [this] { return resume_publishing(client_, config_); });
    }

    CLI::App app_{"what operators ask of a fleet's stewards; docs/fleet.md"};
    ClientOptions client_;
    DrainOptions drain_;
    ConfigOptions config_;
    std::uint64_t manager_id_ = 0;
    std::string manager_address_;  // for the replicated log
    bool all_ = false;
    std::function<int()> command_;  // that was chosen
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
