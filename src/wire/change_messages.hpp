// What followers of a fleet's configuration (routers) and relays say, and what they are answered, as JSON
// bodies over HTTP/1.1: a watch by version, as that of members by generation. Pure functions on bytes;
// docs/changes.md has the form.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "changes/document.hpp"
#include "changes/reports.hpp"
#include "router/query_router.hpp"

namespace tealcart {

constexpr std::string_view follower_path = "/fleet/changes";  // a router's, to a relay
constexpr std::string_view relay_path = "/fleet/relay";       // a relay's, to the managers

// What the caller's copy has, and how long it may be kept waiting.
struct Watched {
    std::uint64_t knows = 0, digest = 0;  // of its copy
    bool wants_pages = false;
    std::string after;  // with wants_pages: behind this key
    Nanos wait = 0;     // whole ms; the answer may wait until there is a later version, or for so long
};

struct FollowerCall {
    changes::MemberReport word;
    std::string zone;
    bool leaves = false;
    Watched watched;
};

struct RelayCall {
    changes::RelayReport word;
    Watched watched;
};

// To both. At most one of delta and page.
struct ChangesAnswer {
    std::uint64_t version = 0;  // the latest that the answerer has
    Nanos lease = 0;            // whole ms, counted from when the call was sent; 0: none could be given
    std::uint64_t taken = 0;    // to relays: the number of the word that was taken
    bool say_all = false;       // to relays: nothing is known of this incarnation, say all members again
    Nanos drift = 0;            // to relays: whole ms
    std::optional<changes::Delta> delta;
    std::optional<changes::Page> page;
};

std::string write_follower_call(const FollowerCall& call);
// None, with `wrong` said, where it is no such call.
std::optional<FollowerCall> read_follower_call(std::string_view body, std::string& wrong);
std::string write_relay_call(const RelayCall& call);
std::optional<RelayCall> read_relay_call(std::string_view body, std::string& wrong);
std::string write_changes_answer(const ChangesAnswer& answer);
std::optional<ChangesAnswer> read_changes_answer(std::string_view body);

// 409 (a later incarnation is known) and 421 (ask elsewhere) are as in member_words.hpp.

}  // namespace tealcart
