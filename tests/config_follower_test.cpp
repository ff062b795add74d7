// A router that follows configuration changes: the settings that a version results in, its rejection, and the
// whole service on loopback against scripted relays.
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

ConfigOverlay overlay_of(const std::string& file) {
    const OperatorConfig operators = read_operator_config(file, "f");
    const RouterConfig config = read_router_config(test::settings_text);
    const auto query_classes = read_connection_config(test::settings_text).query_classes;
    return {
        {operators.log, two_phase_by_query_class(operators, config, query_classes)}, config, query_classes};
}

ConfigOverlay::Settings settings_of(const ConfigOverlay& overlay, const Document& document) {
    auto result = overlay.read(document);
    if (const auto* rejection = std::get_if<ConfigOverlay::Rejection>(&result)) FAIL(rejection->reason);
    return std::get<ConfigOverlay::Settings>(result);
}

std::string rejection_of(const ConfigOverlay& overlay, const Document& document) {
    const auto result = overlay.read(document);
    const auto* rejection = std::get_if<ConfigOverlay::Rejection>(&result);
    return rejection == nullptr ? "none" : rejection->reason;
}

}  // namespace

TEST_CASE("an entry replaces the file's block of its name, and without the entry that block applies again") {
    const ConfigOverlay overlay =
        overlay_of("log { level = \"warn\" }\ntwo_phase \"part\" {\n share = 0.4\n keep = \"7ms\"\n}");
    CHECK(settings_of(overlay, {}).log.level == LogLevel::warn);
    CHECK(settings_of(overlay, {}).phases[0].first_phase_share == 0.4);
    const auto overlaid =
        settings_of(overlay, {{"log", "format = \"json\""}, {"two_phase.part", "share = 0.5\n"}});
    CHECK(overlaid.log.level == LogLevel::info);  // the whole block is replaced
    CHECK(overlaid.log.format == LogFormat::json);
    CHECK(overlaid.phases[0].enabled);
    CHECK(overlaid.phases[0].first_phase_share == 0.5);
    CHECK(overlaid.phases[0].response_reserve == TwoPhaseConfig().response_reserve);
    CHECK_FALSE(overlaid.phases[1].enabled);
    CHECK(settings_of(overlay, {}).phases[0].response_reserve == 7 * ms);
    CHECK(settings_of(overlay_of(""), {{"two_phase.part", ""}}).phases[0].enabled);
}

TEST_CASE("a document with mistakes is rejected as a whole, with entry, line and column of each") {
    const ConfigOverlay overlay = overlay_of("");
    for (const char* block : {"member", "calls", "section_memory", "control"})
        CHECK(rejection_of(overlay, {{block, "parts = 2"}}) ==
              "block " + std::string(block) + " holds at the start only");
    CHECK(rejection_of(overlay, {{"calls.x", ""}}) == "block calls holds at the start only");
    CHECK(rejection_of(overlay, {{"calls", "parts = 2"},
                                 {"log", "\n level = \"loud\""},
                                 {"two_phase.keyed", ""},
                                 {"two_phase.other", ""},
                                 {"two_phase.part", "share = 0.95\nleast = 5"}}) ==
          "block calls holds at the start only; "
          "log:2:10: 'level' is \"loud\"; expected one of \"debug\", \"info\", \"warn\", \"error\"; "
          "two_phase.keyed:1:1: query class 'keyed' can't run in two phases: its semantics in the settings "
          "are not \"repeatable\"; "
          "two_phase.other:1:1: query class 'other' is not in the settings; "
          "two_phase.part:1:9: 'share' is 0.95; expected 0.01 to 0.9;"
          "two_phase.part:2:9: 'least' is a number; expected a duration such as \"250ms\"");
    CHECK(rejection_of(overlay, {{"log.x", ""}}) == "log.x:1:1: a 'log' block has 1 labels; expected none");
    CHECK(rejection_of(overlay, {{"two_phase", ""}}) ==
          "two_phase:1:1: a 'two_phase' block has 0 labels; expected one, the query class's name");
    CHECK(rejection_of(overlay, {{"sharding", ""}}) == "sharding:1:1: block 'sharding' is not known here");
    CHECK(rejection_of(overlay, {{"", ""}}) != "none");
    CHECK(rejection_of(overlay, {{"log", "level = "}}).rfind("log:1:", 0) == 0);
    CHECK(rejection_of(overlay, {{"log", "level = \"info\" } two_phase \"part\" {"}}).rfind("log:1:", 0) ==
          0);
    Document many;
    for (int i = 0; i < 1000; ++i) many["two_phase.v" + std::to_string(i)] = "";
    CHECK(rejection_of(overlay, many).size() == ConfigOverlay::max_reason);
}

TEST_CASE("changed entries are counted against the previously applied version") {
    ConfigOverlay overlay = overlay_of("");
    CHECK(overlay.on_applied({{"log", ""}, {"two_phase.part", ""}}) == 2);
    CHECK(overlay.on_applied({{"log", ""}, {"two_phase.part", "share = 0.5"}}) == 1);
    CHECK(overlay.on_applied({{"log", ""}, {"two_phase.part", "share = 0.5"}}) == 0);
    CHECK(overlay.on_applied({}) == 2);
}

namespace {

// A relay that delays answers until there is a later version or the wait has ended, and records all calls.
struct ScriptedRelay {
    // A call whose answer is delayed.
    struct PendingCall {
        FollowerCall call;
        std::shared_ptr<TestConnection> peer;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    explicit ScriptedRelay(boost::asio::io_context& context)
        : io(context),
          listener(std::make_unique<test::FakeServer>(io, [this](TestConnection& peer) { on_bytes(peer); })) {
    }

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
            if (silent) continue;
            if (call->leaving || call->position.wants_pages || call->position.known_version < version() ||
                calls.size() == 1)
                answer(*call, peer);
            else
                delay_answer(*call, peer);
        }
    }
    void delay_answer(const FollowerCall& call, TestConnection& peer) {
        const auto pending_call = std::make_shared<PendingCall>();
        pending_call->call = call, pending_call->peer = peer.shared_from_this();
        pending_call->timer =
            std::make_unique<boost::asio::steady_timer>(io, std::chrono::nanoseconds(call.position.wait));
        pending.push_back(pending_call);
        pending_call->timer->async_wait([this, pending_call](auto ec) {
            if (!ec && std::erase(pending, pending_call) > 0) answer(pending_call->call, *pending_call->peer);
        });
    }
    void answer(const FollowerCall& call, TestConnection& peer) {
        ChangesAnswer changes_answer;
        changes_answer.version = version();
        changes_answer.lease = lease;
        const Document& latest = documents.back();
        const std::uint64_t digest = changes::digest_of(latest) + (corrupts_pages ? 1 : 0);
        if (call.position.wants_pages && version() > 0) {
            // Each page has one entry.
            const auto next = latest.upper_bound(call.position.after);
            changes_answer.page = changes::Page{version(), digest, call.position.after, {}, true};
            if (next != latest.end()) {
                changes_answer.page->entries.insert(*next);
                changes_answer.page->last = std::next(next) == latest.end();
            }
        } else if (call.position.known_version < version()) {
            changes_answer.delta =
                changes::Delta{call.position.known_version, version(), {}, {}, changes::digest_of(latest)};
            if (corrupts_deltas) ++changes_answer.delta->digest;
            const Document& before = documents[call.position.known_version];
            for (const auto& [key, value] : latest)
                if (!before.contains(key) || before.at(key) != value) changes_answer.delta->set[key] = value;
            for (const auto& [key, value] : before)
                if (!latest.contains(key)) changes_answer.delta->removed.insert(key);
        }
        const std::string body = write_changes_answer(changes_answer);
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void publish(const Document& document) {
        documents.push_back(document);
        for (const auto& pending_call : std::exchange(pending, {}))
            pending_call->timer->cancel(), answer(pending_call->call, *pending_call->peer);
    }
    void disconnect() {
        pending.clear();
        for (const auto& peer : listener->peers) peer->reset();
        listener->close();
    }
    std::uint64_t version() const { return documents.size() - 1; }
    bool last_report_is(std::uint64_t applied_version, std::uint64_t refused = 0) const {
        return !calls.empty() && calls.back().report.applied_version == applied_version &&
               calls.back().report.refused_version == refused;
    }

    boost::asio::io_context& io;
    std::unique_ptr<test::FakeServer> listener;
    std::map<TestConnection*, std::unique_ptr<RequestReader>> readers;
    std::vector<Document> documents = {{}};
    std::vector<FollowerCall> calls;
    std::vector<std::shared_ptr<PendingCall>> pending;
    Nanos lease = 2000 * ms;
    bool silent = false, corrupts_deltas = false, corrupts_pages = false;
};

std::string fleet_text(const std::string& fleet_attributes = "", const std::string& node_attributes = "") {
    std::string text =
        "fleet {\n shards = 8\n places = 4\n width = 2\n rows = 8\n" + fleet_attributes + "}\n";
    for (int node = 0; node < 4; ++node)
        text += "node \"n" + std::to_string(node) + "\" {\n place = " + std::to_string(node) + "\n" +
                node_attributes + "}\n";
    return text;
}

// A router's service with scripted relays, a scripted fleet and one client.
struct FollowerFixture {
    boost::asio::io_context io{1};
    Fleet fleet;
    std::vector<std::unique_ptr<ScriptedRelay>> relays;
    std::unique_ptr<Service> service;
    std::vector<ClientResponse> answers;
    std::unique_ptr<Client> client;
    int query_count = 0;

    // `member`: further attributes of the member block, which is present if there are relays.
    explicit FollowerFixture(int relay_count, const std::string& script = fleet_text(),
                             const std::string& file = "", const std::string& member = "",
                             const std::string& step = "5.0", bool starts = true)
        : fleet(io, read_script(script, "script")) {
        std::string relay_addresses;
        for (int i = 0; i < relay_count; ++i) {
            relays.push_back(std::make_unique<ScriptedRelay>(io));
            relay_addresses += (i > 0 ? ", \"" : "\"") + relays.back()->listener->address() + "\"";
        }
        operators_file = file;
        if (relay_count > 0)
            operators_file += "\nmember {\n relays = [" + relay_addresses + "]\n" + member + "\n}\n";
        step_ = step;
        if (starts) start();
    }
    void start() {
        service = std::make_unique<Service>(io, [this] { return startup_config(); });
        client = std::make_unique<Client>(
            io, service->port(), [this](ClientResponse response) { answers.push_back(std::move(response)); });
    }
    StartupConfig startup_config() {
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
        StartupConfig startup = read_startup_config(
            R"({"name":"r","listen":"127.0.0.1:1","discovery":")" + fleet.discovery.address() +
            R"(","seed":"00ff","limits":{"sockets":256},"known":{"generation":1,"reset":true,"instances":[)" +
            fleet.entries() + "]},\"settings\":" + settings + "}");
        startup.listen.port = 0;
        if (!operators_file.empty())
            apply_operator_config(startup, read_operator_config(operators_file, "operators"));
        return startup;
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
    // Waits until the router calls a relay, and returns that relay.
    ScriptedRelay& followed_relay() {
        until([&] {
            return std::any_of(relays.begin(), relays.end(),
                               [](auto& relay) { return !relay->calls.empty(); });
        });
        for (auto& relay : relays)
            if (!relay->calls.empty()) return *relay;
        return *relays[0];
    }
    ClientQuery new_query(int rows = 5) {
        ClientQuery query;
        query.query_class = "part";
        query.id = "q" + std::to_string(++query_count);
        query.deadline_ms = 3000;
        query.criteria.terms = {"wanted"};
        query.criteria.rows = rows;
        for (std::uint32_t shard = 0; shard < 8; ++shard) query.shards.push_back(shard);
        return query;
    }
    ClientResponse run_query(const ClientQuery& query) {
        const std::size_t before = answers.size();
        client->send(query);
        until([&] { return answers.size() > before; });
        return answers.back();
    }
    bool is_ready() {
        const auto peer = test::connect_to(io, service->port());
        peer->send("GET /-/ready HTTP/1.1\r\n\r\n");
        until([&] { return peer->received.find("\r\n\r\n") != std::string::npos; });
        return peer->received.find(" 200 ") != std::string::npos;
    }
    const ConfigFollower& follower() const { return *service->follower(); }
    const TwoPhaseCounters& counts() const { return service->dispatcher().two_phase_counters(); }

    std::string operators_file, step_;
};

std::size_t entry_count(const char* directory) {
    const std::filesystem::directory_iterator directory_entries(directory);
    return static_cast<std::size_t>(std::distance(begin(directory_entries), end(directory_entries)));
}

}  // namespace

TEST_CASE("a version is applied as a whole and reported, and a further version reverts it") {
    FollowerFixture fixture(2);
    ScriptedRelay& relay = fixture.followed_relay();
    CHECK(relay.calls[0].report.name == "r");
    CHECK(relay.calls[0].report.incarnation > 0);
    CHECK(relay.calls[0].report.applied_version == 0);
    CHECK(relay.calls[0].report.lease_grace == MemberConfig().lease_grace);
    fixture.run_query(fixture.new_query());
    CHECK(fixture.counts().queries == 0);
    relay.publish({{"log", "level = \"warn\""}, {"two_phase.part", "audit = 0"}});
    fixture.until([&] { return relay.last_report_is(1); });
    CHECK(relay.calls.back().position.known_version == 1);
    CHECK(relay.calls.back().position.digest == changes::digest_of(relay.documents[1]));
    ClientResponse response = fixture.run_query(fixture.new_query());
    CHECK(response.status == 200);
    CHECK(response.complete);
    CHECK(fixture.counts().queries == 1);
    // The data nodes were discovered before the two-phase setting.
    CHECK(fixture.fleet.work().summaries == 8);
    relay.publish({{"two_phase.part", "audit = 1"}});
    fixture.until([&] { return relay.last_report_is(2); });
    CHECK(fixture.run_query(fixture.new_query()).pruned.sections == 0);
    relay.publish({});
    fixture.until([&] { return relay.last_report_is(3); });
    CHECK(fixture.run_query(fixture.new_query()).status == 200);
    CHECK(fixture.counts().queries == 2);
}

TEST_CASE("a version counts as applied after the next round") {
    FollowerFixture fixture(1, fleet_text("", "call_delay = \"900ms\"\n"), "", "", "300.0");
    ScriptedRelay& relay = fixture.followed_relay();
    fixture.until([&] { return fixture.service->dispatcher().begun() && !relay.pending.empty(); });
    // The first query starts right after a round, so that the next round is a full interval away.
    fixture.client->send(fixture.new_query());
    fixture.until([&] { return fixture.service->dispatcher().attempts_in_flight() > 0; });
    Client second(fixture.io, fixture.service->port(), [](ClientResponse) {});
    second.send(fixture.new_query());
    const std::size_t unfinished = fixture.service->dispatcher().unfinished_count(),
                      in_flight = fixture.service->dispatcher().attempts_in_flight();
    fixture.until([&] { return fixture.service->dispatcher().unfinished_count() > unfinished; });
    relay.publish({{"log", "level = \"info\""}});
    fixture.until([&] {
        if (fixture.service->dispatcher().attempts_in_flight() == in_flight)
            CHECK(fixture.follower().applied_version() == 0);
        return fixture.follower().applied_version() == 1;
    });
    CHECK(fixture.service->dispatcher().attempts_in_flight() > in_flight);
    for (const FollowerCall& call : relay.calls) CHECK(call.report.applied_version == 0);
    fixture.until([&] { return relay.last_report_is(1); });
}

TEST_CASE("a two-phase query in progress at a change ends with the settings it began with") {
    FollowerFixture fixture(1, fleet_text("matching = 0.5\n", "word_delay = \"150ms\"\n"));
    ScriptedRelay& relay = fixture.followed_relay();
    relay.publish({{"two_phase.part", ""}});
    fixture.until([&] { return relay.last_report_is(1); });
    fixture.client->send(fixture.new_query());
    fixture.until([&] { return fixture.fleet.work().summaries == 8; });
    SECTION("the new version audits all sections") {
        relay.publish({{"two_phase.part", "audit = 1"}});
        fixture.until([&] { return fixture.follower().applied_version() == 2; });
        REQUIRE(fixture.answers.empty());
        fixture.until([&] { return !fixture.answers.empty(); });
        CHECK(fixture.answers[0].complete);
        CHECK(fixture.answers[0].pruned.sections > 0);
        CHECK(fixture.run_query(fixture.new_query()).pruned.sections == 0);
    }
    SECTION("the new version turns two-phase queries off") {
        relay.publish({});
        fixture.until([&] { return fixture.follower().applied_version() == 2; });
        REQUIRE(fixture.answers.empty());
        fixture.until([&] { return !fixture.answers.empty(); });
        CHECK(fixture.answers[0].complete);
        CHECK(fixture.answers[0].pruned.sections > 0);
        CHECK(fixture.run_query(fixture.new_query()).status == 200);
        CHECK(fixture.counts().queries == 1);
    }
}

TEST_CASE(
    "an invalid document is rejected with the reason; the applied version stays, and queries continue") {
    FollowerFixture fixture(1);
    ScriptedRelay& relay = fixture.followed_relay();
    relay.publish({{"two_phase.part", ""}});
    fixture.until([&] { return relay.last_report_is(1); });
    relay.publish({{"two_phase.part", "audit = 1"}, {"calls", "parts = 2"}, {"log", "level = \"loud\""}});
    fixture.until([&] { return relay.last_report_is(1, 2); });
    CHECK(relay.calls.back().position.known_version == 2);
    CHECK(relay.calls.back().report.refusal_reason.find(
              "block calls holds at the start only; log:1:9: 'level' is \"loud\"; expected one of") == 0);
    fixture.run_query(fixture.new_query());
    // No part of the rejected document was applied.
    CHECK(fixture.run_query(fixture.new_query()).pruned.sections > 0);
    CHECK(fixture.counts().queries == 2);
    CHECK(fixture.is_ready());
    SECTION("a further version with the old content is applied") {
        relay.publish(relay.documents[1]);
        fixture.until([&] { return relay.last_report_is(3); });
        CHECK(relay.calls.back().report.refusal_reason.empty());
    }
    SECTION("another invalid version is rejected too") {
        relay.publish({{"sharding", ""}});
        fixture.until([&] { return relay.last_report_is(1, 3); });
        CHECK(relay.calls.back().report.refusal_reason == "sharding:1:1: block 'sharding' is not known here");
    }
}

TEST_CASE("a delta with a wrong digest changes nothing, and the document is requested in pages") {
    FollowerFixture fixture(1);
    ScriptedRelay& relay = fixture.followed_relay();
    relay.publish({{"log", "level = \"info\""}});
    fixture.until([&] { return relay.last_report_is(1); });
    relay.corrupts_deltas = true;
    SECTION("pages with the right digest are applied") {
        relay.publish({{"log", "level = \"debug\""}, {"two_phase.part", "audit = 1"}});
        fixture.until([&] { return relay.last_report_is(2); });
        std::vector<std::string> after;
        for (const FollowerCall& call : relay.calls)
            if (call.position.wants_pages) after.push_back(call.position.after);
        CHECK(after == std::vector<std::string>{"", "log"});
        fixture.run_query(fixture.new_query());
        CHECK(fixture.counts().queries == 1);
    }
    SECTION("pages with a wrong digest are not requested again at once") {
        relay.corrupts_pages = true;
        relay.publish({{"two_phase.part", "audit = 1"}});
        fixture.until([&] { return relay.calls.back().position.wants_pages; });
        const std::size_t before = relay.calls.size();
        fixture.run_for(std::chrono::milliseconds(1000));
        CHECK(relay.calls.size() - before <= 6);
        CHECK(fixture.follower().applied_version() == 1);
        CHECK(fixture.follower().refused_version() == 0);
        relay.corrupts_pages = false;
        fixture.until([&] { return relay.last_report_is(2); });
    }
}

TEST_CASE("after its relay disconnects the router follows the next, and never applies an older version") {
    FollowerFixture fixture(2);
    ScriptedRelay& first = fixture.followed_relay();
    ScriptedRelay& other = &first == fixture.relays[0].get() ? *fixture.relays[1] : *fixture.relays[0];
    other.documents = {{}, {{"log", "level = \"debug\""}}};
    const std::uint64_t incarnation = first.calls[0].report.incarnation;
    for (const char* level : {"warn", "error", "info"})
        first.publish({{"log", std::string("level = \"") + level + "\""}});
    fixture.until([&] { return first.last_report_is(3); });
    first.disconnect();
    fixture.until([&] { return other.calls.size() >= 3; });
    for (const FollowerCall& call : other.calls) {
        CHECK(call.report.incarnation == incarnation);
        CHECK(call.report.applied_version == 3);
        CHECK(call.position.known_version == 3);
    }
    CHECK(fixture.is_ready());
    other.documents = first.documents;
    other.publish({{"two_phase.part", ""}});
    fixture.until([&] { return other.last_report_is(4); });
}

TEST_CASE("a relay that grants no lease is left once the router's own lease has expired") {
    FollowerFixture fixture(2);
    ScriptedRelay& first = fixture.followed_relay();
    ScriptedRelay& other = &first == fixture.relays[0].get() ? *fixture.relays[1] : *fixture.relays[0];
    first.lease = 300 * ms;
    first.publish({{"log", ""}});
    fixture.until([&] { return first.last_report_is(1); });
    other.documents = first.documents;
    first.lease = 0;
    fixture.until([&] { return !other.calls.empty(); });
    CHECK(other.calls[0].report.applied_version == 1);
    const std::size_t before = first.calls.size();
    fixture.until([&] { return other.calls.size() >= 3; });
    CHECK(first.calls.size() == before);
    CHECK(fixture.is_ready());
}

TEST_CASE("a router is not ready before it applies the relays' first answer, or the startup wait ends") {
    FollowerFixture fixture(1, fleet_text(), "", "config_first_word = \"1500ms\"", "5.0", false);
    ScriptedRelay& relay = *fixture.relays[0];
    const std::string relay_behaviour =
        GENERATE("answers", "is silent", "has no lease", "sends a wrong digest");
    relay.publish({{"two_phase.part", ""}});
    relay.silent = true;
    fixture.start();
    const auto began = std::chrono::steady_clock::now();
    fixture.until([&] { return fixture.service->dispatcher().begun() && !relay.calls.empty(); });
    CHECK_FALSE(fixture.is_ready());
    CHECK(fixture.run_query(fixture.new_query()).status == 200);  // queries that arrive are served
    if (relay_behaviour == "has no lease") relay.lease = 0;
    relay.corrupts_deltas = relay_behaviour == "sends a wrong digest";
    if (relay_behaviour != "is silent") relay.answer(relay.calls[0], *relay.listener->peers[0]);
    if (relay_behaviour == "sends a wrong digest")
        fixture.until([&] { return relay.calls.size() > 1; });  // requests for pages are not answered
    const std::uint64_t version = relay_behaviour == "answers" || relay_behaviour == "has no lease" ? 1 : 0;
    fixture.until([&] { return fixture.follower().applied_version() == version; });
    if (relay_behaviour == "answers") {
        fixture.until([&] { return fixture.is_ready(); });
    } else {
        CHECK_FALSE(fixture.is_ready());
        fixture.until([&] { return fixture.is_ready(); });
        CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(1400));
    }
    CHECK(fixture.follower().applied_version() == version);
}

TEST_CASE("a router that stops reports that it leaves, and does not wait for a silent relay") {
    const bool silent = GENERATE(false, true);
    FollowerFixture fixture(1);
    ScriptedRelay& relay = fixture.followed_relay();
    relay.publish({{"log", ""}});
    fixture.until([&] { return relay.last_report_is(1); });
    fixture.client->disconnect();
    relay.silent = silent;
    const auto began = std::chrono::steady_clock::now();
    std::raise(SIGTERM);
    while (fixture.service->turn())
        REQUIRE(std::chrono::steady_clock::now() - began < std::chrono::seconds(20));
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1500));
    CHECK(relay.calls.back().leaving);
    CHECK(relay.calls.back().report.applied_version == 1);
}

TEST_CASE("a router superseded at the start takes a later incarnation; one superseded later is fenced") {
    const bool at_start = GENERATE(true, false);
    FollowerFixture fixture(1, fleet_text(), "", "", "5.0", false);
    ScriptedRelay& relay = *fixture.relays[0];
    relay.silent = at_start;
    fixture.start();
    fixture.until([&] { return at_start ? !relay.calls.empty() : !relay.pending.empty(); });
    const std::uint64_t incarnation = relay.calls[0].report.incarnation;
    const std::string body = R"({"life":9000000000000000000})";
    relay.silent = false;
    relay.listener->peers[0]->send("HTTP/1.1 409 Conflict\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body);
    if (at_start) {
        fixture.until([&] { return relay.calls.back().report.incarnation == 9000000000000000001; });
        fixture.until([&] { return fixture.is_ready(); });
    } else {
        fixture.until([&] { return !fixture.is_ready(); });
        CHECK(relay.calls.back().report.incarnation == incarnation);
        CHECK(fixture.run_query(fixture.new_query()).status == 503);
    }
}

TEST_CASE("without relays there is no further descriptor or thread; with relays there is one connection") {
    // Numbers of open descriptors and of threads.
    struct OpenResources {
        std::size_t descriptors, threads;
    };
    // 0: no operators' file, 1: a file without relays, 2: a file with a relay.
    std::vector<OpenResources> opened;
    for (const int setup : {0, 1, 2}) {
        const OpenResources before{entry_count("/proc/self/fd"), entry_count("/proc/self/task")};
        FollowerFixture fixture(setup == 2 ? 1 : 0, fleet_text(),
                                setup == 1 ? "log { level = \"info\" }" : "");
        fixture.run_query(fixture.new_query());
        fixture.run_query(fixture.new_query());
        if (setup == 2) fixture.until([&] { return !fixture.relays[0]->pending.empty(); });
        CHECK((fixture.service->follower() == nullptr) == (setup < 2));
        opened.push_back({entry_count("/proc/self/fd") - before.descriptors,
                          entry_count("/proc/self/task") - before.threads});
        if (setup < 2) continue;
        // Subtract the relay's own descriptors: its listening socket and its end of the connection.
        CHECK(fixture.relays[0]->listener->peers.size() == 1);
        opened.back().descriptors -= 2;
    }
    CHECK(opened[1].descriptors == opened[0].descriptors);
    CHECK(opened[2].descriptors == opened[0].descriptors + 1);
    for (const OpenResources& resources : opened) CHECK(resources.threads == opened[0].threads);
}
