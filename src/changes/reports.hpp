// What is said of members upward: by a member itself, and by a relay of all its members at once.
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

// Not empty, not longer, and without control characters.
inline bool well_formed(const std::string& text, std::size_t max_bytes) {
    return !text.empty() && text.size() <= max_bytes && std::none_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    });
}

// Not in the middle of a character of UTF-8, which no JSON would take.
inline std::string truncate_utf8(const std::string& text, std::size_t max_bytes) {
    if (text.size() <= max_bytes) return text;
    std::size_t end = max_bytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80) --end;
    return text.substr(0, end);
}

// What a relay says of one member: in its first report, and later where it is an exception.
struct MemberReport {
    std::string name;
    std::uint64_t incarnation = 0;      // a new, greater number at each start
    Nanos lease_grace = 0;              // after its lease it may act by what it last knew for so long
    std::uint64_t applied_version = 0;  // the version it acts by; 0: what it was started with
    std::uint64_t refused_version = 0;  // the version that it can't take over, 0 for none
    std::string refusal_reason;         // of the refusal; what is longer than `max_why` is cut

    friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

// What a relay says of all its members at once. Numbered by the relay: one that is no later than the last
// applied of that incarnation renews nothing and changes nothing. An incarnation's first report is full
// (`whole`), and so is the first after the relay's lease was over: another is stale, and the relay is to send
// a full one.
struct RelayReport {
    std::string relay, zone;
    std::uint64_t incarnation = 0, number = 0;
    bool full = false;  // `joined` are all its members
    std::vector<MemberReport>
        joined;  // since the last report that the managers applied; refusals stand in exceptions
    std::vector<std::pair<std::string, std::uint64_t>> left,
        lost;                  // name and incarnation: by farewell; lease over
    std::uint64_t lowest = 0;  // all its members that are no exception act on this version at least
    std::vector<MemberReport> exceptions;  // all of them at present, by name

    friend bool operator==(const RelayReport&, const RelayReport&) = default;
};

}  // namespace tealcart::changes
