// What can be proposed to the agreed state of configuration changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "changes/limits.hpp"
#include "changes/reports.hpp"

namespace tealcart::changes {

// Entries to set and keys to remove, as the next version.
struct Publish {
    std::string requested_by;
    std::map<std::string, std::string> set;
    std::set<std::string> removed;
    std::optional<std::uint64_t> based_on;  // rejected where another version is the latest
};

// A further version with the content of an earlier one.
struct Rollback {
    std::string requested_by;
    std::uint64_t to = 0;
};

// After a halt by refusals.
struct Resume {};

// What relays said in a short time.
struct ReportBatch {
    std::vector<RelayReport> reports;
};

// A member whose lease is over, and which an operator knows not to come back.
struct Forget {
    std::string name;
};

// Replaces the limits with those of the operators' file.
struct SetLimits {
    Limits limits;
};

// Time goes on.
struct Tick {};

// One entry of the replicated log.
struct Command {
    std::string id;         // the proposer's own, tells that a command comes again; empty: not deduplicated
    Nanos proposed_at = 0;  // by the proposer's clock
    std::variant<Publish, Rollback, Resume, ReportBatch, Forget, SetLimits, Tick> payload;
};

// A command as bytes of the log, and back. Reading throws replicated::CodecError on noise, on another form
// and on a kind of command that this release does not have.
std::vector<std::uint8_t> write_command(const Command& command);
Command read_command(const std::uint8_t* bytes, std::size_t size);

}  // namespace tealcart::changes
