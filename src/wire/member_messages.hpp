// What members and managers say to each other, as JSON bodies over HTTP/1.1: a member's call, which renews
// its lease and waits for news by generation as a call for discovery's list does, and the answer. Pure
// functions on bytes; docs/fleet.md has the form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

constexpr std::string_view member_path = "/fleet/member";

// A data node, or with `router` a query router.
struct TargetName {
    bool router = false;
    std::string name;

    friend auto operator<=>(const TargetName&, const TargetName&) = default;
};

struct MemberCall {
    std::string name, role, zone, version, digest;  // role: "router" or "control"
    std::uint64_t incarnation = 0;
    Nanos serve_on = 0;                    // whole ms; at most a year
    std::uint64_t applied_generation = 0;  // the generation it goes by
    std::uint64_t knows = 0;               // the answer may wait until there is a later one than this ...
    Nanos wait = 0;                        // ... or for so long, whole ms
    std::vector<TargetName> in_flight;
    std::vector<std::string> silent;
    std::uint64_t queries = 0, failed = 0;
    bool leaves = false;
};

struct MemberAnswer {
    std::uint64_t generation = 0;
    Nanos lease = 0;  // whole ms, counted from when the call was sent
    std::vector<TargetName> out;
    bool halted = false;
};

std::string write_member_call(const MemberCall& call);
// None, with `wrong` said, where it is no such call.
std::optional<MemberCall> read_member_call(std::string_view body, std::string& wrong);
std::string write_member_answer(const MemberAnswer& answer);
std::optional<MemberAnswer> read_member_answer(std::string_view body);

// 409: the managers know this later incarnation of the member's name. 421: ask at this address instead.
std::string write_outlived(std::uint64_t last_incarnation);
std::optional<std::uint64_t> read_outlived(std::string_view body);
std::string write_elsewhere(std::string_view leader);
std::optional<std::string> read_elsewhere(std::string_view body);

}  // namespace tealcart
