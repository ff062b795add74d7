// The messages that distribute a fleet's configuration to its routers, as JSON bodies over HTTP/1.1.
// Followers (routers) call relays, and relays call the fleet managers. Each call is a long poll for the next
// version. Pure functions without I/O; docs/changes.md describes the fields.
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

// The version of the caller's copy of the document, and how long the answer may wait for a later version.
struct WatchPosition {
    std::uint64_t known_version = 0, digest = 0;  // of the caller's copy
    bool wants_pages = false;
    std::string after;  // with wants_pages: asks for the entries after this key
    Nanos wait = 0;     // sent as whole milliseconds
};

// A follower's report and its long poll for the next version.
struct FollowerCall {
    changes::MemberReport report;
    std::string zone;
    bool leaving = false;
    WatchPosition position;
};

// A relay's report on its followers and its long poll for the next version.
struct RelayCall {
    changes::RelayReport report;
    WatchPosition position;
};

// The answer to both calls. At most one of `delta` and `page` is set.
struct ChangesAnswer {
    std::uint64_t version = 0;              // the latest version of the answering process
    Nanos lease = 0;                        // counted from when the call was sent; 0 if none is granted
    std::uint64_t acknowledged_report = 0;  // to relays: number of the report that was applied
    // To relays: this incarnation is unknown, so the next report must be a full one.
    bool full_report_required = false;
    Nanos drift = 0;  // to relays: by how much clocks may drift apart within one lease
    std::optional<changes::Delta> delta;
    std::optional<changes::Page> page;
};

std::string write_follower_call(const FollowerCall& call);
ReadResult<FollowerCall> read_follower_call(std::string_view body);
std::string write_relay_call(const RelayCall& call);
ReadResult<RelayCall> read_relay_call(std::string_view body);
std::string write_changes_answer(const ChangesAnswer& answer);
ReadResult<ChangesAnswer> read_changes_answer(std::string_view body);

// member_messages.hpp defines the bodies of the statuses 409 and 421.

}  // namespace tealcart
