// What operators and their tools ask of the managers, as JSON bodies, and what they are told. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_state.hpp"
#include "wire/member_messages.hpp"

namespace tealcart::manager {

// A request that may be said again under the same id, to any manager, and is one.
struct OperatorCall {
    std::string id, asker, why;
    std::vector<fleet::Target> targets;
    std::string zone;  // in place of targets: all data nodes of it
    std::vector<std::uint64_t> requests;
    std::string name;
};
std::optional<OperatorCall> read_operator_call(std::string_view body, std::string& wrong);

struct ManagerFigures {
    std::uint64_t id = 0, leader = 0, applied = 0;
    std::string fleet, leader_address;
    std::size_t waiting = 0;  // members' calls
    Nanos discovery_silent = 0;
};

// The agreed state for people and tools. Of over `max_listed_whole` data nodes, or members, only those are
// listed that are not as they should be, and `max_exceptions` of them at most; all are counted, by zone.
constexpr std::size_t max_listed_whole = 200, max_exceptions = 1000;
std::string write_status(const fleet::FleetState& state, const ManagerFigures& figures, bool all);
std::string write_effects(const fleet::Effects& effects);

const char* word_of(fleet::EffectCode code);
const char* word_of(fleet::Health health);

// What a member's call says, as commands.
fleet::Join join_of(const MemberCall& call);
fleet::Renew renew_of(const MemberCall& call);
MemberAnswer answer_of(const fleet::FleetState& state);

}  // namespace tealcart::manager
