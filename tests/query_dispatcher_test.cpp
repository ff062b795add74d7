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

// An attempt that the dispatcher has sent and that has not ended.
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
    bool out_of_connections = false, crowded = false;

    void answer(Handle client, Response response) override {
        answers.push_back(response);
        const auto it = queries.find(client.slot);
        if (it == queries.end()) return;  // a request that the model does not track
        ClientQuery& query = it->second;
        REQUIRE(++query.answers == 1);
        REQUIRE_FALSE(query.disconnected);
        REQUIRE(now <= query.deadline_at);
        if (response.status == 503) REQUIRE_FALSE((query.has_key && query.may_have_run > 0));
        if (response.status != 200) return;
        // A response has only values that a data node gave for the same shard request. It has all of them if
        // it is marked complete.
        std::set<std::uint32_t> shards;
        for (std::size_t position = 0;
             (position = response.body.find("{\"segment\":", position)) != std::string::npos;) {
            const auto shard = static_cast<std::uint32_t>(std::stoi(response.body.substr(position + 11)));
            const std::size_t begin = response.body.find("payload\":\"", position) + 10;
            REQUIRE(query.values_by_shard[shard].contains(
                response.body.substr(begin, response.body.find('"', begin) - begin)));
            REQUIRE(shards.insert(shard).second);
            position = begin;
        }
        if (response.body.find("\"all_in\":true") != std::string::npos) REQUIRE(shards == query.shards);
        if (query.has_key) REQUIRE(shards == query.shards);
    }
    bool is_crowded() const override { return crowded; }
    Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> messages,
                std::span<const Handle> avoid) override {
        REQUIRE(address == "10.0.0." + std::to_string(node + 1) + ":1");
        REQUIRE_FALSE(leaving_nodes.contains(node));
        if (out_of_connections) return {};
        // One connection for each node, and a new one if that is to be avoided.
        Handle connection{node, 1};
        while (std::find(avoid.begin(), avoid.end(), connection) != avoid.end()) ++connection.generation;
        for (const AttemptMessage& message : messages) {
            ClientQuery& query = query_of(message);
            REQUIRE(query.answers == 0);  // no attempt is sent after the response
            REQUIRE_FALSE(query.disconnected);
            REQUIRE(query.shards.contains(message.shard));
            REQUIRE(message.deadline <= query.deadline_at);
            for (const SentAttempt& sent_attempt : sent)
                REQUIRE_FALSE((sent_attempt.connection == connection &&
                               sent_attempt.message.query->id == query.id &&
                               sent_attempt.message.shard == message.shard));
            sent.push_back({message, connection, node, false});
        }
        return connection;
    }
    bool withdraw(Handle connection, Handle attempt) override {
        const bool found = std::erase_if(sent, [&](const SentAttempt& sent_attempt) {
                               return sent_attempt.connection == connection &&
                                      sent_attempt.message.attempt == attempt && !sent_attempt.written;
                           }) > 0;
        withdrawn += found;
        return found;
    }
    void send_cancel(Handle connection, const QueryText& query, std::uint32_t shard, std::uint8_t) override {
        cancelled.emplace_back(connection, query.id + "." + std::to_string(shard));
    }
    void complete(Handle, Handle attempt) override {
        std::erase_if(sent, [attempt](const SentAttempt& sent_attempt) {
            return sent_attempt.message.attempt == attempt;
        });
    }
    void retire(std::uint32_t, bool) override {}

    ClientQuery& query_of(const AttemptMessage& message) {
        for (auto& [slot, query] : queries)
            if (query.id == message.query->id) return query;
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

// A dispatcher with four nodes, its model and a simulated clock.
struct DispatcherRig {
    FakeEndpoints model;
    EventClock time{model.now};
    QueryDispatcher dispatcher{time, small_startup_config()};
    std::uint32_t clients = 0;

    DispatcherRig() {
        dispatcher.connect(model, model);
        dispatcher.begin();
        apply_list(0, {Lifecycle::ready, Lifecycle::ready, Lifecycle::ready, Lifecycle::ready});
    }
    // Applies a list of nodes 0 to 3, two at each place.
    void apply_list(std::uint64_t generation, const std::vector<Lifecycle>& states) {
        EndpointList list{generation, generation == 0, {}, 0};
        for (std::uint32_t node = 0; node < states.size(); ++node)
            list.nodes.push_back({"s" + std::to_string(node), "10.0.0." + std::to_string(node + 1) + ":1",
                                  "z", "k", node % 2, states[node], 0});
        dispatcher.on_endpoint_list(list);
        for (std::uint32_t node = 0; node < states.size(); ++node)
            states[node] == Lifecycle::ready ? void(model.leaving_nodes.erase(node))
                                             : void(model.leaving_nodes.insert(node));
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
        ClientQuery query{request.id, has_key, model.now + deadline * ms, {}, 0, false, 0, {}};
        if (request.body.empty()) {
            request.body = R"({"text":"x","segments":[)";
            for (std::uint32_t shard = 0; shard < shard_requests; ++shard) {
                request.body += (shard > 0 ? "," : "") + std::string("{\"segment\":") +
                                std::to_string(shard) + ",\"boost\":" +
                                std::to_string((1.0 + shard) * 2 / (shard_requests * (shard_requests + 1))) +
                                "}";
                query.shards.insert(shard);
            }
            request.body += "]}";
        }
        model.queries[client.slot] = query;
        dispatcher.on_request(client, request, model.now);
        return client.slot;
    }
    void disconnect(std::uint32_t client) {
        ClientQuery& query = model.queries[client];
        if (query.answers > 0 || query.disconnected) return;
        query.disconnected = true;
        dispatcher.on_client_disconnected({client, 1});
        for (const SentAttempt& attempt : model.sent)
            REQUIRE((attempt.written || attempt.message.query->id != query.id));
    }
    void answer_from_node(std::size_t index, Outcome outcome) {
        const SentAttempt attempt = model.sent[index];
        ClientQuery& query = model.query_of(attempt.message);
        const std::string value =
            "v" + std::to_string(attempt.node) + "-" + std::to_string(attempt.message.shard);
        if (outcome == Outcome::ok) query.values_by_shard[attempt.message.shard].insert(value);
        query.may_have_run -= outcome == Outcome::overloaded;  // a rejected attempt has not run
        dispatcher.on_node_answer(attempt.connection,
                                  {attempt.message.query->id, attempt.message.shard, outcome, value});
        dispatcher.on_node_answer(attempt.connection,
                                  {attempt.message.query->id, attempt.message.shard, Outcome::ok,
                                   "twice"});  // a duplicate, which is ignored
    }
    void write(std::size_t index) {
        model.sent[index].written = true;
        ++model.query_of(model.sent[index].message).may_have_run;
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
    DispatcherRig rig;
    FakeEndpoints& model = rig.model;
    const auto random_below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    for (int i = 0; i < 1200; ++i) {
        if (random_below(8) == 0) {
            const auto deadline_ms = static_cast<int>(40 + random_below(900));
            const auto shard_count = static_cast<std::uint32_t>(1 + random_below(4));
            rig.send_query(random_below(2) == 0, shard_count, deadline_ms);
        }
        if (random_below(60) == 0)
            rig.disconnect(static_cast<std::uint32_t>(1 + random_below(rig.clients + 1)));
        if (random_below(100) == 0) {
            std::vector<Lifecycle> states;
            for (int n = 0; n < 4; ++n)
                states.push_back(random_below(4) == 0 ? static_cast<Lifecycle>(random_below(3))
                                                      : Lifecycle::ready);
            rig.apply_list(static_cast<std::uint64_t>(i + 1), states);
        }
        model.out_of_connections = random_below(50) == 0;
        for (std::size_t index = 0; index < model.sent.size(); ++index)
            if (random_below(3) == 0 && !model.sent[index].written) rig.write(index);
        if (!model.sent.empty() && random_below(2) == 0) {
            const std::size_t index = random_below(model.sent.size());
            const SentAttempt attempt = model.sent[index];
            if (!attempt.written) {
                rig.dispatcher.on_attempt_lost(attempt.message.attempt, Outcome::connect_failed);
            } else if (random_below(10) == 0) {
                rig.dispatcher.on_attempt_lost(attempt.message.attempt, Outcome::reset);
            } else {
                rig.answer_from_node(index, random_below(8) == 0   ? Outcome::error
                                            : random_below(8) == 0 ? Outcome::overloaded
                                                                   : Outcome::ok);
            }
            rig.dispatcher.on_attempt_lost(attempt.message.attempt,
                                           Outcome::reset);  // ignored, since the attempt has ended
        }
        rig.step();
    }
    model.out_of_connections = false;
    for (int i = 0; i < 300; ++i) rig.step();
    for (const auto& [slot, query] : model.queries) REQUIRE(query.answers + query.disconnected >= 1);
    CHECK(model.sent.empty());
    CHECK(rig.dispatcher.attempts_in_flight() == 0);
    CHECK(rig.dispatcher.unfinished_count() == 0);
}

TEST_CASE("an attempt that times out is cancelled if it was written and withdrawn if not") {
    DispatcherRig rig;
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
    DispatcherRig rig;
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
    DispatcherRig rig;
    const auto status_of = [&](Request request) {
        rig.dispatcher.on_request({900, 1}, request, rig.model.now);
        return rig.model.answers.back().status;
    };
    const Request valid{"POST", "/keyed/x", "id", "480",
                        "k",    false,      true, R"({"text":"","segments":[{"segment":0,"boost":1}]})"};
    const auto status_with = [&](auto member, const char* value) {
        Request changed = valid;
        changed.*member = value;
        return status_of(changed);
    };
    CHECK(status_with(&Request::path, "/none") == 404);
    CHECK(status_with(&Request::path, "keyed") == 404);
    CHECK(status_with(&Request::path, "") == 404);
    CHECK(status_with(&Request::method, "GET") == 405);
    CHECK(status_with(&Request::id, "") == 400);
    CHECK(status_with(&Request::id, "a b") == 400);
    CHECK(status_with(&Request::key, "") == 400);
    CHECK(status_with(&Request::key, "a,d=9") ==
          400);  // the comma would start another option in the frame's line
    for (const char* deadline : {"", "0", "-5", "1.5", "9x", "99999999999999999999"})
        CHECK(status_with(&Request::deadline, deadline) == 400);
    CHECK(status_with(&Request::body, "{}") == 400);
    CHECK(status_of({"GET", "/-/ready", "", "", "", false, true, ""}) == 200);
    CHECK(status_of({"POST", "/-/ready", "", "", "", false, true, ""}) == 405);
    rig.step();
    CHECK(rig.model.sent.empty());
    CHECK(rig.dispatcher.unfinished_count() == 0);
}

TEST_CASE("queries over the limit of queries in progress are rejected and send no attempt") {
    DispatcherRig rig;
    for (int i = 0; i < 12; ++i) rig.send_query(false, 4);
    CHECK(rig.dispatcher.unfinished_count() == 40);  // eight queries of five each, the limit of the settings
    REQUIRE(rig.model.answers.size() == 4);
    for (const Response& response : rig.model.answers) CHECK(response.status == 503);
    rig.step();
    for (const SentAttempt& attempt : rig.model.sent)
        CHECK(std::stoi(attempt.message.query->id.substr(1)) <= 8);
    CHECK(rig.model.sent.size() == 32);
}

TEST_CASE("queries are refused and send no attempt while too many clients await their response") {
    DispatcherRig rig;
    rig.model.crowded = true;
    rig.send_query(false, 4);
    REQUIRE(rig.model.answers.size() == 1);
    CHECK(rig.model.answers[0].status == 503);
    Request malformed{"POST", "/part", "q9", "480", "", false, true, "{}"};
    rig.dispatcher.on_request({900, 1}, malformed, rig.model.now);
    CHECK(rig.model.answers.at(1).status == 400);
    rig.step();
    CHECK(rig.model.sent.empty());
    CHECK(rig.dispatcher.refusals().crowded == 1);
    rig.model.crowded = false;
    rig.send_query(false, 4);
    rig.step();
    CHECK(rig.model.sent.size() == 4);
}

TEST_CASE("a query whose request id is in use is rejected") {
    DispatcherRig rig;
    rig.send_query(false, 2);
    Request again{"POST", "/part", "q1", "480",
                  "",     false,   true, R"({"text":"","segments":[{"segment":0,"boost":1}]})"};
    rig.dispatcher.on_request({900, 1}, again, rig.model.now);
    REQUIRE(rig.model.answers.size() == 1);
    CHECK(rig.model.answers[0].status == 409);
}

TEST_CASE("a value that is longer than a response may be is not stored") {
    DispatcherRig rig;
    rig.send_query(true, 1);
    rig.step();
    const SentAttempt attempt = rig.model.sent.at(0);
    rig.dispatcher.on_node_answer(attempt.connection,
                                  {attempt.message.query->id, 0, Outcome::ok, std::string(65537, 'x')});
    for (int i = 0; i < 200 && rig.model.answers.empty(); ++i) rig.step();
    REQUIRE_FALSE(rig.model.answers.empty());
    CHECK(rig.model.answers[0].status == 504);
}

TEST_CASE("queries hold memory until their last attempt and their last frame have ended") {
    constexpr std::size_t limit = 100'000, text_bytes = 30'000;
    QueryTable queries(limit);
    const auto text = [](const std::string& id) {
        return std::make_shared<QueryText>(QueryText{id, "", std::string(text_bytes, 't'), ""});
    };
    REQUIRE(queries.has_memory_for(text_bytes, 4));
    auto frame = text("q1");
    const Handle first = queries.add({1, 1}, frame);
    queries.add_shard_request(first, {0, 1, 0});
    CHECK(queries.memory().used() >= text_bytes);
    // A second one with a large text does not fit into half of the limit, an ordinary one does.
    CHECK_FALSE(queries.has_memory_for(text_bytes, 4));
    CHECK(queries.has_memory_for(8, 4));
    // Values may take the rest, but no more.
    Query& query = *queries.find(first);
    const std::size_t free_bytes = limit - queries.memory().used();
    CHECK(queries.charge_value(query, free_bytes));
    CHECK_FALSE(queries.charge_value(query, 1));
    CHECK_FALSE(queries.has_memory_for(8, 4));
    ++query.in_flight;
    queries.mark_ended(first);
    queries.release_if_ended(first);
    CHECK(queries.memory().used() == limit);
    --query.in_flight;
    queries.release_if_ended(first);
    CHECK(queries.memory().used() >= text_bytes);
    frame.reset();
    CHECK(queries.memory().used() == 0);
}
