// Two-phase queries through the whole service, against a scripted fleet on loopback. The expected rows come
// from the contents of the test data nodes.
#include <catch2/catch.hpp>
#include <csignal>
#include <set>

#include "helpers.hpp"
#include "phases/term_filter.hpp"
#include "service/service.hpp"
#include "testing/client.hpp"
#include "wire/phase_frames.hpp"

using namespace tealcart;
using namespace tealcart::testing;
using test::ms;

namespace {

std::string fleet_script(int shards, const std::string& fleet_options = "", int nodes = 4,
                         const std::string& node_options = "") {
    std::string text = "fleet {\n shards = " + std::to_string(shards) + "\n places = 4\n width = 2\n" +
                       fleet_options + "}\n";
    for (int node = 0; node < nodes; ++node)
        text += "node \"n" + std::to_string(node) + "\" {\n place = " + std::to_string(node % 4) + "\n" +
                node_options + "}\n";
    return text;
}

// A service, the scripted fleet of its data nodes, and one client.
struct ServiceFixture {
    boost::asio::io_context io{1};
    Fleet fleet;
    std::unique_ptr<Service> service;
    std::vector<ClientResponse> answers;
    std::unique_ptr<Client> client;
    int query_count = 0;

    // `objective_ms` is the latency objective of query class "part".
    explicit ServiceFixture(const std::string& script, const std::string& operators = "two_phase \"part\" {}",
                            bool may_cancel = true, int objective_ms = 400)
        : fleet(io, read_script(script, "script")) {
        service = std::make_unique<Service>(io, [this, operators, may_cancel, objective_ms] {
            const std::string shards = std::to_string(fleet.script().shards);
            const std::string settings =
                R"({"extra":{"places":4,"ranges":)" + shards +
                R"(,"width":2,"floor_by_class":[0.4,1.0],"complete_from":[1.0,1.0],"parts_a_call":8},)"
                R"("limits":{"send_cap":3,"connect_timeout":250.0,"idle_close":30000.0,"streams_per_conn":100,)"
                R"("most_held":4000,"may_cancel":)" +
                (may_cancel ? "true" : "false") +
                R"(,"second_copies":false,"retry_after":true,"max_retry_after":500.0},)"
                R"("safety":{"drain_grace":500.0,"cold_from":0.2,"cold":2000.0,"tip_multiple":3.0,"fall":500.0},"step":5.0,)"
                R"("services":[{"name":"part","promise":)" +
                std::to_string(objective_ms) +
                R"(,"deadline":3000.0,"semantics":"repeatable","late_worth":0.5},)"
                R"({"name":"keyed","promise":400.0,"deadline":3000.0,"repeat_window":3000.0,"semantics":"by_key"}]})";
            StartupConfig config = read_startup_config(
                R"({"name":"r","listen":"127.0.0.1:1","discovery":")" + fleet.discovery.address() +
                R"(","seed":"00ff","limits":{"sockets":256},"known":{"generation":1,"reset":true,"instances":[)" +
                fleet.entries() + "]},\"settings\":" + settings + "}");
            config.listen.port = 0;
            apply_operator_config(config, read_operator_config(operators, "operators"));
            return config;
        });
        connect();
    }
    void connect() {
        client = std::make_unique<Client>(
            io, service->port(), [this](ClientResponse response) { answers.push_back(std::move(response)); });
    }
    template <typename Condition>
    void run_until(Condition condition) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            service->turn();
        }
    }
    ClientQuery make_query(const std::string& term = "wanted", int rows = 5) {
        ClientQuery query;
        query.query_class = "part";
        query.id = "q" + std::to_string(++query_count);
        query.deadline_ms = 3000;
        query.criteria.terms = {term};
        query.criteria.rows = rows;
        for (std::uint32_t shard = 0; shard < fleet.script().shards; ++shard) query.shards.push_back(shard);
        return query;
    }
    // Sends a query and returns its response.
    ClientResponse send_and_wait(const ClientQuery& query) {
        const std::size_t before = answers.size();
        client->send(query);
        run_until([&] { return answers.size() > before; });
        return answers.back();
    }
    // The rows that a full scan of all sections but these returns.
    std::vector<RankedRow> full_scan(const SearchCriteria& criteria,
                                     const std::vector<std::uint32_t>& excluded = {}) {
        std::vector<std::uint32_t> shards;
        for (std::uint32_t shard = 0; shard < fleet.script().shards; ++shard)
            if (std::find(excluded.begin(), excluded.end(), shard) == excluded.end()) shards.push_back(shard);
        return expected_rows(fleet.script().sections, shards, criteria);
    }
    void check_response(const ClientQuery& query, const ClientResponse& response) {
        REQUIRE(response.status == 200);
        CHECK(response.rows(query.criteria.rows) == full_scan(query.criteria, response.missing_shards));
        CHECK(response.complete == response.missing_shards.empty());
        CHECK(response.answered.sections + response.pruned.sections + response.missing.sections ==
              query.shards.size());
        CHECK(std::abs(response.answered.weight + response.pruned.weight + response.missing.weight - 1) <
              1e-6);
    }
    const TwoPhaseCounters& counts() const { return service->dispatcher().two_phase_counters(); }
};

}  // namespace

TEST_CASE("a two-phase query fetches rows only from sections that may have some, and loses none") {
    const double matching = GENERATE(0.1, 0.5, 1.0);
    ServiceFixture fixture(
        fleet_script(40, "rows = 20\nmatching = " + std::to_string(matching) + "\ntop = 0.1\nseed = 3\n"));
    const ClientQuery query = fixture.make_query();
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.complete);
    CHECK(response.pruned.sections >= 36);
    CHECK(fixture.fleet.work().summaries == 40);
    CHECK(fixture.fleet.work().rows == response.answered.sections);
    CHECK(fixture.fleet.work().calls == 0);
    CHECK(fixture.counts().within_budget == 1);
}

TEST_CASE("a query without search criteria, with too many rows or of another query class has one phase") {
    ServiceFixture fixture(fleet_script(4, "rows = 5\n"), "two_phase \"part\" { most_rows = 8 }");
    ClientQuery plain = fixture.make_query();
    plain.two_phase = false;
    CHECK(fixture.send_and_wait(plain).complete);
    CHECK(fixture.send_and_wait(fixture.make_query("wanted", 9)).complete);
    ClientQuery keyed = fixture.make_query();
    keyed.query_class = "keyed", keyed.key = "k";
    CHECK(fixture.send_and_wait(keyed).complete);
    CHECK(fixture.fleet.work().summaries + fixture.fleet.work().rows == 0);
    CHECK(fixture.fleet.work().calls == 12);
}

TEST_CASE("a query with malformed search criteria is refused before any shard request is sent") {
    ServiceFixture fixture(fleet_script(4, "rows = 5\n"));
    ClientQuery query = fixture.make_query();
    query.criteria.rows = 0;
    CHECK(fixture.send_and_wait(query).status == 400);
    query = fixture.make_query(std::string(300, 't'));
    CHECK(fixture.send_and_wait(query).status == 400);
    query = fixture.make_query("line\nbreak");
    CHECK(fixture.send_and_wait(query).status == 400);
    query = fixture.make_query();
    query.criteria.ranges = {{"", 0, 1}};
    CHECK(fixture.send_and_wait(query).status == 400);
    CHECK(fixture.fleet.work().lookups == 0);
    CHECK(fixture.send_and_wait(fixture.make_query()).status == 200);
}

TEST_CASE("with every section pruned the response is complete and has no rows") {
    ServiceFixture fixture(fleet_script(12, "rows = 5\n"));
    const ClientQuery query = fixture.make_query("nowhere");
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.values.empty());
    CHECK(response.complete);
    CHECK(response.pruned.sections == 12);
    CHECK(fixture.fleet.work().rows == 0);
}

TEST_CASE("a query whose only section that was not pruned is silent is rejected before its deadline") {
    ServiceFixture fixture(fleet_script(12, "rows = 5\n", 4, "silent_on = [\"7\"]\n"));
    const ClientQuery query = fixture.make_query("nowhere");
    const auto began = std::chrono::steady_clock::now();
    const ClientResponse response = fixture.send_and_wait(query);
    // No remaining section has answered in time: the query is rejected, since repeating it is harmless.
    CHECK(response.status == 503);
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(3000));
}

TEST_CASE("sections without a summary are queried for rows, and those that never answer are missing") {
    ServiceFixture fixture(fleet_script(
        200, "rows = 6\nmatching = 0.3\ntop = 0.1\n", 4,
        "silent_on = [\"0\",\"9\",\"18\",\"27\",\"36\",\"45\",\"54\",\"63\",\"72\",\"81\",\"90\"]\n"));
    const ClientQuery query = fixture.make_query("wanted", 100);
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK_FALSE(response.complete);
    CHECK(response.missing_shards == std::vector<std::uint32_t>{0, 9, 18, 27, 36, 45, 54, 63, 72, 81, 90});
    CHECK(response.missing.weight == Approx(11 / 200.0));
}

TEST_CASE("a first phase without answers ends at its time limit, and the second queries all sections") {
    ServiceFixture fixture(fleet_script(8, "rows = 6\n", 4, "silent_words = true\n"),
                           "two_phase \"part\" {\n share = 0.2\n least = \"10ms\"\n}");
    const ClientQuery query = fixture.make_query();
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.complete);
    CHECK(response.answered.sections == 8);
    CHECK(fixture.counts().first_phases == 1);
    CHECK(fixture.counts().worst_overrun <= 5 * ms);
    CHECK(fixture.fleet.work().cancellations >= 8);
}

TEST_CASE("the first phase is skipped if its minimum does not fit into the time") {
    ServiceFixture fixture(fleet_script(8, "rows = 6\n"), "two_phase \"part\" { least = \"250ms\" }");
    const ClientQuery query = fixture.make_query();
    fixture.check_response(query, fixture.send_and_wait(query));
    CHECK(fixture.fleet.work().summaries == 0);
    CHECK(fixture.counts().first_phases == 0);
}

TEST_CASE("a node that refuses two phases is queried in one phase until its entry changes") {
    const std::string refusal = GENERATE("words", "close");
    ServiceFixture fixture(fleet_script(16, "rows = 8\nmatching = 0.5\ntop = 0.2\n"));
    fixture.fleet.behaviour(0).refusal = fixture.fleet.behaviour(1).refusal =
        refusal == "words" ? Refusal::error_frame : Refusal::close;
    ClientQuery query = fixture.make_query();
    fixture.check_response(query, fixture.send_and_wait(query));
    const auto& capability = fixture.service->dispatcher().two_phase_capability();
    const auto one_phase = [&] {
        int count = 0;
        for (std::uint32_t node = 0; node < 4; ++node) count += capability.is_one_phase(node);
        return count;
    };
    for (int i = 0; i < 6; ++i) {
        query = fixture.make_query();
        const ClientResponse response = fixture.send_and_wait(query);
        fixture.check_response(query, response);
        CHECK(response.complete);
    }
    CHECK(one_phase() == 2);
    // Shards whose replicas are both one-phase are queried for rows without a summary.
    const auto calls = fixture.fleet.nodes[0].work.calls + fixture.fleet.nodes[1].work.calls;
    CHECK(calls > 0);
    const std::uint64_t summaries = fixture.fleet.work().summaries;
    query = fixture.make_query();
    fixture.check_response(query, fixture.send_and_wait(query));
    CHECK(fixture.fleet.work().summaries - summaries == 12);
    // A restart changes the nodes' entries.
    fixture.fleet.behaviour(0).refusal = fixture.fleet.behaviour(1).refusal = Refusal::none;
    fixture.fleet.behaviour(0).started_at_ms = fixture.fleet.behaviour(1).started_at_ms = 1000;
    fixture.fleet.publish();
    fixture.run_until([&] { return one_phase() == 0; });
}

TEST_CASE("a node that refuses two phases loses no other attempt that is in flight on it") {
    ServiceFixture fixture(
        fleet_script(8, "rows = 4\n", 4, "call_delay = \"40ms\"\nrefuses_phases = \"close\"\n"));
    ClientQuery keyed = fixture.make_query();
    keyed.query_class = "keyed", keyed.key = "k";
    fixture.client->send(keyed);
    fixture.run_until([&] { return fixture.fleet.work().calls == 8; });
    std::vector<ClientResponse> other;
    Client second(fixture.io, fixture.service->port(),
                  [&](ClientResponse response) { other.push_back(std::move(response)); });
    const ClientQuery query = fixture.make_query();
    second.send(query);
    fixture.run_until([&] { return fixture.answers.size() == 1 && other.size() == 1; });
    CHECK(fixture.answers[0].complete);
    fixture.check_response(query, other[0]);
    CHECK(fixture.fleet.work().calls == 16);  // no attempt was repeated
}

TEST_CASE(
    "a wrong bound is counted, its node distrusted for a while, and the sections it pruned are queried after "
    "all") {
    ServiceFixture fixture(fleet_script(16, "rows = 8\ntop = 0.5\n", 4),
                           "two_phase \"part\" {}\nsection_memory { distrust = \"60s\" }");
    fixture.fleet.behaviour(2).bound_error = 9000;
    const ClientQuery query = fixture.make_query("wanted", 3);
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.complete);
    CHECK(fixture.counts().wrong_summaries >= 1);
    CHECK(fixture.counts().rechecked == 1);
    const ClientQuery next = fixture.make_query("wanted", 3);
    fixture.check_response(next, fixture.send_and_wait(next));
    CHECK(fixture.counts().rechecked == 1);  // its summaries were not used
}

TEST_CASE("an audit detects a node whose summary hides its rows") {
    ServiceFixture fixture(fleet_script(16, "rows = 8\n"), "two_phase \"part\" { audit = 1 }");
    fixture.fleet.behaviour(1).hides_rows = true;
    const ClientQuery query = fixture.make_query();
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.complete);
    CHECK(fixture.counts().wrong_summaries >= 1);
}

TEST_CASE("rows of an older version than the summary are discarded, and another replica is queried") {
    ServiceFixture fixture(fleet_script(8, "rows = 8\n"));
    fixture.fleet.behaviour(0).versions_behind = 1;
    const ClientQuery query = fixture.make_query();
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.complete);
    CHECK(fixture.counts().stale_rows >= 1);
}

TEST_CASE("after a version change between the phases, sections pruned against vanished rows are queried") {
    ServiceFixture fixture(fleet_script(8, "rows = 8\ntop = 0.25\n"));
    bool changed = false;
    for (DataNode& node : fixture.fleet.nodes)
        node.on_request = [&](char frame_type, std::uint32_t) {
            if (frame_type != rows_request_frame || std::exchange(changed, true)) return;
            for (std::uint32_t shard = 0; shard < 8; ++shard)
                if (!fixture.fleet.script().sections[shard].rows.empty() &&
                    fixture.fleet.script().sections[shard].rows[0].rank >= 1000)
                    fixture.fleet.apply({0, "", {}, {shard}, -5000});
        };
    const ClientQuery query = fixture.make_query();
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.complete);
    CHECK(fixture.counts().rechecked == 1);
}

TEST_CASE("after a client disconnects between the phases, no rows are requested") {
    ServiceFixture fixture(fleet_script(8, "rows = 8\n", 4, "word_delay = \"20ms\"\n"));
    fixture.client->send(fixture.make_query());
    fixture.run_until([&] { return fixture.fleet.work().summaries == 8; });
    fixture.client->disconnect();
    fixture.run_until([&] { return fixture.service->dispatcher().unfinished_count() == 0; });
    fixture.connect();
    ClientQuery keyed = fixture.make_query();
    keyed.query_class = "keyed", keyed.key = "k";
    CHECK(fixture.send_and_wait(keyed).complete);
    CHECK(fixture.fleet.work().rows == 0);
    fixture.run_until([&] { return fixture.service->dispatcher().attempts_in_flight() == 0; });
}

TEST_CASE("a query completes if a replica drains or crashes after the first phase") {
    const bool crashes = GENERATE(false, true);
    ServiceFixture fixture(fleet_script(12, "rows = 8\n"));
    bool done = false;
    std::set<char> after;
    for (std::size_t node = 0; node < 4; ++node)
        fixture.fleet.nodes[node].on_request = [&, node](char frame_type, std::uint32_t) {
            if (frame_type == rows_request_frame && node == 1 && done && !crashes) after.insert(frame_type);
        };
    fixture.client->send(fixture.make_query());
    fixture.run_until([&] { return fixture.fleet.work().summaries == 12; });
    if (crashes) {
        fixture.fleet.nodes[1].crash();
        fixture.fleet.behaviour(1).lifecycle = "removed";
    } else {
        fixture.fleet.behaviour(1).lifecycle = "draining";
    }
    fixture.fleet.publish();
    done = true;
    fixture.run_until([&] { return !fixture.answers.empty(); });
    ClientQuery query = fixture.make_query();
    fixture.check_response(query, fixture.answers[0]);
    CHECK(fixture.answers[0].complete);
    query = fixture.make_query();
    const std::uint64_t before = fixture.fleet.nodes[1].work.summaries + fixture.fleet.nodes[1].work.rows;
    fixture.check_response(query, fixture.send_and_wait(query));
    CHECK(fixture.fleet.nodes[1].work.summaries + fixture.fleet.nodes[1].work.rows == before);
}

TEST_CASE("on SIGTERM between the phases the query is answered before the service stops") {
    ServiceFixture fixture(fleet_script(8, "rows = 8\n"));
    fixture.client->send(fixture.make_query());
    fixture.run_until([&] { return fixture.fleet.work().summaries == 8; });
    std::raise(SIGTERM);
    fixture.run_until([&] { return !fixture.answers.empty(); });
    CHECK(fixture.answers[0].complete);
    fixture.client->disconnect();
    while (fixture.service->turn()) {
    }
}

TEST_CASE("malformed summaries prune no section") {
    // All four nodes may be ejected at once for 250 ms. The second phase is admitted only if that fits into
    // 0.65 of the remaining time, which it does not always do with an objective of 400 ms.
    ServiceFixture fixture(fleet_script(8, "rows = 8\n", 4, "garbles_words = true\n"),
                           "two_phase \"part\" {}", true, 800);
    const ClientQuery query = fixture.make_query();
    const ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.pruned.sections == 0);
}

TEST_CASE("filters are cached for their lease and dropped when a newer version is seen") {
    ServiceFixture fixture(fleet_script(16, "rows = 8\n", 4, "lease = \"10s\"\n"));
    ClientQuery query = fixture.make_query("nowhere-1");
    fixture.check_response(query, fixture.send_and_wait(query));
    CHECK(fixture.fleet.work().summaries == 16);
    query = fixture.make_query("nowhere-2");
    ClientResponse response = fixture.send_and_wait(query);
    fixture.check_response(query, response);
    CHECK(response.complete);
    CHECK(fixture.fleet.work().summaries < 18);  // two are allowed for false positives of the filters
    CHECK(fixture.counts().pruned_from_memory >= 14);
    // A query that reads a section sees its newer version.
    const std::uint64_t summaries = fixture.fleet.work().summaries;
    fixture.fleet.apply({0, "", {}, {3}, 0});
    query = fixture.make_query("common");
    fixture.check_response(query, fixture.send_and_wait(query));
    query = fixture.make_query("nowhere-3");
    fixture.check_response(query, fixture.send_and_wait(query));
    CHECK(fixture.fleet.work().summaries - summaries >= 16);
    CHECK(fixture.service->dispatcher().section_filter_cache().bytes() <=
          SectionFilterCacheConfig().max_bytes);
}

TEST_CASE("the limit on attempts for a section covers both phases together") {
    ServiceFixture fixture(fleet_script(4, "rows = 8\n", 12, "errs = true\n"));
    std::map<std::uint32_t, int> attempts;
    for (DataNode& node : fixture.fleet.nodes)
        node.on_request = [&](char, std::uint32_t shard) { ++attempts[shard]; };
    const ClientQuery query = fixture.make_query();
    CHECK(fixture.send_and_wait(query).status == 503);
    for (const auto& [shard, count] : attempts) CHECK(count <= 3);
    CHECK(attempts.size() == 4);
}

TEST_CASE("two-phase queries to a cold fleet get correct responses or rejections") {
    ServiceFixture fixture(fleet_script(16, "rows = 8\nmatching = 0.5\n"));
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    for (std::size_t node = 0; node < 4; ++node)
        fixture.fleet.behaviour(node).started_at_ms = static_cast<std::uint64_t>(now);
    fixture.fleet.publish();
    fixture.run_until([&] { return fixture.service->dispatcher().nodes().ready() == 4; });
    for (int i = 0; i < 5; ++i) {
        const ClientQuery query = fixture.make_query();
        const ClientResponse response = fixture.send_and_wait(query);
        CHECK((response.status == 200 || response.status == 503));
        if (response.status == 200) fixture.check_response(query, response);
    }
}

TEST_CASE("late summaries of an ended leg are ignored if attempts can't be cancelled") {
    ServiceFixture fixture(fleet_script(8, "rows = 8\n", 4, "word_delay = \"150ms\"\n"),
                           "two_phase \"part\" { share = 0.2 }", false);
    for (int i = 0; i < 3; ++i) {
        const ClientQuery query = fixture.make_query();
        const ClientResponse response = fixture.send_and_wait(query);
        fixture.check_response(query, response);
        CHECK(response.complete);
    }
    fixture.run_until([&] { return fixture.service->dispatcher().attempts_in_flight() == 0; });
    CHECK(fixture.service->dispatcher().unfinished_count() == 0);
}

TEST_CASE("two-phase frames are parsed as written, and truncated or altered ones are detected") {
    const PhaseRequestId id{"q.1", 12, 2};
    const SearchCriteria find{{"a b", "c"}, {{"expiry", -1.5, 3}}, 4};
    REQUIRE(read_search_criteria(write_search_criteria(find)));
    CHECK(read_search_criteria(write_search_criteria(find))->terms == find.terms);
    CHECK(read_search_criteria(write_search_criteria(find))->ranges[0].from == -1.5);
    std::string line;
    write_phase_request_line(line, {id, 30, 4, true, 5, 6});
    const auto read = read_phase_request_line(std::string_view(line).substr(0, line.size() - 1));
    REQUIRE(read);
    CHECK((read->id == id && read->wait_ms == 30 && read->rows == 4 && read->wants_filter &&
           read->criteria_size == 6));

    SectionSummary summary{7, false, 9.5, {9, 8.25}, 40 * ms, true, {make_filter(3, 8), {{"e", 1, 2}}}};
    std::string bytes;
    write_summary_frame(bytes, id, summary);
    std::string rows;
    write_rows_frame(rows, id, 7, {3, 3, 1}, "value");
    const std::string_view body = std::string_view(bytes).substr(5),
                           row_body = std::string_view(rows).substr(5);
    const auto answer = read_phase_answer(summary_frame, body);
    REQUIRE((answer && answer->outcome == Outcome::ok));
    CHECK((answer->id == id && answer->summary.max_rank == 9.5 &&
           answer->summary.top_ranks == summary.top_ranks));
    CHECK((answer->summary.lease == summary.lease && answer->summary.filter.terms == summary.filter.terms));
    CHECK(read_phase_answer(rows_frame, row_body)->value == "value");
    for (const auto& [frame_type, whole] : {std::pair(summary_frame, body), std::pair(rows_frame, row_body)})
        for (std::size_t i = 0; i < whole.size(); ++i) {
            const auto cut = read_phase_answer(frame_type, whole.substr(0, i));
            if (frame_type == summary_frame && cut) CHECK(cut->malformed);
            for (const char c : {'\0', '9', '\n', ' ', '\xff', ','}) {
                std::string changed(whole);
                changed[i] = c;
                const auto read_back = read_phase_answer(frame_type, changed);
                if (read_back && read_back->outcome == Outcome::ok && !read_back->summary.top_ranks.empty())
                    CHECK(read_back->summary.top_ranks.front() <= read_back->summary.max_rank);
            }
        }
}
