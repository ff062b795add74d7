// Query routers that follow changes of configuration, on several processes of the programs: three managers,
// two relays, routers with steady traffic.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "testing/change_rig.hpp"

using namespace tealcart::testing;
using Json = nlohmann::json;

namespace {

ChangeRigOptions with_programs() {
    ChangeRigOptions options;
    options.programs = PROGRAMS;
    return options;
}

// The rig's own router, which was started without relays, is started again as one that follows them.
struct Routers {
    explicit Routers(const std::string& file = "") : rig(io, with_programs()) {
        std::string relays;
        for (const auto& relay : rig.relays)
            for (const std::string& line : relay->lines())
                if (const auto at = line.find("followers at "); at != std::string::npos)
                    relays += (relays.empty() ? "\"" : ", \"") + line.substr(at + 13) + "\"";
        rig.rig.directory.write("r0.hcl",
                                file + "\nmember {\n zone = \"a\"\n relays = [" + relays + "]\n}\n");
        rig.rig.start_router(0);
    }
    ~Routers() { UNSCOPED_INFO(rig.rig.event_log.text(80)); }

    Process& router() { return *rig.rig.routers[0]; }
    bool until(const std::function<bool()>& holds) { return rig.until(holds); }
    bool lives() {
        return until([&] {
            const Json s = rig.changes();
            return s.is_object() && s["reach"]["live"] == 1;
        });
    }
    // So many further queries are answered, all with 200.
    bool traffic_goes_on(std::uint64_t queries = 5) {
        auto& answers = rig.rig.answers;
        const std::uint64_t before = answers[200];
        return until([&] { return answers[200] >= before + queries; });
    }

    boost::asio::io_context io{1};
    ChangeRig rig;
};

}  // namespace

TEST_CASE("a change is in force at a router, a wrong one is refused by name, and the way back is in force") {
    Routers r;
    REQUIRE(r.until([&] { return r.router().has_printed("its lease holds"); }));
    REQUIRE(r.lives());
    REQUIRE(r.rig.config({"set", r.rig.entry("log", "level = \"warn\"\n"), "--wait"}) == 0);
    CHECK(r.router().has_printed("configuration version 1: 1 entries, 1 changed"));
    CHECK(r.rig.changes()["in_force"] == 1);
    r.rig.rig.answers.clear();  // at first a router knows no data node
    CHECK(r.traffic_goes_on());
    // Its one router that lives refuses it, and so it halts.
    CHECK(r.rig.config({"set", r.rig.entry("calls", "parts = 2\n"), "--wait"}) == 3);
    CHECK(r.router().has_printed(
        "configuration version 2 is refused, 1 stands: block calls holds at the start only"));
    REQUIRE(r.until([&] {
        const Json s = r.rig.changes();
        return s.is_object() && s["reach"]["refusing"] == Json::array({"r0"});
    }));
    const auto show = r.rig.start_config_command({"show"});
    REQUIRE(r.until([&] { return show->ended(); }));
    CHECK(show->has_printed("refuses it: r0"));
    CHECK(r.traffic_goes_on());
    CHECK(r.rig.config({"back", "1", "--wait"}) == 0);
    CHECK(r.rig.changes()["in_force"] == 3);
    // The log's level holds: a version that is taken over is told at info, which is not written any more.
    CHECK_FALSE(r.router().has_printed("configuration version 3"));
    CHECK(r.rig.config({"resume"}) == 0);
    CHECK(r.rig.config({"set", "--remove", "log", "--wait"}) == 0);
    CHECK(r.router().has_printed("configuration version 4: 0 entries, 1 changed"));
    CHECK(r.traffic_goes_on());
    CHECK(r.rig.rig.answers.size() == 1);
}

TEST_CASE("a router goes to the other relay when its own is killed, and says farewell when it ends") {
    Routers r;
    REQUIRE(r.lives());
    REQUIRE(r.rig.config({"set", r.rig.entry("two_phase.search", ""), "--wait"}) == 0);
    const auto members_of = [&](std::size_t i) {
        const Json s = r.rig.relay_status(i);
        return s.is_object() ? s["members"].get<int>() : 0;
    };
    const std::size_t own = members_of(0) == 1 ? 0 : 1;
    REQUIRE(members_of(own) == 1);
    r.rig.relays[own]->signal(SIGKILL);
    REQUIRE(r.until([&] { return members_of(1 - own) == 1; }));
    CHECK(r.rig.config({"set", r.rig.entry("two_phase.search", "audit = 1\n"), "--wait"}) == 0);
    CHECK(r.router().has_printed("configuration version 2: 1 entries, 1 changed"));
    r.rig.rig.stop_traffic();
    r.router().signal(SIGTERM);
    REQUIRE(r.until([&] { return r.router().ended(); }));
    CHECK(r.router().status() == 0);
    CHECK(r.until([&] { return members_of(1 - own) == 0; }));
}
