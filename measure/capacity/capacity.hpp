// Computes the tables of docs/CAPACITY.md and docs/capacity-slopes.md from a deployment's size and from
// measured slopes. Pure functions on text.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tealcart::capacity {

// Measured points: a size, and the figure that was measured at it.
using Points = std::vector<std::pair<double, double>>;

// A line fitted to points by least squares. The line of a single point is constant.
struct Fit {
    double fixed = 0, slope = 0;
    double residual = 0;  // the largest distance of a point from the line
};
Fit fit(const Points& points);

// A figure as a linear function of a size: an entry of the slopes file.
struct Slope {
    std::string name, unit, per, by, kind, words;
    Fit stated;               // the line as the file states it
    double from = 0, to = 0;  // the smallest and the largest measured size
    Points points;

    bool measured() const { return kind != "not measured"; }
    // Returns the figure at this size, at least 0; NaN if the slope was not measured.
    double value_at(double size) const;
    // Whether there are more than two points and the residual is over a tenth of the largest figure.
    bool is_nonlinear() const;
};

// One parameter of a deployment's size: an entry of the size file.
struct SizeParameter {
    std::string name, unit, words, from;
    double value = 0;
};

// The functions below throw std::runtime_error with a message of one line for malformed text or an unknown
// name.

// The size of a deployment, such as its numbers of routers and nodes, and the limits and aims that it has.
struct Size {
    std::vector<SizeParameter> parameters;
    double value_of(std::string_view name) const;
};
Size read_size(std::string_view json);

// All slopes of the slopes file, in its order.
struct Slopes {
    std::vector<Slope> all;
    const Slope& slope_of(std::string_view name) const;
    double value_at(std::string_view name, double size) const { return slope_of(name).value_at(size); }
};
Slopes read_slopes(std::string_view json);
std::string write_slopes(const Slopes& slopes);
// Returns the names of slopes whose stated line or range differs from the fit of their points.
std::vector<std::string> outdated_fits(const Slopes& slopes);
// Replaces the points of each slope that the lines `point NAME SIZE FIGURE` of a measurement name, and fits
// all slopes again. A slope that was not measured becomes measured. Of several lines for the same size it
// takes the smallest figure, since other work on a shared machine only increases it.
void take_points(Slopes& slopes, std::string_view lines);

// The load that follows from the size alone. Rates are per second.
struct Load {
    explicit Load(const Size& size);

    double attempts, router_queries, router_attempts, node_attempts;
    double pair_attempts;  // from one router to one node
    // If every router had a connection to every node.
    double connections, router_connections, node_connections;
    double router_attempts_in_flight;
    double max_late_share;  // share of late attempts at which just enough queries are on time
    double changes, restarts, list_changes, generations;  // mean rates
    double zone_nodes, zone_routers, other_routers, zone_node_bytes;
    double control_mb_s, zone_machines, renewals;
};

// A member renews its lease this many times within the lease's duration.
constexpr double renewals_per_lease = 5;

// Returns the calls per second of a long poll that is repeated at once. A call ends at the first update or
// after `timeout_s` seconds; updates come at random at this rate.
double long_poll_rate(double updates_per_second, double timeout_s);

// Returns the probability that all parts of a query are on time if each is late with `late_share`,
// independently of the others.
double probability_all_on_time(double late_share, double parts);
// The same, for at most `max_late` late parts.
double probability_few_late(double late_share, int parts, int max_late);
// Returns the mean number of calls after which a node whose share of late calls is `slow_share` is
// distinguished from one with `normal_share` (Wald's sequential test); an error has the probability 1 in
// `error_odds`.
double calls_to_distinguish(double slow_share, double normal_share, double error_odds);

// A table of a page; the text is its Markdown rows.
struct Table {
    std::string name, text;
};
// Returns all tables; the last one is of the slopes' page, the others are of the capacity page.
std::vector<Table> make_tables(const Size& size, const Slopes& slopes);

// Returns the page with these tables between their marks. Throws if a mark has no table, or a table no mark.
std::string rewrite_page(std::string_view page, const std::vector<Table>& tables);
// Returns the names of tables that differ from the page or have no mark on it.
std::vector<std::string> differing_tables(std::string_view page, const std::vector<Table>& tables);

// Format figures for the page: three significant digits, with a comma between thousands.
std::string format_figure(double value);
std::string format_bytes(double value);
std::string format_duration(double seconds);

}  // namespace tealcart::capacity
