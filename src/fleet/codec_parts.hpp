// The parts that stored commands and snapshots have in common, as JSON values that are written as CBOR. They
// are arrays; the order of the elements is the stored format.
#pragma once

#include <nlohmann/json.hpp>

#include "fleet/budgets.hpp"
#include "fleet/removal.hpp"

namespace tealcart::fleet {

nlohmann::json json_of(const Target& target);
Target read_target(const nlohmann::json& in);

nlohmann::json json_of(const Budgets& budgets);
Budgets read_budgets(const nlohmann::json& in);

}  // namespace tealcart::fleet
