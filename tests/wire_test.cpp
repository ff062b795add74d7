// Tests the parsers and writers of HTTP messages, bodies, endpoint lists and frames on bytes, without
// sockets. Input is complete, in pieces, truncated or malformed.
#include <catch2/catch.hpp>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>

#include "config/host_port.hpp"
#include "config/router_config_reader.hpp"
#include "wire/endpoint_list_codec.hpp"
#include "wire/http.hpp"
#include "wire/node_frames.hpp"
#include "wire/query_body.hpp"
#include "wire/response_body.hpp"

using namespace tealcart;

namespace {

const std::string chunked =
    "POST /part/x?y=1 HTTP/1.1\r\nx-request-id: a1\r\nX-Deadline-Ms: 480\r\nX-Retry: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\nX-Request-Id: b\r\n\r\n";
const std::string with_length =
    "POST /keyed HTTP/1.1\r\nX-Request-Id: b2\r\nIdempotency-Key: k\r\nConnection: close\r\n"
    "Content-Length: 3\r\n\r\nabc";

int status_of(std::string bytes) {
    RequestReader reader;
    return reader.feed(bytes) == ParseStatus::malformed ? reader.error_status() : 0;
}

std::string error_of(const std::string& body) {
    const auto read = read_query(body, 4);
    const auto* error = std::get_if<QueryBodyError>(&read);
    return error != nullptr ? std::string(error->message) : std::string();
}

}  // namespace

TEST_CASE("consecutive requests that arrive in pieces of any size are parsed completely") {
    const auto piece = GENERATE(range<std::size_t>(1, 9), std::size_t{1000});
    const std::string all = chunked + with_length;
    RequestReader reader;
    std::string in;
    std::vector<Request> read;
    for (std::size_t at = 0; at < all.size(); at += piece) {
        in += all.substr(at, piece);
        while (!in.empty()) {
            const ParseStatus reading = reader.feed(in);
            REQUIRE(reading != ParseStatus::malformed);
            if (reading == ParseStatus::incomplete) break;
            read.push_back(reader.request());
            reader.next();
        }
    }
    REQUIRE(read.size() == 2);
    CHECK(read[0].path == "/part/x");
    CHECK(read[0].query == "y=1");
    CHECK(read[1].query.empty());
    CHECK(read[0].id == "a1");  // a trailer after the body is ignored
    CHECK(read[0].deadline == "480");
    CHECK(read[0].retry);
    CHECK(read[0].keep_alive);
    CHECK(read[0].body == "hello!");
    CHECK(read[1].key == "k");
    CHECK_FALSE(read[1].keep_alive);
    CHECK(read[1].body == "abc");
    CHECK_FALSE(reader.begun());
}

TEST_CASE("a malformed request gives the error status for its kind of error") {
    const std::string post = "POST /part HTTP/1.1\r\n";
    CHECK(status_of("nonsense\r\n\r\n") == 400);
    CHECK(status_of("POST /part HTTP/1.1\nA: b\n\n") == 400);
    for (const char* rest :
         {"no colon\r\n\r\n", "Content-Length: -1\r\n\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
          // A request that states its length in two ways could hide a second request.
          "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", "Transfer-Encoding: gzip\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "Content-Length: 1, 1\r\n\r\nx", "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
          "Content-Length: 99999999999999999999\r\n\r\n", "Content-Length : 1\r\n\r\nx",
          "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
          // Other parsers read folded lines and bare line feeds differently, and of a repeated header it is
          // undefined which value holds.
          "A: b\r\n Content-Length: 1\r\n\r\n", "A: b\nContent-Length: 1\r\n\r\n",
          "X-Request-Id: a\r\nX-Request-Id: b\r\n\r\n"}) {
        INFO(rest);
        CHECK(status_of(post + rest) == 400);
    }
    CHECK(status_of(post + "Content-Length: 65537\r\n\r\n") == 413);
    CHECK(status_of(post + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + std::string(65537, 'x')) == 413);
    CHECK(status_of(post + "A: " + std::string(9000, 'x') + "\r\n\r\n") == 431);
    CHECK(status_of(post + "Content-Length: 65536\r\n\r\n" + std::string(65536, 'x')) == 0);
}

TEST_CASE("a client that expects 100 Continue is due one exactly once, before its body") {
    RequestReader reader;
    std::string in = "POST /part HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    CHECK(reader.feed(in) == ParseStatus::incomplete);
    CHECK(reader.expects_continue());
    CHECK_FALSE(reader.expects_continue());
    in = "ab";
    CHECK(reader.feed(in) == ParseStatus::complete);
    CHECK_FALSE(reader.expects_continue());
}

TEST_CASE("a response head is written with its headers, and a response is parsed from it") {
    const std::string head = write_response_head({503, 2, 1250, true});
    CHECK(head.find("HTTP/1.1 503 Service Unavailable\r\n") == 0);
    CHECK(head.find("Content-Length: 2\r\n") != std::string::npos);
    CHECK(write_response_head({405, 0, 0, false, "POST"}).find("\r\nAllow: POST\r\n") != std::string::npos);
    CHECK(head.find("Retry-After: 1.250\r\n") != std::string::npos);
    CHECK(head.find("Connection: close\r\n") != std::string::npos);
    CHECK(write_response_head({200, 0, 0, false}).find("Retry-After") == std::string::npos);
    ResponseReader reader(100);
    std::string in = head + "ok" + head;
    CHECK(reader.feed(in) == ParseStatus::complete);
    CHECK(reader.status() == 503);
    CHECK(reader.body() == "ok");
    CHECK_FALSE(reader.keep_alive());
    CHECK(in == head);
    ResponseReader small(1);
    in = head + "ok";
    CHECK(small.feed(in) == ParseStatus::malformed);
}

TEST_CASE("only valid UTF-8 is accepted as text") {
    for (const char* good : {"", "a\x01", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x99\x82", "\xef\xbf\xbf"})
        CHECK(is_utf8(good));
    for (const char* bad : {"\xff", "\xc3", "\xc3(", "\x80", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80",
                            "\xf4\x90\x80\x80", "\xf0\x80\x80\x80", "a\xe2\x82"})
        CHECK_FALSE(is_utf8(bad));
}

TEST_CASE("values are written into a response with the escapes that JSON requires, and read back the same") {
    std::mt19937_64 random(1);
    for (int round = 0; round < 300; ++round) {
        std::string value;
        for (std::size_t size = random() % 40; size > 0; --size) {
            constexpr std::string_view pieces[] = {"\"",   "\\",    "\n",       "\x01",
                                                   "\x1f", "plain", "\xc3\xa9", "\x7f"};
            value += pieces[random() % std::size(pieces)];
        }
        QueryResponseBody body(true);
        body.add(3, value);
        const auto read = nlohmann::json::parse(body.finish());
        CHECK(read["matches"][0]["payload"].get<std::string>() == value);
    }
}

TEST_CASE("text is accepted as UTF-8 if and only if JSON accepts it") {
    std::mt19937_64 random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::string text;
        for (std::size_t size = 1 + random() % 6; size > 0; --size) {
            constexpr unsigned char edges[] = {'a',  0x7f, 0x80, 0x8f, 0x90, 0x9f, 0xa0, 0xbf, 0xc1,
                                               0xc2, 0xdf, 0xe0, 0xed, 0xef, 0xf0, 0xf4, 0xf5, 0xff};
            text += static_cast<char>(edges[random() % std::size(edges)]);
        }
        REQUIRE(is_utf8(text) == nlohmann::json::accept("\"" + text + "\""));
    }
}

TEST_CASE("a chunk's line or a trailer that does not end is malformed") {
    const std::string head = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string start = GENERATE("5;extension=", "5\r\nabcde\r\n0\r\nName: ", "0\r\n");
    const std::string piece = GENERATE("a", "a: b\r\n", "a;b=c;");
    RequestReader reader;
    std::string in = head + start;
    ParseStatus status = reader.feed(in);
    for (std::size_t sent = 0; status == ParseStatus::incomplete; sent += piece.size()) {
        REQUIRE(sent < 2 * max_head_bytes);
        in += piece;
        status = reader.feed(in);
    }
    CHECK(status == ParseStatus::malformed);
}

TEST_CASE("a query body may be nested up to a limit, and brackets in its strings don't count") {
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    const auto query = [](const std::string& member) {
        return R"({"text":"x","segments":[{"segment":0,"boost":1}],"further":)" + member + "}";
    };
    CHECK(error_of(query(nested(63))).empty());
    CHECK(error_of(query(nested(64))) == "the body is nested too deeply");
    CHECK(error_of(std::string(65'000, '[')) == "the body is nested too deeply");
    CHECK(error_of(query('"' + std::string(65, '[') + R"(\"[[\\")")).empty());
}

TEST_CASE("a valid query body is parsed and its weights are normalized to a sum of 1") {
    const auto read = read_query(
        R"({"segments":[{"segment":3,"boost":0.75,"work":9000,"affinity":"00ff"},{"segment":0,"boost":0.249998}],"text":"c4\n"})",
        4);
    REQUIRE(std::holds_alternative<QueryBody>(read));
    const auto& query = std::get<QueryBody>(read);
    CHECK(query.text == "c4\n");
    REQUIRE(query.shard_requests.size() == 2);
    CHECK(query.shard_requests[0].shard == 3);
    CHECK(query.shard_requests[0].weight == Approx(0.7500015));
    CHECK(query.shard_requests[0].weight + query.shard_requests[1].weight == Approx(1).epsilon(1e-12));
    CHECK(query.shard_requests[0].hint == 9'000'000);
    CHECK(query.shard_requests[1].hint == 0);
}

TEST_CASE("an invalid query body gives an error message and no exception") {
    for (const char* body :
         {"",
          "{",
          "[]",
          "null",
          "7",
          R"({"text":"x"})",
          R"({"segments":{},"text":"x"})",
          R"({"segments":[],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":1}]})",
          R"({"segments":[{"segment":1,"boost":1}],"text":5})",
          R"({"segments":[7],"text":"x"})",
          R"({"segments":[{"segment":4,"boost":1}],"text":"x"})",
          R"({"segments":[{"segment":-1,"boost":1}],"text":"x"})",
          R"({"segments":[{"segment":1.5,"boost":1}],"text":"x"})",
          R"({"segments":[{"segment":1}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":-1}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":1e999}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":0}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":1.01}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":0.5},{"segment":2,"boost":0.4}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":1},{"segment":1,"boost":1}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":1,"work":"a"}],"text":"x"})",
          R"({"segments":[{"segment":1,"boost":1,"affinity":7}],"text":"x"})",
          "{\"text\":\"\xff\"}"}) {
        INFO(body);
        CHECK_FALSE(error_of(body).empty());
    }
    CHECK_FALSE(error_of(std::string(60000, '[')).empty());
}

TEST_CASE("a response body contains its values unchanged apart from JSON escapes") {
    QueryResponseBody body(false);
    body.add(3, "a\"\\\n\x01");
    body.add(0, "\xc3\xa9\xff");
    CHECK(body.finish() ==
          "{\"all_in\":false,\"matches\":[{\"segment\":3,\"payload\":\"a\\\"\\\\\\u000a\\u0001\"},"
          "{\"segment\":0,\"payload\":\"\xc3\xa9\xff\"}]}");
    CHECK(QueryResponseBody(true).finish() == R"({"all_in":true,"matches":[]})");
}

TEST_CASE("an endpoint list is parsed without its unusable entries, and a malformed list is rejected") {
    const std::string entry = R"({"instanceId":"s1","hostPort":"127.0.0.1:9","zone":"a","machineType":"m",)";
    const auto list = read_endpoint_list(
        R"({"generation":43,"reset":false,"instances":[)" + entry +
            R"("cell":1,"lifecycle":"draining","weight":1.0,"startedAtMs":1500},)" +
            R"({"instanceId":"s2","lifecycle":"removed"},)" + entry + R"("cell":2,"lifecycle":"up"},)" +
            entry + R"("cell":1,"lifecycle":"odd"},{"instanceId":"s3","hostPort":"127.0.0.1",)" +
            R"("zone":"a","machineType":"m","cell":1,"lifecycle":"up"},5]})",
        2);
    REQUIRE(list);
    CHECK(list->generation == 43);
    CHECK_FALSE(list->full);
    REQUIRE(list->nodes.size() == 2);
    CHECK(list->nodes[0].lifecycle == Lifecycle::draining);
    CHECK(list->nodes[0].started_at == 1'500'000'000);
    CHECK(list->nodes[1].lifecycle == Lifecycle::removed);
    CHECK(list->skipped_entries == 4);
    for (const char* body :
         {"", "[]", R"({"generation":1})", R"({"generation":-1,"reset":true,"instances":[]})",
          R"({"generation":1,"reset":true,"instances":[{"inst)"})
        CHECK_FALSE(read_endpoint_list(body, 2));
    CHECK_FALSE(parse_host_port("127.0.0.1:0"));
    CHECK_FALSE(parse_host_port(":80"));
    CHECK_FALSE(parse_host_port("127.0.0.1:70000"));
}

TEST_CASE("frames are written as the protocol defines and read from pieces of any size") {
    std::string line;
    write_shard_request_line(line, {"9b1f", 3, 240, "5c0f", 8});
    CHECK(line == "9b1f.3 3 d=240,k=5c0f 8\n");
    line.clear();
    write_shard_request_line(line, {"9b1f", 3, 240, "", 0});
    CHECK(line == "9b1f.3 3 d=240 0\n");
    std::string bytes;
    for (const char* rest :
         {"q.1 OK 17 -\nv", "q.2 REJECTED 0 inflight=7\n", "q.3 ERROR 0 -\n", "a.b.4 ODD 0 -\n"}) {
        append_frame_header(bytes, 'Y', std::string_view(rest).size());
        bytes += rest;
    }
    CHECK(bytes.substr(0, 5) == std::string("\x0e\0\0\0Y", 5));
    const auto piece = GENERATE(range<std::size_t>(1, 7), std::size_t{200});
    std::string in;
    std::vector<Outcome> ends;
    int malformed = 0;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        in += bytes.substr(at, piece);
        std::string_view rest = in;
        Frame frame;
        while (take_frame(rest, frame) == FrameStatus::complete) {
            const auto answer = read_node_answer(frame.payload);
            REQUIRE(answer);
            CHECK(answer->shard == ends.size() + 1);
            CHECK(answer->value == (ends.empty() ? "v" : ""));
            ends.push_back(answer->outcome);
            malformed += answer->malformed;
        }
        in.erase(0, in.size() - rest.size());
    }
    CHECK(ends == std::vector{Outcome::ok, Outcome::overloaded, Outcome::error, Outcome::error});
    CHECK(malformed == 1);  // the unknown outcome ODD
}

TEST_CASE("a frame with an impossible length and a malformed answer line are rejected") {
    Frame frame;
    std::string_view in("\0\0\0\0Y", 5);
    CHECK(take_frame(in, frame) == FrameStatus::malformed);
    in = "\xff\xff\xff\x7fY";
    CHECK(take_frame(in, frame) == FrameStatus::malformed);
    for (const char* rest : {"", "\n", "q.1 OK 1 -", "q OK 1 -\n", ".1 OK 1 -\n", "q. OK 1 -\n",
                             "q.x OK 1 -\n", "q.-1 OK 1 -\n", "q.99999999999 OK 1 -\n", "q.1\n", "q.1 \n"}) {
        INFO(rest);
        CHECK_FALSE(read_node_answer(rest));
    }
}
