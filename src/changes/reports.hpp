// The reports about members: a member's own report to a relay, and a relay's report about all its members to
// the fleet managers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "changes/document.hpp"

namespace tealcart::changes {

constexpr std::size_t max_name_bytes = 128, max_reason_bytes = 256;  // bytes

// Whether the text is not empty, not longer than `max_bytes` and free of control characters.
inline bool well_formed(const std::string& text, std::size_t max_bytes) {
    return !text.empty() && text.size() <= max_bytes &&
           std::none_of(text.begin(), text.end(), [](char character) {
               return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
           });
}

// The beginning of the text, at most `max_bytes` long. It never ends inside a UTF-8 character, which would
// not be valid in JSON.
inline std::string truncate_utf8(const std::string& text, std::size_t max_bytes) {
    if (text.size() <= max_bytes) return text;
    std::size_t end = max_bytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80) --end;
    return text.substr(0, end);
}

// A relay's report about one member: sent once the member has joined, and later while the member is an
// exception.
struct MemberReport {
    std::string name;
    std::uint64_t incarnation = 0;  // a greater number at each process start
    Nanos lease_grace = 0;          // how long it may go on serving by its last known state after its lease
    // The version that it acts on; 0: the configuration it was started with.
    std::uint64_t applied_version = 0;
    std::uint64_t refused_version = 0;  // the version that it can't apply; 0 if none
    std::string refusal_reason;         // truncated to `max_reason_bytes`

    friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

// A relay's report about all its members. The relay numbers its reports: a report that is not later than the
// last one applied from the same incarnation renews nothing and changes nothing. The first report of an
// incarnation has to be full, and so does the first one after the relay's lease has expired; any other is
// stale, and the relay has to send a full one.
struct RelayReport {
    std::string relay, zone;
    std::uint64_t incarnation = 0, number = 0;
    bool full = false;  // whether `joined` lists all its members
    // Members that joined since the last applied report. Their refusals are listed in `exceptions`.
    std::vector<MemberReport> joined;
    // Name and incarnation of members that announced their stop, and of those whose lease has expired.
    std::vector<std::pair<std::string, std::uint64_t>> left, lost;
    // The version that all members act on at least, except those in `exceptions`.
    std::uint64_t lowest = 0;
    std::vector<MemberReport> exceptions;  // all current ones, sorted by name

    friend bool operator==(const RelayReport&, const RelayReport&) = default;
};

}  // namespace tealcart::changes
