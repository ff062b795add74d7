// Reads the bodies of operators' requests, writes their answers, and converts members' calls to commands of
// the fleet state. Pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_state.hpp"
#include "wire/member_messages.hpp"
#include "wire/message_error.hpp"

namespace tealcart::fleet_manager {

// An idempotent request: retries with the same id, at any fleet manager, take effect once. Each operation
// uses some of the fields.
struct OperatorCall {
    std::string id, requested_by, reason;  // reason: of a halt
    std::vector<fleet::Target> targets;
    std::string zone;  // selects all data nodes of this zone, in addition to `targets`
    std::vector<std::uint64_t> requests;
    std::string name;  // name of a member, or address of a fleet manager
};
ReadResult<OperatorCall> read_operator_call(std::string_view body);
std::string write_effects(const fleet::Effects& effects);

// The name of the effect in answers and in the log.
const char* name_of(fleet::EffectCode code);

// Converts a member's call to commands, and the state to the answer of a call.
fleet::Join join_of(const MemberCall& call);
fleet::Renew renew_of(const MemberCall& call);
MemberAnswer answer_of(const fleet::FleetState& state);

}  // namespace tealcart::fleet_manager
