// The stewards' operators' file (deploy/fleet.hcl by its usual name): who they are, and what may be out.
// docs/fleet.md lists its blocks.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "changes/change_state.hpp"
#include "fleet/fleet_state.hpp"
#include "terms/host_port.hpp"
#include "terms/operator_terms.hpp"

namespace tealcart::steward {

struct OneSteward {
    std::string raft, bind, folder;  // where the others reach it; where it listens, if elsewhere
    HostPort http, http_bind;        // where members and operators reach it; where it listens
};

struct StewardTerms {
    std::string source, fleet;  // fleet: its name
    Nanos election = 600'000'000;
    std::map<std::uint64_t, OneSteward> stewards;  // by id
    fleet::Budgets budgets;
    bool takes_changes = false;  // a `changes` block is stated: without one, none are agreed
    changes::Limits changes;
    LogTerms log;
};

// Throws HclMistakes with all that is wrong.
StewardTerms read_steward_terms(std::string_view text, std::string_view source);
StewardTerms read_steward_file(const std::string& path);  // and Malformed where it can't be read

}  // namespace tealcart::steward
