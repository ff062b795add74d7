// Carries an operators' file written for the earlier shape of deployment over to a new one: what holds there
// is kept as it stands, what does not is left out, with its line and column and why. Pure: text in, text out.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/hcl.hpp"
#include "config/router_config_reader.hpp"

namespace tealcart {

struct Migration {
    std::string text;                 // the file for the new shape
    std::vector<HclMistake> left;     // what could not be carried over, where it stood
    std::vector<std::string> stated;  // what the new deployment's settings state that the router now reads
};

// `settings` is the object that the platform hands over as `settings`, of the new deployment. Throws
// HclMistakes where the old file can't be read, Malformed where the settings can't.
Migration migrate(std::string_view old_text, std::string_view source, std::string_view settings);

}  // namespace tealcart
