// The messages by which a fleet's configuration reaches its routers, as JSON bodies over HTTP/1.1: followers
// (routers) call relays, and relays call the fleet managers. Each call is a long poll for the next version.
// Pure functions on bytes; docs/changes.md describes the fields.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "changes/document.hpp"
#include "changes/reports.hpp"
#include "router/query_router.hpp"
#include "wire/message_error.hpp"

namespace tealcart {

constexpr std::string_view follower_path = "/fleet/changes";  // served by relays
constexpr std::string_view relay_path = "/fleet/relay";       // served by the fleet managers

// How far the caller's copy of the document has come, and how long the answer may wait for a later version.
struct WatchPosition {
    std::uint64_t known_version = 0, digest = 0;  // version and digest of the copy
    bool wants_pages = false;
    std::string after;  // with wants_pages: the entries after this key
    Nanos wait = 0;     // whole milliseconds on the wire
};

struct FollowerCall {
    changes::MemberReport report;
    std::string zone;
    bool leaving = false;
    WatchPosition position;
};

struct RelayCall {
    changes::RelayReport report;
    WatchPosition position;
};

// The answer to both calls. At most one of `delta` and `page` is set.
struct ChangesAnswer {
    std::uint64_t version = 0;              // the latest of the process that answers
    Nanos lease = 0;                        // counted from when the call was sent; 0: none is granted
    std::uint64_t acknowledged_report = 0;  // to relays: the number of the report that was applied
    bool full_report_required =
        false;        // to relays: this incarnation is unknown, the next report is to be full
    Nanos drift = 0;  // to relays: how far clocks may run apart within one lease
    std::optional<changes::Delta> delta;
    std::optional<changes::Page> page;
};

std::string write_follower_call(const FollowerCall& call);
ReadResult<FollowerCall> read_follower_call(std::string_view body);
std::string write_relay_call(const RelayCall& call);
ReadResult<RelayCall> read_relay_call(std::string_view body);
std::string write_changes_answer(const ChangesAnswer& answer);
ReadResult<ChangesAnswer> read_changes_answer(std::string_view body);

// The bodies of 409 and 421 are those of member_messages.hpp.

}  // namespace tealcart
