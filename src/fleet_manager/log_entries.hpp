// The contents of the fleet managers' replicated log: commands of the fleet state and of the change state,
// distinguished by their first byte, and snapshots of both. Entries and snapshots of programs that had no
// change state are read as those of the fleet state. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace tealcart::fleet_manager {

using Bytes = std::vector<std::uint8_t>;

// Marks a command of the change state as a log entry. A command of the fleet state is an entry without a
// marker.
Bytes write_change_entry(Bytes command);
// The command in an entry, and which state it belongs to. `bytes` points into the entry.
struct Entry {
    bool is_change = false;
    const std::uint8_t* bytes = nullptr;
    std::size_t size = 0;
};
Entry read_entry(const std::uint8_t* bytes, std::size_t size);

// A snapshot of both states.
struct Snapshot {
    Bytes fleet;
    std::optional<Bytes> changes;  // nullopt: written by a program without a change state
};
Bytes write_snapshot(const Snapshot& snapshot);
// Throws std::runtime_error on an unknown format version and on truncated bytes. The states check their own
// parts.
Snapshot read_snapshot(const Bytes& bytes);

}  // namespace tealcart::fleet_manager
