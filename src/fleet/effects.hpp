// What a command has changed in the fleet's agreed state. Each effect names the generation that it belongs
// to: that of its request, or the latest one.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fleet/removal.hpp"

namespace tealcart::fleet {

// A removal was accepted and waits for its budgets.
struct RemovalQueued {
    std::uint64_t request = 0;
    std::string target;
    friend bool operator==(const RemovalQueued&, const RemovalQueued&) = default;
};

// The target has a request already, which has come so far.
struct RemovalAlreadyOpen {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    Stage stage = Stage::queued;
    friend bool operator==(const RemovalAlreadyOpen&, const RemovalAlreadyOpen&) = default;
};

// The command is wrong, or can never be granted.
struct CommandRejected {
    std::uint64_t request = 0;  // 0: it names none
    std::uint64_t generation = 0;
    std::string subject;  // the target or the member that it names; empty: none
    std::string reason;
    friend bool operator==(const CommandRejected&, const CommandRejected&) = default;
};

// The target is out under this fence; all members are to be notified of the generation.
struct RemovalGranted {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const RemovalGranted&, const RemovalGranted&) = default;
};

// Nothing more reaches the target.
struct RemovalDone {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const RemovalDone&, const RemovalDone&) = default;
};

// The target may be given work again.
struct TargetReturned {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const TargetReturned&, const TargetReturned&) = default;
};

// The target is healthy again, or its request was taken back before it was out.
struct RequestEnded {
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string target;
    friend bool operator==(const RequestEnded&, const RequestEnded&) = default;
};

// No removal is granted from now on.
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

// The member's lease has certainly ended.
struct MemberLeaseExpired {
    std::uint64_t generation = 0;
    std::string member;
    friend bool operator==(const MemberLeaseExpired&, const MemberLeaseExpired&) = default;
};

// Why a report was not applied.
enum class StaleReason : std::uint8_t {
    earlier_incarnation,  // a later incarnation of the member has joined
    unknown_incarnation,  // not a member, or another incarnation is
    unagreed_generation,  // it states a generation that was never agreed
};

// A member's message was not applied, or only as a renewal of its lease.
struct StaleReport {
    std::uint64_t generation = 0;
    std::string member;
    StaleReason reason = StaleReason::earlier_incarnation;
    friend bool operator==(const StaleReport&, const StaleReport&) = default;
};

// A member whose lease is over counts no more.
struct MemberForgotten {
    std::uint64_t generation = 0;
    std::string member;
    friend bool operator==(const MemberForgotten&, const MemberForgotten&) = default;
};

using Effect = std::variant<RemovalQueued, RemovalAlreadyOpen, CommandRejected, RemovalGranted, RemovalDone,
                            TargetReturned, RequestEnded, GrantsHalted, GrantsResumed, MemberLeaseExpired,
                            StaleReport, MemberForgotten>;
using Effects = std::vector<Effect>;

// Stored and answered by number: append only.
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

// The flat form of an effect in snapshots, in answers to operators and in the manager's log. A field that the
// effect does not have is 0 or empty.
struct EffectRecord {
    EffectCode code = EffectCode::asked;
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string subject, reason;
};
EffectRecord record_of(const Effect& effect);
// Throws replicated::CodecError on a record that no effect gives.
Effect effect_of(const EffectRecord& record);

}  // namespace tealcart::fleet
