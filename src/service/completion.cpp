#include "service/completion.hpp"

#include <CLI/CLI.hpp>

namespace tealcart {
namespace {

std::string flags_of(const CLI::App& app) {
    std::string all;
    for (const CLI::Option* option : app.get_options())
        for (const std::string& name : option->get_lnames())
            all.append(all.empty() ? "--" : " --").append(name);
    return all;
}

std::vector<const CLI::App*> commands_of(const CLI::App& app) {
    return app.get_subcommands([](const CLI::App*) { return true; });
}

// Also used for zsh, which runs bash completions through its bashcompinit.
std::string bash_script(const CLI::App& app) {
    std::string names, cases;
    for (const CLI::App* sub : commands_of(app)) {
        names.append(names.empty() ? "" : " ").append(sub->get_name());
        cases += "        " + sub->get_name() + ") words=\"" + flags_of(*sub) + "\" ;;\n";
    }
    return "_" + app.get_name() +
           "() {\n"
           "    local words=\"" +
           names + " " + flags_of(app) +
           "\" current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
           "    [ \"$COMP_CWORD\" -gt 1 ] && case \"${COMP_WORDS[1]}\" in\n" +
           cases +
           "    esac\n"
           "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
           "    case \"$current\" in -*) ;; *) [ \"$COMP_CWORD\" -gt 1 ] && COMPREPLY+=($(compgen -f -- "
           "\"$current\")) ;; esac\n"
           "}\n"
           "complete -F _" +
           app.get_name() + " " + app.get_name() + "\n";
}

std::string fish_script(const CLI::App& app) {
    std::string out;
    const std::string start = "complete -c " + app.get_name();
    for (const CLI::App* sub : commands_of(app)) {
        out.append(start)
            .append(" -n __fish_use_subcommand -f -a ")
            .append(sub->get_name())
            .append(" -d '")
            .append(sub->get_description())
            .append("'\n");
        for (const CLI::Option* option : sub->get_options())
            for (const std::string& name : option->get_lnames())
                out.append(start)
                    .append(" -n '__fish_seen_subcommand_from ")
                    .append(sub->get_name())
                    .append("' -l ")
                    .append(name)
                    .append(" -d '")
                    .append(option->get_description())
                    .append("'\n");
    }
    return out;
}

}  // namespace

std::string completion_script(const CLI::App& app, const std::string& shell) {
    if (shell == "fish") return fish_script(app);
    return (shell == "zsh" ? "autoload -U +X bashcompinit && bashcompinit\n" : "") + bash_script(app);
}

}  // namespace tealcart
