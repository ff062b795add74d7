#include "fleet_manager/log_entries.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace tealcart::fleet_manager {
namespace {

// Entries and snapshots of the fleet state are CBOR maps, whose first byte is 0xa0 to 0xbf. Markers below
// that range cannot be mistaken for them.
constexpr std::uint8_t change_marker = 0x01;
constexpr std::uint8_t snapshot_marker[] = {0x02, 't', 'c'};
constexpr std::uint8_t snapshot_format = 1;
// Marker, format, length of the fleet part.
constexpr std::size_t header_bytes = sizeof snapshot_marker + 1 + 8;

}  // namespace

Bytes write_change_entry(Bytes command) {
    command.insert(command.begin(), change_marker);
    return command;
}

Entry read_entry(const std::uint8_t* bytes, std::size_t size) {
    if (size > 0 && bytes[0] == change_marker) return {true, bytes + 1, size - 1};
    return {false, bytes, size};
}

Bytes write_snapshot(const Snapshot& snapshot) {
    Bytes out(std::begin(snapshot_marker), std::end(snapshot_marker));
    out.push_back(snapshot_format);
    for (unsigned shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<std::uint8_t>(std::uint64_t{snapshot.fleet.size()} >> shift));
    out.insert(out.end(), snapshot.fleet.begin(), snapshot.fleet.end());
    if (snapshot.changes) out.insert(out.end(), snapshot.changes->begin(), snapshot.changes->end());
    return out;
}

Snapshot read_snapshot(const Bytes& in) {
    if (in.size() < sizeof snapshot_marker ||
        !std::equal(std::begin(snapshot_marker), std::end(snapshot_marker), in.begin()))
        return {in, std::nullopt};
    if (in.size() < header_bytes) throw std::runtime_error("the snapshot of the replicated log is truncated");
    if (const int format = in[sizeof snapshot_marker]; format != snapshot_format)
        throw std::runtime_error("the snapshot of the replicated log has format version " +
                                 std::to_string(format) + "; this program reads version " +
                                 std::to_string(snapshot_format));
    std::uint64_t length = 0;
    for (unsigned i = 0; i < 8; ++i) length |= std::uint64_t{in[sizeof snapshot_marker + 1 + i]} << 8 * i;
    if (length > in.size() - header_bytes)
        throw std::runtime_error("the snapshot of the replicated log is truncated");
    const auto split = in.begin() + static_cast<std::ptrdiff_t>(header_bytes + length);
    Snapshot snapshot{{in.begin() + header_bytes, split}, std::nullopt};
    if (split != in.end()) snapshot.changes = Bytes(split, in.end());
    return snapshot;
}

}  // namespace tealcart::fleet_manager
