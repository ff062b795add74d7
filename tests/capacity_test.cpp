// Tests the arithmetic of the capacity page: fitted lines and the load of a deployment's size. Also tests
// that tables, slopes and marks that differ are reported by name.
#include "capacity/capacity.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <fstream>
#include <iterator>

using namespace tealcart::capacity;
using Catch::Matchers::Contains;

namespace {

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    REQUIRE(in);
    return {std::istreambuf_iterator<char>(in), {}};
}
Size committed_size() { return read_size(read_file("measure/capacity/size.json")); }
std::string committed_page() { return read_file("docs/CAPACITY.md"); }
std::string committed_slopes_page() { return read_file("docs/capacity-slopes.md"); }
Slopes committed_slopes() { return read_slopes(read_file("measure/capacity/slopes.json")); }

// Returns the tables of docs/CAPACITY.md, which are all but the last one.
std::vector<Table> make_capacity_tables(const Size& size, const Slopes& slopes) {
    auto tables = make_tables(size, slopes);
    tables.pop_back();
    return tables;
}
// Returns the table of docs/capacity-slopes.md.
std::vector<Table> make_slopes_page_tables(const Slopes& slopes) {
    return {make_tables(committed_size(), slopes).back()};
}

// Returns the size with another value of this parameter.
Size with_value(Size size, const std::string& name, double value) {
    for (SizeParameter& parameter : size.parameters)
        if (parameter.name == name) parameter.value = value;
    return size;
}

}  // namespace

TEST_CASE("capacity: the fit of points is the least-squares line with its largest residual") {
    const Fit exact = fit({{1000, 3}, {10'000, 21}, {81'000, 163}});
    CHECK(exact.fixed == Approx(1));
    CHECK(exact.slope == Approx(0.002));
    CHECK(exact.residual == Approx(0).margin(1e-9));
    // Calculated by hand: mean (2, 3), slope 9 / 10 over x = 0, 1, 3, 4.
    const Fit inexact = fit({{0, 2}, {1, 1}, {3, 4}, {4, 5}});
    CHECK(inexact.slope == Approx(0.9));
    CHECK(inexact.fixed == Approx(1.2));
    CHECK(inexact.residual == Approx(1.1));
    CHECK(fit({{7, 5}}).fixed == 5);
    CHECK(fit({{7, 5}}).slope == 0);
    CHECK(fit({}).fixed == 0);
}

TEST_CASE("capacity: the committed size gives the expected load") {
    const Load load(committed_size());
    CHECK(load.attempts == Approx(148e6));
    CHECK(load.router_queries == Approx(555.6).epsilon(1e-3));
    CHECK(load.router_attempts == Approx(41'111).epsilon(1e-3));
    CHECK(load.node_attempts == Approx(1827.2).epsilon(1e-3));
    CHECK(load.pair_attempts == Approx(0.5075).epsilon(1e-3));
    CHECK(load.connections == Approx(291.6e6));
    CHECK(load.max_late_share == Approx(1.358e-4).epsilon(1e-3));
    CHECK(load.changes == Approx(0.1968).epsilon(1e-3));
    CHECK(load.restarts == Approx(0.2083).epsilon(1e-3));
    CHECK(load.list_changes == Approx(0.8333).epsilon(1e-3));
    CHECK(load.zone_nodes == 6750);
    CHECK(load.zone_routers == 300);
    CHECK(load.other_routers == 3300);
    CHECK(load.zone_node_bytes == Approx(73.2).epsilon(1e-3));
    CHECK(load.control_mb_s == Approx(93.6));
    CHECK(load.zone_machines == 3);
    CHECK(load.renewals == 1800);
    CHECK(load.router_attempts_in_flight == Approx(822.2).epsilon(1e-3));
}

TEST_CASE("capacity: a repeated long poll ends at an update or at its timeout") {
    CHECK(long_poll_rate(0, 2) == Approx(0.5));
    CHECK(long_poll_rate(100, 2) == Approx(100));
    // Calculated by hand: the mean duration of a call is (1 - e^-1) / 0.5 = 1.264 s.
    CHECK(long_poll_rate(0.5, 2) == Approx(0.791).epsilon(1e-3));
}

TEST_CASE("capacity: known shares of late calls give the expected probabilities of a fan-out") {
    CHECK(probability_all_on_time(1.358e-4, 74) == Approx(0.99).epsilon(1e-4));
    CHECK(probability_all_on_time(0.01, 74) == Approx(0.4753).epsilon(1e-3));
    CHECK(probability_few_late(0.01, 74, 0) == Approx(probability_all_on_time(0.01, 74)));
    // Calculated by hand: 0.99^74 + 74 * 0.01 * 0.99^73.
    CHECK(probability_few_late(0.01, 74, 1) == Approx(0.4753 + 0.3553).epsilon(1e-3));
    CHECK(probability_few_late(0.3, 5, 5) == Approx(1));
    // A node that is always late, against one that is late in 1 of 100 calls: ln 100 / ln 100.
    CHECK(calls_to_distinguish(1, 0.01, 100) == Approx(1));
    CHECK(calls_to_distinguish(0.2, 0.01, 100) ==
          Approx(std::log(100) / (0.2 * std::log(20) + 0.8 * std::log(0.8 / 0.99))));
}

TEST_CASE("capacity: figures are formatted with three significant digits and a unit") {
    CHECK(format_figure(0) == "0");
    CHECK(format_figure(0.5075) == "0.507");
    CHECK(format_figure(1.358) == "1.36");
    CHECK(format_figure(12.64) == "12.6");
    CHECK(format_figure(336) == "336");
    CHECK(format_figure(999.7) == "1,000");
    CHECK(format_figure(41'111.1) == "41,111");
    CHECK(format_figure(61.2e6) == "61.2 million");
    CHECK(format_figure(291.6e9) == "292 billion");
    CHECK(format_figure(std::nan("")) == "not measured");
    CHECK(format_bytes(157) == "157 B");
    CHECK(format_bytes(12.64e6) == "12.6 MB");
    CHECK(format_duration(0.0025) == "2.5 ms");
    CHECK(format_duration(489) == "8.15 min");
}

TEST_CASE("capacity: the committed pages equal those computed from the size and the slopes") {
    const Slopes slopes = committed_slopes();
    CHECK(outdated_fits(slopes).empty());
    const std::string page = committed_page();
    const auto tables = make_capacity_tables(committed_size(), slopes);
    CHECK(differing_tables(page, tables).empty());
    CHECK(rewrite_page(page, tables) == page);
    CHECK(differing_tables(committed_slopes_page(), make_slopes_page_tables(slopes)).empty());
    CHECK(rewrite_page(committed_slopes_page(), make_slopes_page_tables(slopes)) == committed_slopes_page());
    CHECK(write_slopes(slopes) == read_file("measure/capacity/slopes.json"));
}

TEST_CASE("capacity: a table that was edited by hand is reported and rewritten") {
    std::string page = committed_page();
    const auto tables = make_capacity_tables(committed_size(), committed_slopes());
    const auto row_position = page.find("| routers", page.find("<!-- table: relay -->"));
    REQUIRE(row_position != page.npos);
    page.replace(row_position, 9, "| Routers");
    CHECK(differing_tables(page, tables) == std::vector<std::string>{"relay"});
    CHECK(rewrite_page(page, tables) == committed_page());
}

TEST_CASE("capacity: a changed slope changes its tables, and a line that misses its points is reported") {
    const std::string page = committed_page();
    Slopes slopes = committed_slopes();
    for (Slope& slope : slopes.all)
        if (slope.name == "router.link_memory") slope.stated.slope *= 1.1;
    CHECK(outdated_fits(slopes) == std::vector<std::string>{"router.link_memory"});
    const auto names = differing_tables(page, make_capacity_tables(committed_size(), slopes));
    CHECK(differing_tables(committed_slopes_page(), make_slopes_page_tables(slopes)) ==
          std::vector<std::string>{"slopes"});
    for (const char* name : {"router-data", "needs"})
        CHECK(std::find(names.begin(), names.end(), name) != names.end());
    // With a changed point, the stated line is no longer the fit.
    slopes = committed_slopes();
    for (Slope& slope : slopes.all)
        if (slope.name == "router.link_memory") slope.points.back().second *= 1.1;
    CHECK(outdated_fits(slopes) == std::vector<std::string>{"router.link_memory"});
}

TEST_CASE("capacity: another size gives tables with the same names") {
    const auto committed_tables = make_capacity_tables(committed_size(), committed_slopes());
    Size small = committed_size();
    for (const auto& [name, value] : {std::pair("routers", 300.0), {"nodes", 1000.0}, {"queries", 2e4}})
        small = with_value(small, name, value);
    const auto tables = make_capacity_tables(small, committed_slopes());
    REQUIRE(tables.size() == committed_tables.size());
    for (std::size_t i = 0; i < tables.size(); ++i) CHECK(tables[i].name == committed_tables[i].name);
    const std::string page = rewrite_page(committed_page(), tables);
    CHECK(differing_tables(page, tables).empty());
    CHECK_FALSE(differing_tables(page, committed_tables).empty());
}

TEST_CASE("capacity: measured points replace those of their slope, and the line is fitted again") {
    Slopes slopes = committed_slopes();
    take_points(slopes,
                "another line\npoint router.link_memory 100 2\npoint router.link_memory 100 1\n"
                "point router.link_memory 300 3\npoint unknown.slope 1 1\n");
    const Slope& slope = slopes.slope_of("router.link_memory");
    CHECK(slope.points == Points{{100, 1}, {300, 3}});
    CHECK(slope.stated.slope == Approx(0.01));
    CHECK(slope.from == 100);
    CHECK(slope.to == 300);
    CHECK(outdated_fits(slopes).empty());
    CHECK_THROWS_WITH(take_points(slopes, "point router.link_memory x 1\n"),
                      Contains("expected a line 'point NAME SIZE FIGURE'"));
}

TEST_CASE("capacity: malformed marks and files are rejected with the reason") {
    const std::vector<Table> tables{{"a", "| x |\n"}};
    CHECK(rewrite_page("t\n<!-- table: a -->\nold\n<!-- end -->\nu", tables) ==
          "t\n<!-- table: a -->\n| x |\n<!-- end -->\nu");
    CHECK_THROWS_WITH(rewrite_page("<!-- table: b -->\n<!-- end -->", tables), Contains("unknown table 'b'"));
    CHECK_THROWS_WITH(rewrite_page("<!-- table: a -->\n", tables), Contains("no end mark"));
    CHECK_THROWS_WITH(rewrite_page("<!-- table: a --> and more\n<!-- end -->", tables),
                      Contains("on its own line"));
    CHECK_THROWS_WITH(rewrite_page("nothing", tables), Contains("'a' has no mark"));
    CHECK_THROWS_WITH(
        rewrite_page("<!-- table: a -->\n<!-- end -->\n<!-- table: a -->\n<!-- end -->", tables),
        Contains("'a' has two marks"));
    CHECK(differing_tables("nothing", tables) == std::vector<std::string>{"a"});

    CHECK_THROWS_WITH(read_size("{}"), Contains("not a JSON array"));
    CHECK_THROWS_WITH(read_size(R"([{"name":"a","words":"w","from":"f","value":0}])"),
                      Contains("'a' is 0, expected a number above 0"));
    CHECK_THROWS_WITH(read_size(R"([{"name":"a","words":"w","from":"f"}])"),
                      Contains("member 'value' is missing"));
    CHECK_THROWS_WITH(committed_size().value_of("nothing"), Contains("no entry 'nothing'"));
    CHECK_THROWS_WITH(committed_slopes().slope_of("nothing"), Contains("no entry 'nothing'"));
    const std::string head = R"([{"name":"a","unit":"ms","per":"node","by":"b","words":"w","kind":)";
    CHECK_THROWS_WITH(read_slopes(head + R"("guessed"}])"), Contains("unknown kind 'guessed'"));
    CHECK_THROWS_WITH(read_slopes(head + R"("measured","fixed":1,"slope":0,"residual":0,"from":1,"to":1}])"),
                      Contains("no points"));
    const Slopes unmeasured = read_slopes(head + R"("not measured"}])");
    CHECK(std::isnan(unmeasured.value_at("a", 5)));
    CHECK(outdated_fits(unmeasured).empty());
    // A figure is at least 0, however small the size.
    const Slopes negative = read_slopes(
        head + R"("measured","fixed":-1,"slope":1,"residual":0,"from":1,"to":3,"points":[[1,0],[3,2]]}])");
    CHECK(negative.value_at("a", 0.5) == 0);
}
