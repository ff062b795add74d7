// Tests the query dispatcher with a simulated clock and fakes for clients and data nodes. A simple model of
// the queries, attempts and answers checks it on generated events.
#include "service/query_dispatcher.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "helpers.hpp"

using namespace tealcart;
using tealcart::test::ms;

namespace {

// A query as its client knows it.
struct ClientQuery {
    std::string id;
    bool has_key = false;
    Nanos deadline_at = 0;
    std::set<std::uint32_t> shards;
    int answers = 0;
    bool disconnected = false;
    int may_have_run = 0;  // number of attempts
    // Values that data nodes answered with, by shard.
    std::map<std::uint32_t, std::set<std::string>> values_by_shard;
};

struct SentAttempt {
    AttemptMessage message;
    Handle connection;
    std::uint32_t node = 0;
    bool written = false;
};

// Acts as the clients and the data nodes of the dispatcher, and checks the model at every call.
class FakeEndpoints final : public ResponseWriter, public AttemptSender {
  public:
    std::map<std::uint32_t, ClientQuery> queries;  // by the client's slot
    std::vector<SentAttempt> sent;
    std::vector<Response> answers;
    std::set<std::uint32_t> leaving_nodes;
    Nanos now = 1'000'000 * ms;
    std::uint32_t connections = 0, withdrawn = 0;
    bool out_of_connections = false;

    void answer(Handle client, Response response) override {
        answers.push_back(response);
        const auto it = queries.find(client.slot);
        if (it == queries.end()) return;  // a request that the model does not track
        ClientQuery& q = it->second;
        REQUIRE(++q.answers == 1);
        REQUIRE_FALSE(q.disconnected);
        REQUIRE(now <= q.deadline_at);
        if (response.status == 503) REQUIRE_FALSE((q.has_key && q.may_have_run > 0));
        if (response.status != 200) return;
        // A response has only values that a data node gave for the same shard request. It has all of them if
        // it is marked complete.
        std::set<std::uint32_t> shards;
        for (std::size_t at = 0; (at = response.body.find("{\"segment\":", at)) != std::string::npos;) {
            const auto shard = static_cast<std::uint32_t>(std::stoi(response.body.substr(at + 11)));
            const std::size_t begin = response.body.find("payload\":\"", at) + 10;
            REQUIRE(q.values_by_shard[shard].contains(
                response.body.substr(begin, response.body.find('"', begin) - begin)));
            REQUIRE(shards.insert(shard).second);
            at = begin;
        }
        if (response.body.find("\"all_in\":true") != std::string::npos) REQUIRE(shards == q.shards);
        if (q.has_key) REQUIRE(shards == q.shards);
    }
    Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> messages,
                std::span<const Handle> avoid) override {
        REQUIRE(address == "10.0.0." + std::to_string(node + 1) + ":1");
        REQUIRE_FALSE(leaving_nodes.contains(node));
        if (out_of_connections) return {};
        // One connection for each node, and a new one if that is to be avoided.
        Handle connection{node, 1};
        while (std::find(avoid.begin(), avoid.end(), connection) != avoid.end()) ++connection.generation;
        for (const AttemptMessage& message : messages) {
            ClientQuery& q = of(message);
            REQUIRE(q.answers == 0);  // no attempt is sent after the response
            REQUIRE_FALSE(q.disconnected);
            REQUIRE(q.shards.contains(message.shard));
            REQUIRE(message.deadline <= q.deadline_at);
            for (const SentAttempt& attempt : sent)
                REQUIRE_FALSE((attempt.connection == connection && attempt.message.query->id == q.id &&
                               attempt.message.shard == message.shard));
            sent.push_back({message, connection, node, false});
        }
        return connection;
    }
    bool withdraw(Handle connection, Handle call) override {
        const bool found = std::erase_if(sent, [&](const SentAttempt& attempt) {
                               return attempt.connection == connection && attempt.message.attempt == call &&
                                      !attempt.written;
                           }) > 0;
        withdrawn += found;
        return found;
    }
    void send_cancel(Handle connection, const QueryText& query, std::uint32_t shard, std::uint8_t) override {
        cancelled.emplace_back(connection, query.id + "." + std::to_string(shard));
    }
    void complete(Handle, Handle call) override {
        std::erase_if(sent, [call](const SentAttempt& attempt) { return attempt.message.attempt == call; });
    }
    void retire(std::uint32_t, bool) override {}

    ClientQuery& of(const AttemptMessage& message) {
        for (auto& [slot, q] : queries)
            if (q.id == message.query->id) return q;
        FAIL("an attempt of an unknown query was sent");
        return queries.begin()->second;
    }

    std::vector<std::pair<Handle, std::string>> cancelled;
};

StartupConfig small_startup_config() {
    StartupConfig startup;
    startup.config = read_router_config(test::settings_text);
    startup.connection_config = read_connection_config(test::settings_text);
    startup.two_phase_configs.resize(startup.connection_config.query_classes.size());
    startup.seed = 7;
    return startup;
}

struct Rig {
    FakeEndpoints model;
    EventClock time{model.now};
    QueryDispatcher dispatcher{time, small_startup_config()};
    std::uint32_t clients = 0;

    Rig() {
        dispatcher.connect(model, model);
        dispatcher.begin();
        apply_list(0, {Lifecycle::ready, Lifecycle::ready, Lifecycle::ready, Lifecycle::ready});
    }
    // Applies a list of nodes 0 to 3, two at each place.
    void apply_list(std::uint64_t generation, const std::vector<Lifecycle>& states) {
        EndpointList list{generation, generation == 0, {}, 0};
        for (std::uint32_t n = 0; n < states.size(); ++n)
            list.nodes.push_back({"s" + std::to_string(n), "10.0.0." + std::to_string(n + 1) + ":1", "z", "k",
                                  n % 2, states[n], 0});
        dispatcher.on_endpoint_list(list);
        for (std::uint32_t n = 0; n < states.size(); ++n)
            states[n] == Lifecycle::ready ? void(model.leaving_nodes.erase(n))
                                          : void(model.leaving_nodes.insert(n));
    }
    std::uint32_t send_query(bool has_key, std::uint32_t shard_requests, int deadline = 900,
                             std::string body = "") {
        const Handle client{++clients, 1};
        Request request{"POST",
                        has_key ? "/keyed" : "/part",
                        "q" + std::to_string(clients),
                        std::to_string(deadline),
                        has_key ? "key" : "",
                        false,
                        true,
                        std::move(body)};
        ClientQuery q{request.id, has_key, model.now + deadline * ms, {}, 0, false, 0, {}};
        if (request.body.empty()) {
            request.body = R"({"text":"x","segments":[)";
            for (std::uint32_t s = 0; s < shard_requests; ++s) {
                request.body +=
                    (s > 0 ? "," : "") + std::string("{\"segment\":") + std::to_string(s) +
                    ",\"boost\":" + std::to_string((1.0 + s) * 2 / (shard_requests * (shard_requests + 1))) +
                    "}";
                q.shards.insert(s);
            }
            request.body += "]}";
        }
        model.queries[client.slot] = q;
        dispatcher.on_request(client, request, model.now);
        return client.slot;
    }
    void disconnect(std::uint32_t client) {
        ClientQuery& q = model.queries[client];
        if (q.answers > 0 || q.disconnected) return;
        q.disconnected = true;
        dispatcher.on_client_disconnected({client, 1});
        for (const SentAttempt& attempt : model.sent)
            REQUIRE((attempt.written || attempt.message.query->id != q.id));
    }
    void answer_from_node(std::size_t at, Outcome outcome) {
        const SentAttempt attempt = model.sent[at];
        ClientQuery& q = model.of(attempt.message);
        const std::string value =
            "v" + std::to_string(attempt.node) + "-" + std::to_string(attempt.message.shard);
        if (outcome == Outcome::ok) q.values_by_shard[attempt.message.shard].insert(value);
        q.may_have_run -= outcome == Outcome::overloaded;  // a rejected attempt has not run
        dispatcher.on_node_answer(attempt.connection,
                                  {attempt.message.query->id, attempt.message.shard, outcome, value});
        dispatcher.on_node_answer(attempt.connection,
                                  {attempt.message.query->id, attempt.message.shard, Outcome::ok,
                                   "twice"});  // a duplicate, which is ignored
    }
    void write(std::size_t at) {
        model.sent[at].written = true;
        ++model.of(model.sent[at].message).may_have_run;
    }
    void step(Nanos span = 5 * ms) {
        model.now += span;
        time.timers.fire_due(model.now);
        if (dispatcher.next_round() <= model.now) dispatcher.run_round();
    }
};

}  // namespace

TEST_CASE("every query gets one correct response in time and every attempt one outcome under random events") {
    std::knuth_b random(GENERATE(range(1U, 31U)));
    Rig rig;
    FakeEndpoints& model = rig.model;
    const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    for (int i = 0; i < 1200; ++i) {
        if (pick(8) == 0)
            rig.send_query(pick(2) == 0, static_cast<std::uint32_t>(1 + pick(4)),
                           static_cast<int>(40 + pick(900)));
        if (pick(60) == 0) rig.disconnect(static_cast<std::uint32_t>(1 + pick(rig.clients + 1)));
        if (pick(100) == 0) {
            std::vector<Lifecycle> states;
            for (int n = 0; n < 4; ++n)
                states.push_back(pick(4) == 0 ? static_cast<Lifecycle>(pick(3)) : Lifecycle::ready);
            rig.apply_list(static_cast<std::uint64_t>(i + 1), states);
        }
        model.out_of_connections = pick(50) == 0;
        for (std::size_t at = 0; at < model.sent.size(); ++at)
            if (pick(3) == 0 && !model.sent[at].written) rig.write(at);
        if (!model.sent.empty() && pick(2) == 0) {
            const std::size_t at = pick(model.sent.size());
            const SentAttempt attempt = model.sent[at];
            if (!attempt.written) {
                rig.dispatcher.on_attempt_lost(attempt.message.attempt, Outcome::connect_failed);
            } else if (pick(10) == 0) {
                rig.dispatcher.on_attempt_lost(attempt.message.attempt, Outcome::reset);
            } else {
                rig.answer_from_node(at, pick(8) == 0   ? Outcome::error
                                         : pick(8) == 0 ? Outcome::overloaded
                                                        : Outcome::ok);
            }
            rig.dispatcher.on_attempt_lost(attempt.message.attempt,
                                           Outcome::reset);  // ignored, since the attempt has ended
        }
        rig.step();
    }
    model.out_of_connections = false;
    for (int i = 0; i < 300; ++i) rig.step();
    for (const auto& [slot, q] : model.queries) REQUIRE(q.answers + q.disconnected >= 1);
    CHECK(model.sent.empty());
    CHECK(rig.dispatcher.attempts_in_flight() == 0);
    CHECK(rig.dispatcher.unfinished_count() == 0);
}

TEST_CASE("an attempt that times out is cancelled if it was written and withdrawn if not") {
    Rig rig;
    rig.send_query(true, 2, 100);
    rig.step();
    REQUIRE(rig.model.sent.size() == 2);
    rig.write(0);
    const AttemptMessage written = rig.model.sent[0].message;
    const Nanos until = written.deadline;
    REQUIRE(until < rig.model.queries[1].deadline_at);
    rig.step(until - rig.model.now - 1);
    CHECK(rig.model.cancelled.empty());
    rig.step(1);
    REQUIRE(rig.model.cancelled.size() == 1);
    CHECK(rig.model.cancelled[0].second == "q1." + std::to_string(written.shard));
    CHECK(rig.model.withdrawn == 1);
    CHECK(rig.model.sent.empty());
    rig.step();
    // One shard request may have run, so the idempotent_with_key query must not be reported as rejected.
    REQUIRE(rig.model.answers.size() == 1);
    CHECK(rig.model.answers[0].status == 504);
}

TEST_CASE("a retry with an idempotency key is written within the idempotency window or not at all") {
    Rig rig;
    rig.send_query(true, 1);
    rig.step();
    CHECK(rig.model.sent.at(0).message.send_by == TimerQueue::never);
    const Nanos first = rig.model.now;
    rig.write(0);
    rig.answer_from_node(0, Outcome::error);
    for (int i = 0; i < 100 && rig.model.sent.empty(); ++i) rig.step();
    REQUIRE(rig.model.sent.size() == 1);
    CHECK(rig.model.sent[0].message.send_by > rig.model.now);
    CHECK(rig.model.sent[0].message.send_by < first + 3000 * ms);  // the idempotency window of the settings
}

TEST_CASE("a malformed request gets its error status and sends no attempt") {
    Rig rig;
    const auto says = [&](Request request) {
        rig.dispatcher.on_request({900, 1}, request, rig.model.now);
        return rig.model.answers.back().status;
    };
    const Request good{"POST", "/keyed/x", "id", "480",
                       "k",    false,      true, R"({"text":"","segments":[{"segment":0,"boost":1}]})"};
    const auto with = [&](auto member, const char* value) {
        Request r = good;
        r.*member = value;
        return says(r);
    };
    CHECK(with(&Request::path, "/none") == 404);
    CHECK(with(&Request::path, "keyed") == 404);
    CHECK(with(&Request::path, "") == 404);
    CHECK(with(&Request::method, "GET") == 405);
    CHECK(with(&Request::id, "") == 400);
    CHECK(with(&Request::id, "a b") == 400);
    CHECK(with(&Request::key, "") == 400);
    CHECK(with(&Request::key, "a,d=9") == 400);  // the comma would start another option in the frame's line
    for (const char* deadline : {"", "0", "-5", "1.5", "9x", "99999999999999999999"})
        CHECK(with(&Request::deadline, deadline) == 400);
    CHECK(with(&Request::body, "{}") == 400);
    CHECK(says({"GET", "/-/ready", "", "", "", false, true, ""}) == 200);
    CHECK(says({"POST", "/-/ready", "", "", "", false, true, ""}) == 405);
    rig.step();
    CHECK(rig.model.sent.empty());
    CHECK(rig.dispatcher.unfinished_count() == 0);
}

TEST_CASE("queries over the limit of queries in progress are rejected and send no attempt") {
    Rig rig;
    for (int i = 0; i < 12; ++i) rig.send_query(false, 4);
    CHECK(rig.dispatcher.unfinished_count() == 40);  // eight queries of five each, the limit of the settings
    REQUIRE(rig.model.answers.size() == 4);
    for (const Response& a : rig.model.answers) CHECK(a.status == 503);
    rig.step();
    for (const SentAttempt& attempt : rig.model.sent)
        CHECK(std::stoi(attempt.message.query->id.substr(1)) <= 8);
    CHECK(rig.model.sent.size() == 32);
}

TEST_CASE("a query whose request id is in use is rejected") {
    Rig rig;
    rig.send_query(false, 2);
    Request again{"POST", "/part", "q1", "480",
                  "",     false,   true, R"({"text":"","segments":[{"segment":0,"boost":1}]})"};
    rig.dispatcher.on_request({900, 1}, again, rig.model.now);
    REQUIRE(rig.model.answers.size() == 1);
    CHECK(rig.model.answers[0].status == 409);
}

TEST_CASE("a value that is longer than a response may be is not kept") {
    Rig rig;
    rig.send_query(true, 1);
    rig.step();
    const SentAttempt attempt = rig.model.sent.at(0);
    rig.dispatcher.on_node_answer(attempt.connection,
                                  {attempt.message.query->id, 0, Outcome::ok, std::string(65537, 'x')});
    for (int i = 0; i < 200 && rig.model.answers.empty(); ++i) rig.step();
    REQUIRE_FALSE(rig.model.answers.empty());
    CHECK(rig.model.answers[0].status == 504);
}
