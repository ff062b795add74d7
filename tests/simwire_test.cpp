// Tests of the simulator's adapter: the example records of the wire format, list pages and malformed input.
#include <catch2/catch.hpp>

#include "helpers.hpp"
#include "simwire/adapter.hpp"
#include "simwire/byte_codec.hpp"

using namespace tealcart;
using namespace tealcart::simwire;

namespace {

std::string bytes(std::string_view hex) {
    std::string out, digits;
    for (const char c : hex)
        if (c != ' ') digits += c;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        out += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
    return out;
}

template <typename... Values>
std::string packed(Values... values) {
    std::string out;
    (append(out, values), ...);
    return out;
}

std::string batch(double clock_ms, const std::vector<std::string>& records) {
    std::string out = packed(clock_ms, static_cast<std::uint32_t>(records.size()), std::uint32_t{12});
    for (const std::string& record : records) out += record;
    return out;
}

std::string init(const std::string& settings = test::settings_text) {
    return bytes("03 03000000 0100000000000000") + packed(static_cast<std::uint32_t>(settings.size())) +
           settings;
}

std::string inventory(std::uint8_t page, std::uint32_t node, std::uint16_t place) {
    return bytes("05") + packed(page, std::uint32_t{1}, node) + bytes("0000 00") + packed(place) +
           bytes("01 0000803f 0000000000000000");
}

std::string demand(std::uint32_t id, float shard, float heft) {
    return bytes("04 03000000") + packed(id) + bytes("0000 00000000 0000000000000000") +
           packed(9000.0, 0.0, 1.0F, shard, heft, std::uint16_t{0});
}

const std::string changed_delta = bytes("07 03000000 00 00 29000000");

}  // namespace

TEST_CASE("the example records of the wire format are read and answered") {
    Adapter adapter;
    const std::string page_of_two_nodes = bytes(
        "05 00 02000000 074a1203 0000 00 0000 01 0000803f 0000000000000000"
        "f211902c 0100 00 0100 01 0000c03f 0000000000d4b740");
    adapter.reply_to(batch(8000, {init(), page_of_two_nodes, bytes("07 03000000 02 00 29000000")}));
    const std::string attempt = adapter.reply_to(batch(
        8412.25,
        {bytes(
             "04 03000000 192b6f0e 0000 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00005643"
             "000080bf 0000803f 0100"),
         bytes(
             "04 03000000 c4913a5d 0000 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00005643"
             "00000000 0000803f 0100")}));
    CHECK(attempt.find(bytes("44 03000000 c4913a5d")) != std::string::npos);
    // The result from the node that was selected completes the query's answer.
    const std::string node = attempt.substr(attempt.find(bytes("44 03000000 c4913a5d")) + 9, 4);
    const std::string end = bytes("0a 03000000 c4913a5d 0000000000803240") + node + bytes("0100 01 00 00");
    const std::string reply = adapter.reply_to(batch(8500, {end, bytes("0b 03000000 4d00000000000000")}));
    CHECK(reply.find(bytes("41 03000000 192b6f0e 01")) != std::string::npos);
    CHECK_NOTHROW(
        adapter.reply_to(batch(8600, {bytes("01 03000000 192b6f0e"),
                                      bytes("08 03000000 c4913a5d 00") + node + bytes("0000000000803240")})));
}

TEST_CASE("each list event uses the page content that precedes it in the batch") {
    Adapter adapter;
    adapter.reply_to(
        batch(8000, {init(), inventory(0, 71, 0), changed_delta, inventory(0, 72, 1), changed_delta}));
    const std::string reply =
        adapter.reply_to(batch(8005, {demand(1, -1, 2), demand(2, 0, 0.5F), demand(3, 1, 0.5F)}));
    CHECK(reply.find(bytes("48000000")) != std::string::npos);
    CHECK(reply.find(bytes("47000000")) != std::string::npos);
}

TEST_CASE("a router that is killed and restarted within one batch has no state of its earlier incarnation") {
    Adapter adapter;
    adapter.reply_to(
        batch(8000, {init(), inventory(0, 71, 0), changed_delta, demand(1, -1, 1), demand(2, 0, 1)}));
    const std::string reply = adapter.reply_to(batch(8005, {bytes("09 03000000"), init(), changed_delta}));
    CHECK(reply.find(bytes("01000000 41")) == std::string::npos);
    CHECK_NOTHROW(adapter.reply_to(batch(12000, {bytes("0b 03000000 0000000000000000")})));
}

TEST_CASE("malformed input throws an error that names the fault") {
    const auto fails = [](const std::string& input, const std::string& message) {
        Adapter adapter;
        CHECK_THROWS_WITH(adapter.reply_to(input), Catch::Contains(message));
    };
    fails(bytes("0000"), "ends before");
    fails(batch(8000, {init().substr(0, 40)}), "ends before");
    fails(batch(8000, {bytes("63 03000000")}), "unknown record code 99");
    fails(batch(8000, {init()}) + "x", "1 bytes after its last record");
    fails(batch(8000, {init(), changed_delta}), "never sent");
    fails(batch(8000, {init("{\"step\": ")}), "can't be read");
    fails(batch(8000, {init("{}")}), "setting 'extra' is missing");
    fails(batch(8000, {init("[1]")}), "setting 'extra' is missing");
    fails(batch(8000, {bytes("0b 03000000 0000000000000000")}), "has not been started");
    fails(batch(8000, {bytes("05 00 ffffffff")}), "ends before");
    fails(batch(8000, {init(), demand(1, 9, 1)}), "has shard 9; expected less than extra.ranges (4)");
}
