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

[[noreturn]] void fail(const std::string& what) { throw std::runtime_error(what); }

Json parse(std::string_view text, const char* what) {
    Json in = Json::parse(text, nullptr, false);
    if (!in.is_array()) fail(std::string(what) + " is no JSON list");
    return in;
}

std::string text_of(const Json& in, const char* key, bool needed) {
    const auto it = in.is_object() ? in.find(key) : in.end();
    if (!in.is_object() || it == in.end()) {
        if (needed) fail(std::string("an entry lacks '") + key + "': " + in.dump());
        return {};
    }
    if (!it->is_string()) fail(std::string("'") + key + "' is no string: " + in.dump());
    return it->get<std::string>();
}

double number_of(const Json& in, const char* key) {
    const auto it = in.find(key);
    if (it == in.end() || !it->is_number()) fail(std::string("'") + key + "' is no number: " + in.dump());
    return it->get<double>();
}

// Four digits, as they stand in the file.
double rounded(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return std::strtod(text, nullptr);
}

bool same(double stated, double found, double scale) {
    return std::abs(stated - found) <= 1e-3 * std::max(std::abs(found), 1e-3 * scale);
}

}  // namespace

Fit fit(const Points& points) {
    if (points.empty()) return {};
    double sx = 0, sy = 0;
    for (const auto& [x, y] : points) sx += x, sy += y;
    const auto n = static_cast<double>(points.size());
    double xx = 0, xy = 0;
    for (const auto& [x, y] : points) xx += (x - sx / n) * (x - sx / n), xy += (x - sx / n) * (y - sy / n);
    Fit f;
    f.slope = xx > 0 ? xy / xx : 0;
    f.fixed = sy / n - f.slope * sx / n;
    for (const auto& [x, y] : points) f.residual = std::max(f.residual, std::abs(y - f.fixed - f.slope * x));
    return f;
}

double Slope::at(double size) const {
    if (!measured()) return std::numeric_limits<double>::quiet_NaN();
    return std::max(0.0, stated.fixed + stated.slope * size);
}

bool Slope::bends() const {
    double most = 0;
    for (const auto& [x, y] : points) most = std::max(most, std::abs(y));
    return points.size() > 2 && stated.residual > most / 10;
}

double Size::of(std::string_view name) const {
    for (const Stated& s : all)
        if (s.name == name) return s.value;
    fail("the size lacks '" + std::string(name) + "'");
}

const Slope& Slopes::of(std::string_view name) const {
    for (const Slope& s : all)
        if (s.name == name) return s;
    fail("the slopes lack '" + std::string(name) + "'");
}

Size read_size(std::string_view json) {
    Size size;
    for (const Json& in : parse(json, "the size")) {
        Stated s{text_of(in, "name", true), text_of(in, "unit", false), text_of(in, "words", true),
                 text_of(in, "from", true), number_of(in, "value")};
        if (!(s.value > 0) || !std::isfinite(s.value)) fail("'" + s.name + "' is not above nothing");
        for (const Stated& other : size.all)
            if (other.name == s.name) fail("'" + s.name + "' is stated twice");
        size.all.push_back(std::move(s));
    }
    return size;
}

Slopes read_slopes(std::string_view json) {
    static const std::array<std::string_view, 4> kinds{"measured", "worked out", "published", "not measured"};
    Slopes slopes;
    for (const Json& in : parse(json, "the file of slopes")) {
        Slope s;
        s.name = text_of(in, "name", true), s.unit = text_of(in, "unit", true);
        s.per = text_of(in, "per", true), s.by = text_of(in, "by", true);
        s.kind = text_of(in, "kind", true), s.words = text_of(in, "words", true);
        if (std::find(kinds.begin(), kinds.end(), s.kind) == kinds.end())
            fail("'" + s.name + "' is of no known kind: " + s.kind);
        if (s.measured()) {
            s.stated = {number_of(in, "fixed"), number_of(in, "slope"), number_of(in, "residual")};
            s.from = number_of(in, "from"), s.to = number_of(in, "to");
            const auto points = in.find("points");
            if (points == in.end() || !points->is_array() || points->empty())
                fail("'" + s.name + "' has no points");
            for (const Json& p : *points) {
                if (!p.is_array() || p.size() != 2 || !p[0].is_number() || !p[1].is_number())
                    fail("a point of '" + s.name + "' is no pair of numbers");
                s.points.emplace_back(p[0].get<double>(), p[1].get<double>());
            }
        }
        for (const Slope& other : slopes.all)
            if (other.name == s.name) fail("'" + s.name + "' stands twice");
        slopes.all.push_back(std::move(s));
    }
    return slopes;
}

std::string write_slopes(const Slopes& slopes) {
    std::string out = "[\n";
    for (const Slope& s : slopes.all) {
        Json one = {{"name", s.name}, {"unit", s.unit}, {"per", s.per}};
        if (s.measured()) {
            one["fixed"] = s.stated.fixed, one["slope"] = s.stated.slope, one["residual"] = s.stated.residual;
            one["from"] = s.from, one["to"] = s.to;
            Json points = Json::array();
            for (const auto& [x, y] : s.points) points.push_back({x, y});
            one["points"] = std::move(points);
        }
        one["by"] = s.by, one["kind"] = s.kind, one["words"] = s.words;
        out += ' ' + one.dump() + (&s == &slopes.all.back() ? "\n" : ",\n");
    }
    return out + "]\n";
}

std::vector<std::string> misfits(const Slopes& slopes) {
    std::vector<std::string> names;
    for (const Slope& s : slopes.all) {
        if (!s.measured()) continue;
        const Fit f = fit(s.points);
        double most = 0, from = s.points.front().first, to = from;
        for (const auto& [x, y] : s.points)
            most = std::max(most, std::abs(y)), from = std::min(from, x), to = std::max(to, x);
        if (!same(s.stated.fixed, f.fixed, most) || !same(s.stated.slope * to, f.slope * to, most) ||
            !same(s.stated.residual, f.residual, most) || s.from != from || s.to != to)
            names.push_back(s.name);
    }
    return names;
}

void take_points(Slopes& slopes, std::string_view lines) {
    std::map<std::string, std::map<double, double>> taken;
    std::istringstream in{std::string(lines)};
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string first, name;
        double size = 0, value = 0;
        if (!(words >> first) || first != "point") continue;
        if (!(words >> name >> size >> value)) fail("not 'point NAME SIZE FIGURE': " + line);
        const auto [it, fresh] = taken[name].try_emplace(size, value);
        if (!fresh) it->second = std::min(it->second, value);
    }
    for (const auto& [name, points] : taken) {
        const auto it = std::find_if(slopes.all.begin(), slopes.all.end(),
                                     [&n = name](const Slope& s) { return s.name == n; });
        if (it == slopes.all.end()) continue;  // of no use to the page
        it->points.assign(points.begin(), points.end());
        if (!it->measured()) it->kind = "measured";
    }
    for (Slope& s : slopes.all) {
        if (!s.measured()) continue;
        const Fit f = fit(s.points);
        s.stated = {rounded(f.fixed), rounded(f.slope), rounded(f.residual)};
        s.from = s.to = s.points.front().first;
        for (const auto& [x, y] : s.points) s.from = std::min(s.from, x), s.to = std::max(s.to, x);
    }
}

Load::Load(const Size& size) {
    const auto of = [&size](const char* name) { return size.of(name); };
    constexpr double day = 86'400;
    const double routers = of("routers"), nodes = of("nodes");
    attempts = of("queries") * of("parts");
    router_queries = of("queries") / routers;
    router_calls = attempts / routers;
    node_calls = attempts / nodes;
    pair_calls = attempts / routers / nodes;
    connections = routers * nodes;
    router_connections = nodes;
    node_connections = routers;
    calls_out = router_calls * of("leaf_ms") / 1e3;
    late_share = 1 - std::pow(of("slo_share"), 1 / of("parts"));
    changes = of("changes_a_day") / day;
    restarts = of("restarts_a_day") / day;
    list_changes = restarts * of("list_changes");
    generations = restarts * 2;  // it goes out and comes back by agreement
    zone_nodes = nodes / of("zones");
    zone_routers = routers / of("zones");
    other_routers = routers - zone_routers;
    zone_node_bytes = of("control_kb_s") * 1e3 * of("in_force_s") / zone_nodes;
    control_mb_s = of("control_kb_s") * routers / 1e3;
    zone_machines = std::ceil(of("machines") / of("zones"));
    renewals = routers / (of("lease_s") / 5);
}

double waiting_calls(double news, double wait) {
    return news * wait < 1e-9 ? 1 / wait : news / (1 - std::exp(-news * wait));
}

double all_on_time(double late, double parts) { return std::pow(1 - late, parts); }

double but_few_on_time(double late, int parts, int missing) {
    double sum = 0, chance = std::pow(1 - late, parts);
    for (int k = 0; k <= missing && k <= parts; ++k) {
        sum += chance;
        chance *= (parts - k) / (k + 1.0) * late / (1 - late);
    }
    return std::min(1.0, sum);
}

double calls_to_tell(double slow, double sound, double odds) {
    const double each =
        slow * std::log(slow / sound) + (slow < 1 ? (1 - slow) * std::log((1 - slow) / (1 - sound)) : 0);
    return std::max(1.0, std::log(odds) / each);
}

namespace {

struct Marked {
    std::string name;
    std::size_t from = 0, to = 0;  // of what stands between the marks
};

std::vector<Marked> marked(std::string_view page) {
    constexpr std::string_view begin = "<!-- table: ", close = " -->\n", end = "<!-- end -->";
    std::vector<Marked> all;
    for (std::size_t at = 0; (at = page.find(begin, at)) != page.npos;) {
        const std::size_t name = at + begin.size(), ends = page.find(close, name);
        const std::size_t line = page.find('\n', name);
        if (ends == page.npos || line != ends + close.size() - 1)
            fail("a mark of the page is not '<!-- table: NAME -->' on a line of its own");
        Marked m{std::string(page.substr(name, ends - name)), ends + close.size(), 0};
        m.to = page.find(end, m.from);
        if (m.to == page.npos || page.substr(m.from, m.to - m.from).find(begin) != page.npos)
            fail("table '" + m.name + "' of the page has no end");
        at = m.to + end.size();
        all.push_back(std::move(m));
    }
    return all;
}

const Table& table_of(const std::vector<Table>& tables, const std::string& name) {
    for (const Table& t : tables)
        if (t.name == name) return t;
    fail("the page has a mark for '" + name + "', which is no table");
}

}  // namespace

std::string rewritten(std::string_view page, const std::vector<Table>& tables) {
    std::string out;
    std::size_t done = 0;
    std::map<std::string, int> met;
    for (const Marked& m : marked(page)) {
        if (++met[m.name] > 1) fail("table '" + m.name + "' stands twice on the page");
        out.append(page.substr(done, m.from - done)).append(table_of(tables, m.name).text);
        done = m.to;
    }
    for (const Table& t : tables)
        if (!met.contains(t.name)) fail("table '" + t.name + "' has no mark on the page");
    return out.append(page.substr(done));
}

std::vector<std::string> differing(std::string_view page, const std::vector<Table>& tables) {
    std::vector<std::string> names;
    for (const Marked& m : marked(page))
        if (page.substr(m.from, m.to - m.from) != table_of(tables, m.name).text) names.push_back(m.name);
    for (const Table& t : tables)
        if (page.find("<!-- table: " + t.name + " -->") == page.npos) names.push_back(t.name);
    return names;
}

std::string figure(double value) {
    if (std::isnan(value)) return "not measured";
    if (value < 0) return "-" + figure(-value);
    if (value >= 999.5e6) return figure(value / 1e9) + " billion";
    if (value >= 999.5e3) return figure(value / 1e6) + " million";
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

std::string bytes(double value) {
    if (std::isnan(value)) return figure(value);
    const auto [by, unit] = value >= 999.5e6   ? std::pair(1e9, " GB")
                            : value >= 999.5e3 ? std::pair(1e6, " MB")
                            : value >= 999.5   ? std::pair(1e3, " KB")
                                               : std::pair(1.0, " B");
    return figure(value / by) + unit;
}

std::string span(double seconds) {
    if (std::isnan(seconds)) return figure(seconds);
    const auto [by, unit] = seconds >= 5400     ? std::pair(3600.0, " h")
                            : seconds >= 119.5  ? std::pair(60.0, " min")
                            : seconds >= 0.9995 ? std::pair(1.0, " s")
                            : seconds >= 1e-3   ? std::pair(1e-3, " ms")
                                                : std::pair(1e-6, " us");
    return figure(seconds / by) + unit;
}

}  // namespace tealcart::capacity
