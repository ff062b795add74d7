// The query dispatcher between sockets and decisions, with a given clock and stand-ins for both sides: a
// plain model of what was asked, sent and answered watches it on generated events.
#include "service/query_dispatcher.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "helpers.hpp"

using namespace tealcart;
using tealcart::test::ms;

namespace {

struct Asked {
    std::string id;
    bool keyed = false;
    Nanos deadline_at = 0;
    std::set<std::uint32_t> shards;
    int answers = 0;
    bool gone = false;
    int may_have_run = 0;                                  // leaf calls
    std::map<std::uint32_t, std::set<std::string>> given;  // values that data nodes gave, by shard
};

struct Out {
    AttemptMessage piece;
    Handle link;
    std::uint32_t node = 0;
    bool written = false;
};

// Both sides of the dispatcher: keeps the plain model and checks it at every call.
class Model final : public ResponseWriter, public AttemptSender {
  public:
    std::map<std::uint32_t, Asked> asked;  // by the client's slot
    std::vector<Out> out;
    std::vector<Response> answers;
    std::set<std::uint32_t> leaving;
    Nanos now = 1'000'000 * ms;
    std::uint32_t links = 0, withdrawn = 0;
    bool none_left = false;

    void answer(Handle client, Response given) override {
        answers.push_back(given);
        const auto it = asked.find(client.slot);
        if (it == asked.end()) return;  // one that was not taken
        Asked& q = it->second;
        REQUIRE(++q.answers == 1);
        REQUIRE_FALSE(q.gone);
        REQUIRE(now <= q.deadline_at);
        if (given.status == 503) REQUIRE_FALSE((q.keyed && q.may_have_run > 0));
        if (given.status != 200) return;
        // Only values that a data node gave for that very shard request; all of them where it is marked
        // whole.
        std::set<std::uint32_t> shards;
        for (std::size_t at = 0; (at = given.body.find("{\"segment\":", at)) != std::string::npos;) {
            const auto shard = static_cast<std::uint32_t>(std::stoi(given.body.substr(at + 11)));
            const std::size_t begin = given.body.find("payload\":\"", at) + 10;
            REQUIRE(q.given[shard].contains(given.body.substr(begin, given.body.find('"', begin) - begin)));
            REQUIRE(shards.insert(shard).second);
            at = begin;
        }
        if (given.body.find("\"all_in\":true") != std::string::npos) REQUIRE(shards == q.shards);
        if (q.keyed) REQUIRE(shards == q.shards);
    }
    Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> pieces,
                std::span<const Handle> avoid) override {
        REQUIRE(address == "10.0.0." + std::to_string(node + 1) + ":1");
        REQUIRE_FALSE(leaving.contains(node));
        if (none_left) return {};
        // A link a node, and a new one where that is to be avoided.
        Handle link{node, 1};
        while (std::find(avoid.begin(), avoid.end(), link) != avoid.end()) ++link.generation;
        for (const AttemptMessage& piece : pieces) {
            Asked& q = of(piece);
            REQUIRE(q.answers == 0);  // no shard request is sent after the final answer
            REQUIRE_FALSE(q.gone);
            REQUIRE(q.shards.contains(piece.shard));
            REQUIRE(piece.deadline <= q.deadline_at);
            for (const Out& o : out)
                REQUIRE_FALSE((o.link == link && o.piece.query->id == q.id && o.piece.shard == piece.shard));
            out.push_back({piece, link, node, false});
        }
        return link;
    }
    bool withdraw(Handle link, Handle call) override {
        const bool found = std::erase_if(out, [&](const Out& o) {
                               return o.link == link && o.piece.attempt == call && !o.written;
                           }) > 0;
        withdrawn += found;
        return found;
    }
    void send_cancel(Handle link, const QueryText& query, std::uint32_t shard, std::uint8_t) override {
        gave_up.emplace_back(link, query.id + "." + std::to_string(shard));
    }
    void complete(Handle, Handle call) override {
        std::erase_if(out, [call](const Out& o) { return o.piece.attempt == call; });
    }
    void retire(std::uint32_t, bool) override {}

    Asked& of(const AttemptMessage& piece) {
        for (auto& [slot, q] : asked)
            if (q.id == piece.query->id) return q;
        FAIL("a part of a query that was not asked");
        return asked.begin()->second;
    }

    std::vector<std::pair<Handle, std::string>> gave_up;
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
    Model model;
    EventClock time{model.now};
    QueryDispatcher dispatcher{time, small_startup_config()};
    std::uint32_t clients = 0;

    Rig() {
        dispatcher.connect(model, model);
        dispatcher.begin();
        list(0, {Lifecycle::ready, Lifecycle::ready, Lifecycle::ready, Lifecycle::ready});
    }
    // Nodes 0 .. 3, two at each place.
    void list(std::uint64_t generation, const std::vector<Lifecycle>& states) {
        EndpointList list{generation, generation == 0, {}, 0};
        for (std::uint32_t n = 0; n < states.size(); ++n)
            list.nodes.push_back({"s" + std::to_string(n), "10.0.0." + std::to_string(n + 1) + ":1", "z", "k",
                                  n % 2, states[n], 0});
        dispatcher.on_endpoint_list(list);
        for (std::uint32_t n = 0; n < states.size(); ++n)
            states[n] == Lifecycle::ready ? void(model.leaving.erase(n)) : void(model.leaving.insert(n));
    }
    std::uint32_t ask(bool keyed, std::uint32_t shard_requests, int deadline = 900, std::string body = "") {
        const Handle client{++clients, 1};
        Request request{"POST",
                        keyed ? "/keyed" : "/part",
                        "q" + std::to_string(clients),
                        std::to_string(deadline),
                        keyed ? "key" : "",
                        false,
                        true,
                        std::move(body)};
        Asked q{request.id, keyed, model.now + deadline * ms, {}, 0, false, 0, {}};
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
        model.asked[client.slot] = q;
        dispatcher.on_request(client, request, model.now);
        return client.slot;
    }
    void leave(std::uint32_t client) {
        Asked& q = model.asked[client];
        if (q.answers > 0 || q.gone) return;
        q.gone = true;
        dispatcher.on_client_disconnected({client, 1});
        for (const Out& o : model.out) REQUIRE((o.written || o.piece.query->id != q.id));
    }
    void node_says(std::size_t at, Outcome outcome) {
        const Out o = model.out[at];
        Asked& q = model.of(o.piece);
        const std::string value = "v" + std::to_string(o.node) + "-" + std::to_string(o.piece.shard);
        if (outcome == Outcome::ok) q.given[o.piece.shard].insert(value);
        q.may_have_run -= outcome == Outcome::overloaded;  // which proves that it never ran
        dispatcher.on_node_answer(o.link, {o.piece.query->id, o.piece.shard, outcome, value});
        dispatcher.on_node_answer(
            o.link, {o.piece.query->id, o.piece.shard, Outcome::ok, "twice"});  // counts nothing
    }
    void write(std::size_t at) {
        model.out[at].written = true;
        ++model.of(model.out[at].piece).may_have_run;
    }
    void step(Nanos span = 5 * ms) {
        model.now += span;
        time.due.fire_due(model.now);
        if (dispatcher.next_round() <= model.now) dispatcher.run_round();
    }
};

}  // namespace

TEST_CASE("every query gets one honest answer in time, every leaf call one outcome, whatever comes") {
    std::knuth_b chance(GENERATE(range(1U, 31U)));
    Rig rig;
    Model& model = rig.model;
    const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(chance() % n); };
    for (int i = 0; i < 1200; ++i) {
        if (pick(8) == 0)
            rig.ask(pick(2) == 0, static_cast<std::uint32_t>(1 + pick(4)), static_cast<int>(40 + pick(900)));
        if (pick(60) == 0) rig.leave(static_cast<std::uint32_t>(1 + pick(rig.clients + 1)));
        if (pick(100) == 0) {
            std::vector<Lifecycle> states;
            for (int n = 0; n < 4; ++n)
                states.push_back(pick(4) == 0 ? static_cast<Lifecycle>(pick(3)) : Lifecycle::ready);
            rig.list(static_cast<std::uint64_t>(i + 1), states);
        }
        model.none_left = pick(50) == 0;
        for (std::size_t at = 0; at < model.out.size(); ++at)
            if (pick(3) == 0 && !model.out[at].written) rig.write(at);
        if (!model.out.empty() && pick(2) == 0) {
            const std::size_t at = pick(model.out.size());
            const Out o = model.out[at];
            if (!o.written) {
                rig.dispatcher.on_attempt_lost(o.piece.attempt, Outcome::connect_failed);
            } else if (pick(10) == 0) {
                rig.dispatcher.on_attempt_lost(o.piece.attempt, Outcome::reset);
            } else {
                rig.node_says(at, pick(8) == 0   ? Outcome::error
                                  : pick(8) == 0 ? Outcome::overloaded
                                                 : Outcome::ok);
            }
            rig.dispatcher.on_attempt_lost(o.piece.attempt,
                                           Outcome::reset);  // its life is over: counts nothing
        }
        rig.step();
    }
    model.none_left = false;
    for (int i = 0; i < 300; ++i) rig.step();
    for (const auto& [slot, q] : model.asked) REQUIRE(q.answers + q.gone >= 1);
    CHECK(model.out.empty());
    CHECK(rig.dispatcher.attempts_in_flight() == 0);
    CHECK(rig.dispatcher.unfinished_count() == 0);
}

TEST_CASE("a leaf call's patience ends on the dot: given up if written, taken back if not") {
    Rig rig;
    rig.ask(true, 2, 100);
    rig.step();
    REQUIRE(rig.model.out.size() == 2);
    rig.write(0);
    const AttemptMessage written = rig.model.out[0].piece;
    const Nanos until = written.deadline;
    REQUIRE(until < rig.model.asked[1].deadline_at);
    rig.step(until - rig.model.now - 1);
    CHECK(rig.model.gave_up.empty());
    rig.step(1);
    REQUIRE(rig.model.gave_up.size() == 1);
    CHECK(rig.model.gave_up[0].second == "q1." + std::to_string(written.shard));
    CHECK(rig.model.withdrawn == 1);
    CHECK(rig.model.out.empty());
    rig.step();
    // One shard request may have run, so the idempotent_with_key query is not called refused.
    REQUIRE(rig.model.answers.size() == 1);
    CHECK(rig.model.answers[0].status == 504);
}

TEST_CASE(
    "a further leaf call of a deduplicated part is to be written while repeats are dropped, or not at all") {
    Rig rig;
    rig.ask(true, 1);
    rig.step();
    CHECK(rig.model.out.at(0).piece.send_by == TimerQueue::never);
    const Nanos first = rig.model.now;
    rig.write(0);
    rig.node_says(0, Outcome::error);
    for (int i = 0; i < 100 && rig.model.out.empty(); ++i) rig.step();
    REQUIRE(rig.model.out.size() == 1);
    CHECK(rig.model.out[0].piece.send_by > rig.model.now);
    CHECK(rig.model.out[0].piece.send_by < first + 3000 * ms);  // the settings' repeat window
}

TEST_CASE("at the door: what is malformed is refused as such, and nothing is sent for it") {
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
    CHECK(with(&Request::key, "a,d=9") == 400);  // it would be read as another entry of the list
    for (const char* deadline : {"", "0", "-5", "1.5", "9x", "99999999999999999999"})
        CHECK(with(&Request::deadline, deadline) == 400);
    CHECK(with(&Request::body, "{}") == 400);
    CHECK(says({"GET", "/-/ready", "", "", "", false, true, ""}) == 200);
    CHECK(says({"POST", "/-/ready", "", "", "", false, true, ""}) == 405);
    rig.step();
    CHECK(rig.model.out.empty());
    CHECK(rig.dispatcher.unfinished_count() == 0);
}

TEST_CASE("with as much in hand as may be held, further queries are turned away unsent") {
    Rig rig;
    for (int i = 0; i < 12; ++i) rig.ask(false, 4);
    CHECK(rig.dispatcher.unfinished_count() == 40);  // eight of them, as the settings allow
    REQUIRE(rig.model.answers.size() == 4);
    for (const Response& a : rig.model.answers) CHECK(a.status == 503);
    rig.step();
    for (const Out& o : rig.model.out) CHECK(std::stoi(o.piece.query->id.substr(1)) <= 8);
    CHECK(rig.model.out.size() == 32);
}

TEST_CASE("an id that is in use is not taken again, since its parts could not be told apart") {
    Rig rig;
    rig.ask(false, 2);
    Request again{"POST", "/part", "q1", "480",
                  "",     false,   true, R"({"text":"","segments":[{"segment":0,"boost":1}]})"};
    rig.dispatcher.on_request({900, 1}, again, rig.model.now);
    REQUIRE(rig.model.answers.size() == 1);
    CHECK(rig.model.answers[0].status == 409);
}

TEST_CASE("values beyond what an answer may hold are not kept") {
    Rig rig;
    rig.ask(true, 1);
    rig.step();
    const Out o = rig.model.out.at(0);
    rig.dispatcher.on_node_answer(o.link, {o.piece.query->id, 0, Outcome::ok, std::string(65537, 'x')});
    for (int i = 0; i < 200 && rig.model.answers.empty(); ++i) rig.step();
    REQUIRE_FALSE(rig.model.answers.empty());
    CHECK(rig.model.answers[0].status == 504);
}
