// The parts that stored commands and snapshots have in common, as JSON values that are written as CBOR.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "changes/limits.hpp"

namespace tealcart::changes {

nlohmann::json json_of(const Limits& limits);
Limits read_limits(const nlohmann::json& in);

// The entries as a JSON object of strings.
nlohmann::json json_of_entries(const std::map<std::string, std::string>& entries);
std::map<std::string, std::string> read_entries(const nlohmann::json& in);

}  // namespace tealcart::changes
