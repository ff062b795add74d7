// Rewrites an operators' file for a new deployment (`tealcart migrate`). Blocks that are valid there stay
// unchanged, and the others become comments with the reason. It works on text only and accesses no files.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/hcl.hpp"
#include "config/router_config_reader.hpp"

namespace tealcart {

// The result of a migration.
struct OperatorFileMigration {
    std::string text;  // the file for the new deployment
    // The blocks that are invalid there, with their position in the old file.
    std::vector<HclError> invalid_blocks;
    std::vector<std::string> settings_summary;  // the new deployment's settings, one line each
};

// `settings` is the JSON text of the new deployment's settings. Throws HclErrors if the old file is invalid
// and ConfigError if the settings are.
OperatorFileMigration migrate(std::string_view old_text, std::string_view source, std::string_view settings);

}  // namespace tealcart
