// Messages between query routers, relays and fleet managers, recorded as bytes from earlier programs. While
// these tests pass, old and new processes understand each other in mixed groups.
#include <catch2/catch.hpp>

#include "wire/change_messages.hpp"
#include "wire/member_messages.hpp"
#include "wire/response_body.hpp"

using namespace tealcart;

namespace {

constexpr Nanos ms = 1'000'000;

// clang-format off
constexpr const char* member_call_full =
    R"({"acts_on":17,"digest":"00ff00ff00ff00ff","failed":7,"in_hand":[["router","router-a1"],["node","n3"]],"knows":18,"leaves":true,"life":1790000000000000123,"name":"router-a1","queries":1200,"role":"router","serve_on_ms":86400000,"silent":["n4","n5"],"version":"1.4.0","wait_ms":2000,"zone":"a"})";
constexpr const char* member_call_minimal =
    R"({"acts_on":0,"failed":0,"knows":0,"life":1,"name":"control-1","queries":0,"role":"control","serve_on_ms":0,"wait_ms":0})";
constexpr const char* member_answer =
    R"({"generation":18,"halted":true,"lease_ms":10000,"out":[["node","n3"],["router","router-a1"]]})";
constexpr const char* member_answer_minimal =
    R"({"generation":0,"halted":false,"lease_ms":500,"out":[]})";
constexpr const char* superseded =
    R"({"error":"a later life of this name is known","life":1790000000000000456})";
constexpr const char* not_leader =
    R"({"error":"another steward leads","leader":"127.0.0.1:7202"})";
constexpr const char* follower_call_full =
    R"({"acts_on":41,"digest":18446744073709551614,"knows":41,"leaves":true,"life":7,"name":"router-a1","pages_after":"k/1","refused":42,"serve_on_ms":1500,"wait_ms":200,"why":"line 3: \"x\" is not known ü","zone":"a"})";
constexpr const char* follower_call_minimal =
    R"({"digest":0,"knows":0,"life":1,"name":"r","wait_ms":0})";
constexpr const char* relay_call_full =
    R"({"digest":17,"exceptions":[{"life":1,"name":"r2","refused":42,"why":"no"}],"joined":[{"acts_on":41,"life":7,"name":"r1","serve_on_ms":1000},{"life":1,"name":"r2"}],"knows":42,"left":[["r3",5]],"life":9,"lost":[["r4",6],["r5",8]],"lowest":41,"number":3,"pages_after":"k/1","relay":"relay-a1","wait_ms":1000,"whole":true,"zone":"a"})";
constexpr const char* relay_call_minimal =
    R"({"digest":0,"knows":0,"life":1,"lowest":0,"number":1,"relay":"r","wait_ms":0})";
constexpr const char* changes_answer_with_delta =
    R"({"delta":{"digest":18446744073709551615,"from":41,"removed":["d","e"],"set":{"a/b":"1\nü","c":""},"to":43},"drift_ms":1000,"lease_ms":9000,"say_all":true,"taken":3,"version":43})";
constexpr const char* changes_answer_with_page =
    R"({"drift_ms":1000,"lease_ms":9000,"page":{"after":"a","digest":5,"entries":{"b":"1","c":"2"},"last":true,"version":43},"say_all":true,"taken":3,"version":43})";
constexpr const char* changes_answer_minimal =
    R"({"lease_ms":0,"version":0})";
constexpr const char* error_body =
    R"({"error":"no steward leads now"})";
// clang-format on

MemberCall full_member_call() {
    MemberCall call;
    call.name = "router-a1", call.role = "router", call.zone = "a", call.version = "1.4.0";
    call.digest = "00ff00ff00ff00ff";
    call.incarnation = 1790000000000000123;
    call.lease_grace = 86'400'000 * ms;
    call.applied_generation = 17, call.known_generation = 18;
    call.wait = 2000 * ms;
    call.in_flight = {{true, "router-a1"}, {false, "n3"}};
    call.unresponsive_nodes = {"n4", "n5"};
    call.queries = 1200, call.failed = 7;
    call.leaving = true;
    return call;
}

MemberCall minimal_member_call() {
    MemberCall call;
    call.name = "control-1", call.role = "control", call.incarnation = 1;
    return call;
}

void check_same(const MemberCall& read, const MemberCall& expected) {
    CHECK(read.name == expected.name);
    CHECK(read.role == expected.role);
    CHECK(read.zone == expected.zone);
    CHECK(read.version == expected.version);
    CHECK(read.digest == expected.digest);
    CHECK(read.incarnation == expected.incarnation);
    CHECK(read.lease_grace == expected.lease_grace);
    CHECK(read.applied_generation == expected.applied_generation);
    CHECK(read.known_generation == expected.known_generation);
    CHECK(read.wait == expected.wait);
    CHECK(read.in_flight == expected.in_flight);
    CHECK(read.unresponsive_nodes == expected.unresponsive_nodes);
    CHECK(read.queries == expected.queries);
    CHECK(read.failed == expected.failed);
    CHECK(read.leaving == expected.leaving);
}

FollowerCall full_follower_call() {
    FollowerCall call;
    call.report = {"router-a1", 7, 1500 * ms, 41, 42, "line 3: \"x\" is not known \xc3\xbc"};
    call.zone = "a";
    call.leaving = true;
    call.position = {41, 0xffff'ffff'ffff'fffe, true, "k/1", 200 * ms};
    return call;
}

FollowerCall minimal_follower_call() {
    FollowerCall call;
    call.report.name = "r", call.report.incarnation = 1;
    return call;
}

RelayCall full_relay_call() {
    RelayCall call;
    changes::RelayReport& report = call.report;
    report.relay = "relay-a1", report.zone = "a", report.incarnation = 9, report.number = 3;
    report.full = true;
    report.joined = {{"r1", 7, 1000 * ms, 41, 0, ""}, {"r2", 1, 0, 0, 0, ""}};
    report.left = {{"r3", 5}};
    report.lost = {{"r4", 6}, {"r5", 8}};
    report.lowest = 41;
    report.exceptions = {{"r2", 1, 0, 0, 42, "no"}};
    call.position = {42, 17, true, "k/1", 1000 * ms};
    return call;
}

RelayCall minimal_relay_call() {
    RelayCall call;
    call.report.relay = "r", call.report.incarnation = 1, call.report.number = 1;
    return call;
}

void check_same(const WatchPosition& read, const WatchPosition& expected) {
    CHECK(read.known_version == expected.known_version);
    CHECK(read.digest == expected.digest);
    CHECK(read.wants_pages == expected.wants_pages);
    CHECK(read.after == expected.after);
    CHECK(read.wait == expected.wait);
}

ChangesAnswer changes_answer() {
    ChangesAnswer answer;
    answer.version = 43, answer.lease = 9000 * ms, answer.acknowledged_report = 3;
    answer.full_report_required = true, answer.drift = 1000 * ms;
    return answer;
}

ChangesAnswer delta_answer() {
    ChangesAnswer answer = changes_answer();
    answer.delta =
        changes::Delta{41, 43, {{"a/b", "1\n\xc3\xbc"}, {"c", ""}}, {"d", "e"}, 0xffff'ffff'ffff'ffff};
    return answer;
}

ChangesAnswer page_answer() {
    ChangesAnswer answer = changes_answer();
    answer.page = changes::Page{43, 5, "a", {{"b", "1"}, {"c", "2"}}, true};
    return answer;
}

void check_same(const ChangesAnswer& read, const ChangesAnswer& expected) {
    CHECK(read.version == expected.version);
    CHECK(read.lease == expected.lease);
    CHECK(read.acknowledged_report == expected.acknowledged_report);
    CHECK(read.full_report_required == expected.full_report_required);
    CHECK(read.drift == expected.drift);
    CHECK(read.delta == expected.delta);
    CHECK(read.page == expected.page);
}

}  // namespace

TEST_CASE("member calls and answers are written as the recorded bytes and read back to the same values") {
    const std::pair<const char*, MemberCall> calls[] = {{member_call_full, full_member_call()},
                                                        {member_call_minimal, minimal_member_call()}};
    for (const auto& [bytes, call] : calls) {
        CHECK(write_member_call(call) == bytes);
        const auto read = read_member_call(bytes);
        REQUIRE(read);
        check_same(*read, call);
    }
    const std::pair<const char*, MemberAnswer> answers[] = {
        {member_answer, {18, 10'000 * ms, {{false, "n3"}, {true, "router-a1"}}, true}},
        {member_answer_minimal, {0, 500 * ms, {}, false}}};
    for (const auto& [bytes, answer] : answers) {
        CHECK(write_member_answer(answer) == bytes);
        const auto read = read_member_answer(bytes);
        REQUIRE(read);
        CHECK(read->generation == answer.generation);
        CHECK(read->lease == answer.lease);
        CHECK(read->drained == answer.drained);
        CHECK(read->halted == answer.halted);
    }
}

TEST_CASE(
    "error answers for a later incarnation, another leader and a plain reason match the recorded bytes") {
    CHECK(write_superseded(1790000000000000456) == superseded);
    CHECK(read_superseded(superseded) == 1790000000000000456);
    CHECK(write_not_leader("127.0.0.1:7202") == not_leader);
    CHECK(read_not_leader(not_leader) == "127.0.0.1:7202");
    CHECK(write_error("no steward leads now") == error_body);
}

TEST_CASE("follower calls are written as the recorded bytes and read back to the same values") {
    const std::pair<const char*, FollowerCall> calls[] = {{follower_call_full, full_follower_call()},
                                                          {follower_call_minimal, minimal_follower_call()}};
    for (const auto& [bytes, call] : calls) {
        CHECK(write_follower_call(call) == bytes);
        const auto read = read_follower_call(bytes);
        REQUIRE(read);
        CHECK(read->report == call.report);
        CHECK(read->zone == call.zone);
        CHECK(read->leaving == call.leaving);
        check_same(read->position, call.position);
    }
}

TEST_CASE("relay calls are written as the recorded bytes and read back to the same values") {
    const std::pair<const char*, RelayCall> calls[] = {{relay_call_full, full_relay_call()},
                                                       {relay_call_minimal, minimal_relay_call()}};
    for (const auto& [bytes, call] : calls) {
        CHECK(write_relay_call(call) == bytes);
        const auto read = read_relay_call(bytes);
        REQUIRE(read);
        CHECK(read->report == call.report);
        check_same(read->position, call.position);
    }
}

TEST_CASE("answers about changes are written as the recorded bytes and read back to the same values") {
    const std::pair<const char*, ChangesAnswer> answers[] = {{changes_answer_with_delta, delta_answer()},
                                                             {changes_answer_with_page, page_answer()},
                                                             {changes_answer_minimal, {}}};
    for (const auto& [bytes, answer] : answers) {
        CHECK(write_changes_answer(answer) == bytes);
        const auto read = read_changes_answer(bytes);
        REQUIRE(read);
        check_same(*read, answer);
    }
}
