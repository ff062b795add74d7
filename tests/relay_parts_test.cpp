// The parts of relays and fleet managers for configuration changes that need no process: log entries, the
// blocks of the operators' files, and the deltas and pages of a relay.
#include <catch2/catch.hpp>

#include "fleet_manager/change_requests.hpp"
#include "fleet_manager/fleet_manager_config.hpp"
#include "fleet_manager/log_entries.hpp"
#include "relay/delta_history.hpp"
#include "relay/relay_config.hpp"

using namespace tealcart;
using changes::Delta;

namespace {

std::string relay_config_errors(const std::string& text) {
    try {
        relay::read_relay_config(text, "relay.hcl");
    } catch (const HclErrors& e) {
        return e.what();
    }
    return {};
}

std::string manager_file(const std::string& block) {
    return "fleet \"x\" {\n steward \"1\" {\n raft = \"127.0.0.1:1\"\n http = \"127.0.0.1:2\"\n folder = "
           "\"/f\"\n }\n" +
           block + "\n}\n";
}

std::string manager_config_errors(const std::string& block) {
    try {
        fleet_manager::read_fleet_manager_config(manager_file(block), "fleet.hcl");
    } catch (const HclErrors& e) {
        return e.what();
    }
    return {};
}

}  // namespace

TEST_CASE("a relay's file is read, and each mistake is reported with its position") {
    const auto config = relay::read_relay_config(
        "log {\n format = \"json\"\n}\nrelay \"r1\" {\n zone = \"a\"\n bind = \"127.0.0.1:7301\"\n stewards "
        "= "
        "[\"127.0.0.1:1\", \"127.0.0.1:2\"]\n most_followers = 7\n page_bytes = \"8KiB\"\n pages_a_second = "
        "0.5\n}\n",
        "relay.hcl");
    CHECK(config.name == "r1");
    CHECK(config.zone == "a");
    CHECK(config.bind == HostPort{"127.0.0.1", 7301});
    CHECK(config.managers.size() == 2);
    CHECK(config.max_followers == 7);
    CHECK(config.page_bytes == 8192);
    CHECK(config.pages_a_second == 0.5);
    CHECK(config.log.format == LogFormat::json);
    CHECK(relay_config_errors("") == "relay.hcl:1:1: the 'relay' block is missing");
    CHECK(relay_config_errors("relay \"r1\" {\n zone = \"a\"\n bind = \"x\"\n stewards = [\"127.0.0.1:1\", "
                              "\"127.0.0.1:1\"]\n pages = 3\n most_followers = 0\n}") ==
          "relay.hcl:1:1: 'bind' is \"x\"; expected HOST:PORT\n"
          "relay.hcl:1:1: the steward address '127.0.0.1:1' is listed twice; expected once\n"
          "relay.hcl:5:2: attribute 'pages' is not known here\n"
          "relay.hcl:6:19: 'most_followers' is 0; expected 1 to 5000");
    CHECK(
        relay_config_errors("relay \"a b\" {\n bind = \"127.0.0.1:1\"\n}") ==
        "relay.hcl:1:1: the relay's name is \"a b\"; expected 1 to 128 printable characters without blanks\n"
        "relay.hcl:1:1: 'zone' is missing; expected 1 to 128 printable characters without blanks\n"
        "relay.hcl:1:1: 'stewards' has no valid address; expected at least one");
}

TEST_CASE("the block `changes` is read, and changes are off without it") {
    CHECK_FALSE(fleet_manager::read_fleet_manager_config(manager_file(""), "fleet.hcl").takes_changes);
    const auto config = fleet_manager::read_fleet_manager_config(
        manager_file(
            "changes {\n lease = \"19s\"\n halt_refused = 0.2\n longest_entry = \"1KiB\"\n most_kept = 9\n}"),
        "fleet.hcl");
    CHECK(config.takes_changes);
    CHECK(config.changes.lease == 19'000'000'000);
    CHECK(config.changes.halt_refused_share == 0.2);
    CHECK(config.changes.max_entry_bytes == 1024);
    CHECK(config.changes.max_kept == 9);
    CHECK(config.changes.drift == changes::Limits{}.drift);
    CHECK(manager_config_errors("changes {\n lease = \"1s\"\n halt_refused = 2\n most_pages = 1\n}") ==
          "fleet.hcl:7:1: 'lease' is 1s; expected at least 1200ms, twice 'election', so that a leader can be "
          "elected within one lease\n"
          "fleet.hcl:9:17: 'halt_refused' is 2; expected 0 to 1\n"
          "fleet.hcl:10:2: attribute 'most_pages' is not known here");
}

TEST_CASE(
    "log entries of both states are distinguished, and entries without a marker are of the fleet state") {
    const auto fleet = fleet::write_command({"x", 1, fleet::Tick{}});
    const auto unmarked = fleet_manager::read_entry(fleet.data(), fleet.size());
    CHECK_FALSE(unmarked.is_change);
    CHECK(fleet::read_command(unmarked.bytes, unmarked.size).id == "x");
    const auto entry = fleet_manager::write_change_entry(changes::write_command({"y", 2, changes::Resume{}}));
    const auto change_entry = fleet_manager::read_entry(entry.data(), entry.size());
    CHECK(change_entry.is_change);
    CHECK(changes::read_command(change_entry.bytes, change_entry.size).id == "y");
    // A program without a change state fails with a one-line error.
    CHECK_THROWS_AS(fleet::read_command(entry.data(), entry.size()), std::runtime_error);
    CHECK_FALSE(fleet_manager::read_entry(nullptr, 0).is_change);
}

TEST_CASE("a snapshot holds both states; an old one holds the fleet state, and other formats are rejected") {
    fleet::FleetState state{fleet::Budgets{}};
    changes::ChangeState change_state{changes::Limits{}};
    change_state.apply({"x", 1, changes::Publish{"ann", {{"k", "v"}}, {}, {}}});
    const auto bytes = fleet_manager::write_snapshot({state.save(), change_state.save()});
    const auto snapshot = fleet_manager::read_snapshot(bytes);
    CHECK(snapshot.fleet == state.save());
    REQUIRE(snapshot.changes);
    changes::ChangeState loaded{changes::Limits{}};
    loaded.load(*snapshot.changes);
    CHECK(loaded.version() == 1);
    const auto old_snapshot = fleet_manager::read_snapshot(state.save());
    CHECK(old_snapshot.fleet == state.save());
    CHECK_FALSE(old_snapshot.changes);
    auto unknown_format = bytes;
    unknown_format[3] = 2;
    CHECK_THROWS_WITH(
        fleet_manager::read_snapshot(unknown_format),
        "the snapshot of the replicated log has format version 2; this program reads version 1");
    CHECK_THROWS_AS(state.load(bytes), std::runtime_error);  // as a program without a change state does
    for (std::size_t length = 3; length < 12; ++length)
        CHECK_THROWS_WITH(
            fleet_manager::read_snapshot({bytes.begin(), bytes.begin() + static_cast<long>(length)}),
            "the snapshot of the replicated log is truncated");
    auto wrong_length = bytes;
    wrong_length[10] = 0xff;
    CHECK_THROWS_WITH(fleet_manager::read_snapshot(wrong_length),
                      "the snapshot of the replicated log is truncated");
}

TEST_CASE("an operator's request about changes is read, and a malformed one gives a reason") {
    const auto call = fleet_manager::read_change_request(
        R"({"id":"x","asker":"ann","set":{"a":"1"},"removed":["b"],"based_on":3})");
    REQUIRE(call);
    CHECK(call->set.at("a") == "1");
    CHECK(call->removed.contains("b"));
    CHECK(call->based_on == 3);
    const auto error_of = [](const char* body) {
        const auto malformed = fleet_manager::read_change_request(body);
        REQUIRE_FALSE(malformed);
        return malformed.error().reason;
    };
    CHECK(error_of("x") == "the body is no JSON object");
    CHECK(error_of("{}") == "'id' is missing or malformed");
    CHECK(error_of(R"({"id":"x","set":{"a":1}})") == "'set' is no object of texts by key");
    CHECK(error_of(R"({"id":"x","set":{"":"1"}})") == "'set' is no object of texts by key");
    CHECK(error_of(R"({"id":"x","removed":"a"})") == "'removed' is no list of keys");
    CHECK(error_of(R"({"id":"x","based_on":-1})") == "'based_on' is no version");
    CHECK(error_of(R"({"id":"x","to":"1"})") == "'to' is no version");
}

TEST_CASE("merged deltas lead to the latest version from each version that the history still covers") {
    relay::DeltaHistory history(3, 1000);
    CHECK_FALSE(history.since(0));
    changes::DocumentCopy relay_copy, empty_copy;
    std::vector<changes::DocumentCopy> copies{empty_copy};  // by version
    changes::Document document;
    for (std::uint64_t version = 1; version <= 4; ++version) {
        Delta delta{
            version - 1, version, {{"k" + std::to_string(version % 2), std::to_string(version)}}, {}, 0};
        if (version == 4) delta.set.clear(), delta.removed = {"k1"};
        for (const auto& [key, value] : delta.set) document[key] = value;
        for (const auto& key : delta.removed) document.erase(key);
        delta.digest = changes::digest_of(document);
        REQUIRE(relay_copy.apply(delta) == changes::DocumentCopy::ApplyResult::applied);
        copies.push_back(relay_copy);
        history.append(delta);
    }
    CHECK_FALSE(history.since(0));  // three deltas are retained
    CHECK_FALSE(history.since(4));
    for (std::uint64_t version = 1; version <= 3; ++version) {
        const auto delta = history.since(version);
        REQUIRE(delta);
        CHECK(copies[version].apply(*delta) == changes::DocumentCopy::ApplyResult::applied);
        CHECK(copies[version].document() == document);
    }
    history.clear();
    CHECK_FALSE(history.since(3));
    relay::DeltaHistory small(3, 10);
    small.append({0, 1, {{"key", std::string(20, 'x')}}, {}, 0});
    CHECK_FALSE(small.since(0));
}

TEST_CASE("each page holds at least one entry, and all pages together hold the document") {
    changes::DocumentCopy copy, other;
    Delta delta{
        0, 1, {{"a", std::string(50, 'x')}, {"b", "1"}, {"c", "2"}, {"d", std::string(9, 'y')}}, {}, 0};
    delta.digest = changes::digest_of(delta.set);
    REQUIRE(copy.apply(delta) == changes::DocumentCopy::ApplyResult::applied);
    std::size_t pages = 0;
    while (other.version() == 0) {
        const auto page = relay::page_of(copy, other.next_page_after(), 10);
        CHECK_FALSE(page.entries.empty());
        REQUIRE(++pages < 10);
        other.apply(page);
    }
    CHECK(pages == 3);
    CHECK(other.document() == copy.document());
    CHECK(relay::page_of(changes::DocumentCopy(), "", 10).last);
}
