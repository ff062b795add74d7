// The messages between members of the fleet (query routers) and the fleet managers, as JSON bodies over
// HTTP/1.1. A member's call renews its lease and is a long poll for the next generation of agreed drains.
// Pure functions on bytes; docs/fleet.md describes the fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "router/query_router.hpp"
#include "wire/message_error.hpp"

namespace tealcart {

constexpr std::string_view member_path = "/fleet/member";

// A data node, or with `router` a query router.
struct TargetName {
    bool router = false;
    std::string name;

    friend auto operator<=>(const TargetName&, const TargetName&) = default;
};

// Durations are nanoseconds here and whole milliseconds on the wire.
struct MemberCall {
    std::string name, role, zone, version, digest;  // role: "router" or "control"
    std::uint64_t incarnation = 0;                  // greater at each start of the process
    Nanos lease_grace = 0;                 // how long it serves after its lease expired; at most a year
    std::uint64_t applied_generation = 0;  // the generation that it acts on
    std::uint64_t known_generation = 0;    // the answer may wait for a later generation than this ...
    Nanos wait = 0;                        // ... for at most this long
    std::vector<TargetName> in_flight;     // drained targets that still have queries or attempts in flight
    std::vector<std::string> unresponsive_nodes;  // data nodes that do not respond to it
    std::uint64_t queries = 0, failed = 0;        // of the last ten seconds
    bool leaving = false;                         // its last call: it shuts down
};

struct MemberAnswer {
    std::uint64_t generation = 0;
    Nanos lease = 0;  // counted from when the call was sent
    std::vector<TargetName> drained;
    bool halted = false;
};

std::string write_member_call(const MemberCall& call);
ReadResult<MemberCall> read_member_call(std::string_view body);
std::string write_member_answer(const MemberAnswer& answer);
ReadResult<MemberAnswer> read_member_answer(std::string_view body);

// 409: a later incarnation of the caller's name is known.
std::string write_superseded(std::uint64_t last_incarnation);
std::optional<std::uint64_t> read_superseded(std::string_view body);
// 421: this process is not the leader, which is reached at `leader` (host:port).
std::string write_not_leader(std::string_view leader);
std::optional<std::string> read_not_leader(std::string_view body);

}  // namespace tealcart
