// What a command has changed in the agreed state of configuration changes. `version` is the latest one, where
// nothing else is said.
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

// The command is wrong, or comes at the wrong time.
struct CommandRejected {
    std::uint64_t version = 0;
    std::string reason;
    std::optional<std::string> member;  // that it names
    friend bool operator==(const CommandRejected&, const CommandRejected&) = default;
};

// Every live member acts on `version` or a later one. `may_lag`: members whose lease is over, and which may
// still act on an earlier one.
struct AppliedEverywhere {
    std::uint64_t version = 0;
    std::vector<std::string> may_lag;
    friend bool operator==(const AppliedEverywhere&, const AppliedEverywhere&) = default;
};

// The member can't apply `version`.
struct MemberRefused {
    std::uint64_t version = 0;
    std::string member, reason;
    friend bool operator==(const MemberRefused&, const MemberRefused&) = default;
};

// Nothing is published until publishing is resumed or rolled back.
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

// The relay's lease has certainly ended.
struct RelayLeaseExpired {
    std::uint64_t version = 0;
    std::string relay;
    friend bool operator==(const RelayLeaseExpired&, const RelayLeaseExpired&) = default;
};

// Why a report was not applied.
enum class StaleReason : std::uint8_t {
    malformed,
    too_many_members,     // Limits::max_members
    too_many_relays,      // Limits::max_relays
    unknown_relay,        // its first report has to be full
    earlier_incarnation,  // a later incarnation of the relay or of the member is known
    overtaken,            // by a later report of the same incarnation
    new_incarnation,      // whose first report has to be full
    lease_expired         // the first report after it has to be full
};

// A relay's report, or what it says of one member, was not applied.
struct StaleReport {
    std::uint64_t version = 0;
    std::string sender;  // the relay, or the member
    StaleReason reason = StaleReason::malformed;
    friend bool operator==(const StaleReport&, const StaleReport&) = default;
};

// A member whose lease is over is remembered no more.
struct MemberForgotten {
    std::uint64_t version = 0;
    std::string member;
    friend bool operator==(const MemberForgotten&, const MemberForgotten&) = default;
};

using Effect =
    std::variant<VersionPublished, CommandRejected, AppliedEverywhere, MemberRefused, PublishingHalted,
                 PublishingResumed, RelayLeaseExpired, StaleReport, MemberForgotten>;
using Effects = std::vector<Effect>;

// In words, as answers to operators and the manager's log have it.
const char* describe(StaleReason reason);

// Stored and answered by number, which is that of the alternative in Effect: append only.
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

// The flat form of an effect in snapshots, in answers to operators and in the manager's log. A field that the
// effect does not have is empty.
struct EffectRecord {
    EffectCode code = EffectCode::published;
    std::uint64_t version = 0;
    std::string reason;
    std::vector<std::string> names;
};
EffectRecord record_of(const Effect& effect);
// Throws replicated::CodecError on a record that no effect gives.
Effect effect_of(const EffectRecord& record);

}  // namespace tealcart::changes
