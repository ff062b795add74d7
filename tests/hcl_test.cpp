// Tests of the parser and readers of operators' files, including the position of every error.
#include "config/hcl.hpp"

#include <catch2/catch.hpp>

#include "config/block_reader.hpp"
#include "config/migration.hpp"
#include "config/operator_config.hpp"
#include "config/units.hpp"
#include "helpers.hpp"

using namespace tealcart;

namespace {

std::string errors_in(const std::string& text) {
    try {
        read_operator_config(text, "f");
    } catch (const HclErrors& e) {
        return e.what();
    }
    return "";
}

}  // namespace

TEST_CASE("a file is parsed into blocks, attributes and literals with their positions") {
    const HclBlock file = parse_hcl(
        "a = 1 # one\n// two\nb \"x y\" z {\n  s = \"q\\n\\u00e9\\\\\" /* c */\n  l = [-1.5e1, true,\n "
        "null,]\n"
        "  o = { k = 1\n \"m n\": \"v\", p = false }\n  in {}\n}\n/* end */ c { d = 2 }",
        "f");
    REQUIRE(file.attributes.size() == 1);
    CHECK(std::get<double>(file.attributes[0].value.value) == 1);
    REQUIRE(file.blocks.size() == 2);
    const HclBlock& block = file.blocks[0];
    CHECK(block.type == "b");
    CHECK(block.labels == std::vector<std::string>{"x y", "z"});
    CHECK((block.position.line == 3 && block.position.column == 1));
    CHECK(std::get<std::string>(block.attributes[0].value.value) == "q\n\xc3\xa9\\");
    const auto& list = std::get<HclValue::List>(block.attributes[1].value.value);
    REQUIRE(list.size() == 3);
    CHECK(std::get<double>(list[0].value) == -15);
    CHECK(std::get<bool>(list[1].value));
    CHECK((list[2].position.line == 6 && list[2].position.column == 2));
    const auto& object = std::get<HclValue::Object>(block.attributes[2].value.value);
    REQUIRE(object.size() == 3);
    CHECK(object[1].key == "m n");
    CHECK(block.blocks.size() == 1);
    CHECK(file.blocks[1].attributes.size() == 1);
}

TEST_CASE("a syntax error is reported with line and column") {
    const auto [text, error] = GENERATE(table<std::string, std::string>({
        {"a = 1 2\n", "f:1:7: unexpected text after a value or block; expected the end of the line"},
        {"a {\n b = \"x\n}", "f:2:8: string is not terminated on its line; expected '\"'"},
        {"a {\n b = [1 2]\n}", "f:2:9: list is not terminated; expected ',' or ']'"},
        {"a {\n b = 5\n", "f:3:1: unexpected text in a block; expected an attribute, a block or '}'"},
        {"a = \"${x}\"", "f:1:6: string contains a template (\"${\" or \"%{\"), which is not supported"},
        {"/* x", "f:1:5: comment is not terminated; expected '*/'"},
        {"a = 1\na = 2", "f:2:1: 'a' occurs twice; expected once"},
        {"a = { b = 1, b = 2 }", "f:1:14: 'b' occurs twice; expected once"},
        {"}", "f:1:1: unexpected text in the file; expected an attribute or a block"},
        {"a = 1e999", "f:1:5: number 1e999 is out of range"},
    }));
    CHECK(errors_in(text) == error);
}

TEST_CASE("files that nest too deep, are too large or contain a zero byte are rejected") {
    CHECK(errors_in("a = " + std::string(5000, '[')).find("too deep") != std::string::npos);
    CHECK(errors_in(std::string(max_hcl_bytes + 1, ' ')) ==
          "f:1:1: file has 1048577 bytes; expected at most 1 MiB");
    CHECK(errors_in(std::string("a = 1\0", 6)).find("zero byte") != std::string::npos);
}

TEST_CASE("a truncated or altered file either parses or throws HclErrors") {
    const std::string valid_file =
        "two_phase \"part\" {\n  share = 0.3\n  least = \"5ms\" # x\n}\nlog { level = \"warn\" }\n";
    REQUIRE(errors_in(valid_file).empty());
    for (std::size_t i = 0; i < valid_file.size(); ++i) {
        errors_in(valid_file.substr(0, i));
        for (const char character : {'\0', '"', '{', '}', '\n', '\x80', '9'}) {
            std::string changed = valid_file;
            changed[i] = character;
            errors_in(changed);
        }
    }
}

TEST_CASE("all errors of a file are reported at once, in file order") {
    CHECK(errors_in("log {\n  level = \"loud\"\n  form = \"text\"\n}\n"
                    "two_phase {\n  share = \"0.3\"\n  least = \"5 ms\"\n  most = 7\n}\n"
                    "two_phase \"v\" {\n  share = 0.95\n  most_rows = 1.5\n  keep = \"-1ms\"\n}\n"
                    "section_memory { bytes = \"1KiB\" }\n"
                    "two_phase \"v\" {}\nsharding {}\n") ==
          "f:2:11: 'level' is \"loud\"; expected one of \"debug\", \"info\", \"warn\", \"error\"\n"
          "f:3:3: attribute 'form' is not known here\n"
          "f:5:1: a 'two_phase' block has 0 labels; expected one, the query class's name\n"
          "f:6:11: 'share' is a string; expected a number\n"
          "f:7:11: 'least' is \"5 ms\"; expected a duration: a number with one of ns, us, ms, s, m, h\n"
          "f:8:10: 'most' is a number; expected a duration such as \"250ms\"\n"
          "f:11:11: 'share' is 0.95; expected 0.01 to 0.9\n"
          "f:12:15: 'most_rows' is 1.5; expected an integer\n"
          "f:13:10: 'keep' is \"-1ms\"; expected a duration: a number with one of ns, us, ms, s, m, h\n"
          "f:15:26: 'bytes' is 1KiB; expected 4KiB to 1GiB\n"
          "f:16:1: there is more than one 'two_phase' block for 'v'; expected at most one\n"
          "f:17:1: block 'sharding' is not known here");
}

TEST_CASE("only repeatable query classes of the settings can run in two phases") {
    const RouterConfig config = read_router_config(test::settings_text);
    const auto query_classes = read_connection_config(test::settings_text).query_classes;
    const auto errors_of = [&](const std::string& text) -> std::string {
        try {
            two_phase_by_query_class(read_operator_config(text, "f"), config, query_classes);
        } catch (const HclErrors& e) {
            return e.what();
        }
        return "";
    };
    CHECK(errors_of("two_phase \"part\" { least = \"7ms\" }").empty());
    CHECK(errors_of("\ntwo_phase \"keyed\" {}\n two_phase \"other\" {}") ==
          "f:2:1: query class 'keyed' can't run in two phases: its semantics in the settings are not "
          "\"repeatable\"\n"
          "f:3:2: query class 'other' is not in the settings");
    const auto by_query_class = two_phase_by_query_class(
        read_operator_config("two_phase \"part\" { least = \"7ms\" }", "f"), config, query_classes);
    CHECK(by_query_class[0].enabled);
    CHECK(by_query_class[0].min_first_phase == 7 * test::ms);
    CHECK_FALSE(by_query_class[1].enabled);
}

TEST_CASE("durations and sizes are parsed and formatted with units") {
    CHECK(parse_duration("1.5s") == 1500 * test::ms);
    CHECK(parse_duration("30us") == 30'000);
    CHECK_FALSE(
        (parse_duration("5") || parse_duration("ms") || parse_duration("1e99h") || parse_duration("-1s")));
    CHECK(parse_byte_size("4MiB") == 4U << 20);
    CHECK_FALSE((parse_byte_size("4MB") || parse_byte_size("nanB")));
    CHECK(format_duration(1500 * test::ms) == "1500ms");
    CHECK(format_duration(120'000 * test::ms) == "2m");
}

TEST_CASE("migration keeps the blocks that are valid in the new deployment and lists the invalid ones") {
    const std::string old_file =
        "log { level = \"warn\" }\n\ntwo_phase \"part\" {\n  share = 0.3\n}\n\n"
        "two_phase \"gone\" {\n  share = 0.2\n}\ntwo_phase \"keyed\" { share = 0.2 }\n"
        "section_memory { bytes = \"8MiB\" }\n";
    const OperatorFileMigration migration = migrate(old_file, "old.hcl", test::settings_text);
    REQUIRE(migration.invalid_blocks.size() == 2);
    CHECK(migration.invalid_blocks[0].position.line == 7);
    CHECK(migration.invalid_blocks[0].message ==
          "query class 'gone' is not in the new deployment's settings");
    CHECK(migration.invalid_blocks[1].position.line == 10);
    CHECK(migration.invalid_blocks[1].message ==
          "query class 'keyed' can't run in two phases: its semantics in the new deployment are not "
          "\"repeatable\"");
    // The written file can be read, with the invalid blocks as comments and the rest unchanged.
    const OperatorConfig migrated = read_operator_config(migration.text, "new.hcl");
    REQUIRE(migrated.phases.size() == 1);
    CHECK(migrated.phases[0].query_class == "part");
    CHECK(migrated.memory.max_bytes == 8u << 20);
    CHECK(migration.text.find("# two_phase \"gone\" {") != std::string::npos);
    CHECK(migration.text.find(
              "# Not carried over: query class 'gone' is not in the new deployment's settings.") !=
          std::string::npos);
    CHECK(migration.settings_summary.at(0) == "shard requests in one call: at most 2");
}

TEST_CASE("migration throws on an invalid file or invalid settings") {
    CHECK_THROWS_AS(migrate("two_phase \"part\" { share = 2 }\n", "old.hcl", test::settings_text), HclErrors);
    CHECK_THROWS_AS(migrate("", "old.hcl", "{}"), ConfigError);
}

TEST_CASE("call overhead and requests per call are read from the settings, validated, and have defaults") {
    const RouterConfig defaults = read_router_config(test::settings_text);
    CHECK(defaults.max_requests_per_call == 2);
    CHECK(defaults.call_overhead == 0);
    std::string settings_with_cost = test::settings_text;
    settings_with_cost.replace(settings_with_cost.find("\"parts_a_call\": 2"), 17,
                               "\"parts_a_call\": 8, \"call_cost\": 45.0");
    const RouterConfig config = read_router_config(settings_with_cost);
    CHECK(config.max_requests_per_call == 8);
    CHECK(config.call_overhead == 45 * test::ms);
    std::string invalid_settings = test::settings_text;
    invalid_settings.replace(invalid_settings.find("\"parts_a_call\": 2"), 17, "\"parts_a_call\": 0.5");
    CHECK_THROWS_AS(read_router_config(invalid_settings), ConfigError);
}

TEST_CASE("a calls block overrides the settings; an invalid value is reported with its position") {
    const OperatorConfig operators =
        read_operator_config("calls {\n  parts = 8\n  cost = \"45ms\"\n}\n", "f");
    RouterConfig config = read_router_config(test::settings_text);
    ConnectionConfig connections = read_connection_config(test::settings_text);
    apply_call_config(operators.calls, config, connections);
    CHECK(config.max_requests_per_call == 8);
    CHECK(connections.max_requests_per_call == 8);
    CHECK(config.call_overhead == 45 * test::ms);
    // Without a calls block, the settings apply.
    RouterConfig defaults = read_router_config(test::settings_text);
    apply_call_config(read_operator_config("", "f").calls, defaults, connections);
    CHECK(defaults.max_requests_per_call == 2);
    CHECK(errors_in("calls {\n  parts = 0\n}\n").find("f:2:") == 0);
    CHECK(errors_in("calls {\n  cost = 45\n}\n").find("f:2:") == 0);
}

TEST_CASE("migration to a deployment with a call overhead adds a commented calls block") {
    std::string settings_with_cost = test::settings_text;
    settings_with_cost.replace(settings_with_cost.find("\"parts_a_call\": 2"), 17,
                               "\"parts_a_call\": 8, \"call_cost\": 45.0");
    const OperatorFileMigration migration =
        migrate("log { level = \"warn\" }\n", "old.hcl", settings_with_cost);
    CHECK(migration.text.find("#   parts = 8") != std::string::npos);
    CHECK(migration.text.find("#   cost  = \"45ms\"") != std::string::npos);
    CHECK(read_operator_config(migration.text, "new.hcl").calls.is_set == false);
}

TEST_CASE(
    "a member block may have relays with or without stewards; errors are reported with their position") {
    const MemberConfig relays_only =
        read_operator_config("member {\n relays = [\"127.0.0.1:7\", \"127.0.0.1:8\"]\n}", "f").member;
    CHECK_FALSE(relays_only.enabled);
    CHECK(relays_only.relays.size() == 2);
    CHECK(relays_only.relays.at(1).port == 8);
    CHECK(relays_only.config_startup_wait == 2000 * test::ms);
    CHECK(read_operator_config("member {\n stewards = [\"127.0.0.1:7\"]\n}", "f").member.relays.empty());
    const MemberConfig both = read_operator_config(
                                  "member {\n stewards = [\"127.0.0.1:7\"]\n"
                                  " relays = [\"127.0.0.1:8\"]\n config_first_word = \"1s\"\n}",
                                  "f")
                                  .member;
    CHECK(both.enabled);
    CHECK(both.config_startup_wait == 1000 * test::ms);
    CHECK(errors_in("member {\n name = \"a b\"\n stewards = [\"127.0.0.1:7\"]\n}") ==
          "f:1:1: 'name' is \"a b\"; expected up to 128 printable characters without blanks");
    CHECK(errors_in("member {}") ==
          "f:1:1: 'stewards' and 'relays' have no valid address; expected at least one");
    CHECK(errors_in("\n member {\n relays = [\"here\"]\n config_first_word = 2\n}") ==
          "f:2:2: the relay address 'here' is invalid; expected HOST:PORT\n"
          "f:2:2: 'stewards' and 'relays' have no valid address; expected at least one\n"
          "f:4:22: 'config_first_word' is a number; expected a duration such as \"250ms\"");
    CHECK(errors_in("member {\n relays = \"127.0.0.1:7\"\n}") ==
          "f:1:1: 'stewards' and 'relays' have no valid address; expected at least one\nf:2:11: 'relays' is "
          "a string; expected a list of strings");
}
