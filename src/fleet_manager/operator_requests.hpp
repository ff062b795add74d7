// The bodies of operators' calls and their answers, and what a member's call means to the agreed state. Pure
// functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_state.hpp"
#include "wire/member_messages.hpp"
#include "wire/message_error.hpp"

namespace tealcart::fleet_manager {

// A call that may be retried under the same id, at any fleet manager, and takes effect once. Each operation
// needs some of the fields.
struct OperatorCall {
    std::string id, asker, why;  // why: the reason of a halt
    std::vector<fleet::Target> targets;
    std::string zone;  // beside targets: all data nodes of this zone
    std::vector<std::uint64_t> requests;
    std::string name;  // of a member, or the address of a fleet manager
};
ReadResult<OperatorCall> read_operator_call(std::string_view body);
std::string write_effects(const fleet::Effects& effects);

// As answers and the log name it.
const char* name_of(fleet::EffectCode code);

// A member's call as commands, and the answer to one.
fleet::Join join_of(const MemberCall& call);
fleet::Renew renew_of(const MemberCall& call);
MemberAnswer answer_of(const fleet::FleetState& state);

}  // namespace tealcart::fleet_manager
