// The bodies of operators' calls about changes of configuration and their answers, and how much of the
// document goes to a relay. Pure functions.
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

// A call that may be retried under the same id, at any fleet manager, and takes effect once. Each operation
// needs some of the fields.
struct ChangeRequest {
    std::string id, asker;
    std::map<std::string, std::string> set;  // to be published: entries by key,
    std::set<std::string> removed;           // and keys of entries that are removed,
    std::optional<std::uint64_t> based_on;   // where this is the latest version
    std::uint64_t to = 0;                    // the version to roll back to
    std::string key;                         // of the entry to show
};
ReadResult<ChangeRequest> read_change_request(std::string_view body);
std::string write_effects(const changes::Effects& effects);

// As answers and the log name it.
const char* name_of(changes::EffectCode code);

// What the page says of the fleet manager that serves it.
struct ManagerChangeStatus {
    std::uint64_t id = 0, leader = 0;  // leader: 0 for none
    std::string fleet, leader_address;
    std::size_t waiting = 0;  // calls of relays
};
// How far the latest version has been rolled out, and the versions before it: GET /fleet/changes.
std::string write_changes(const changes::ChangeState& state, const ManagerChangeStatus& manager);
// One entry at the latest version; nothing where there is none.
std::optional<std::string> write_entry(const changes::ChangeState& state, const std::string& key);

// Adds what a relay with this copy lacks: a delta, or a page where a delta would be too long.
void add_document_update(const changes::ChangeState& state, const WatchPosition& position,
                         ChangesAnswer& answer);

}  // namespace tealcart::fleet_manager
