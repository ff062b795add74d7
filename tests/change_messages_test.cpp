// The messages about configuration changes as bytes: round trips, bounds, and errors of malformed messages.
#include "wire/change_messages.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace tealcart;

namespace {

constexpr Nanos ms = 1'000'000;

FollowerCall sample_follower_call() {
    return {{"r1", 7, 1500 * ms, 41, 42, "line 3: \"x\" is not known"},
            "a",
            false,
            {41, 0xffff'ffff'ffff'fffe, true, "k/1", 200 * ms}};
}

RelayCall sample_relay_call() {
    RelayCall call;
    call.report.relay = "relay-a1", call.report.zone = "a", call.report.incarnation = 9,
    call.report.number = 3;
    call.report.full = true;
    call.report.joined = {{"r1", 7, 1000 * ms, 41, 0, ""}, {"r2", 1, 0, 0, 0, ""}};
    call.report.left = {{"r3", 5}};
    call.report.lost = {{"r4", 6}, {"r5", 8}};
    call.report.lowest = 41;
    call.report.exceptions = {{"r2", 1, 0, 0, 42, "no"}};
    call.position = {42, 17, false, "", 1000 * ms};
    return call;
}

void check_same(const WatchPosition& a, const WatchPosition& b) {
    CHECK(a.known_version == b.known_version);
    CHECK(a.digest == b.digest);
    CHECK(a.wants_pages == b.wants_pages);
    CHECK(a.after == b.after);
    CHECK(a.wait == b.wait);
}

std::string follower_call_error(const std::string& body) {
    const auto read = read_follower_call(body);
    REQUIRE_FALSE(read);
    return read.error().reason;
}

std::string relay_call_error(const std::string& body) {
    const auto read = read_relay_call(body);
    REQUIRE_FALSE(read);
    return read.error().reason;
}

}  // namespace

TEST_CASE("a follower's call round-trips") {
    FollowerCall call = sample_follower_call();
    auto read = read_follower_call(write_follower_call(call));
    REQUIRE(read);
    CHECK(read->report == call.report);
    CHECK(read->zone == "a");
    CHECK_FALSE(read->leaving);
    check_same(read->position, call.position);
    call = {};
    call.report.name = "r", call.report.incarnation = 1, call.leaving = true;
    call.position.wants_pages = true;  // from the first key
    read = read_follower_call(write_follower_call(call));
    REQUIRE(read);
    CHECK(read->leaving);
    check_same(read->position, call.position);
}

TEST_CASE("a relay's call round-trips") {
    const RelayCall call = sample_relay_call();
    const auto read = read_relay_call(write_relay_call(call));
    REQUIRE(read);
    CHECK(read->report == call.report);
    check_same(read->position, call.position);
}

TEST_CASE("an answer with a delta, a page or neither round-trips") {
    ChangesAnswer answer{43, 9000 * ms, 3, true, 1000 * ms, {}, {}};
    auto read = read_changes_answer(write_changes_answer(answer));
    REQUIRE(read);
    CHECK(read->version == 43);
    CHECK(read->lease == 9000 * ms);
    CHECK(read->acknowledged_report == 3);
    CHECK(read->full_report_required);
    CHECK(read->drift == 1000 * ms);
    CHECK_FALSE(read->delta);
    CHECK_FALSE(read->page);
    answer.delta = changes::Delta{41, 43, {{"a/b", "1\n\u00fc"}, {"c", ""}}, {"d"}, 0xffff'ffff'ffff'ffff};
    read = read_changes_answer(write_changes_answer(answer));
    REQUIRE(read);
    CHECK(read->delta == answer.delta);
    answer.delta.reset();
    answer.page = changes::Page{43, 5, "a", {{"b", "1"}}, true};
    read = read_changes_answer(write_changes_answer(answer));
    REQUIRE(read);
    CHECK(read->page == answer.page);
}

TEST_CASE("a long or invalid rejection reason is truncated and can always be written") {
    FollowerCall call = sample_follower_call();
    call.report.refusal_reason = "\xff\xfe" + std::string(2000, 'x');
    const auto read = read_follower_call(write_follower_call(call));
    INFO((read ? "" : read.error().reason));
    REQUIRE(read);
    CHECK(read->report.refusal_reason.size() <= 512);
}

TEST_CASE("a malformed call gives a reason") {
    CHECK(follower_call_error("") == "the body is no JSON object");
    CHECK(follower_call_error("[1]") == "the body is no JSON object");
    CHECK(follower_call_error("{") == "the body is no JSON object");
    CHECK(follower_call_error(R"({"life":1})") == "'name' is missing or malformed");
    CHECK(follower_call_error(R"({"name":"a b","life":1})") == "'name' is missing or malformed");
    CHECK(follower_call_error(R"({"name":")" + std::string(129, 'n') + R"(","life":1})") ==
          "'name' is missing or malformed");
    CHECK(follower_call_error(R"({"name":"r"})") == "'life' is missing or no number above 0");
    CHECK(follower_call_error(R"({"name":"r","life":-1})") == "'life' is missing or no number above 0");
    CHECK(follower_call_error(R"({"name":"r","life":1,"acts_on":"2"})") ==
          "'acts_on' or 'refused' is no number");
    CHECK(follower_call_error(R"({"name":"r","life":1,"serve_on_ms":31536000001})") ==
          "'serve_on_ms' is no number of ms up to a year");
    CHECK(follower_call_error(R"({"name":"r","life":1,"why":")" + std::string(513, 'y') + R"("})") ==
          "'why' is no text of up to 512 bytes");
    CHECK(follower_call_error(R"({"name":"r","life":1,"knows":1.5})") == "'knows' or 'digest' is no number");
    CHECK(follower_call_error(R"({"name":"r","life":1,"wait_ms":true})") ==
          "'wait_ms' is no number of ms up to a year");
    CHECK(follower_call_error(R"({"name":"r","life":1,"pages_after":1})") == "'pages_after' is no key");
    CHECK(follower_call_error(R"({"name":"r","life":1,"zone":""})") == "'zone' is malformed");
    CHECK(follower_call_error(R"({"name":"r","life":1,"leaves":1})") == "'leaves' is no truth value");
    CHECK(relay_call_error("null") == "the body is no JSON object");
    CHECK(relay_call_error(R"({"life":1})") == "'relay' is missing or malformed");
    CHECK(relay_call_error(R"({"relay":"a","life":1})") == "'number' is missing or no number above 0");
    const std::string good = R"({"relay":"a","life":1,"number":1,)";
    CHECK(relay_call_error(good + R"("whole":1})") == "'whole' is no truth value");
    CHECK(relay_call_error(good + R"("joined":{}})") == "'joined' is malformed");
    CHECK(relay_call_error(good + R"("joined":[{"name":"r"}]})") == "'joined' is malformed");
    CHECK(relay_call_error(good + R"("left":[["r"]]})") == "'left' is malformed");
    CHECK(relay_call_error(good + R"("lost":[["r","1"]]})") == "'lost' is malformed");
    CHECK(relay_call_error(good + R"("exceptions":[1]})") == "'exceptions' is malformed");
}

TEST_CASE("the error of a malformed message names the field") {
    const auto follower_call = read_follower_call(R"({"name":"r","life":1,"refused":"2"})");
    REQUIRE_FALSE(follower_call);
    CHECK(follower_call.error().field == "refused");
    CHECK(follower_call.error().reason == "'acts_on' or 'refused' is no number");
    const auto relay_call = read_relay_call("[]");
    REQUIRE_FALSE(relay_call);
    CHECK(relay_call.error().field.empty());
    const auto answer = read_changes_answer(R"({"version":1,"lease_ms":1,"delta":{"from":2,"to":1}})");
    REQUIRE_FALSE(answer);
    CHECK(answer.error().field == "delta");
}

TEST_CASE("a malformed answer is rejected") {
    for (const char* body :
         {"", "[]", R"({"version":1})", R"({"lease_ms":1})", R"({"version":-1,"lease_ms":1})",
          R"({"version":1,"lease_ms":1,"say_all":1})", R"({"version":1,"lease_ms":1,"delta":[]})",
          R"({"version":1,"lease_ms":1,"delta":{"from":2,"to":1}})",
          R"({"version":1,"lease_ms":1,"delta":{"to":1,"set":{"a":1}}})",
          R"({"version":1,"lease_ms":1,"delta":{"to":1,"set":{"":"1"}}})",
          R"({"version":1,"lease_ms":1,"delta":{"to":1,"removed":[""]}})",
          R"({"version":1,"lease_ms":1,"page":{"entries":[]}})",
          R"({"version":1,"lease_ms":1,"page":{"last":1}})",
          R"({"version":1,"lease_ms":1,"page":{},"delta":{}})"}) {
        INFO(body);
        CHECK_FALSE(read_changes_answer(body));
    }
}

TEST_CASE("reading randomly changed bytes never throws") {
    std::mt19937 chance(11);
    ChangesAnswer answer{43, 9000 * ms, 3, true, 1000 * ms, {}, {}};
    answer.delta = changes::Delta{41, 43, {{"a/b", "1"}}, {"d"}, 5};
    const std::string bodies[] = {write_follower_call(sample_follower_call()),
                                  write_relay_call(sample_relay_call()), write_changes_answer(answer)};
    for (int i = 0; i < 6000; ++i) {
        std::string body = bodies[i % 3];
        for (int n = 0; n < 1 + i % 4; ++n) body[chance() % body.size()] = static_cast<char>(chance());
        if (i % 5 == 0) body.resize(chance() % body.size());
        const auto follower_call = read_follower_call(body);
        if (!follower_call) CHECK_FALSE(follower_call.error().reason.empty());
        const auto relay_call = read_relay_call(body);
        if (!relay_call) CHECK_FALSE(relay_call.error().reason.empty());
        read_changes_answer(body);
    }
}
