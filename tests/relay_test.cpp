// Changes of configuration through relays, on processes with faults between them: three fleet managers and
// two relays. The followers run in the test process, and checks use what they receive, not what a relay
// reports.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "testing/change_rig.hpp"

using namespace tealcart::testing;
using Json = nlohmann::json;

namespace {

// A rig with fleet managers and relays, and helpers to publish versions and to wait for them.
struct ChangeFixture {
    // `managers` and `relay` are further attributes of the fleet managers' `changes` block and of each
    // relay's block.
    explicit ChangeFixture(const std::string& managers = "", const std::string& relay = "",
                           bool router = false)
        : rig(io, rig_options(managers, relay, router)) {}

    static ChangeRigOptions rig_options(const std::string& managers, const std::string& relay, bool router) {
        ChangeRigOptions options;
        options.programs = PROGRAMS;
        options.changes = managers;
        options.relay = relay;
        options.router = router;
        return options;
    }
    Follower& follow(const std::string& name, std::vector<std::size_t> relays,
                     Follower::RefusalCheck refusal_check = {}) {
        return rig.follow(name, std::move(relays), std::move(refusal_check));
    }
    // Runs a `config` command and returns its status; the event log is attached to the next check.
    int config(std::vector<std::string> arguments, std::vector<std::size_t> through = {0, 1, 2}) {
        const int status = rig.config(std::move(arguments), std::move(through));
        UNSCOPED_INFO(rig.fleet_rig.event_log.text(80));
        return status;
    }
    // Runs until `holds` returns true, and checks at each step that the followers are consistent.
    bool until(const std::function<bool()>& holds) {
        bool consistent = true;
        const bool happened = rig.until([&] {
            consistent = consistent && rig.followers_consistent();
            return !consistent || holds();
        });
        INFO(rig.fleet_rig.event_log.text(80));
        CHECK(consistent);
        CHECK(happened);
        return consistent && happened;
    }
    bool all_apply(std::uint64_t version) {
        return until([&] {
            return std::all_of(rig.followers.begin(), rig.followers.end(),
                               [&](const auto& follower) { return follower->applied_version == version; });
        });
    }
    bool in_force(std::uint64_t version) {
        return until([&] {
            const Json changes = rig.changes();
            return changes.is_object() && changes["in_force"].get<std::uint64_t>() >= version;
        });
    }
    bool all_live(std::size_t members) {
        return until([&] {
            const Json changes = rig.changes();
            return changes.is_object() && changes["reach"]["live"] == members;
        });
    }
    // Publishes version 1 and waits until every follower acts on it.
    void publish_first_version(const std::string& text = "one") {
        REQUIRE(all_live(rig.followers.size()));
        REQUIRE(config({"set", rig.entry("limits", text), "--wait"}) == 0);
        REQUIRE(all_apply(1));
    }
    bool is_listed(const char* list, const std::string& name) {
        const Json changes = rig.changes();
        if (!changes.is_object()) return false;
        const Json& names = changes["reach"][list];
        return std::find(names.begin(), names.end(), name) != names.end();
    }
    std::uint64_t version() {
        const Json changes = rig.changes();
        return changes.is_object() ? changes["version"].get<std::uint64_t>() : 0;
    }

    boost::asio::io_context io{1};
    ChangeRig rig;
};

std::string refuse_bad_limits(const tealcart::changes::Document& document) {
    const auto it = document.find("limits");
    return it != document.end() && it->second == "bad" ? "'limits' can't be read" : "";
}

}  // namespace

TEST_CASE(
    "a change reaches every follower through the relays, and a follower that leaves is no longer counted") {
    ChangeFixture fixture;
    fixture.follow("f0", {0, 1}), fixture.follow("f1", {1, 0}), fixture.follow("f2", {0, 1});
    fixture.publish_first_version("one\n");
    for (const auto& follower : fixture.rig.followers)
        CHECK(follower->applied_document.at("limits") == "one\n");
    const auto show = fixture.rig.start_config_command({"show", "limits"});
    REQUIRE(fixture.rig.until([&] { return show->ended(); }));
    CHECK(show->status() == 0);
    CHECK(fixture.rig.until([&] { return show->has_printed("one"); }));
    CHECK(fixture.config({"show"}) == 0);
    CHECK(fixture.config({"show", "nothing"}) == 3);
    // One version that sets two keys and removes one.
    REQUIRE(fixture.config({"set", fixture.rig.entry("a", "1"), fixture.rig.entry("b", "2"), "--remove",
                            "limits", "--based-on", "1", "--wait"}) == 0);
    REQUIRE(fixture.all_apply(2));
    CHECK(fixture.rig.followers[1]->applied_document == tealcart::changes::Document{{"a", "1"}, {"b", "2"}});
    fixture.rig.followers[2]->leave();
    CHECK(fixture.all_live(2));
    const Json status = fixture.rig.relay_status(0);
    REQUIRE(status.is_object());
    CHECK(status["version"] == 2);
    CHECK(status["members"] == 1);
}

TEST_CASE("followers of a killed relay get the change from the other relay, and it comes into force") {
    ChangeFixture fixture;
    fixture.follow("f0", {0, 1}), fixture.follow("f1", {0, 1}), fixture.follow("f2", {1, 0});
    fixture.publish_first_version();
    fixture.rig.relays[0]->signal(SIGSTOP);
    REQUIRE(fixture.config({"set", fixture.rig.entry("limits", "two")}) == 0);
    REQUIRE(fixture.until([&] { return fixture.rig.followers[2]->applied_version == 2; }));
    CHECK(fixture.rig.followers[0]->applied_version == 1);
    fixture.rig.relays[0]->signal(SIGKILL);
    CHECK(fixture.in_force(2));
    CHECK(fixture.all_apply(2));
}

TEST_CASE(
    "a relay stopped past its lease is stale: its followers go to the other relay or count as "
    "unacknowledged") {
    ChangeFixture fixture;
    fixture.follow("f0", {0}), fixture.follow("f1", {0, 1}), fixture.follow("f2", {1});
    fixture.publish_first_version();
    fixture.rig.relays[0]->signal(SIGSTOP);
    REQUIRE(fixture.config({"set", fixture.rig.entry("limits", "two")}) == 0);
    REQUIRE(fixture.in_force(2));
    CHECK_FALSE(fixture.rig.followers[0]->has_lease());
    CHECK(fixture.is_listed("unheard", "f0"));
    CHECK(fixture.rig.followers[1]->applied_version == 2);
    fixture.rig.relays[0]->signal(SIGCONT);
    CHECK(fixture.all_apply(2));
    CHECK(fixture.all_live(3));
    CHECK(fixture.until([&] { return fixture.rig.followers[0]->has_lease(); }));
    CHECK(fixture.config({"set", fixture.rig.entry("limits", "three"), "--wait"}) == 0);
    CHECK(fixture.all_apply(3));
}

TEST_CASE(
    "a relay that receives nothing from the fleet managers stops granting leases, and the change waits") {
    ChangeFixture fixture;
    fixture.follow("f0", {0}), fixture.follow("f1", {1});
    fixture.publish_first_version();
    fixture.rig.fleet_rig.cut_off_member("relay0", false, true);
    REQUIRE(fixture.config({"set", fixture.rig.entry("limits", "two")}) == 0);
    REQUIRE(fixture.until([&] {
        return fixture.rig.relays[0]->has_printed(
            "the relay's lease has expired; it serves configuration version 1 and grants no leases");
    }));
    REQUIRE(fixture.until([&] {
        return fixture.rig.followers[1]->applied_version == 2 && !fixture.rig.followers[0]->has_lease();
    }));
    CHECK(fixture.rig.followers[0]->applied_version == 1);
    const Json changes = fixture.rig.changes();
    REQUIRE(changes.is_object());
    CHECK(changes["in_force"] == 1);
    fixture.rig.fleet_rig.heal();
    CHECK(fixture.in_force(2));
    CHECK(fixture.all_apply(2));
    std::size_t no_answer_lines = 0;
    for (const std::string& line : fixture.rig.relays[0]->lines())
        no_answer_lines += line.find("no steward answers for changes") != line.npos;
    CHECK(no_answer_lines <= 1);
}

TEST_CASE(
    "if the fleet managers receive nothing from a relay, a change comes into force after its followers' "
    "leases") {
    ChangeFixture fixture;
    fixture.follow("f0", {0}), fixture.follow("f1", {1});
    fixture.publish_first_version();
    fixture.rig.fleet_rig.cut_off_member("relay0", true, false);
    REQUIRE(fixture.config({"set", fixture.rig.entry("limits", "two")}) == 0);
    REQUIRE(fixture.in_force(2));
    CHECK_FALSE(fixture.rig.followers[0]->has_lease());
    CHECK(fixture.is_listed("unheard", "f0"));
    fixture.rig.fleet_rig.heal();
    CHECK(fixture.all_apply(2));
    CHECK(fixture.all_live(2));
}

TEST_CASE("retries with the same id after the leader is killed publish one version") {
    ChangeFixture fixture;
    fixture.follow("f0", {0, 1}), fixture.follow("f1", {1, 0});
    REQUIRE(fixture.all_live(2));
    const std::size_t leader = fixture.rig.fleet_rig.leader();
    REQUIRE(leader < 3);
    const std::string entry = fixture.rig.entry("limits", "one");
    // The leader accepts the request but cannot commit it.
    fixture.rig.fleet_rig.cut_off(leader);
    CHECK(fixture.config({"set", entry, "--id", "x1", "--within", "1"}, {leader}) == 1);
    fixture.rig.fleet_rig.managers[leader]->signal(SIGKILL);
    REQUIRE(fixture.rig.until([&] { return fixture.rig.fleet_rig.managers[leader]->ended(); }));
    fixture.rig.fleet_rig.heal();
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < 3; ++i)
        if (i != leader) others.push_back(i);
    CHECK(fixture.config({"set", entry, "--id", "x1", "--wait"}, others) == 0);
    fixture.rig.fleet_rig.start_manager(leader);
    CHECK(fixture.config({"set", entry, "--id", "x1"}, {others[1], leader, others[0]}) == 0);
    CHECK(fixture.version() == 1);
    CHECK(fixture.all_apply(1));
    CHECK(fixture.config({"set", fixture.rig.entry("limits", "two"), "--wait"}) == 0);
    CHECK(fixture.version() == 2);
}

TEST_CASE("a restarted relay gets the document from the fleet managers, and its followers continue") {
    ChangeFixture fixture;
    fixture.follow("f0", {0}), fixture.follow("f1", {1});
    fixture.publish_first_version();
    REQUIRE(fixture.config({"set", fixture.rig.entry("more", "two"), "--wait"}) == 0);
    fixture.rig.relays[0]->signal(SIGKILL);
    REQUIRE(fixture.rig.until([&] { return fixture.rig.relays[0]->ended(); }));
    fixture.rig.start_relay(0);
    REQUIRE(fixture.until([&] {
        const Json status = fixture.rig.relay_status(0);
        return status.is_object() && status["version"] == 2 && status["members"] == 1 &&
               status["lowest"] == 2;
    }));
    REQUIRE(fixture.until([&] { return fixture.rig.followers[0]->has_lease(); }));
    CHECK(fixture.config({"set", fixture.rig.entry("more", "three"), "--wait"}) == 0);
    CHECK(fixture.all_apply(3));
}

TEST_CASE("a relay whose first report was applied but not answered within its lease joins again") {
    ChangeFixture fixture;
    fixture.follow("f0", {0});
    fixture.publish_first_version();
    fixture.rig.relays[0]->signal(SIGKILL);
    REQUIRE(fixture.rig.until([&] { return fixture.rig.relays[0]->ended(); }));
    fixture.rig.fleet_rig.cut_off_member("relay0", false, true);
    fixture.rig.start_relay(0);
    const std::size_t leader = fixture.rig.fleet_rig.leader();
    REQUIRE(leader < 3);
    REQUIRE(fixture.until([&] {
        return fixture.rig.fleet_rig.managers[leader]->has_printed("changes: over: version 1: relay0");
    }));
    fixture.rig.fleet_rig.heal();
    CHECK(fixture.until([&] { return fixture.rig.followers[0]->has_lease(); }));
    CHECK(fixture.config({"set", fixture.rig.entry("limits", "two"), "--wait"}) == 0);
    CHECK(fixture.all_apply(2));
}

TEST_CASE("a slow relay delays only its own followers, and the change comes into force after them") {
    ChangeFixture fixture;
    fixture.follow("f0", {0}), fixture.follow("f1", {1});
    fixture.publish_first_version();
    fixture.rig.relays[0]->signal(SIGSTOP);  // for less than its lease
    REQUIRE(fixture.config({"set", fixture.rig.entry("limits", "two")}) == 0);
    REQUIRE(fixture.until([&] { return fixture.rig.followers[1]->applied_version == 2; }));
    CHECK(fixture.rig.followers[0]->applied_version == 1);
    const Json changes = fixture.rig.changes();
    REQUIRE(changes.is_object());
    CHECK(changes["in_force"] == 1);
    fixture.rig.relays[0]->signal(SIGCONT);
    CHECK(fixture.in_force(2));
    CHECK(fixture.all_apply(2));
}

TEST_CASE("of two concurrent changes based on the same version one is refused") {
    ChangeFixture fixture;
    fixture.follow("f0", {0, 1});
    fixture.publish_first_version();
    const auto ann = fixture.rig.start_config_command(
        {"set", fixture.rig.entry("limits", "ann"), "--based-on", "1"}, {0, 1, 2});
    const auto bob = fixture.rig.start_config_command(
        {"set", fixture.rig.entry("limits", "bob"), "--based-on", "1"}, {2, 1, 0});
    REQUIRE(fixture.rig.until([&] { return ann->ended() && bob->ended(); }));
    CHECK(std::min(ann->status(), bob->status()) == 0);
    CHECK(std::max(ann->status(), bob->status()) == 3);
    CHECK(fixture.rig.until([&] {
        return (ann->status() == 0 ? bob : ann)->has_printed("refused: based on version 1, the latest is 2");
    }));
    CHECK(fixture.all_apply(2));
    CHECK(fixture.rig.followers[0]->applied_document.at("limits") == (ann->status() == 0 ? "ann" : "bob"));
}

TEST_CASE(
    "a follower that refuses a change is listed, the others apply it, and the rollback comes into force") {
    ChangeFixture fixture("  halt_refused = 1\n");
    fixture.follow("f0", {0, 1}), fixture.follow("f1", {1, 0}),
        fixture.follow("f2", {0, 1}, refuse_bad_limits);
    fixture.publish_first_version();
    REQUIRE(fixture.config({"set", fixture.rig.entry("limits", "bad")}) == 0);
    REQUIRE(fixture.until([&] { return fixture.is_listed("refusing", "f2"); }));
    REQUIRE(fixture.until([&] {
        return fixture.rig.followers[0]->applied_version == 2 &&
               fixture.rig.followers[1]->applied_version == 2;
    }));
    CHECK(fixture.rig.followers[2]->applied_version == 1);
    CHECK(fixture.rig.changes()["in_force"] == 1);
    const auto show = fixture.rig.start_config_command({"show"});
    REQUIRE(fixture.rig.until([&] { return show->ended(); }));
    CHECK(fixture.rig.until([&] { return show->has_printed("refuses it: f2"); }));
    CHECK(fixture.config({"back", "1", "--wait"}) == 0);
    CHECK(fixture.all_apply(3));
    CHECK(fixture.rig.followers[2]->applied_document.at("limits") == "one");
}

TEST_CASE("a change refused by too many followers halts publishing; rollback and resume work") {
    ChangeFixture fixture("  halt_refused = 0.3\n");
    fixture.follow("f0", {0, 1}), fixture.follow("f1", {1, 0}),
        fixture.follow("f2", {0, 1}, refuse_bad_limits), fixture.follow("f3", {1, 0}, refuse_bad_limits);
    fixture.publish_first_version();
    CHECK(fixture.config({"set", fixture.rig.entry("limits", "bad"), "--wait"}) == 3);
    CHECK(fixture.rig.changes()["halted"] == true);
    CHECK(fixture.config({"set", fixture.rig.entry("limits", "good")}) == 3);
    CHECK(fixture.version() == 2);
    CHECK(fixture.config({"back", "1", "--wait"}) == 0);
    CHECK(fixture.all_apply(3));
    CHECK(fixture.config({"resume"}) == 0);
    CHECK(fixture.config({"set", fixture.rig.entry("limits", "good"), "--wait"}) == 0);
    CHECK(fixture.all_apply(4));
}

TEST_CASE("a new follower far behind catches up by rate-limited pages while others continue") {
    ChangeFixture fixture("  longest_entry = \"64KiB\"\n", " pages_a_second = 4\n");
    fixture.follow("f0", {0});
    fixture.publish_first_version();
    std::vector<std::string> arguments = {"set"};
    for (int i = 0; i < 12; ++i)
        arguments.push_back(
            fixture.rig.entry("k" + std::to_string(i), std::string(40'000, static_cast<char>('a' + i))));
    arguments.push_back("--wait");
    REQUIRE(fixture.config(arguments) == 0);
    CHECK(fixture.rig.followers[0]->pages >= 8);
    Follower& late = fixture.follow("late", {0, 1});
    REQUIRE(fixture.until([&] { return late.pages >= 2; }));
    CHECK(late.applied_version == 0);  // it applies nothing before it has all pages
    CHECK(fixture.config({"set", fixture.rig.entry("limits", "two")}) == 0);
    CHECK(fixture.all_apply(3));
    CHECK(fixture.in_force(3));
    CHECK(late.applied_document == fixture.rig.followers[0]->applied_document);
    CHECK(late.pages >= 8);
    CHECK(late.has_lease());
}

TEST_CASE(
    "a query router applies versions from the relays, refuses an invalid one, and applies the rollback") {
    ChangeFixture fixture("  halt_refused = 1\n", "", true);
    const auto router_logs = [&](const std::string& message) {
        return fixture.rig.until([&] { return fixture.rig.fleet_rig.routers[0]->has_printed(message); });
    };
    REQUIRE(fixture.all_live(1));
    CHECK(fixture.config({"set", fixture.rig.entry("log", "level = \"info\""), "--wait"}) == 0);
    CHECK(router_logs("accepted configuration version 1: 1 entries, 1 changed"));
    REQUIRE(fixture.config({"set", fixture.rig.entry("log", "volume = 11")}) == 0);
    CHECK(router_logs("refused configuration version 2, version 1 stays in force"));
    CHECK(fixture.until([&] { return fixture.is_listed("refusing", "r0"); }));
    CHECK(fixture.rig.changes()["in_force"] == 1);
    // Kill the relay that the router follows.
    const std::size_t followed_relay = fixture.rig.relay_status(0)["members"] == 1 ? 0 : 1;
    fixture.rig.relays[followed_relay]->signal(SIGKILL);
    CHECK(fixture.config({"back", "1", "--wait"}) == 0);
    CHECK(router_logs("accepted configuration version 3: 1 entries"));
    CHECK(fixture.until([&] { return !fixture.is_listed("refusing", "r0"); }));
}
