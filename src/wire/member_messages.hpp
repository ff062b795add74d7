// The messages between members of the fleet (query routers) and the fleet managers, as JSON bodies over
// HTTP/1.1. A member's call renews its lease and is a long poll for the next generation of agreed drains.
// Pure functions without I/O; docs/fleet.md describes the fields.
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

// The name of a data node or, with `router`, of a query router.
struct TargetName {
    bool router = false;
    std::string name;

    friend auto operator<=>(const TargetName&, const TargetName&) = default;
};

// A member's report and its long poll for the next generation. Durations are sent as whole milliseconds.
struct MemberCall {
    std::string name, role, zone, version, digest;  // the role is "router" or "control"
    std::uint64_t incarnation = 0;                  // greater at each start of the process
    Nanos lease_grace = 0;                 // how long it serves after its lease has expired; at most a year
    std::uint64_t applied_generation = 0;  // the generation that the member has applied
    std::uint64_t known_generation = 0;    // the answer may wait for a later generation than this
    Nanos wait = 0;                        // how long the answer may wait
    std::vector<TargetName> in_flight;     // drained targets that still have queries or attempts in flight
    std::vector<std::string> unresponsive_nodes;  // data nodes that don't respond to the member
    std::uint64_t queries = 0, failed = 0;        // of the last ten seconds
    bool leaving = false;                         // true in the last call of a member that shuts down
};

// The answer to a member's call.
struct MemberAnswer {
    std::uint64_t generation = 0;
    Nanos lease = 0;                  // counted from when the call was sent
    std::vector<TargetName> drained;  // targets that are out by agreement
    bool halted = false;
};

std::string write_member_call(const MemberCall& call);
ReadResult<MemberCall> read_member_call(std::string_view body);
std::string write_member_answer(const MemberAnswer& answer);
ReadResult<MemberAnswer> read_member_answer(std::string_view body);

// The body of status 409: a later incarnation of the caller's name is known.
std::string write_superseded(std::uint64_t last_incarnation);
std::optional<std::uint64_t> read_superseded(std::string_view body);
// The body of status 421: this process is not the leader. The leader's address is `leader` (host:port).
std::string write_not_leader(std::string_view leader);
std::optional<std::string> read_not_leader(std::string_view body);

}  // namespace tealcart
