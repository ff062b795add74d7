// Query routers that follow changes of configuration, on processes: three fleet managers, two relays and
// routers with steady traffic.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "testing/change_rig.hpp"

using namespace tealcart::testing;
using Json = nlohmann::json;

namespace {

ChangeRigOptions rig_options() {
    ChangeRigOptions options;
    options.programs = PROGRAMS;
    return options;
}

// Restarts the rig's router, which was started without relays, as a follower of the relays.
struct RouterFixture {
    explicit RouterFixture(const std::string& further_blocks = "") : rig(io, rig_options()) {
        std::string relays;
        for (const auto& relay : rig.relays)
            for (const std::string& line : relay->lines())
                if (const auto position = line.find("followers at "); position != std::string::npos)
                    relays += (relays.empty() ? "\"" : ", \"") + line.substr(position + 13) + "\"";
        rig.fleet_rig.directory.write(
            "r0.hcl", further_blocks + "\nmember {\n zone = \"a\"\n relays = [" + relays + "]\n}\n");
        rig.fleet_rig.start_router(0);
    }
    ~RouterFixture() { UNSCOPED_INFO(rig.fleet_rig.event_log.text(80)); }

    Process& router() { return *rig.fleet_rig.routers[0]; }
    bool until(const std::function<bool()>& holds) { return rig.until(holds); }
    bool is_live() {
        return until([&] {
            const Json changes = rig.changes();
            return changes.is_object() && changes["reach"]["live"] == 1;
        });
    }
    // Whether this many further queries are answered with 200.
    bool traffic_continues(std::uint64_t queries = 5) {
        auto& answers = rig.fleet_rig.answers;
        const std::uint64_t before = answers[200];
        return until([&] { return answers[200] >= before + queries; });
    }

    boost::asio::io_context io{1};
    ChangeRig rig;
};

}  // namespace

TEST_CASE(
    "a change comes into force at a router, an invalid one is refused, and the rollback comes into force") {
    RouterFixture fixture;
    REQUIRE(fixture.until([&] { return fixture.router().has_printed("it has a lease from a relay"); }));
    REQUIRE(fixture.is_live());
    REQUIRE(fixture.rig.config({"set", fixture.rig.entry("log", "level = \"warn\"\n"), "--wait"}) == 0);
    CHECK(fixture.router().has_printed("accepted configuration version 1: 1 entries, 1 changed"));
    CHECK(fixture.rig.changes()["in_force"] == 1);
    fixture.rig.fleet_rig.answers.clear();  // queries fail until the router knows the data nodes
    CHECK(fixture.traffic_continues());
    // The only live router refuses the version, so publishing halts.
    CHECK(fixture.rig.config({"set", fixture.rig.entry("calls", "parts = 2\n"), "--wait"}) == 3);
    CHECK(fixture.router().has_printed(
        "refused configuration version 2, version 1 stays in force: block calls holds at the start only"));
    REQUIRE(fixture.until([&] {
        const Json changes = fixture.rig.changes();
        return changes.is_object() && changes["reach"]["refusing"] == Json::array({"r0"});
    }));
    const auto show = fixture.rig.start_config_command({"show"});
    REQUIRE(fixture.until([&] { return show->ended(); }));
    CHECK(show->has_printed("refuses it: r0"));
    CHECK(fixture.traffic_continues());
    CHECK(fixture.rig.config({"back", "1", "--wait"}) == 0);
    CHECK(fixture.rig.changes()["in_force"] == 3);
    // The log level of version 1 is in force, so the line about the applied version, at info, is not written.
    CHECK_FALSE(fixture.router().has_printed("configuration version 3"));
    CHECK(fixture.rig.config({"resume"}) == 0);
    CHECK(fixture.rig.config({"set", "--remove", "log", "--wait"}) == 0);
    CHECK(fixture.router().has_printed("accepted configuration version 4: 0 entries, 1 changed"));
    CHECK(fixture.traffic_continues());
    CHECK(fixture.rig.fleet_rig.answers.size() == 1);
}

TEST_CASE("a router moves to the other relay when its own is killed, and leaves when it stops") {
    RouterFixture fixture;
    REQUIRE(fixture.is_live());
    REQUIRE(fixture.rig.config({"set", fixture.rig.entry("two_phase.search", ""), "--wait"}) == 0);
    const auto members_of = [&](std::size_t relay) {
        const Json status = fixture.rig.relay_status(relay);
        return status.is_object() ? status["members"].get<int>() : 0;
    };
    const std::size_t own_relay = members_of(0) == 1 ? 0 : 1;
    REQUIRE(members_of(own_relay) == 1);
    fixture.rig.relays[own_relay]->signal(SIGKILL);
    REQUIRE(fixture.until([&] { return members_of(1 - own_relay) == 1; }));
    CHECK(fixture.rig.config({"set", fixture.rig.entry("two_phase.search", "audit = 1\n"), "--wait"}) == 0);
    CHECK(fixture.router().has_printed("accepted configuration version 2: 1 entries, 1 changed"));
    fixture.rig.fleet_rig.stop_traffic();
    fixture.router().signal(SIGTERM);
    REQUIRE(fixture.until([&] { return fixture.router().ended(); }));
    CHECK(fixture.router().status() == 0);
    CHECK(fixture.until([&] { return members_of(1 - own_relay) == 0; }));
}
