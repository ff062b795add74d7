// Changes of configuration through relays, on several processes with faults between them: three managers and
// two relays; the followers are in the test's own process, and what reaches them counts, not what a relay
// says of them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "testing/change_rig.hpp"

using namespace tealcart::testing;
using Json = nlohmann::json;

namespace {

struct Changes {
    // Further attributes of the managers' block and of each relay's.
    explicit Changes(const std::string& managers = "", const std::string& relay = "", bool router = false)
        : rig(io, plan_of(managers, relay, router)) {}

    static ChangeRigOptions plan_of(const std::string& managers, const std::string& relay, bool router) {
        ChangeRigOptions options;
        options.programs = PROGRAMS;
        options.changes = managers;
        options.relay = relay;
        options.router = router;
        return options;
    }
    Follower& follow(const std::string& name, std::vector<std::size_t> relays,
                     Follower::Refuses refuses = {}) {
        return rig.follow(name, std::move(relays), std::move(refuses));
    }
    // What happened stands with the check that its status goes into.
    int config(std::vector<std::string> words, std::vector<std::size_t> through = {0, 1, 2}) {
        const int status = rig.config(std::move(words), std::move(through));
        UNSCOPED_INFO(rig.rig.event_log.text(80));
        return status;
    }
    // Until it holds, with what must never be otherwise looked at all the while.
    bool until(const std::function<bool()>& holds) {
        bool sound = true;
        const bool came = rig.until([&] {
            sound = sound && rig.followers_consistent();
            return !sound || holds();
        });
        INFO(rig.rig.event_log.text(80));
        CHECK(sound);
        CHECK(came);
        return sound && came;
    }
    bool all_act_on(std::uint64_t version) {
        return until([&] {
            return std::all_of(rig.followers.begin(), rig.followers.end(),
                               [&](const auto& f) { return f->applied_version == version; });
        });
    }
    bool in_force(std::uint64_t version) {
        return until([&] {
            const Json s = rig.changes();
            return s.is_object() && s["in_force"].get<std::uint64_t>() >= version;
        });
    }
    bool all_live(std::size_t members) {
        return until([&] {
            const Json s = rig.changes();
            return s.is_object() && s["reach"]["live"] == members;
        });
    }
    // The first version, in force at all.
    void first_version(const std::string& text = "one") {
        REQUIRE(all_live(rig.followers.size()));
        REQUIRE(config({"set", rig.entry("limits", text), "--wait"}) == 0);
        REQUIRE(all_act_on(1));
    }
    bool named(const char* list, const std::string& name) {
        const Json s = rig.changes();
        if (!s.is_object()) return false;
        const Json& names = s["reach"][list];
        return std::find(names.begin(), names.end(), name) != names.end();
    }
    std::uint64_t version() {
        const Json s = rig.changes();
        return s.is_object() ? s["version"].get<std::uint64_t>() : 0;
    }

    boost::asio::io_context io{1};
    ChangeRig rig;
};

std::string refuses_bad(const tealcart::changes::Document& document) {
    const auto it = document.find("limits");
    return it != document.end() && it->second == "bad" ? "'limits' can't be read" : "";
}

}  // namespace

TEST_CASE("a change reaches every follower through the relays, and a follower that leaves counts no more") {
    Changes c;
    c.follow("f0", {0, 1}), c.follow("f1", {1, 0}), c.follow("f2", {0, 1});
    c.first_version("one\n");
    for (const auto& f : c.rig.followers) CHECK(f->acting.at("limits") == "one\n");
    const auto show = c.rig.start_config_command({"show", "limits"});
    REQUIRE(c.rig.until([&] { return show->ended(); }));
    CHECK(show->status() == 0);
    CHECK(c.rig.until([&] { return show->has_printed("one"); }));
    CHECK(c.config({"show"}) == 0);
    CHECK(c.config({"show", "nothing"}) == 3);
    // Two keys as one version, and one removed.
    REQUIRE(c.config({"set", c.rig.entry("a", "1"), c.rig.entry("b", "2"), "--remove", "limits", "--based-on",
                      "1", "--wait"}) == 0);
    REQUIRE(c.all_act_on(2));
    CHECK(c.rig.followers[1]->acting == tealcart::changes::Document{{"a", "1"}, {"b", "2"}});
    c.rig.followers[2]->leave();
    CHECK(c.all_live(2));
    const Json status = c.rig.relay_status(0);
    REQUIRE(status.is_object());
    CHECK(status["version"] == 2);
    CHECK(status["members"] == 1);
}

TEST_CASE(
    "a relay is killed before it hands a change on: its followers get it elsewhere, and it is in force") {
    Changes c;
    c.follow("f0", {0, 1}), c.follow("f1", {0, 1}), c.follow("f2", {1, 0});
    c.first_version();
    c.rig.relays[0]->signal(SIGSTOP);
    REQUIRE(c.config({"set", c.rig.entry("limits", "two")}) == 0);
    REQUIRE(c.until([&] { return c.rig.followers[2]->applied_version == 2; }));
    CHECK(c.rig.followers[0]->applied_version == 1);
    c.rig.relays[0]->signal(SIGKILL);
    CHECK(c.in_force(2));
    CHECK(c.all_act_on(2));
}

TEST_CASE(
    "a relay that stood for longer than its lease: its words are stale, its members elsewhere or unheard") {
    Changes c;
    c.follow("f0", {0}), c.follow("f1", {0, 1}), c.follow("f2", {1});
    c.first_version();
    c.rig.relays[0]->signal(SIGSTOP);
    REQUIRE(c.config({"set", c.rig.entry("limits", "two")}) == 0);
    REQUIRE(c.in_force(2));
    CHECK_FALSE(c.rig.followers[0]->has_lease());
    CHECK(c.named("unheard", "f0"));
    CHECK(c.rig.followers[1]->applied_version == 2);
    c.rig.relays[0]->signal(SIGCONT);
    CHECK(c.all_act_on(2));
    CHECK(c.all_live(3));
    CHECK(c.until([&] { return c.rig.followers[0]->has_lease(); }));
    CHECK(c.config({"set", c.rig.entry("limits", "three"), "--wait"}) == 0);
    CHECK(c.all_act_on(3));
}

TEST_CASE(
    "a relay that hears no steward: what it says is heard, it grants less and less, nothing is in force") {
    Changes c;
    c.follow("f0", {0}), c.follow("f1", {1});
    c.first_version();
    c.rig.rig.cut_off_member("relay0", false, true);
    REQUIRE(c.config({"set", c.rig.entry("limits", "two")}) == 0);
    REQUIRE(
        c.until([&] { return c.rig.relays[0]->has_printed("its lease is over: it hands on version 1"); }));
    REQUIRE(c.until(
        [&] { return c.rig.followers[1]->applied_version == 2 && !c.rig.followers[0]->has_lease(); }));
    CHECK(c.rig.followers[0]->applied_version == 1);
    const Json s = c.rig.changes();
    REQUIRE(s.is_object());
    CHECK(s["in_force"] == 1);
    c.rig.rig.heal();
    CHECK(c.in_force(2));
    CHECK(c.all_act_on(2));
    std::size_t told = 0;
    for (const std::string& line : c.rig.relays[0]->lines())
        told += line.find("no steward answers for changes") != line.npos;
    CHECK(told <= 1);
}

TEST_CASE(
    "a relay that no steward hears: its followers' leases are over before a change is in force without "
    "them") {
    Changes c;
    c.follow("f0", {0}), c.follow("f1", {1});
    c.first_version();
    c.rig.rig.cut_off_member("relay0", true, false);
    REQUIRE(c.config({"set", c.rig.entry("limits", "two")}) == 0);
    REQUIRE(c.in_force(2));
    CHECK_FALSE(c.rig.followers[0]->has_lease());
    CHECK(c.named("unheard", "f0"));
    c.rig.rig.heal();
    CHECK(c.all_act_on(2));
    CHECK(c.all_live(2));
}

TEST_CASE("the leader is killed while a change is asked for: under the same id it is one version") {
    Changes c;
    c.follow("f0", {0, 1}), c.follow("f1", {1, 0});
    REQUIRE(c.all_live(2));
    const std::size_t leader = c.rig.rig.leader();
    REQUIRE(leader < 3);
    const std::string entry = c.rig.entry("limits", "one");
    // It takes the call, and can't agree with anybody on it.
    c.rig.rig.cut_off(leader);
    CHECK(c.config({"set", entry, "--id", "x1", "--within", "1"}, {leader}) == 1);
    c.rig.rig.managers[leader]->signal(SIGKILL);
    REQUIRE(c.rig.until([&] { return c.rig.rig.managers[leader]->ended(); }));
    c.rig.rig.heal();
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < 3; ++i)
        if (i != leader) others.push_back(i);
    CHECK(c.config({"set", entry, "--id", "x1", "--wait"}, others) == 0);
    c.rig.rig.start_manager(leader);
    CHECK(c.config({"set", entry, "--id", "x1"}, {others[1], leader, others[0]}) == 0);
    CHECK(c.version() == 1);
    CHECK(c.all_act_on(1));
    CHECK(c.config({"set", c.rig.entry("limits", "two"), "--wait"}) == 0);
    CHECK(c.version() == 2);
}

TEST_CASE("a relay that was started again empty has all from the stewards, and its followers go on") {
    Changes c;
    c.follow("f0", {0}), c.follow("f1", {1});
    c.first_version();
    REQUIRE(c.config({"set", c.rig.entry("more", "two"), "--wait"}) == 0);
    c.rig.relays[0]->signal(SIGKILL);
    REQUIRE(c.rig.until([&] { return c.rig.relays[0]->ended(); }));
    c.rig.start_relay(0);
    REQUIRE(c.until([&] {
        const Json s = c.rig.relay_status(0);
        return s.is_object() && s["version"] == 2 && s["members"] == 1 && s["lowest"] == 2;
    }));
    REQUIRE(c.until([&] { return c.rig.followers[0]->has_lease(); }));
    CHECK(c.config({"set", c.rig.entry("more", "three"), "--wait"}) == 0);
    CHECK(c.all_act_on(3));
}

TEST_CASE("a relay whose first word was taken, and not answered until its lease was over, is let in again") {
    Changes c;
    c.follow("f0", {0});
    c.first_version();
    c.rig.relays[0]->signal(SIGKILL);
    REQUIRE(c.rig.until([&] { return c.rig.relays[0]->ended(); }));
    c.rig.rig.cut_off_member("relay0", false, true);
    c.rig.start_relay(0);
    const std::size_t leader = c.rig.rig.leader();
    REQUIRE(leader < 3);
    REQUIRE(
        c.until([&] { return c.rig.rig.managers[leader]->has_printed("changes: over: version 1: relay0"); }));
    c.rig.rig.heal();
    CHECK(c.until([&] { return c.rig.followers[0]->has_lease(); }));
    CHECK(c.config({"set", c.rig.entry("limits", "two"), "--wait"}) == 0);
    CHECK(c.all_act_on(2));
}

TEST_CASE("a relay that is slow holds up its own followers alone, and what is in force waits for them") {
    Changes c;
    c.follow("f0", {0}), c.follow("f1", {1});
    c.first_version();
    c.rig.relays[0]->signal(SIGSTOP);  // for less than its lease
    REQUIRE(c.config({"set", c.rig.entry("limits", "two")}) == 0);
    REQUIRE(c.until([&] { return c.rig.followers[1]->applied_version == 2; }));
    CHECK(c.rig.followers[0]->applied_version == 1);
    const Json s = c.rig.changes();
    REQUIRE(s.is_object());
    CHECK(s["in_force"] == 1);
    c.rig.relays[0]->signal(SIGCONT);
    CHECK(c.in_force(2));
    CHECK(c.all_act_on(2));
}

TEST_CASE("two operators at once, based on the same version: one is refused") {
    Changes c;
    c.follow("f0", {0, 1});
    c.first_version();
    const auto ann =
        c.rig.start_config_command({"set", c.rig.entry("limits", "ann"), "--based-on", "1"}, {0, 1, 2});
    const auto bob =
        c.rig.start_config_command({"set", c.rig.entry("limits", "bob"), "--based-on", "1"}, {2, 1, 0});
    REQUIRE(c.rig.until([&] { return ann->ended() && bob->ended(); }));
    CHECK(std::min(ann->status(), bob->status()) == 0);
    CHECK(std::max(ann->status(), bob->status()) == 3);
    CHECK(c.rig.until([&] {
        return (ann->status() == 0 ? bob : ann)->has_printed("refused: based on version 1, the latest is 2");
    }));
    CHECK(c.all_act_on(2));
    CHECK(c.rig.followers[0]->acting.at("limits") == (ann->status() == 0 ? "ann" : "bob"));
}

TEST_CASE("a follower that refuses a change is named, the others go on, and the way back is in force") {
    Changes c("  halt_refused = 1\n");
    c.follow("f0", {0, 1}), c.follow("f1", {1, 0}), c.follow("f2", {0, 1}, refuses_bad);
    c.first_version();
    REQUIRE(c.config({"set", c.rig.entry("limits", "bad")}) == 0);
    REQUIRE(c.until([&] { return c.named("refusing", "f2"); }));
    REQUIRE(c.until([&] {
        return c.rig.followers[0]->applied_version == 2 && c.rig.followers[1]->applied_version == 2;
    }));
    CHECK(c.rig.followers[2]->applied_version == 1);
    CHECK(c.rig.changes()["in_force"] == 1);
    const auto show = c.rig.start_config_command({"show"});
    REQUIRE(c.rig.until([&] { return show->ended(); }));
    CHECK(c.rig.until([&] { return show->has_printed("refuses it: f2"); }));
    CHECK(c.config({"back", "1", "--wait"}) == 0);
    CHECK(c.all_act_on(3));
    CHECK(c.rig.followers[2]->acting.at("limits") == "one");
}

TEST_CASE("a change that too many refuse halts; the way back is in force, and after a resume all goes on") {
    Changes c("  halt_refused = 0.3\n");
    c.follow("f0", {0, 1}), c.follow("f1", {1, 0}), c.follow("f2", {0, 1}, refuses_bad),
        c.follow("f3", {1, 0}, refuses_bad);
    c.first_version();
    CHECK(c.config({"set", c.rig.entry("limits", "bad"), "--wait"}) == 3);
    CHECK(c.rig.changes()["halted"] == true);
    CHECK(c.config({"set", c.rig.entry("limits", "good")}) == 3);
    CHECK(c.version() == 2);
    CHECK(c.config({"back", "1", "--wait"}) == 0);
    CHECK(c.all_act_on(3));
    CHECK(c.config({"resume"}) == 0);
    CHECK(c.config({"set", c.rig.entry("limits", "good"), "--wait"}) == 0);
    CHECK(c.all_act_on(4));
}

TEST_CASE("a newcomer that is far behind is caught up by pages, of a bounded rate, while others go on") {
    Changes c("  longest_entry = \"64KiB\"\n", " pages_a_second = 4\n");
    c.follow("f0", {0});
    c.first_version();
    std::vector<std::string> words = {"set"};
    for (int i = 0; i < 12; ++i)
        words.push_back(
            c.rig.entry("k" + std::to_string(i), std::string(40'000, static_cast<char>('a' + i))));
    words.push_back("--wait");
    REQUIRE(c.config(words) == 0);
    CHECK(c.rig.followers[0]->pages >= 8);
    Follower& late = c.follow("late", {0, 1});
    REQUIRE(c.until([&] { return late.pages >= 2; }));
    CHECK(late.applied_version == 0);  // nothing of it before all of it
    CHECK(c.config({"set", c.rig.entry("limits", "two")}) == 0);
    CHECK(c.all_act_on(3));
    CHECK(c.in_force(3));
    CHECK(late.acting == c.rig.followers[0]->acting);
    CHECK(late.pages >= 8);
    CHECK(late.has_lease());
}

TEST_CASE(
    "a query router takes versions over through the relays, refuses what it can't read, and goes back") {
    Changes c("  halt_refused = 1\n", "", true);
    const auto said = [&](const std::string& words) {
        return c.rig.until([&] { return c.rig.rig.routers[0]->has_printed(words); });
    };
    REQUIRE(c.all_live(1));
    CHECK(c.config({"set", c.rig.entry("log", "level = \"info\""), "--wait"}) == 0);
    CHECK(said("configuration version 1: 1 entries, 1 changed"));
    REQUIRE(c.config({"set", c.rig.entry("log", "volume = 11")}) == 0);
    CHECK(said("configuration version 2 is refused, 1 stands"));
    CHECK(c.until([&] { return c.named("refusing", "r0"); }));
    CHECK(c.rig.changes()["in_force"] == 1);
    // The relay that it follows is killed meanwhile, whichever it is.
    const std::size_t at = c.rig.relay_status(0)["members"] == 1 ? 0 : 1;
    c.rig.relays[at]->signal(SIGKILL);
    CHECK(c.config({"back", "1", "--wait"}) == 0);
    CHECK(said("configuration version 3: 1 entries"));
    CHECK(c.until([&] { return !c.named("refusing", "r0"); }));
}
