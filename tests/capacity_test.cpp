// The capacity page's arithmetic: the line through points, what follows from a size, and that a page, a slope
// or a mark that differs is named.
#include "capacity/capacity.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <fstream>
#include <iterator>

using namespace tealcart::capacity;
using Catch::Matchers::Contains;

namespace {

std::string file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    REQUIRE(in);
    return {std::istreambuf_iterator<char>(in), {}};
}
Size our_size() { return read_size(file("measure/capacity/size.json")); }
std::string our_page() { return file("docs/CAPACITY.md"); }
std::string our_slopes_page() { return file("docs/capacity-slopes.md"); }
Slopes our_slopes() { return read_slopes(file("measure/capacity/slopes.json")); }

// Those of the page, and the one that has a page of its own.
std::vector<Table> made_of(const Size& size, const Slopes& slopes) {
    auto all = tables(size, slopes);
    all.pop_back();
    return all;
}
std::vector<Table> slopes_table(const Slopes& slopes) { return {tables(our_size(), slopes).back()}; }

// Another number in the place of a stated one.
Size with(Size size, const std::string& name, double value) {
    for (Stated& s : size.all)
        if (s.name == name) s.value = value;
    return size;
}

}  // namespace

TEST_CASE("capacity: a line is the least squares' one, with its farthest point") {
    const Fit exact = fit({{1000, 3}, {10'000, 21}, {81'000, 163}});
    CHECK(exact.fixed == Approx(1));
    CHECK(exact.slope == Approx(0.002));
    CHECK(exact.residual == Approx(0).margin(1e-9));
    // By hand: mean (2, 3), slope 5 / 5 = 1 over x = 0, 1, 3, 4.
    const Fit off = fit({{0, 2}, {1, 1}, {3, 4}, {4, 5}});
    CHECK(off.slope == Approx(0.9));
    CHECK(off.fixed == Approx(1.2));
    CHECK(off.residual == Approx(1.1));
    CHECK(fit({{7, 5}}).fixed == 5);
    CHECK(fit({{7, 5}}).slope == 0);
    CHECK(fit({}).fixed == 0);
}

TEST_CASE("capacity: what follows from the letter's size") {
    const Load l(our_size());
    CHECK(l.attempts == Approx(148e6));
    CHECK(l.router_queries == Approx(555.6).epsilon(1e-3));
    CHECK(l.router_calls == Approx(41'111).epsilon(1e-3));
    CHECK(l.node_calls == Approx(1827.2).epsilon(1e-3));
    CHECK(l.pair_calls == Approx(0.5075).epsilon(1e-3));
    CHECK(l.connections == Approx(291.6e6));
    CHECK(l.late_share == Approx(1.358e-4).epsilon(1e-3));
    CHECK(l.changes == Approx(0.1968).epsilon(1e-3));
    CHECK(l.restarts == Approx(0.2083).epsilon(1e-3));
    CHECK(l.list_changes == Approx(0.8333).epsilon(1e-3));
    CHECK(l.zone_nodes == 6750);
    CHECK(l.zone_routers == 300);
    CHECK(l.other_routers == 3300);
    CHECK(l.zone_node_bytes == Approx(73.2).epsilon(1e-3));
    CHECK(l.control_mb_s == Approx(93.6));
    CHECK(l.zone_machines == 3);
    CHECK(l.renewals == 1800);
    CHECK(l.calls_out == Approx(822.2).epsilon(1e-3));
}

TEST_CASE("capacity: calls that wait for news") {
    CHECK(waiting_calls(0, 2) == Approx(0.5));
    CHECK(waiting_calls(100, 2) == Approx(100));
    // By hand: the mean length of a call is (1 - e^-1) / 0.5 = 1.264 s.
    CHECK(waiting_calls(0.5, 2) == Approx(0.791).epsilon(1e-3));
}

TEST_CASE("capacity: chances of a fan-out") {
    CHECK(all_on_time(1.358e-4, 74) == Approx(0.99).epsilon(1e-4));
    CHECK(all_on_time(0.01, 74) == Approx(0.4753).epsilon(1e-3));
    CHECK(but_few_on_time(0.01, 74, 0) == Approx(all_on_time(0.01, 74)));
    // By hand: 0.99^74 + 74 * 0.01 * 0.99^73.
    CHECK(but_few_on_time(0.01, 74, 1) == Approx(0.4753 + 0.3553).epsilon(1e-3));
    CHECK(but_few_on_time(0.3, 5, 5) == Approx(1));
    // One that is late always against one in a hundred: ln 100 / ln 100.
    CHECK(calls_to_tell(1, 0.01, 100) == Approx(1));
    CHECK(calls_to_tell(0.2, 0.01, 100) ==
          Approx(std::log(100) / (0.2 * std::log(20) + 0.8 * std::log(0.8 / 0.99))));
}

TEST_CASE("capacity: figures as the page has them") {
    CHECK(figure(0) == "0");
    CHECK(figure(0.5075) == "0.507");
    CHECK(figure(1.358) == "1.36");
    CHECK(figure(12.64) == "12.6");
    CHECK(figure(336) == "336");
    CHECK(figure(999.7) == "1,000");
    CHECK(figure(41'111.1) == "41,111");
    CHECK(figure(61.2e6) == "61.2 million");
    CHECK(figure(291.6e9) == "292 billion");
    CHECK(figure(std::nan("")) == "not measured");
    CHECK(bytes(157) == "157 B");
    CHECK(bytes(12.64e6) == "12.6 MB");
    CHECK(span(0.0025) == "2.5 ms");
    CHECK(span(489) == "8.15 min");
}

TEST_CASE("capacity: the committed page is what size and slopes give") {
    const Slopes slopes = our_slopes();
    CHECK(misfits(slopes).empty());
    const std::string page = our_page();
    const auto made = made_of(our_size(), slopes);
    CHECK(differing(page, made).empty());
    CHECK(rewritten(page, made) == page);
    CHECK(differing(our_slopes_page(), slopes_table(slopes)).empty());
    CHECK(rewritten(our_slopes_page(), slopes_table(slopes)) == our_slopes_page());
    CHECK(write_slopes(slopes) == file("measure/capacity/slopes.json"));
}

TEST_CASE("capacity: a table that was edited by hand is named") {
    std::string page = our_page();
    const auto made = made_of(our_size(), our_slopes());
    const auto at = page.find("| routers", page.find("<!-- table: relay -->"));
    REQUIRE(at != page.npos);
    page.replace(at, 9, "| Routers");
    CHECK(differing(page, made) == std::vector<std::string>{"relay"});
    CHECK(rewritten(page, made) == our_page());
}

TEST_CASE("capacity: another slope is another page, and a line off its points is named") {
    const std::string page = our_page();
    Slopes slopes = our_slopes();
    for (Slope& s : slopes.all)
        if (s.name == "router.link_memory") s.stated.slope *= 1.1;
    CHECK(misfits(slopes) == std::vector<std::string>{"router.link_memory"});
    const auto names = differing(page, made_of(our_size(), slopes));
    CHECK(differing(our_slopes_page(), slopes_table(slopes)) == std::vector<std::string>{"slopes"});
    for (const char* name : {"router-data", "needs"})
        CHECK(std::find(names.begin(), names.end(), name) != names.end());
    // A point alone: the line is not through it any more.
    slopes = our_slopes();
    for (Slope& s : slopes.all)
        if (s.name == "router.link_memory") s.points.back().second *= 1.1;
    CHECK(misfits(slopes) == std::vector<std::string>{"router.link_memory"});
}

TEST_CASE("capacity: an operator's own size gives tables of the same names") {
    const auto ours = made_of(our_size(), our_slopes());
    Size small = our_size();
    for (const auto& [name, value] : {std::pair("routers", 300.0), {"nodes", 1000.0}, {"queries", 2e4}})
        small = with(small, name, value);
    const auto made = made_of(small, our_slopes());
    REQUIRE(made.size() == ours.size());
    for (std::size_t i = 0; i < made.size(); ++i) CHECK(made[i].name == ours[i].name);
    const std::string page = rewritten(our_page(), made);
    CHECK(differing(page, made).empty());
    CHECK_FALSE(differing(page, ours).empty());
}

TEST_CASE("capacity: measured points are taken over and fitted anew") {
    Slopes slopes = our_slopes();
    take_points(slopes,
                "some words\npoint router.link_memory 100 2\npoint router.link_memory 100 1\n"
                "point router.link_memory 300 3\npoint nobody.asks 1 1\n");
    const Slope& s = slopes.of("router.link_memory");
    CHECK(s.points == Points{{100, 1}, {300, 3}});
    CHECK(s.stated.slope == Approx(0.01));
    CHECK(s.from == 100);
    CHECK(s.to == 300);
    CHECK(misfits(slopes).empty());
    CHECK_THROWS_WITH(take_points(slopes, "point router.link_memory x 1\n"), Contains("not 'point"));
}

TEST_CASE("capacity: marks and files that can't be used are told") {
    const std::vector<Table> one{{"a", "| x |\n"}};
    CHECK(rewritten("t\n<!-- table: a -->\nold\n<!-- end -->\nu", one) ==
          "t\n<!-- table: a -->\n| x |\n<!-- end -->\nu");
    CHECK_THROWS_WITH(rewritten("<!-- table: b -->\n<!-- end -->", one), Contains("'b'"));
    CHECK_THROWS_WITH(rewritten("<!-- table: a -->\n", one), Contains("no end"));
    CHECK_THROWS_WITH(rewritten("<!-- table: a --> and more\n<!-- end -->", one), Contains("mark"));
    CHECK_THROWS_WITH(rewritten("nothing", one), Contains("no mark"));
    CHECK_THROWS_WITH(rewritten("<!-- table: a -->\n<!-- end -->\n<!-- table: a -->\n<!-- end -->", one),
                      Contains("twice"));
    CHECK(differing("nothing", one) == std::vector<std::string>{"a"});

    CHECK_THROWS_WITH(read_size("{}"), Contains("no JSON list"));
    CHECK_THROWS_WITH(read_size(R"([{"name":"a","words":"w","from":"f","value":0}])"), Contains("above"));
    CHECK_THROWS_WITH(read_size(R"([{"name":"a","words":"w","from":"f"}])"), Contains("'value'"));
    CHECK_THROWS_WITH(our_size().of("nothing"), Contains("'nothing'"));
    CHECK_THROWS_WITH(our_slopes().of("nothing"), Contains("'nothing'"));
    const std::string head = R"([{"name":"a","unit":"ms","per":"node","by":"b","words":"w","kind":)";
    CHECK_THROWS_WITH(read_slopes(head + R"("guessed"}])"), Contains("no known kind"));
    CHECK_THROWS_WITH(read_slopes(head + R"("measured","fixed":1,"slope":0,"residual":0,"from":1,"to":1}])"),
                      Contains("no points"));
    const Slopes none = read_slopes(head + R"("not measured"}])");
    CHECK(std::isnan(none.at("a", 5)));
    CHECK(misfits(none).empty());
    // A figure is never below nothing, however small the size.
    const Slopes low = read_slopes(
        head + R"("measured","fixed":-1,"slope":1,"residual":0,"from":1,"to":3,"points":[[1,0],[3,2]]}])");
    CHECK(low.at("a", 0.5) == 0);
}
