// The effects of a command on the fleet's replicated state. Each effect carries the generation that it
// belongs to: that of its request, or the latest one.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fleet/removal.hpp"

namespace tealcart::fleet {

// A removal was accepted and waits until the budgets allow it.
struct RemovalQueued {
    std::uint64_t request = 0;
    std::string target;
    friend bool operator==(const RemovalQueued&, const RemovalQueued&) = default;
};

// The target already has an open request, which has reached `stage`.
struct RemovalAlreadyOpen {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    Stage stage = Stage::queued;
    friend bool operator==(const RemovalAlreadyOpen&, const RemovalAlreadyOpen&) = default;
};

// The command is invalid, or can never be granted.
struct CommandRejected {
    std::uint64_t request = 0;  // 0 if the command names none
    std::uint64_t generation = 0;
    std::string subject;  // the target or member that the command names; empty if none
    std::string reason;
    friend bool operator==(const CommandRejected&, const CommandRejected&) = default;
};

// The target is out under this fence; all members must be notified of the generation.
struct RemovalGranted {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const RemovalGranted&, const RemovalGranted&) = default;
};

// No member sends work to the target any more.
struct RemovalDone {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const RemovalDone&, const RemovalDone&) = default;
};

// Members may send work to the target again.
struct TargetReturned {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const TargetReturned&, const TargetReturned&) = default;
};

// The target is healthy again, or its request was cancelled before it was granted.
struct RequestEnded {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const RequestEnded&, const RequestEnded&) = default;
};

// No removal is granted until grants are resumed.
struct GrantsHalted {
    std::uint64_t generation = 0;
    std::string reason;
    friend bool operator==(const GrantsHalted&, const GrantsHalted&) = default;
};

// Removals are granted again.
struct GrantsResumed {
    std::uint64_t generation = 0;
    friend bool operator==(const GrantsResumed&, const GrantsResumed&) = default;
};

// The member's lease has expired, even by a clock that is slow by the permitted drift.
struct MemberLeaseExpired {
    std::uint64_t generation = 0;
    std::string member;
    friend bool operator==(const MemberLeaseExpired&, const MemberLeaseExpired&) = default;
};

// Why a report was not applied.
enum class StaleReason : std::uint8_t {
    earlier_incarnation,  // a later incarnation of the member has joined
    unknown_incarnation,  // the sender is no member, or another incarnation of it is
    unagreed_generation,  // it reports a generation that was never committed
};

// A member's report was not applied, or only renewed its lease.
struct StaleReport {
    std::uint64_t generation = 0;
    std::string member;
    StaleReason reason = StaleReason::earlier_incarnation;
    friend bool operator==(const StaleReport&, const StaleReport&) = default;
};

// A member whose lease has expired was removed and is no longer counted.
struct MemberForgotten {
    std::uint64_t generation = 0;
    std::string member;
    friend bool operator==(const MemberForgotten&, const MemberForgotten&) = default;
};

using Effect = std::variant<RemovalQueued, RemovalAlreadyOpen, CommandRejected, RemovalGranted, RemovalDone,
                            TargetReturned, RequestEnded, GrantsHalted, GrantsResumed, MemberLeaseExpired,
                            StaleReport, MemberForgotten>;
using Effects = std::vector<Effect>;

// Stored and sent by number: append only.
enum class EffectCode : std::uint8_t {
    asked,
    refused,
    granted,
    done,
    returned,
    ended,
    halted,
    resumed,
    over,
    stale,
    forgotten
};

// The flat form of an effect in snapshots, in responses to operators and in the fleet manager's log. A field
// that the effect does not have is 0 or empty.
struct EffectRecord {
    EffectCode code = EffectCode::asked;
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string subject, reason;
};
EffectRecord record_of(const Effect& effect);
// Throws replicated::CodecError for a record that corresponds to no effect.
Effect effect_of(const EffectRecord& record);

}  // namespace tealcart::fleet
