// What operators and their tools ask of the managers about changes, as JSON bodies, and what they are told.
// Pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "changes/change_state.hpp"
#include "wire/change_messages.hpp"

namespace tealcart::manager {

// The same again under its id, to any manager, is one.
struct ChangeRequest {
    std::string id, asker;
    std::map<std::string, std::string> set;
    std::set<std::string> removed;
    std::optional<std::uint64_t> based_on;
    std::uint64_t to = 0;
    std::string key;  // of the entry that is asked for
};
std::optional<ChangeRequest> read_change_request(std::string_view body, std::string& wrong);

struct ChangeFigures {
    std::uint64_t id = 0, leader = 0;
    std::string fleet, leader_address;
    std::size_t waiting = 0;  // relays' calls
};
// How far changes have come, for people and tools.
std::string write_changes(const changes::ChangeState& state, const ChangeFigures& figures);
// One entry at the latest version; nothing where there is none.
std::optional<std::string> write_entry(const changes::ChangeState& state, const std::string& key);
std::string write_effects(const changes::Effects& effects);

const char* word_of(changes::EffectCode code);

// What a relay with this copy is to be told of the document: pages where one delta would be too long.
void put_news(const changes::ChangeState& state, const WatchPosition& watched, ChangesAnswer& answer);

}  // namespace tealcart::manager
