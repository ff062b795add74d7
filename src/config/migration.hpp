// Rewrites an operators' file for a new deployment (`tealcart migrate`): what is valid there stays as it is,
// what isn't becomes a comment, with its position and the reason. Pure: text in, text out.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/hcl.hpp"
#include "config/router_config_reader.hpp"

namespace tealcart {

struct OperatorFileMigration {
    std::string text;  // the file for the new deployment
    std::vector<HclError>
        invalid_blocks;  // blocks that are not valid there, at their position in the old file
    std::vector<std::string> settings_summary;  // what the new deployment's settings say, one line each
};

// `settings` is the new deployment's JSON object of that name. Throws HclErrors where the old file is wrong,
// ConfigError where the settings are.
OperatorFileMigration migrate(std::string_view old_text, std::string_view source, std::string_view settings);

}  // namespace tealcart
