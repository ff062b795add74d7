// Guards the stored formats: logs and snapshots written by an earlier release must be read, written back byte
// for byte, and replayed to the same states. tests/data/stored/README.md describes the files.
#include <catch2/catch.hpp>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "changes/change_state.hpp"
#include "fleet/fleet_state.hpp"

namespace {

using Bytes = std::vector<std::uint8_t>;

Bytes stored_file(const std::string& name) {
    std::ifstream file("tests/data/stored/" + name, std::ios::binary);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The entries of the log in order. An empty entry marks the position of a snapshot.
std::vector<Bytes> stored_log(const std::string& name) {
    constexpr std::size_t length_bytes = 4;
    const Bytes file = stored_file(name);
    std::vector<Bytes> entries;
    for (std::size_t offset = 0; offset < file.size();) {
        REQUIRE(offset + length_bytes <= file.size());
        std::size_t length = 0;
        for (std::size_t i = 0; i < length_bytes; ++i) length = length << 8 | file[offset++];
        REQUIRE(offset + length <= file.size());
        const auto begin = file.begin() + static_cast<std::ptrdiff_t>(offset);
        entries.emplace_back(begin, begin + static_cast<std::ptrdiff_t>(length));
        offset += length;
    }
    return entries;
}

// Replays the log. Each snapshot must equal what the replayed state saves, and what a state loaded from that
// snapshot saves. The state loaded from the last snapshot applies the same commands and must stay equal to
// the replayed one. Returns the kinds of commands in the log.
template <typename State, typename Rules, typename ReadCommand, typename WriteCommand>
std::set<std::size_t> replay(const std::string& name, std::size_t snapshots, ReadCommand read_command,
                             WriteCommand write_command) {
    State replayed{Rules{}};
    State loaded{Rules{}};
    std::set<std::size_t> kinds;
    std::size_t snapshot = 0;
    for (const Bytes& entry : stored_log(name + "_log.bin")) {
        if (entry.empty()) {
            CAPTURE(snapshot);
            const Bytes stored = stored_file(name + "_snapshot_" + std::to_string(snapshot++) + ".bin");
            CHECK(replayed.save() == stored);
            if (snapshot > 1) CHECK(loaded.save() == stored);
            loaded = State{Rules{}};
            loaded.load(stored);
            CHECK(loaded.save() == stored);
            continue;
        }
        const auto command = read_command(entry.data(), entry.size());
        CHECK(write_command(command) == entry);
        kinds.insert(command.payload.index());
        const auto effects = replayed.apply(command);
        if (snapshot > 0) CHECK(loaded.apply(command) == effects);
    }
    CHECK(snapshot == snapshots);
    return kinds;
}

}  // namespace

TEST_CASE("stored data: the fleet log and snapshots of an earlier release replay to the same bytes") {
    using namespace tealcart::fleet;
    const auto kinds = replay<FleetState, Budgets>("fleet", 7, read_command, write_command);
    CHECK(kinds.size() == std::variant_size_v<decltype(Command::payload)>);
}

TEST_CASE(
    "stored data: the configuration change log and snapshots of an earlier release replay to the same "
    "bytes") {
    using namespace tealcart::changes;
    const auto kinds = replay<ChangeState, Limits>("changes", 6, read_command, write_command);
    CHECK(kinds.size() == std::variant_size_v<decltype(Command::payload)>);
}
