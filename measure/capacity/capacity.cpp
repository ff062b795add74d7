#include "capacity/capacity.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace tealcart::capacity {
namespace {

using Json = nlohmann::ordered_json;

[[noreturn]] void fail(const std::string& message) { throw std::runtime_error(message); }

Json parse_array(std::string_view text, const char* name) {
    Json array = Json::parse(text, nullptr, false);
    if (!array.is_array()) fail(std::string(name) + " is not a JSON array of entries");
    return array;
}

std::string read_string(const Json& entry, const char* key, bool required) {
    const auto it = entry.is_object() ? entry.find(key) : entry.end();
    if (!entry.is_object() || it == entry.end()) {
        if (required) fail(std::string("entry has no member '") + key + "': " + entry.dump());
        return {};
    }
    if (!it->is_string()) fail(std::string("member '") + key + "' is not a string: " + entry.dump());
    return it->get<std::string>();
}

double read_number(const Json& entry, const char* key) {
    const auto it = entry.find(key);
    if (it == entry.end() || !it->is_number())
        fail(std::string("member '") + key + "' is missing or not a number: " + entry.dump());
    return it->get<double>();
}

// Rounds to four significant digits, the precision of the slopes file.
double round_to_4_digits(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return std::strtod(text, nullptr);
}

// Whether a stated figure equals the fitted one within 0.1%, which allows for the rounding to four digits.
// The tolerance of a figure near 0 follows from `scale`, the largest figure of the slope.
bool nearly_equal(double stated, double fitted, double scale) {
    return std::abs(stated - fitted) <= 1e-3 * std::max(std::abs(fitted), 1e-3 * scale);
}

}  // namespace

Fit fit(const Points& points) {
    if (points.empty()) return {};
    double size_sum = 0, figure_sum = 0;
    for (const auto& [size, figure] : points) size_sum += size, figure_sum += figure;
    const auto count = static_cast<double>(points.size());
    double sum_of_squares = 0, sum_of_products = 0;
    for (const auto& [size, figure] : points)
        sum_of_squares += (size - size_sum / count) * (size - size_sum / count),
            sum_of_products += (size - size_sum / count) * (figure - figure_sum / count);
    Fit line;
    line.slope = sum_of_squares > 0 ? sum_of_products / sum_of_squares : 0;
    line.fixed = figure_sum / count - line.slope * size_sum / count;
    for (const auto& [size, figure] : points)
        line.residual = std::max(line.residual, std::abs(figure - line.fixed - line.slope * size));
    return line;
}

double Slope::value_at(double size) const {
    if (!measured()) return std::numeric_limits<double>::quiet_NaN();
    return std::max(0.0, stated.fixed + stated.slope * size);
}

bool Slope::is_nonlinear() const {
    double largest = 0;
    for (const auto& [size, figure] : points) largest = std::max(largest, std::abs(figure));
    return points.size() > 2 && stated.residual > largest / 10;
}

double Size::value_of(std::string_view name) const {
    for (const SizeParameter& parameter : parameters)
        if (parameter.name == name) return parameter.value;
    fail("the size file has no entry '" + std::string(name) + "'");
}

const Slope& Slopes::slope_of(std::string_view name) const {
    for (const Slope& slope : all)
        if (slope.name == name) return slope;
    fail("the slopes file has no entry '" + std::string(name) + "'");
}

Size read_size(std::string_view json) {
    Size size;
    for (const Json& entry : parse_array(json, "the size file")) {
        SizeParameter parameter{read_string(entry, "name", true), read_string(entry, "unit", false),
                                read_string(entry, "words", true), read_string(entry, "from", true),
                                read_number(entry, "value")};
        if (!(parameter.value > 0) || !std::isfinite(parameter.value))
            fail("size '" + parameter.name + "' is " + entry.at("value").dump() +
                 ", expected a number above 0");
        for (const SizeParameter& other : size.parameters)
            if (other.name == parameter.name) fail("size '" + parameter.name + "' is defined twice");
        size.parameters.push_back(std::move(parameter));
    }
    return size;
}

Slopes read_slopes(std::string_view json) {
    static const std::array<std::string_view, 4> kinds{"measured", "worked out", "published", "not measured"};
    Slopes slopes;
    for (const Json& entry : parse_array(json, "the slopes file")) {
        Slope slope;
        slope.name = read_string(entry, "name", true), slope.unit = read_string(entry, "unit", true);
        slope.per = read_string(entry, "per", true), slope.by = read_string(entry, "by", true);
        slope.kind = read_string(entry, "kind", true), slope.words = read_string(entry, "words", true);
        if (std::find(kinds.begin(), kinds.end(), slope.kind) == kinds.end())
            fail("slope '" + slope.name + "' has the unknown kind '" + slope.kind +
                 "', expected 'measured', 'worked out', 'published' or 'not measured'");
        if (slope.measured()) {
            slope.stated = {read_number(entry, "fixed"), read_number(entry, "slope"),
                            read_number(entry, "residual")};
            slope.from = read_number(entry, "from"), slope.to = read_number(entry, "to");
            const auto points = entry.find("points");
            if (points == entry.end() || !points->is_array() || points->empty())
                fail("slope '" + slope.name + "' has no points, expected a non-empty array 'points'");
            for (const Json& point : *points) {
                if (!point.is_array() || point.size() != 2 || !point[0].is_number() || !point[1].is_number())
                    fail("slope '" + slope.name +
                         "' has a point that is not a pair of numbers: " + point.dump());
                slope.points.emplace_back(point[0].get<double>(), point[1].get<double>());
            }
        }
        for (const Slope& other : slopes.all)
            if (other.name == slope.name) fail("slope '" + slope.name + "' is defined twice");
        slopes.all.push_back(std::move(slope));
    }
    return slopes;
}

std::string write_slopes(const Slopes& slopes) {
    std::string out = "[\n";
    for (const Slope& slope : slopes.all) {
        Json entry = {{"name", slope.name}, {"unit", slope.unit}, {"per", slope.per}};
        if (slope.measured()) {
            entry["fixed"] = slope.stated.fixed, entry["slope"] = slope.stated.slope,
            entry["residual"] = slope.stated.residual;
            entry["from"] = slope.from, entry["to"] = slope.to;
            Json points = Json::array();
            for (const auto& [size, figure] : slope.points) points.push_back({size, figure});
            entry["points"] = std::move(points);
        }
        entry["by"] = slope.by, entry["kind"] = slope.kind, entry["words"] = slope.words;
        out += ' ' + entry.dump() + (&slope == &slopes.all.back() ? "\n" : ",\n");
    }
    return out + "]\n";
}

std::vector<std::string> outdated_fits(const Slopes& slopes) {
    std::vector<std::string> names;
    for (const Slope& slope : slopes.all) {
        if (!slope.measured()) continue;
        const Fit line = fit(slope.points);
        double largest = 0, from = slope.points.front().first, to = from;
        for (const auto& [size, figure] : slope.points)
            largest = std::max(largest, std::abs(figure)), from = std::min(from, size),
            to = std::max(to, size);
        if (!nearly_equal(slope.stated.fixed, line.fixed, largest) ||
            !nearly_equal(slope.stated.slope * to, line.slope * to, largest) ||
            !nearly_equal(slope.stated.residual, line.residual, largest) || slope.from != from ||
            slope.to != to)
            names.push_back(slope.name);
    }
    return names;
}

void take_points(Slopes& slopes, std::string_view lines) {
    std::map<std::string, std::map<double, double>> points_by_name;
    std::istringstream in{std::string(lines)};
    for (std::string text; std::getline(in, text);) {
        std::istringstream words(text);
        std::string keyword, name;
        double size = 0, value = 0;
        if (!(words >> keyword) || keyword != "point") continue;
        if (!(words >> name >> size >> value)) fail("expected a line 'point NAME SIZE FIGURE': " + text);
        const auto [it, inserted] = points_by_name[name].try_emplace(size, value);
        if (!inserted) it->second = std::min(it->second, value);
    }
    for (const auto& [name, points] : points_by_name) {
        const auto it = std::find_if(slopes.all.begin(), slopes.all.end(),
                                     [&wanted = name](const Slope& slope) { return slope.name == wanted; });
        if (it == slopes.all.end()) continue;  // no entry of the slopes file has this name
        it->points.assign(points.begin(), points.end());
        if (!it->measured()) it->kind = "measured";
    }
    for (Slope& slope : slopes.all) {
        if (!slope.measured()) continue;
        const Fit line = fit(slope.points);
        slope.stated = {round_to_4_digits(line.fixed), round_to_4_digits(line.slope),
                        round_to_4_digits(line.residual)};
        slope.from = slope.to = slope.points.front().first;
        for (const auto& [point_size, point_figure] : slope.points)
            slope.from = std::min(slope.from, point_size), slope.to = std::max(slope.to, point_size);
    }
}

Load::Load(const Size& size) {
    const auto value_of = [&size](const char* name) { return size.value_of(name); };
    constexpr double seconds_per_day = 86'400;
    const double routers = value_of("routers"), nodes = value_of("nodes");
    attempts = value_of("queries") * value_of("parts");
    router_queries = value_of("queries") / routers;
    router_attempts = attempts / routers;
    node_attempts = attempts / nodes;
    pair_attempts = attempts / routers / nodes;
    connections = routers * nodes;
    router_connections = nodes;
    node_connections = routers;
    router_attempts_in_flight = router_attempts * value_of("leaf_ms") / 1e3;
    max_late_share = 1 - std::pow(value_of("slo_share"), 1 / value_of("parts"));
    changes = value_of("changes_a_day") / seconds_per_day;
    restarts = value_of("restarts_a_day") / seconds_per_day;
    list_changes = restarts * value_of("list_changes");
    generations = restarts * 2;  // a drain and an undrain
    zone_nodes = nodes / value_of("zones");
    zone_routers = routers / value_of("zones");
    other_routers = routers - zone_routers;
    zone_node_bytes = value_of("control_kb_s") * 1e3 * value_of("in_force_s") / zone_nodes;
    control_mb_s = value_of("control_kb_s") * routers / 1e3;
    zone_machines = std::ceil(value_of("machines") / value_of("zones"));
    renewals = routers / (value_of("lease_s") / renewals_per_lease);
}

double long_poll_rate(double updates_per_second, double timeout_s) {
    return updates_per_second * timeout_s < 1e-9
               ? 1 / timeout_s
               : updates_per_second / (1 - std::exp(-updates_per_second * timeout_s));
}

double probability_all_on_time(double late_share, double parts) { return std::pow(1 - late_share, parts); }

double probability_few_late(double late_share, int parts, int max_late) {
    double sum = 0, probability = std::pow(1 - late_share, parts);
    for (int late_count = 0; late_count <= max_late && late_count <= parts; ++late_count) {
        sum += probability;
        probability *= (parts - late_count) / (late_count + 1.0) * late_share / (1 - late_share);
    }
    return std::min(1.0, sum);
}

double calls_to_distinguish(double slow_share, double normal_share, double error_odds) {
    const double divergence =
        slow_share * std::log(slow_share / normal_share) +
        (slow_share < 1 ? (1 - slow_share) * std::log((1 - slow_share) / (1 - normal_share)) : 0);
    return std::max(1.0, std::log(error_odds) / divergence);
}

namespace {

// The place of a table on a page.
struct MarkedTable {
    std::string name;
    std::size_t from = 0, to = 0;  // range of the text between the marks
};

std::vector<MarkedTable> find_marked_tables(std::string_view page) {
    constexpr std::string_view begin_mark = "<!-- table: ", begin_mark_end = " -->\n",
                               end_mark = "<!-- end -->";
    std::vector<MarkedTable> tables;
    for (std::size_t position = 0; (position = page.find(begin_mark, position)) != page.npos;) {
        const std::size_t name_begin = position + begin_mark.size(),
                          name_end = page.find(begin_mark_end, name_begin);
        const std::size_t line_end = page.find('\n', name_begin);
        if (name_end == page.npos || line_end != name_end + begin_mark_end.size() - 1)
            fail("a table mark of the page is not '<!-- table: NAME -->' on its own line");
        MarkedTable table{std::string(page.substr(name_begin, name_end - name_begin)),
                          name_end + begin_mark_end.size(), 0};
        table.to = page.find(end_mark, table.from);
        if (table.to == page.npos ||
            page.substr(table.from, table.to - table.from).find(begin_mark) != page.npos)
            fail("table '" + table.name + "' of the page has no end mark '<!-- end -->'");
        position = table.to + end_mark.size();
        tables.push_back(std::move(table));
    }
    return tables;
}

const Table& find_table(const std::vector<Table>& tables, const std::string& name) {
    for (const Table& table : tables)
        if (table.name == name) return table;
    fail("the page has a mark for the unknown table '" + name + "'");
}

}  // namespace

std::string rewrite_page(std::string_view page, const std::vector<Table>& tables) {
    std::string out;
    std::size_t copied_to = 0;
    std::map<std::string, int> mark_counts;
    for (const MarkedTable& mark : find_marked_tables(page)) {
        if (++mark_counts[mark.name] > 1)
            fail("table '" + mark.name + "' has two marks on the page, expected one");
        out.append(page.substr(copied_to, mark.from - copied_to)).append(find_table(tables, mark.name).text);
        copied_to = mark.to;
    }
    for (const Table& table : tables)
        if (!mark_counts.contains(table.name)) fail("table '" + table.name + "' has no mark on the page");
    return out.append(page.substr(copied_to));
}

std::vector<std::string> differing_tables(std::string_view page, const std::vector<Table>& tables) {
    std::vector<std::string> names;
    for (const MarkedTable& mark : find_marked_tables(page))
        if (page.substr(mark.from, mark.to - mark.from) != find_table(tables, mark.name).text)
            names.push_back(mark.name);
    for (const Table& table : tables)
        if (page.find("<!-- table: " + table.name + " -->") == page.npos) names.push_back(table.name);
    return names;
}

std::string format_figure(double value) {
    if (std::isnan(value)) return "not measured";
    if (value < 0) return "-" + format_figure(-value);
    if (value >= 999.5e6) return format_figure(value / 1e9) + " billion";
    if (value >= 999.5e3) return format_figure(value / 1e6) + " million";
    char text[48];
    if (value >= 999.5) {
        const auto whole = std::llround(value);
        std::snprintf(text, sizeof text, "%lld,%03lld", whole / 1000, whole % 1000);
        return text;
    }
    if (value == 0) return "0";
    if (value < 1e-4) {
        std::snprintf(text, sizeof text, "%.2g", value);
        return text;
    }
    const int digits = std::max(0, 2 - static_cast<int>(std::floor(std::log10(value) + 1e-9)));
    std::snprintf(text, sizeof text, "%.*f", std::min(digits, 6), value);
    std::string out = text;
    if (out.find('.') != out.npos) {
        out.erase(out.find_last_not_of('0') + 1);
        if (out.back() == '.') out.pop_back();
    }
    return out;
}

std::string format_bytes(double value) {
    if (std::isnan(value)) return format_figure(value);
    const auto [divisor, unit] = value >= 999.5e6   ? std::pair(1e9, " GB")
                                 : value >= 999.5e3 ? std::pair(1e6, " MB")
                                 : value >= 999.5   ? std::pair(1e3, " KB")
                                                    : std::pair(1.0, " B");
    return format_figure(value / divisor) + unit;
}

std::string format_duration(double seconds) {
    if (std::isnan(seconds)) return format_figure(seconds);
    const auto [divisor, unit] = seconds >= 5400     ? std::pair(3600.0, " h")
                                 : seconds >= 119.5  ? std::pair(60.0, " min")
                                 : seconds >= 0.9995 ? std::pair(1.0, " s")
                                 : seconds >= 1e-3   ? std::pair(1e-3, " ms")
                                                     : std::pair(1e-6, " us");
    return format_figure(seconds / divisor) + unit;
}

}  // namespace tealcart::capacity
