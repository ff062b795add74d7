// The commands that can be proposed to the replicated state of configuration changes.
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

// Publishes the next version: entries to set and keys to remove.
struct Publish {
    std::string requested_by;
    std::map<std::string, std::string> set;
    std::set<std::string> removed;
    std::optional<std::uint64_t> based_on;  // the command is rejected if another version is the latest
};

// Publishes a new version with the content of the earlier version `to`.
struct Rollback {
    std::string requested_by;
    std::uint64_t to = 0;
};

// Allows publishing again after a halt.
struct Resume {};

// The relays' reports that arrived within a short time, as one command.
struct ReportBatch {
    std::vector<RelayReport> reports;
};

// Removes a member whose lease has expired and which, as an operator knows, will not come back.
struct Forget {
    std::string name;
};

// Replaces the limits with those of the operators' file.
struct SetLimits {
    Limits limits;
};

// Advances the time and does nothing else.
struct Tick {};

// One entry of the replicated log.
struct Command {
    std::string id;         // chosen by the proposer, for deduplication; empty: not deduplicated
    Nanos proposed_at = 0;  // by the proposer's clock
    std::variant<Publish, Rollback, Resume, ReportBatch, Forget, SetLimits, Tick> payload;
};

// Encodes a command for the replicated log, and decodes it. Decoding throws replicated::CodecError for
// malformed bytes, another format version and a kind of command that this release does not implement.
std::vector<std::uint8_t> write_command(const Command& command);
Command read_command(const std::uint8_t* bytes, std::size_t size);

}  // namespace tealcart::changes
