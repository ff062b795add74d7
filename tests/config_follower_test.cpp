// A router's side of changes of configuration: what a version means and whether it is refused; and the whole
// service on loopback against scripted relays.
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <set>

#include "helpers.hpp"
#include "members/config_overlay.hpp"
#include "service/service.hpp"
#include "testing/client.hpp"
#include "wire/change_messages.hpp"

using namespace tealcart;
using namespace tealcart::testing;
using changes::Document;
using test::ms;
using test::TestConnection;

namespace {

ConfigOverlay configuration_of(const std::string& file) {
    const OperatorConfig operators = read_operator_config(file, "f");
    const RouterConfig config = read_router_config(test::settings_text);
    const auto query_classes = read_connection_config(test::settings_text).query_classes;
    return {
        {operators.log, two_phase_by_query_class(operators, config, query_classes)}, config, query_classes};
}

ConfigOverlay::Settings settings_of(const ConfigOverlay& c, const Document& document) {
    auto read = c.read(document);
    if (const auto* refusal = std::get_if<ConfigOverlay::Rejection>(&read)) FAIL(refusal->reason);
    return std::get<ConfigOverlay::Settings>(read);
}

std::string refusal_of(const ConfigOverlay& c, const Document& document) {
    const auto read = c.read(document);
    const auto* refusal = std::get_if<ConfigOverlay::Rejection>(&read);
    return refusal == nullptr ? "none" : refusal->reason;
}

}  // namespace

TEST_CASE("an entry replaces the file's block of its name, and without it that block holds again") {
    const ConfigOverlay c =
        configuration_of("log { level = \"warn\" }\ntwo_phase \"part\" {\n share = 0.4\n keep = \"7ms\"\n}");
    CHECK(settings_of(c, {}).log.level == LogLevel::warn);
    CHECK(settings_of(c, {}).phases[0].first_phase_share == 0.4);
    const auto with = settings_of(c, {{"log", "format = \"json\""}, {"two_phase.part", "share = 0.5\n"}});
    CHECK(with.log.level == LogLevel::info);  // the whole block is replaced
    CHECK(with.log.format == LogFormat::json);
    CHECK(with.phases[0].enabled);
    CHECK(with.phases[0].first_phase_share == 0.5);
    CHECK(with.phases[0].response_reserve == TwoPhaseConfig().response_reserve);
    CHECK_FALSE(with.phases[1].enabled);
    CHECK(settings_of(c, {}).phases[0].response_reserve == 7 * ms);
    CHECK(settings_of(configuration_of(""), {{"two_phase.part", ""}}).phases[0].enabled);
}

TEST_CASE(
    "a document with any mistake is refused as a whole, every mistake named by entry, line and column") {
    const ConfigOverlay c = configuration_of("");
    for (const char* block : {"member", "calls", "section_memory", "control"})
        CHECK(refusal_of(c, {{block, "parts = 2"}}) ==
              "block " + std::string(block) + " holds at the start only");
    CHECK(refusal_of(c, {{"calls.x", ""}}) == "block calls holds at the start only");
    CHECK(refusal_of(c, {{"calls", "parts = 2"},
                         {"log", "\n level = \"loud\""},
                         {"two_phase.keyed", ""},
                         {"two_phase.other", ""},
                         {"two_phase.part", "share = 0.95\nleast = 5"}}) ==
          "block calls holds at the start only; "
          "log:2:10: 'level' is none of \"debug\", \"info\", \"warn\", \"error\"; "
          "two_phase.keyed:1:1: 'keyed' is not repeatable and can't be put in two phases; "
          "two_phase.other:1:1: the settings name no vertical 'other'; "
          "two_phase.part:1:9: 'share' is outside 0.01 to 0.9;"
          "two_phase.part:2:9: 'least' is a number, not a time such as \"250ms\"");
    CHECK(refusal_of(c, {{"log.x", ""}}) == "log.x:1:1: a 'log' block has no label");
    CHECK(refusal_of(c, {{"two_phase", ""}}) ==
          "two_phase:1:1: a 'two_phase' block has one label, the vertical's name");
    CHECK(refusal_of(c, {{"sharding", ""}}) == "sharding:1:1: a block 'sharding' is not known here");
    CHECK(refusal_of(c, {{"", ""}}) != "none");
    CHECK(refusal_of(c, {{"log", "level = "}}).rfind("log:1:", 0) == 0);
    CHECK(refusal_of(c, {{"log", "level = \"info\" } two_phase \"part\" {"}}).rfind("log:1:", 0) == 0);
    Document many;
    for (int i = 0; i < 1000; ++i) many["two_phase.v" + std::to_string(i)] = "";
    CHECK(refusal_of(c, many).size() == ConfigOverlay::max_reason);
}

TEST_CASE("how many entries changed is counted against the version that was acted on before") {
    ConfigOverlay c = configuration_of("");
    CHECK(c.on_applied({{"log", ""}, {"two_phase.part", ""}}) == 2);
    CHECK(c.on_applied({{"log", ""}, {"two_phase.part", "share = 0.5"}}) == 1);
    CHECK(c.on_applied({{"log", ""}, {"two_phase.part", "share = 0.5"}}) == 0);
    CHECK(c.on_applied({}) == 2);
}

namespace {

// A relay: holds calls until there is a later version or their wait is over, and keeps all it was told.
struct ScriptedRelay {
    struct Held {
        FollowerCall call;
        std::shared_ptr<TestConnection> peer;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    explicit ScriptedRelay(boost::asio::io_context& context)
        : io(context),
          door(std::make_unique<test::FakeServer>(io, [this](TestConnection& peer) { on_bytes(peer); })) {}

    void on_bytes(TestConnection& peer) {
        auto& reader = readers[&peer];
        if (!reader) reader = std::make_unique<RequestReader>();
        while (reader->feed(peer.received) == ParseStatus::complete) {
            CHECK(reader->request().path == follower_path);
            auto call = read_follower_call(reader->request().body);
            INFO((call ? "" : call.error().reason));
            REQUIRE(call);
            reader->next();
            calls.push_back(*call);
            if (mute) continue;
            if (call->leaving || call->position.wants_pages || call->position.known_version < version() ||
                calls.size() == 1)
                answer(*call, peer);
            else
                hold(*call, peer);
        }
    }
    void hold(const FollowerCall& call, TestConnection& peer) {
        const auto h = std::make_shared<Held>();
        h->call = call, h->peer = peer.shared_from_this();
        h->timer =
            std::make_unique<boost::asio::steady_timer>(io, std::chrono::nanoseconds(call.position.wait));
        held.push_back(h);
        h->timer->async_wait([this, h](auto ec) {
            if (!ec && std::erase(held, h) > 0) answer(h->call, *h->peer);
        });
    }
    void answer(const FollowerCall& call, TestConnection& peer) {
        ChangesAnswer a;
        a.version = version();
        a.lease = lease;
        const Document& latest = documents.back();
        const std::uint64_t digest = changes::digest_of(latest) + (spoils_pages ? 1 : 0);
        if (call.position.wants_pages && version() > 0) {
            // One entry a page.
            const auto next = latest.upper_bound(call.position.after);
            a.page = changes::Page{version(), digest, call.position.after, {}, true};
            if (next != latest.end()) {
                a.page->entries.insert(*next);
                a.page->last = std::next(next) == latest.end();
            }
        } else if (call.position.known_version < version()) {
            a.delta =
                changes::Delta{call.position.known_version, version(), {}, {}, changes::digest_of(latest)};
            if (spoils_deltas) ++a.delta->digest;
            const Document& before = documents[call.position.known_version];
            for (const auto& [key, value] : latest)
                if (!before.contains(key) || before.at(key) != value) a.delta->set[key] = value;
            for (const auto& [key, value] : before)
                if (!latest.contains(key)) a.delta->removed.insert(key);
        }
        const std::string body = write_changes_answer(a);
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void publish(const Document& document) {
        documents.push_back(document);
        for (const auto& h : std::exchange(held, {})) h->timer->cancel(), answer(h->call, *h->peer);
    }
    void die() {
        held.clear();
        for (const auto& peer : door->peers) peer->reset();
        door->close();
    }
    std::uint64_t version() const { return documents.size() - 1; }
    bool heard(std::uint64_t applied_version, std::uint64_t refused = 0) const {
        return !calls.empty() && calls.back().report.applied_version == applied_version &&
               calls.back().report.refused_version == refused;
    }

    boost::asio::io_context& io;
    std::unique_ptr<test::FakeServer> door;
    std::map<TestConnection*, std::unique_ptr<RequestReader>> readers;
    std::vector<Document> documents = {{}};
    std::vector<FollowerCall> calls;
    std::vector<std::shared_ptr<Held>> held;
    Nanos lease = 2000 * ms;
    bool mute = false, spoils_deltas = false, spoils_pages = false;
};

std::string fleet_text(const std::string& more = "", const std::string& each = "") {
    std::string text = "fleet {\n shards = 8\n places = 4\n width = 2\n rows = 8\n" + more + "}\n";
    for (int n = 0; n < 4; ++n)
        text += "node \"n" + std::to_string(n) + "\" {\n place = " + std::to_string(n) + "\n" + each + "}\n";
    return text;
}

struct World {
    boost::asio::io_context io{1};
    Fleet fleet;
    std::vector<std::unique_ptr<ScriptedRelay>> relays;
    std::unique_ptr<Service> service;
    std::vector<ClientResponse> answers;
    std::unique_ptr<Client> client;
    int asked = 0;

    // `member`: further attributes of the member block, which stands where there are relays.
    explicit World(int count, const std::string& script = fleet_text(), const std::string& file = "",
                   const std::string& member = "", const std::string& step = "5.0", bool starts = true)
        : fleet(io, read_script(script, "script")) {
        std::string list;
        for (int i = 0; i < count; ++i) {
            relays.push_back(std::make_unique<ScriptedRelay>(io));
            list += (i > 0 ? ", \"" : "\"") + relays.back()->door->address() + "\"";
        }
        operators = file;
        if (count > 0) operators += "\nmember {\n relays = [" + list + "]\n" + member + "\n}\n";
        step_ = step;
        if (starts) start();
    }
    void start() {
        service = std::make_unique<Service>(io, [this] { return launch(); });
        client = std::make_unique<Client>(io, service->port(),
                                          [this](ClientResponse a) { answers.push_back(std::move(a)); });
    }
    StartupConfig launch() {
        const std::string settings =
            R"({"extra":{"places":4,"ranges":8,"width":2,"floor_by_class":[0.4,1.0],"complete_from":[1.0,1.0],)"
            R"("parts_a_call":8},"limits":{"send_cap":3,"connect_timeout":250.0,"idle_close":30000.0,)"
            R"("streams_per_conn":100,"most_held":4000,"may_cancel":true,"second_copies":false,)"
            R"("retry_after":true,"max_retry_after":500.0},"safety":{"drain_grace":500.0,"cold_from":0.2,)"
            R"("cold":2000.0,"tip_multiple":3.0,"fall":500.0},"step":)" +
            step_ +
            R"(,"services":[{"name":"part","promise":1400.0,"deadline":3000.0,"semantics":"repeatable",)"
            R"("late_worth":0.5},{"name":"keyed","promise":1400.0,"deadline":3000.0,"repeat_window":3000.0,)"
            R"("semantics":"by_key"}]})";
        StartupConfig made = read_startup_config(
            R"({"name":"r","listen":"127.0.0.1:1","discovery":")" + fleet.discovery.address() +
            R"(","seed":"00ff","limits":{"sockets":256},"known":{"generation":1,"reset":true,"instances":[)" +
            fleet.entries() + "]},\"settings\":" + settings + "}");
        made.listen.port = 0;
        if (!operators.empty()) apply_operator_config(made, read_operator_config(operators, "operators"));
        return made;
    }
    template <typename Happened>
    void until(Happened happened) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!happened()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            service->turn();
        }
    }
    void run_for(std::chrono::milliseconds span) {
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end) service->turn();
    }
    // The relay that the router calls.
    ScriptedRelay& called() {
        until([&] {
            return std::any_of(relays.begin(), relays.end(), [](auto& r) { return !r->calls.empty(); });
        });
        for (auto& r : relays)
            if (!r->calls.empty()) return *r;
        return *relays[0];
    }
    ClientQuery asking(int rows = 5) {
        ClientQuery a;
        a.query_class = "part";
        a.id = "q" + std::to_string(++asked);
        a.deadline_ms = 3000;
        a.find.terms = {"wanted"};
        a.find.rows = rows;
        for (std::uint32_t s = 0; s < 8; ++s) a.shards.push_back(s);
        return a;
    }
    ClientResponse ask(const ClientQuery& a) {
        const std::size_t before = answers.size();
        client->ask(a);
        until([&] { return answers.size() > before; });
        return answers.back();
    }
    bool ready() {
        const auto peer = test::connect_to(io, service->port());
        peer->send("GET /-/ready HTTP/1.1\r\n\r\n");
        until([&] { return peer->received.find("\r\n\r\n") != std::string::npos; });
        return peer->received.find(" 200 ") != std::string::npos;
    }
    const ConfigFollower& follower() const { return *service->follower(); }
    const TwoPhaseCounters& counts() const { return service->dispatcher().two_phase_counters(); }

    std::string operators, step_;
};

std::size_t entries(const char* of) {
    const std::filesystem::directory_iterator all(of);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

}  // namespace

TEST_CASE("a version is taken over as a whole, said to be acted on, and gone back from by a further one") {
    World w(2);
    ScriptedRelay& relay = w.called();
    CHECK(relay.calls[0].report.name == "r");
    CHECK(relay.calls[0].report.incarnation > 0);
    CHECK(relay.calls[0].report.applied_version == 0);
    CHECK(relay.calls[0].report.lease_grace == MemberConfig().lease_grace);
    w.ask(w.asking());
    CHECK(w.counts().queries == 0);
    relay.publish({{"log", "level = \"warn\""}, {"two_phase.part", "audit = 0"}});
    w.until([&] { return relay.heard(1); });
    CHECK(relay.calls.back().position.known_version == 1);
    CHECK(relay.calls.back().position.digest == changes::digest_of(relay.documents[1]));
    ClientResponse got = w.ask(w.asking());
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(w.counts().queries == 1);
    CHECK(w.fleet.work().summaries == 8);  // the data nodes were told of before two phases came on
    relay.publish({{"two_phase.part", "audit = 1"}});
    w.until([&] { return relay.heard(2); });
    CHECK(w.ask(w.asking()).pruned.sections == 0);
    relay.publish({});
    w.until([&] { return relay.heard(3); });
    CHECK(w.ask(w.asking()).status == 200);
    CHECK(w.counts().queries == 2);
}

TEST_CASE("a version counts as acted on once the round after it has been played") {
    World w(1, fleet_text("", "call_delay = \"900ms\"\n"), "", "", "300.0");
    ScriptedRelay& relay = w.called();
    w.until([&] { return w.service->dispatcher().begun() && !relay.held.empty(); });
    // Right after a round, so that the next one is a step away.
    w.client->ask(w.asking());
    w.until([&] { return w.service->dispatcher().attempts_in_flight() > 0; });
    Client second(w.io, w.service->port(), [](ClientResponse) {});
    second.ask(w.asking());
    const std::size_t held = w.service->dispatcher().unfinished_count(),
                      out = w.service->dispatcher().attempts_in_flight();
    w.until([&] { return w.service->dispatcher().unfinished_count() > held; });
    relay.publish({{"log", "level = \"info\""}});
    w.until([&] {
        if (w.service->dispatcher().attempts_in_flight() == out) CHECK(w.follower().applied_version() == 0);
        return w.follower().applied_version() == 1;
    });
    CHECK(w.service->dispatcher().attempts_in_flight() > out);
    for (const FollowerCall& call : relay.calls) CHECK(call.report.applied_version == 0);
    w.until([&] { return relay.heard(1); });
}

TEST_CASE("a query in two phases that is in hand at a change ends by the terms it began with") {
    World w(1, fleet_text("matching = 0.5\n", "word_delay = \"150ms\"\n"));
    ScriptedRelay& relay = w.called();
    relay.publish({{"two_phase.part", ""}});
    w.until([&] { return relay.heard(1); });
    w.client->ask(w.asking());
    w.until([&] { return w.fleet.work().summaries == 8; });
    SECTION("sections are audited from now on") {
        relay.publish({{"two_phase.part", "audit = 1"}});
        w.until([&] { return w.follower().applied_version() == 2; });
        REQUIRE(w.answers.empty());
        w.until([&] { return !w.answers.empty(); });
        CHECK(w.answers[0].whole);
        CHECK(w.answers[0].pruned.sections > 0);
        CHECK(w.ask(w.asking()).pruned.sections == 0);
    }
    SECTION("there are no two phases from now on") {
        relay.publish({});
        w.until([&] { return w.follower().applied_version() == 2; });
        REQUIRE(w.answers.empty());
        w.until([&] { return !w.answers.empty(); });
        CHECK(w.answers[0].whole);
        CHECK(w.answers[0].pruned.sections > 0);
        CHECK(w.ask(w.asking()).status == 200);
        CHECK(w.counts().queries == 1);
    }
}

TEST_CASE("a wrong document is refused with the reason; the version it has is acted on, and queries go on") {
    World w(1);
    ScriptedRelay& relay = w.called();
    relay.publish({{"two_phase.part", ""}});
    w.until([&] { return relay.heard(1); });
    relay.publish({{"two_phase.part", "audit = 1"}, {"calls", "parts = 2"}, {"log", "level = \"loud\""}});
    w.until([&] { return relay.heard(1, 2); });
    CHECK(relay.calls.back().position.known_version == 2);
    CHECK(relay.calls.back().report.refusal_reason.find(
              "block calls holds at the start only; log:1:9: 'level' is none of") == 0);
    w.ask(w.asking());
    CHECK(w.ask(w.asking()).pruned.sections > 0);  // no part of it was applied
    CHECK(w.counts().queries == 2);
    CHECK(w.ready());
    SECTION("a further version with the old content is taken over") {
        relay.publish(relay.documents[1]);
        w.until([&] { return relay.heard(3); });
        CHECK(relay.calls.back().report.refusal_reason.empty());
    }
    SECTION("another wrong one is refused in its turn") {
        relay.publish({{"sharding", ""}});
        w.until([&] { return relay.heard(1, 3); });
        CHECK(relay.calls.back().report.refusal_reason ==
              "sharding:1:1: a block 'sharding' is not known here");
    }
}

TEST_CASE("what does not fit its digest changes nothing; the document is asked for in pages") {
    World w(1);
    ScriptedRelay& relay = w.called();
    relay.publish({{"log", "level = \"info\""}});
    w.until([&] { return relay.heard(1); });
    relay.spoils_deltas = true;
    SECTION("which fit") {
        relay.publish({{"log", "level = \"debug\""}, {"two_phase.part", "audit = 1"}});
        w.until([&] { return relay.heard(2); });
        std::vector<std::string> after;
        for (const FollowerCall& call : relay.calls)
            if (call.position.wants_pages) after.push_back(call.position.after);
        CHECK(after == std::vector<std::string>{"", "log"});
        w.ask(w.asking());
        CHECK(w.counts().queries == 1);
    }
    SECTION("which don't either: it is not asked again at once") {
        relay.spoils_pages = true;
        relay.publish({{"two_phase.part", "audit = 1"}});
        w.until([&] { return relay.calls.back().position.wants_pages; });
        const std::size_t before = relay.calls.size();
        w.run_for(std::chrono::milliseconds(1000));
        CHECK(relay.calls.size() - before <= 6);
        CHECK(w.follower().applied_version() == 1);
        CHECK(w.follower().refused_version() == 0);
        relay.spoils_pages = false;
        w.until([&] { return relay.heard(2); });
    }
}

TEST_CASE("a relay that dies is followed by the next, and an older version is never taken") {
    World w(2);
    ScriptedRelay& first = w.called();
    ScriptedRelay& other = &first == w.relays[0].get() ? *w.relays[1] : *w.relays[0];
    other.documents = {{}, {{"log", "level = \"debug\""}}};
    const std::uint64_t incarnation = first.calls[0].report.incarnation;
    for (const char* level : {"warn", "error", "info"})
        first.publish({{"log", std::string("level = \"") + level + "\""}});
    w.until([&] { return first.heard(3); });
    first.die();
    w.until([&] { return other.calls.size() >= 3; });
    for (const FollowerCall& call : other.calls) {
        CHECK(call.report.incarnation == incarnation);
        CHECK(call.report.applied_version == 3);
        CHECK(call.position.known_version == 3);
    }
    CHECK(w.ready());
    other.documents = first.documents;
    other.publish({{"two_phase.part", ""}});
    w.until([&] { return other.heard(4); });
}

TEST_CASE("a relay that grants no lease any more is passed over once the router's own is over") {
    World w(2);
    ScriptedRelay& first = w.called();
    ScriptedRelay& other = &first == w.relays[0].get() ? *w.relays[1] : *w.relays[0];
    first.lease = 300 * ms;
    first.publish({{"log", ""}});
    w.until([&] { return first.heard(1); });
    other.documents = first.documents;
    first.lease = 0;
    w.until([&] { return !other.calls.empty(); });
    CHECK(other.calls[0].report.applied_version == 1);
    const std::size_t before = first.calls.size();
    w.until([&] { return other.calls.size() >= 3; });
    CHECK(first.calls.size() == before);
    CHECK(w.ready());
}

TEST_CASE("it is not ready before the relays' first word and what that tells of, or the time for it") {
    World w(1, fleet_text(), "", "config_first_word = \"1500ms\"", "5.0", false);
    ScriptedRelay& relay = *w.relays[0];
    const std::string how = GENERATE("speaks", "is silent", "has no lease", "spoils");
    relay.publish({{"two_phase.part", ""}});
    relay.mute = true;
    w.start();
    const auto began = std::chrono::steady_clock::now();
    w.until([&] { return w.service->dispatcher().begun() && !relay.calls.empty(); });
    CHECK_FALSE(w.ready());
    CHECK(w.ask(w.asking()).status == 200);  // what comes is served
    if (how == "has no lease") relay.lease = 0;
    relay.spoils_deltas = how == "spoils";
    if (how != "is silent") relay.answer(relay.calls[0], *relay.door->peers[0]);
    if (how == "spoils") w.until([&] { return relay.calls.size() > 1; });  // and its pages are not answered
    const std::uint64_t version = how == "speaks" || how == "has no lease" ? 1 : 0;
    w.until([&] { return w.follower().applied_version() == version; });
    if (how == "speaks") {
        w.until([&] { return w.ready(); });
    } else {
        CHECK_FALSE(w.ready());
        w.until([&] { return w.ready(); });
        CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(1400));
    }
    CHECK(w.follower().applied_version() == version);
}

TEST_CASE("asked to stop it says farewell, and waits for no relay that is silent") {
    const bool silent = GENERATE(false, true);
    World w(1);
    ScriptedRelay& relay = w.called();
    relay.publish({{"log", ""}});
    w.until([&] { return relay.heard(1); });
    w.client->disconnect();
    relay.mute = silent;
    const auto began = std::chrono::steady_clock::now();
    std::raise(SIGTERM);
    while (w.service->turn()) REQUIRE(std::chrono::steady_clock::now() - began < std::chrono::seconds(20));
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1500));
    CHECK(relay.calls.back().leaving);
    CHECK(relay.calls.back().report.applied_version == 1);
}

TEST_CASE("a relay that knows a later life: at the start another is taken, later the router is cut off") {
    const bool at_start = GENERATE(true, false);
    World w(1, fleet_text(), "", "", "5.0", false);
    ScriptedRelay& relay = *w.relays[0];
    relay.mute = at_start;
    w.start();
    w.until([&] { return at_start ? !relay.calls.empty() : !relay.held.empty(); });
    const std::uint64_t incarnation = relay.calls[0].report.incarnation;
    const std::string body = R"({"life":9000000000000000000})";
    relay.mute = false;
    relay.door->peers[0]->send("HTTP/1.1 409 Conflict\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n" + body);
    if (at_start) {
        w.until([&] { return relay.calls.back().report.incarnation == 9000000000000000001; });
        w.until([&] { return w.ready(); });
    } else {
        w.until([&] { return !w.ready(); });
        CHECK(relay.calls.back().report.incarnation == incarnation);
        CHECK(w.ask(w.asking()).status == 503);
    }
}

TEST_CASE("without relays there is no further descriptor, thread or message; with them one connection") {
    struct Open {
        std::size_t descriptors, threads;
    };
    // As the platform starts it, with an operators' file that names none, and with one that does.
    std::vector<Open> found;
    for (const int kind : {0, 1, 2}) {
        const Open before{entries("/proc/self/fd"), entries("/proc/self/task")};
        World w(kind == 2 ? 1 : 0, fleet_text(), kind == 1 ? "log { level = \"info\" }" : "");
        w.ask(w.asking());
        w.ask(w.asking());
        if (kind == 2) w.until([&] { return !w.relays[0]->held.empty(); });
        CHECK((w.service->follower() == nullptr) == (kind < 2));
        found.push_back(
            {entries("/proc/self/fd") - before.descriptors, entries("/proc/self/task") - before.threads});
        if (kind < 2) continue;
        // The relay's own two ends: its listening socket and the connection.
        CHECK(w.relays[0]->door->peers.size() == 1);
        found.back().descriptors -= 2;
    }
    CHECK(found[1].descriptors == found[0].descriptors);
    CHECK(found[2].descriptors == found[0].descriptors + 1);
    for (const Open& open : found) CHECK(open.threads == found[0].threads);
}
