// What the managers' log carries: commands of the fleet's state and of the changes' state, told apart by
// their first byte, and snapshots of both. Entries and snapshots from before there were changes are read as
// the fleet's. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace tealcart::fleet_manager {

using Bytes = std::vector<std::uint8_t>;

// A command of the changes' state as an entry; one of the fleet's is an entry as it stands.
Bytes write_change_entry(Bytes command);
// The command's bytes in an entry.
struct Entry {
    bool is_change = false;
    const std::uint8_t* bytes = nullptr;
    std::size_t size = 0;
};
Entry read_entry(const std::uint8_t* bytes, std::size_t size);

struct Snapshot {
    Bytes fleet;
    std::optional<Bytes> changes;  // none: from before there were any
};
Bytes write_snapshot(const Snapshot& snapshot);
// Throws std::runtime_error on another form and on noise; what is in the two parts is for their readers.
Snapshot read_snapshot(const Bytes& bytes);

}  // namespace tealcart::fleet_manager
