// The effects of a command on the replicated state of configuration changes. Unless stated otherwise,
// `version` is the latest one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tealcart::changes {

// A new version is the latest.
struct VersionPublished {
    std::uint64_t version = 0;
    friend bool operator==(const VersionPublished&, const VersionPublished&) = default;
};

// The command is invalid, or not possible in the current state.
struct CommandRejected {
    std::uint64_t version = 0;
    std::string reason;
    std::optional<std::string> member;  // the member that the command names, if any
    friend bool operator==(const CommandRejected&, const CommandRejected&) = default;
};

// Every live member acts on `version` or a later one. `may_lag` are members whose lease has expired and which
// may still act on an earlier version.
struct AppliedEverywhere {
    std::uint64_t version = 0;
    std::vector<std::string> may_lag;
    friend bool operator==(const AppliedEverywhere&, const AppliedEverywhere&) = default;
};

// The member refuses to apply `version`.
struct MemberRefused {
    std::uint64_t version = 0;
    std::string member, reason;
    friend bool operator==(const MemberRefused&, const MemberRefused&) = default;
};

// No new version is published until publishing is resumed; a rollback is still possible.
struct PublishingHalted {
    std::uint64_t version = 0;
    std::string reason;
    friend bool operator==(const PublishingHalted&, const PublishingHalted&) = default;
};

// Versions may be published again.
struct PublishingResumed {
    std::uint64_t version = 0;
    friend bool operator==(const PublishingResumed&, const PublishingResumed&) = default;
};

// The relay's lease has expired, even by a clock that is slow by the permitted drift.
struct RelayLeaseExpired {
    std::uint64_t version = 0;
    std::string relay;
    friend bool operator==(const RelayLeaseExpired&, const RelayLeaseExpired&) = default;
};

// Why a report was not applied.
enum class StaleReason : std::uint8_t {
    malformed,
    too_many_members,     // more than Limits::max_members
    too_many_relays,      // more than Limits::max_relays
    unknown_relay,        // the first report of an unknown relay has to be full
    earlier_incarnation,  // a later incarnation of the relay or of the member is known
    overtaken,            // a later report of the same incarnation was applied before
    new_incarnation,      // the first report of an incarnation has to be full
    lease_expired         // the first report after the relay's lease has expired has to be full
};

// A relay's report, or its part about one member, was not applied.
struct StaleReport {
    std::uint64_t version = 0;
    std::string sender;  // the name of the relay or of the member
    StaleReason reason = StaleReason::malformed;
    friend bool operator==(const StaleReport&, const StaleReport&) = default;
};

// A member whose lease has expired was removed.
struct MemberForgotten {
    std::uint64_t version = 0;
    std::string member;
    friend bool operator==(const MemberForgotten&, const MemberForgotten&) = default;
};

using Effect =
    std::variant<VersionPublished, CommandRejected, AppliedEverywhere, MemberRefused, PublishingHalted,
                 PublishingResumed, RelayLeaseExpired, StaleReport, MemberForgotten>;
using Effects = std::vector<Effect>;

// The description used in responses to operators and in the fleet manager's log. It is stored in snapshots.
const char* describe(StaleReason reason);

// Stored and sent by number, which is the index of the alternative in Effect: append only.
enum class EffectCode : std::uint8_t {
    published,
    refused,
    in_force,
    member_refuses,
    halted,
    resumed,
    over,
    stale,
    forgotten
};

// The flat form of an effect in snapshots, in responses to operators and in the fleet manager's log. A field
// that the effect does not have is empty.
struct EffectRecord {
    EffectCode code = EffectCode::published;
    std::uint64_t version = 0;
    std::string reason;
    std::vector<std::string> names;
};
EffectRecord record_of(const Effect& effect);
// Throws replicated::CodecError for a record that corresponds to no effect.
Effect effect_of(const EffectRecord& record);

}  // namespace tealcart::changes
