// Reads the bodies of operators' requests about changes of configuration, writes their answers, and selects
// the part of the document that a relay needs. Pure functions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "changes/change_state.hpp"
#include "wire/change_messages.hpp"
#include "wire/message_error.hpp"

namespace tealcart::fleet_manager {

// An idempotent request: retries with the same id, at any fleet manager, take effect once. Each operation
// uses some of the fields.
struct ChangeRequest {
    std::string id, requested_by;
    std::map<std::string, std::string> set;  // entries to publish, by key
    std::set<std::string> removed;           // keys of the entries to remove
    std::optional<std::uint64_t> based_on;   // publish only if this is the latest version
    std::uint64_t rollback_version = 0;      // the version to roll back to
    std::string key;                         // the entry to show
};
ReadResult<ChangeRequest> read_change_request(std::string_view body);
std::string write_effects(const changes::Effects& effects);

// The name of the effect in answers and in the log.
const char* name_of(changes::EffectCode code);

// What the changes page states about the fleet manager that serves it.
struct ManagerChangeStatus {
    std::uint64_t id = 0, leader = 0;  // leader: 0 for none
    std::string fleet, leader_address;
    std::size_t waiting = 0;  // relay calls that wait for a later version
};
// The body of GET /fleet/changes: the rollout of the latest version, and the versions before it.
std::string write_changes(const changes::ChangeState& state, const ManagerChangeStatus& manager);
// One entry at the latest version; nullopt if the key has none.
std::optional<std::string> write_entry(const changes::ChangeState& state, const std::string& key);

// Adds to `answer` what the relay's copy lacks: a delta, or a page if the delta would be too long.
void add_document_update(const changes::ChangeState& state, const WatchPosition& position,
                         ChangesAnswer& answer);

}  // namespace tealcart::fleet_manager
