// The capacity page's arithmetic: a deployment's size, measured slopes, and the tables that follow from both.
// Pure functions on text; docs/CAPACITY.md is the page.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tealcart::capacity {

using Points = std::vector<std::pair<double, double>>;

// A line through points by least squares; of one point it is that figure, whatever the size.
struct Fit {
    double fixed = 0, slope = 0;
    double residual = 0;  // the farthest that a point lies from the line
};
Fit fit(const Points& points);

// A figure by size, as it stands in the file of slopes.
struct Slope {
    std::string name, unit, per, by, kind, words;
    Fit stated;
    double from = 0, to = 0;  // sizes that were measured
    Points points;

    bool measured() const { return kind != "not measured"; }
    // Not below nothing; NaN where it was not measured.
    double at(double size) const;
    bool bends() const;  // the residual is over a tenth of the largest figure
};

struct Stated {
    std::string name, unit, words, from;
    double value = 0;
};

// All of these throw std::runtime_error, in one line, on text that they can't use.
struct Size {
    std::vector<Stated> all;
    double of(std::string_view name) const;
};
Size read_size(std::string_view json);

struct Slopes {
    std::vector<Slope> all;
    const Slope& of(std::string_view name) const;
    double at(std::string_view name, double size) const { return of(name).at(size); }
};
Slopes read_slopes(std::string_view json);
std::string write_slopes(const Slopes& slopes);
// Names of slopes whose stated line is not the one through their points.
std::vector<std::string> misfits(const Slopes& slopes);
// Takes lines `point NAME SIZE FIGURE` of a measurement over those that stand there, and fits anew. Of two
// lines for the same size in one text the lesser holds: a shared machine only adds.
void take_points(Slopes& slopes, std::string_view lines);

// What follows from the size alone.
struct Load {
    explicit Load(const Size& size);

    double attempts, router_queries, router_calls, node_calls, pair_calls;  // a second
    double connections, router_connections, node_connections, calls_out;    // if every router knew every node
    double late_share;  // of a whole query's leaf calls each may be late with this
    double changes, restarts, list_changes, generations;  // a second, on the mean
    double zone_nodes, zone_routers, other_routers, zone_node_bytes;
    double control_mb_s, zone_machines, renewals;
};

// Calls a second of one that calls, waits for news, and calls again: news comes at this rate, by chance, and
// without any the call ends after so long.
double waiting_calls(double news, double wait);

// 1 where a query's parts all come in time, each of which is late with `late`, independently.
double all_on_time(double late, double parts);
// At most `missing` of them are late.
double but_few_on_time(double late, int parts, int missing);
// Calls until a node that is late with `slow` is told from one that is late with `sound`, on the mean, with
// the odds of one error in `odds` (Wald's sequential test).
double calls_to_tell(double slow, double sound, double odds);

struct Table {
    std::string name, text;
};
std::vector<Table> tables(const Size& size, const Slopes& slopes);

// The page with the tables between their marks. Throws where a mark has no table, or a table no mark.
std::string rewritten(std::string_view page, const std::vector<Table>& tables);
// Names of tables that stand otherwise on the page.
std::vector<std::string> differing(std::string_view page, const std::vector<Table>& tables);

// Figures as the page has them: three digits that matter, thousands apart.
std::string figure(double value);
std::string bytes(double value);
std::string span(double seconds);

}  // namespace tealcart::capacity
