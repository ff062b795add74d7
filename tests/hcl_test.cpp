// The operators' files: what is read, and that every mistake is told with its place.
#include "config/hcl.hpp"

#include <catch2/catch.hpp>

#include "config/block_reader.hpp"
#include "config/migration.hpp"
#include "config/operator_config.hpp"
#include "config/units.hpp"
#include "helpers.hpp"

using namespace tealcart;

namespace {

std::string wrong_in(const std::string& text) {
    try {
        read_operator_config(text, "f");
    } catch (const HclErrors& e) {
        return e.what();
    }
    return "";
}

}  // namespace

TEST_CASE("a file is read as blocks, attributes and literals with their places") {
    const HclBlock file = parse_hcl(
        "a = 1 # one\n// two\nb \"x y\" z {\n  s = \"q\\n\\u00e9\\\\\" /* c */\n  l = [-1.5e1, true,\n "
        "null,]\n"
        "  o = { k = 1\n \"m n\": \"v\", p = false }\n  in {}\n}\n/* end */ c { d = 2 }",
        "f");
    REQUIRE(file.attributes.size() == 1);
    CHECK(std::get<double>(file.attributes[0].value.value) == 1);
    REQUIRE(file.blocks.size() == 2);
    const HclBlock& b = file.blocks[0];
    CHECK(b.type == "b");
    CHECK(b.labels == std::vector<std::string>{"x y", "z"});
    CHECK((b.position.line == 3 && b.position.column == 1));
    CHECK(std::get<std::string>(b.attributes[0].value.value) == "q\n\xc3\xa9\\");
    const auto& list = std::get<HclValue::List>(b.attributes[1].value.value);
    REQUIRE(list.size() == 3);
    CHECK(std::get<double>(list[0].value) == -15);
    CHECK(std::get<bool>(list[1].value));
    CHECK((list[2].position.line == 6 && list[2].position.column == 2));
    const auto& object = std::get<HclValue::Object>(b.attributes[2].value.value);
    REQUIRE(object.size() == 3);
    CHECK(object[1].key == "m n");
    CHECK(b.blocks.size() == 1);
    CHECK(file.blocks[1].attributes.size() == 1);
}

TEST_CASE("what can't be read is told with line and column") {
    const auto [text, told] = GENERATE(table<std::string, std::string>({
        {"a = 1 2\n", "f:1:7: the line goes on where it should end"},
        {"a {\n b = \"x\n}", "f:2:8: a string that does not end on its line"},
        {"a {\n b = [1 2]\n}", "f:2:9: a ',' or the list's ']' is missing"},
        {"a {\n b = 5\n", "f:3:1: neither an attribute, a block nor the block's '}'"},
        {"a = \"${x}\"", "f:1:6: templates in strings are not part of this file's language"},
        {"/* x", "f:1:5: a comment that does not end"},
        {"a = 1\na = 2", "f:2:1: 'a' is given twice"},
        {"a = { b = 1, b = 2 }", "f:1:14: 'b' is given twice"},
        {"}", "f:1:1: neither an attribute nor a block"},
        {"a = 1e999", "f:1:5: a number out of range"},
    }));
    CHECK(wrong_in(text) == told);
}

TEST_CASE("depth, size and bytes that are no text are bounded") {
    CHECK(wrong_in("a = " + std::string(5000, '[')).find("too deep") != std::string::npos);
    CHECK(wrong_in(std::string(max_hcl_bytes + 1, ' ')).find("over 1 MiB") != std::string::npos);
    CHECK(wrong_in(std::string("a = 1\0", 6)).find("zero byte") != std::string::npos);
}

TEST_CASE("every file that is cut, or has a byte changed, is read or told, never more") {
    const std::string good =
        "two_phase \"part\" {\n  share = 0.3\n  least = \"5ms\" # x\n}\nlog { level = \"warn\" }\n";
    REQUIRE(wrong_in(good).empty());
    for (std::size_t i = 0; i < good.size(); ++i) {
        wrong_in(good.substr(0, i));
        for (const char c : {'\0', '"', '{', '}', '\n', '\x80', '9'}) {
            std::string changed = good;
            changed[i] = c;
            wrong_in(changed);
        }
    }
}

TEST_CASE("all mistakes of a file are told at once, in their order") {
    CHECK(wrong_in("log {\n  level = \"loud\"\n  form = \"text\"\n}\n"
                   "two_phase {\n  share = \"0.3\"\n  least = \"5 ms\"\n  most = 7\n}\n"
                   "two_phase \"v\" {\n  share = 0.95\n  most_rows = 1.5\n  keep = \"-1ms\"\n}\n"
                   "section_memory { bytes = \"1KiB\" }\n"
                   "two_phase \"v\" {}\nsharding {}\n") ==
          "f:2:11: 'level' is none of \"debug\", \"info\", \"warn\", \"error\"\n"
          "f:3:3: 'form' is not known here\n"
          "f:5:1: a 'two_phase' block has one label, the vertical's name\n"
          "f:6:11: 'share' is a string, not a number\n"
          "f:7:11: 'least' is no time: a number with one of ns, us, ms, s, m, h\n"
          "f:8:10: 'most' is a number, not a time such as \"250ms\"\n"
          "f:11:11: 'share' is outside 0.01 to 0.9\n"
          "f:12:15: 'most_rows' is no whole number\n"
          "f:13:10: 'keep' is no time: a number with one of ns, us, ms, s, m, h\n"
          "f:15:26: 'bytes' is outside 4KiB to 1GiB\n"
          "f:16:1: a second 'two_phase' block for 'v'\n"
          "f:17:1: a block 'sharding' is not known here");
}

TEST_CASE("only verticals that are repeatable can be put in two phases") {
    const RouterConfig config = read_router_config(test::settings_text);
    const auto query_classes = read_connection_config(test::settings_text).query_classes;
    const auto told = [&](const std::string& text) -> std::string {
        try {
            two_phase_by_query_class(read_operator_config(text, "f"), config, query_classes);
        } catch (const HclErrors& e) {
            return e.what();
        }
        return "";
    };
    CHECK(told("two_phase \"part\" { least = \"7ms\" }").empty());
    CHECK(told("\ntwo_phase \"keyed\" {}\n two_phase \"other\" {}") ==
          "f:2:1: 'keyed' is not repeatable and can't be put in two phases\n"
          "f:3:2: the settings name no vertical 'other'");
    const auto stated = two_phase_by_query_class(
        read_operator_config("two_phase \"part\" { least = \"7ms\" }", "f"), config, query_classes);
    CHECK(stated[0].enabled);
    CHECK(stated[0].min_first_phase == 7 * test::ms);
    CHECK_FALSE(stated[1].enabled);
}

TEST_CASE("times and sizes are read and written as operators do") {
    CHECK(parse_duration("1.5s") == 1500 * test::ms);
    CHECK(parse_duration("30us") == 30'000);
    CHECK_FALSE(
        (parse_duration("5") || parse_duration("ms") || parse_duration("1e99h") || parse_duration("-1s")));
    CHECK(parse_byte_size("4MiB") == 4U << 20);
    CHECK_FALSE((parse_byte_size("4MB") || parse_byte_size("nanB")));
    CHECK(format_duration(1500 * test::ms) == "1500ms");
    CHECK(format_duration(120'000 * test::ms) == "2m");
}

TEST_CASE("a file of the earlier shape keeps what holds at the new deployment and tells what it leaves") {
    const std::string old_file =
        "log { level = \"warn\" }\n\ntwo_phase \"part\" {\n  share = 0.3\n}\n\n"
        "two_phase \"gone\" {\n  share = 0.2\n}\ntwo_phase \"keyed\" { share = 0.2 }\n"
        "section_memory { bytes = \"8MiB\" }\n";
    const OperatorFileMigration m = migrate(old_file, "old.hcl", test::settings_text);
    REQUIRE(m.invalid_blocks.size() == 2);
    CHECK(m.invalid_blocks[0].position.line == 7);
    CHECK(m.invalid_blocks[0].message == "the new deployment has no vertical 'gone'");
    CHECK(m.invalid_blocks[1].position.line == 10);
    CHECK(m.invalid_blocks[1].message.find("not repeatable") != std::string::npos);
    // What is written reads back, with the left blocks as comments and the rest as it was.
    const OperatorConfig back = read_operator_config(m.text, "new.hcl");
    REQUIRE(back.phases.size() == 1);
    CHECK(back.phases[0].query_class == "part");
    CHECK(back.memory.max_bytes == 8u << 20);
    CHECK(m.text.find("# two_phase \"gone\" {") != std::string::npos);
    CHECK(m.text.find("# Not carried over: the new deployment has no vertical 'gone'.") != std::string::npos);
    CHECK(m.settings_summary.at(0) == "parts in one call: 2");
}

TEST_CASE("a file that can't be read is not carried over, and its mistakes are told by place") {
    CHECK_THROWS_AS(migrate("two_phase \"part\" { share = 2 }\n", "old.hcl", test::settings_text), HclErrors);
    CHECK_THROWS_AS(migrate("", "old.hcl", "{}"), ConfigError);
}

TEST_CASE("a call's own cost and its most parts come from the settings, checked, and default to none") {
    const RouterConfig plain = read_router_config(test::settings_text);
    CHECK(plain.max_requests_per_call == 2);
    CHECK(plain.call_overhead == 0);
    std::string costly = test::settings_text;
    costly.replace(costly.find("\"parts_a_call\": 2"), 17, "\"parts_a_call\": 8, \"call_cost\": 45.0");
    const RouterConfig t = read_router_config(costly);
    CHECK(t.max_requests_per_call == 8);
    CHECK(t.call_overhead == 45 * test::ms);
    std::string wrong = test::settings_text;
    wrong.replace(wrong.find("\"parts_a_call\": 2"), 17, "\"parts_a_call\": 0.5");
    CHECK_THROWS_AS(read_router_config(wrong), ConfigError);
}

TEST_CASE("the operators may state what a call carries; a wrong value is told by line and column") {
    const OperatorConfig stated = read_operator_config("calls {\n  parts = 8\n  cost = \"45ms\"\n}\n", "f");
    RouterConfig config = read_router_config(test::settings_text);
    ConnectionConfig link = read_connection_config(test::settings_text);
    apply_call_config(stated.calls, config, link);
    CHECK(config.max_requests_per_call == 8);
    CHECK(link.max_requests_per_call == 8);
    CHECK(config.call_overhead == 45 * test::ms);
    // Not stated: the settings stand.
    RouterConfig plain = read_router_config(test::settings_text);
    apply_call_config(read_operator_config("", "f").calls, plain, link);
    CHECK(plain.max_requests_per_call == 2);
    CHECK(wrong_in("calls {\n  parts = 0\n}\n").find("f:2:") == 0);
    CHECK(wrong_in("calls {\n  cost = 45\n}\n").find("f:2:") == 0);
}

TEST_CASE("a new deployment whose calls cost work gets a calls block to state, left as a comment") {
    std::string costly = test::settings_text;
    costly.replace(costly.find("\"parts_a_call\": 2"), 17, "\"parts_a_call\": 8, \"call_cost\": 45.0");
    const OperatorFileMigration m = migrate("log { level = \"warn\" }\n", "old.hcl", costly);
    CHECK(m.text.find("#   parts = 8") != std::string::npos);
    CHECK(m.text.find("#   cost  = \"45ms\"") != std::string::npos);
    CHECK(read_operator_config(m.text, "new.hcl").calls.is_set == false);
}

TEST_CASE("the member block names relays, with stewards or without; mistakes are told by place") {
    const MemberConfig t =
        read_operator_config("member {\n relays = [\"127.0.0.1:7\", \"127.0.0.1:8\"]\n}", "f").member;
    CHECK_FALSE(t.on);
    CHECK(t.relays.size() == 2);
    CHECK(t.relays.at(1).port == 8);
    CHECK(t.config_startup_wait == 2000 * test::ms);
    CHECK(read_operator_config("member {\n stewards = [\"127.0.0.1:7\"]\n}", "f").member.relays.empty());
    const MemberConfig both = read_operator_config(
                                  "member {\n stewards = [\"127.0.0.1:7\"]\n"
                                  " relays = [\"127.0.0.1:8\"]\n config_first_word = \"1s\"\n}",
                                  "f")
                                  .member;
    CHECK(both.on);
    CHECK(both.config_startup_wait == 1000 * test::ms);
    CHECK(wrong_in("member {}") == "f:1:1: 'stewards' and 'relays' name none");
    CHECK(wrong_in("\n member {\n relays = [\"here\"]\n config_first_word = 2\n}") ==
          "f:2:2: the relay 'here' is no address with a port\n"
          "f:2:2: 'stewards' and 'relays' name none\n"
          "f:4:22: 'config_first_word' is a number, not a time such as \"250ms\"");
    CHECK(wrong_in("member {\n relays = \"127.0.0.1:7\"\n}") ==
          "f:1:1: 'stewards' and 'relays' name none\nf:2:11: 'relays' is a string, not a list of strings");
}
