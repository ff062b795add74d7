// Generates shell completion scripts from the command line's subcommands and options.
#pragma once

#include <CLI/App.hpp>
#include <string>

namespace tealcart {

// Returns the script for `shell`, which is "bash", "zsh" or "fish".
std::string completion_script(const CLI::App& app, const std::string& shell);

}  // namespace tealcart
