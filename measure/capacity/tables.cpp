// The tables of docs/CAPACITY.md. What is said in them stands here; each figure is size x slope.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "capacity/capacity.hpp"

namespace tealcart::capacity {
namespace {

constexpr std::size_t max_line = 180;

class Rows {
  public:
    Rows(std::string name, std::vector<std::string> head) : table_{std::move(name), {}}, width_(head.size()) {
        row(std::move(head));
        row(std::vector<std::string>(width_, "---"));
    }
    void row(std::vector<std::string> cells) {
        std::string line = "|";
        for (const std::string& cell : cells) line += " " + cell + " |";
        if (cells.size() != width_ || line.size() > max_line)
            throw std::runtime_error("a row of table '" + table_.name + "' is too long: " + line);
        table_.text += line + "\n";
    }
    Table done() { return std::move(table_); }

  private:
    Table table_;
    std::size_t width_;
};

std::string rate(double a_second) { return figure(a_second) + "/s"; }
std::string flow(double bytes_a_second) {
    const std::string text = bytes(bytes_a_second);
    return std::isnan(bytes_a_second) ? text : text + "/s";
}
std::string core(double cores) { return std::isnan(cores) ? figure(cores) : figure(100 * cores) + "%"; }
std::string mb(double value) { return bytes(value * 1e6); }
std::string in_10k(double share) { return figure(share * 1e4) + " in 10,000"; }
std::string per_cent(double share) { return fmt::format("{:.2f}%", 100 * share); }

// What the tables share: the size, its load, the slopes, and what a moment asks of control.
struct Model {
    const Size& size;
    const Slopes& slopes;
    const Load load;
    double routers, nodes, peak, cold_s, told_s;

    Model(const Size& s, const Slopes& l)
        : size(s), slopes(l), load(s), routers(s.of("routers")), nodes(s.of("nodes")), peak(s.of("peak")),
          cold_s(s.of("cold_start_s")), told_s(s.of("in_force_s")) {}

    double of(const char* name) const { return size.of(name); }
    double at(const char* name, double by) const { return slopes.at(name, by); }
    double entry() const { return slopes.of("router.list_bytes").stated.slope * 1e6; }
    double head() const { return at("wire.head", 1); }
    // Out by agreement at a time, and the answer that names them all.
    double out(double times) const { return load.restarts * times * of("restart_s"); }
    double call_bytes() const { return at("member.call_bytes", 0) + head(); }
    double answer_bytes(double times) const { return at("member.answer_bytes", out(times)) + head(); }
    // Calls of all members a second: each generation wakes each, and without one each renews its lease.
    double member_calls(double times) const {
        return routers * waiting_calls(load.generations * times, of("lease_s") / 5);
    }
    double lead_core(double calls) const { return at("steward.lead", calls) / 1e3; }
    double polls(double times) const { return waiting_calls(load.list_changes * times, of("poll_s")); }
    // A zone's nodes as gone, by their names alone, and as back, entry by entry.
    double gone_bytes() const { return load.zone_nodes * at("router.gone_bytes", 1); }
    double back_bytes() const { return load.zone_nodes * entry(); }
    double list_in(double times) const { return load.list_changes * times * entry() + polls(times) * head(); }
    double one_change_ms() const {
        return at("router.module_change", nodes) + at("router.list_change", nodes) +
               at("router.agreed_list_change", nodes);
    }
    double whole_ms() const {
        return at("router.list_read", nodes) + at("router.list_whole", nodes) +
               at("router.agreed_whole", nodes) + at("router.module_whole", nodes);
    }
    // A router's words and what comes back, a second.
    double words_core(double times) const {
        const double calls = member_calls(times) / routers;
        return calls * (at("member.call_write", 0) + at("member.answer_read", out(times))) / 1e6 +
               load.generations * times * at("router.agreed_change", nodes) / 1e3;
    }
};

Table size_table(const Model& m) {
    Rows rows("size", {"from", "name", "size", "what", "name", "size", "what"});
    const auto cells = [](const Stated& s) -> std::vector<std::string> {
        return {"`" + s.name + "`", figure(s.value) + (s.unit.empty() ? "" : " " + s.unit), s.words};
    };
    const auto& all = m.size.all;
    for (std::size_t i = 0; i < all.size(); ++i) {
        std::vector<std::string> row{all[i].from};
        const bool two = i + 1 < all.size() && all[i + 1].from == all[i].from;
        for (std::string& cell : cells(all[i])) row.push_back(std::move(cell));
        for (std::string& cell : two ? cells(all[i + 1]) : std::vector<std::string>(3))
            row.push_back(std::move(cell));
        rows.row(std::move(row));
        i += two;
    }
    return rows.done();
}

Table follows_table(const Model& m) {
    const Load& l = m.load;
    Rows rows("follows", {"what follows", "figure", "how"});
    rows.row({"leaf calls of all", rate(l.attempts), "queries x parts"});
    rows.row({"a router", rate(l.router_queries) + " queries, " + rate(l.router_calls) + " leaf calls",
              "by routers; " + figure(l.calls_out) + " calls out at a time at " + figure(m.of("leaf_ms")) +
                  " ms each"});
    rows.row({"a data node", rate(l.node_calls) + " leaf calls", "by nodes"});
    rows.row({"one router to one node", rate(l.pair_calls) + ": once in " + span(1 / l.pair_calls),
              "what a router alone can learn of a node"});
    rows.row({"each leaf call may be late with", in_10k(l.late_share),
              fmt::format("1 - {}^(1/{})", m.of("slo_share"), m.of("parts"))});
    rows.row({"changes of configuration", rate(l.changes) + ", at the peak " + rate(l.changes * m.peak),
              "a day's over 86,400 s; x " + figure(m.peak)});
    rows.row(
        {"restarts", rate(l.restarts) + ", at the peak " + rate(l.restarts * m.peak),
         "changes of discovery's list: " + rate(l.list_changes) + " and " + rate(l.list_changes * m.peak)});
    rows.row({"a zone", figure(l.zone_nodes) + " nodes and " + figure(l.zone_routers) + " routers",
              "told to " + figure(l.other_routers) + " routers within " + span(m.told_s) + ": " +
                  bytes(l.zone_node_bytes) + " a node at most"});
    rows.row({"control over all routers", figure(l.control_mb_s) + " MB/s", "routers x KB/s"});
    rows.row({"machines for control in a zone", figure(l.zone_machines) + " at most",
              figure(m.of("machines")) + " over " + figure(m.of("zones")) + " zones, rounded up"});
    return rows.done();
}

Table slopes_table(const Model& m) {
    Rows rows("slopes", {"slope", "fixed", "per unit of size", "off by at most", "range", "by"});
    for (const Slope& s : m.slopes.all) {
        const std::string name = "`" + s.name + "`";
        if (s.name.rfind("leaf.", 0) == 0) continue;  // they stand in a table of their own
        if (!s.measured()) {
            rows.row({name, "not measured", "-", "-", "-", s.by});
            continue;
        }
        const bool one = s.points.size() == 1;
        rows.row({name, figure(s.stated.fixed) + " " + s.unit,
                  one ? "-" : fmt::format("{:.3g} {} a {}", s.stated.slope, s.unit, s.per),
                  one ? "-" : figure(s.stated.residual) + (s.bends() ? ", bends" : ""),
                  one ? "one point" : figure(s.from) + " to " + figure(s.to), s.by});
    }
    return rows.done();
}

const std::vector<std::string> moments{"of it",         "mean",       "peak",      "a zone lost",
                                       "regions apart", "cold start", "carried by"};

Table router_data(const Model& m) {
    const Load& l = m.load;
    Rows rows("router-data", moments);
    const double more = m.routers / l.other_routers, left = m.nodes - l.zone_nodes;
    const double queries = l.router_queries, calls = l.router_calls;
    const auto same = [&rows](const char* what, const std::string& now, const std::string& lost,
                              const std::string& cold, const char* by) {
        rows.row({what, now, "as mean", lost, "as mean", cold, by});
    };
    const auto module = [&](double nodes, double times) {
        return core(m.at("router.module_load", nodes) / 100 * times);
    };
    const auto link = [&](const char* which, double times) {
        return core(m.at(which, 1) / 1e6 * calls * times);
    };
    same("queries in", rate(queries), rate(queries * more), "0 to mean", "`ClientFront`");
    same("leaf calls out", rate(calls), rate(calls * more), "0 to mean", "`NodeLinks`");
    same("core: decisions", module(m.nodes, 1), module(left, more), "as mean", "the module");
    same("core: calls, connections kept", link("router.call_kept", 1), link("router.call_kept", more),
         "as mean", "`NodeLinks`");
    same("core: calls, a connection each", link("router.call_made", 1), link("router.call_made", more),
         "as mean", "`NodeLinks`, too few descriptors");
    const auto tables = [&](double n) {
        return mb(m.at("router.module_memory", n) + m.at("router.list_memory", n));
    };
    same("memory: tables", tables(m.nodes), tables(m.nodes), tables(m.nodes), "module, `NodeList`");
    same("memory: connections, heap", mb(m.at("router.link_memory", m.nodes)),
         mb(m.at("router.link_memory", left)), "grows to mean", "none within 1,024 descriptors");
    same("descriptors for nodes", figure(m.nodes), figure(left), "grows to mean",
         "a third of `limits.sockets`");
    same("disk", "none", "none", "none", "-");
    return rows.done();
}

Table router_control(const Model& m) {
    const Load& l = m.load;
    Rows rows("router-control", moments);
    const double zone_s = l.zone_nodes / m.told_s;
    const auto words_in = [&](double times) {
        return m.member_calls(times) / m.routers * m.answer_bytes(times);
    };
    const auto words_out = [&](double times) {
        return m.member_calls(times) / m.routers * m.call_bytes() + m.polls(times) * m.head();
    };
    rows.row({"changes of the list", rate(l.list_changes), rate(l.list_changes * m.peak), rate(zone_s),
              "its region's", "one whole list", "discovery's watch"});
    rows.row({"in: list", flow(m.list_in(1)), flow(m.list_in(m.peak)),
              flow(m.gone_bytes() / m.told_s) + "; back: " + flow(m.back_bytes() / m.told_s), "as mean",
              flow(m.at("router.list_bytes", m.nodes) * 1e6 / m.cold_s), "discovery's watch"});
    rows.row({"in: what is agreed", flow(words_in(1)), flow(words_in(m.peak)), "as mean", "0, lease over",
              "as mean", "`StewardWatch`: all that is out"});
    rows.row({"in: configuration, calls and all", "not measured",
              flow(m.at("router.changes_in", m.routers) * 1e3), "as mean", "none new", "the document",
              "`Follower`, by relays"});
    rows.row({"out: words, calls for the list", flow(words_out(1)), flow(words_out(m.peak)), "as mean",
              "tries, 421", flow(words_out(1)), "`StewardWatch`, one leader"});
    rows.row({"core: list", core(l.list_changes * m.one_change_ms() / 1e3),
              core(l.list_changes * m.peak * m.one_change_ms() / 1e3),
              core(zone_s * m.one_change_ms() / 1e3) + " one by one", "as mean",
              span(m.whole_ms() / 1e3) + " in one piece", "`NodeList`, `EndpointOverlay`, module"});
    rows.row({"core: words", core(m.words_core(1)), core(m.words_core(m.peak)), "as mean", "less", "as mean",
              "`member_words`"});
    const auto bytes_of = [&](double times) {
        return (m.list_in(times) + words_in(times) + words_out(times)) / (m.of("control_kb_s") * 1e3);
    };
    const auto core_of = [&](double times) {
        return (l.list_changes * times * m.one_change_ms() / 1e3 + m.words_core(times)) /
               m.of("control_core");
    };
    rows.row({"of " + figure(m.of("control_kb_s")) + " KB/s", core(bytes_of(1)), core(bytes_of(m.peak)),
              core(m.gone_bytes() / m.told_s / m.of("control_kb_s") / 1e3 + bytes_of(1)) +
                  "; back: " + core(m.back_bytes() / m.told_s / m.of("control_kb_s") / 1e3 + bytes_of(1)),
              "less", core(m.at("router.list_bytes", m.nodes) * 1e3 / m.cold_s / m.of("control_kb_s")),
              "aim: " + core(m.of("ordinary")) + " on the ordinary day"});
    rows.row({"of " + core(m.of("control_core")) + " of a core", core(core_of(1)), core(core_of(m.peak)),
              core(core_of(1) + zone_s * m.one_change_ms() / 1e3 / m.of("control_core")), "less", "once",
              "aim: " + core(m.of("ordinary")) + " on the ordinary day"});
    const double kept = m.at("router.agreed_memory", m.nodes) + m.at("router.list_memory", m.nodes) +
                        m.at("router.module_memory", m.nodes);
    rows.row({"memory", mb(kept), mb(kept), mb(kept), mb(kept),
              mb(kept + m.at("router.list_read_memory", m.nodes)), "`EndpointOverlay`, `NodeList`, module"});
    rows.row({"descriptors", "2", "2", "2", "2", "2", "two watches"});
    rows.row({"disk", "none", "none", "none", "none", "none", "nothing durable"});
    return rows.done();
}

Table manager_leads(const Model& m) {
    const Load& l = m.load;
    Rows rows("steward-leads", moments);
    const double entries = 1e3 / m.of("batch_ms");
    const auto log = [&](double times) {
        return flow(m.at("steward.lead_written", m.member_calls(times)) * 1e3);
    };
    const auto calls_core = [&](double times) { return m.lead_core(m.member_calls(times)); };
    const double state = m.at("steward.state_nodes", m.nodes) + m.at("steward.state_members", m.routers);
    const double snapshot =
        m.at("steward.snapshot_nodes", m.nodes) + m.at("steward.snapshot_members", m.routers);
    const double joins = m.routers / m.cold_s;
    rows.row({"members' calls in", rate(m.member_calls(1)), rate(m.member_calls(m.peak)),
              rate(m.member_calls(1)), "of its side", rate(joins) + " join", "one leader for all"});
    rows.row({"in", flow(m.member_calls(1) * m.call_bytes()), flow(m.member_calls(m.peak) * m.call_bytes()),
              "as mean", "less", "as mean", "`ClientFront`"});
    rows.row({"out", flow(m.member_calls(1) * m.answer_bytes(1)),
              flow(m.member_calls(m.peak) * m.answer_bytes(m.peak)), "as mean", "less", "as mean",
              "all that is out to each"});
    rows.row({"core: members' calls", core(calls_core(1)), core(calls_core(m.peak)), "as mean", "less",
              "as mean", "one thread"});
    rows.row({"core: nodes' news", core(l.list_changes * m.at("steward.node_news", m.nodes) / 1e3),
              core(l.list_changes * m.peak * m.at("steward.node_news", m.nodes) / 1e3),
              span(m.at("steward.zone_news", m.nodes) / 1e3) + " once", "as mean",
              span(m.at("steward.whole_news", m.nodes) / 1e3) + " once", "`FleetState`, one entry"});
    rows.row({"entries of the log", rate(entries), rate(entries), rate(entries), "as mean", rate(entries),
              "an entry each 5 ms"});
    rows.row({"disk: log", log(1), log(m.peak), "as mean", "less", "as mean", "libraft"});
    const double snapshots = entries / m.of("snapshot_entries");
    rows.row({"disk: snapshots", flow(snapshot * 1e6 * snapshots), "as mean", "as mean", "as mean", "as mean",
              mb(snapshot) + " each " + span(1 / snapshots)});
    rows.row({"core: snapshots", core(m.at("steward.snapshot_write", m.nodes) / 1e3 * snapshots), "as mean",
              "as mean", "as mean", "as mean",
              span(m.at("steward.snapshot_write", m.nodes) / 1e3) + " in one piece"});
    rows.row({"memory: state", mb(state), mb(state), mb(state), mb(state), mb(state), "`FleetState`"});
    const double connections = m.at("router.client_memory", m.routers);
    rows.row({"memory: connections, heap", mb(connections), mb(connections), mb(connections), "less",
              mb(connections), "`ClientFront`"});
    const std::string descriptors = figure(m.routers + 2 * m.of("stewards"));
    rows.row({"descriptors", descriptors, descriptors, descriptors, "less", descriptors, "20,000 at most"});
    return rows.done();
}

Table others(const Model& m) {
    const Load& l = m.load;
    Rows rows("others", {"role", "of it", "mean", "peak", "when it is worst", "carried by"});
    const double entries = 1e3 / m.of("batch_ms");
    const double state = m.at("steward.state_nodes", m.nodes) + m.at("steward.state_members", m.routers);
    rows.row({"steward that follows", "entries applied", rate(entries), rate(entries),
              "a new one: a snapshot of " + mb(m.at("steward.snapshot_nodes", m.nodes)), "libraft"});
    rows.row({"", "core", core(m.at("steward.follow", m.member_calls(1)) / 1e3),
              core(m.at("steward.follow", m.member_calls(m.peak)) / 1e3), "the peak",
              "libraft, `FleetState`"});
    rows.row({"", "disk", flow(m.at("steward.lead_written", m.member_calls(1)) * 1e3),
              flow(m.at("steward.lead_written", m.member_calls(m.peak)) * 1e3), "as the leader", "libraft"});
    rows.row({"", "descriptors", figure(2 * m.of("stewards")), "the same", "the same", "libraft, one watch"});
    rows.row({"", "memory", mb(state), mb(state), "the same", "`FleetState`"});
    rows.row({"", "members", "421 and the leader's name", "the same", "a router that reaches no leader: none",
              "none: it serves no member"});
    rows.row({"control service", "proxies", "none in the size", "-",
              "1,000 proxies, a drain in 143 ms at most", "xDS; `make measure-xds`, docs/ROADMAP.md"});
    const double status = m.at("steward.status_bytes", m.nodes) * 1e6;
    rows.row({"operators' tools", "`fleet status`, `--wait`", bytes(status) + " a look", "the same",
              span(m.at("steward.status_write", m.nodes) / 1e3) + " of the leader a look",
              "exceptions and counts by zone"});
    rows.row({"discovery", "calls that wait", figure(m.routers + m.of("stewards")), "the same",
              rate(m.routers / m.of("poll_s")) + " renewed while nothing changes", "one call a router"});
    rows.row({"", "answers", rate(l.list_changes * m.routers), rate(l.list_changes * m.peak * m.routers),
              "cold start: " + bytes(m.at("router.list_bytes", m.nodes) * 1e6 * m.routers) + " in all",
              "a delta each; whole lists"});
    rows.row({"", "out", flow(m.list_in(1) * m.routers), flow(m.list_in(m.peak) * m.routers),
              "a zone gone: " + flow(m.gone_bytes() / m.told_s * l.other_routers), "the platform's"});
    return rows.done();
}

// News here: a change of configuration, or of who is out; each counts as long as a change.
Table relay(const Model& m) {
    const Load& l = m.load;
    const double relays = m.of("relays_a_zone") * m.of("zones");
    const double each = m.routers / relays, alone = l.zone_routers, wait = m.of("lease_s") / 5;
    const double long_as = m.of("change_bytes") + m.head(), news = l.changes + l.generations;
    Rows rows("relay",
              {"of a relay (worked out, not measured)", "mean", "peak", "peak, the other of its zone lost"});
    const auto calls = [&](double times, double members) {
        return members * waiting_calls(news * times, wait);
    };
    const auto three = [&rows](const std::string& what, const std::string& mean, const std::string& peak,
                               const std::string& lost = "as peak") {
        rows.row({what, mean, peak, lost});
    };
    three("routers", figure(each), figure(each), figure(alone));
    const auto down = [&](double a_second, double members) { return flow(a_second * long_as * members); };
    three("down: changes of configuration", down(l.changes, each), down(l.changes * m.peak, each),
          down(l.changes * m.peak, alone));
    three("down: with who is out", down(news, each), down(news * m.peak, each), down(news * m.peak, alone));
    three("calls of routers", rate(calls(1, each)), rate(calls(m.peak, each)), rate(calls(m.peak, alone)));
    const auto up = [&](double times, double members) {
        return flow(calls(times, members) * m.call_bytes());
    };
    three("up: routers' words", up(1, each), up(m.peak, each), up(m.peak, alone));
    const auto as_leader = [&](double times, double members) {
        return core(m.lead_core(calls(times, members)));
    };
    three("core, if a call costs what it costs the leader", as_leader(1, each), as_leader(m.peak, each),
          as_leader(m.peak, alone));
    const auto heap = [&](double members) { return mb(m.at("router.client_memory", members)); };
    three("memory: connections, heap; its state not measured", heap(each), heap(each), heap(alone));
    three("descriptors", figure(each + 2), figure(each + 2), figure(alone + 2));
    three("disk", "none", "none", "none");
    three("up: gathered into one, to the stewards", rate(calls(1, 1)), rate(calls(m.peak, 1)));
    three("each router, in", flow(news * long_as), flow(news * m.peak * long_as));
    three("the leader, out to " + figure(relays) + " relays", down(news, relays),
          down(news * m.peak, relays));
    three("the leader, calls in from relays", rate(calls(1, relays)), rate(calls(m.peak, relays)));
    three("in place of calls from routers", rate(calls(1, m.routers)), rate(calls(m.peak, m.routers)));
    three("the leader, core for calls from relays", core(m.lead_core(calls(1, relays))),
          core(m.lead_core(calls(m.peak, relays))));
    three("in place of, for calls from routers", core(m.lead_core(calls(1, m.routers))),
          core(m.lead_core(calls(m.peak, m.routers))));
    const double day = m.of("changes_a_day") * m.of("change_bytes");
    three("a day's changes, for one that was away", bytes(day),
          span(day / (m.of("control_kb_s") * 1e3)) + " at the router's rate", "the same");
    return rows.done();
}

Table machines(const Model& m) {
    Rows rows("machines", {"role", "machines", "with one zone away", "is it enough?"});
    const double relays = m.of("relays_a_zone") * m.of("zones"), managers = m.of("stewards");
    const double left = m.of("machines") - relays - managers;
    rows.row({"relays, " + figure(m.of("relays_a_zone")) + " a zone", figure(relays),
              figure(relays - m.of("relays_a_zone")),
              "the zone's routers are gone with them; each other zone keeps both"});
    rows.row({"stewards, one a region", figure(managers), figure(managers - 1),
              fmt::format("{} of {} agree; a majority is {}", managers - 1, managers,
                          std::floor(managers / 2) + 1)});
    rows.row({"control service, operators' tools, spare", figure(left), figure(std::max(0.0, left - 1)),
              "at most " + figure(m.load.zone_machines) + " machines stand in one zone"});
    rows.row({"all", figure(m.of("machines")), figure(m.of("machines") - m.load.zone_machines),
              left < 0 ? "NO: more are needed than are set aside" : "yes"});
    return rows.done();
}

struct Need {
    std::string need, have;
    double before, now;  // times short; 1 and less: it fits
    std::string mechanism;
};

std::string short_by(double times) {
    if (std::isnan(times)) return "not measured";
    if (times < 1e-3) return "fits";
    return times <= 1 ? "fits: " + figure(times) : "**" + figure(times) + "**";
}

Table needs(const Model& m) {
    const Load& l = m.load;
    const double links = std::floor((m.of("sockets") - 16) / 3);
    const double list_s = m.at("router.list_bytes", m.nodes) * 1e3 / m.of("control_kb_s");
    const double words_peak = m.lead_core(m.member_calls(m.peak));
    const double out_peak = m.member_calls(m.peak) / m.routers * m.answer_bytes(m.peak) / 1e3;
    const double gone_s = m.gone_bytes() / (m.of("control_kb_s") * 1e3);
    const double back_s = m.back_bytes() / (m.of("control_kb_s") * 1e3);
    const double zone_core = l.zone_nodes / m.told_s * m.one_change_ms() / 1e3;
    const double list_core = l.list_changes * m.peak * m.one_change_ms() / 1e3;
    const double list_mb = m.at("router.list_bytes", m.nodes);
    const double silent_s = m.of("silent_calls") / l.pair_calls;
    const double held = m.at("router.agreed_memory", m.nodes) + m.at("router.list_memory", m.nodes) +
                        m.at("router.module_memory", m.nodes);
    const double held_before = held + m.at("router.list_read_memory_before", m.nodes);
    const double held_now = held + m.at("router.list_read_memory", m.nodes);
    const double view_before = m.at("steward.view_before", m.nodes * m.nodes / m.of("copies") / 1e3) / 1e3;
    const double view_now = m.at("steward.view", m.nodes) / 1e3,
                 view_s = m.of("view_s") * m.of("leader_core");
    const double silent_kb = m.at("member.call_bytes", l.zone_nodes) / 1e3;
    const double list_bound = std::max(m.of("list_mb"), m.of("memory_mb") / 4);
    const auto look = [&](const char* which) {
        const double s = m.at(which, m.nodes) / 1e3;
        return s / (m.of("look_s") + s);
    };
    const double look_before = look("steward.status_write_before"), look_now = look("steward.status_write");
    const double restarts = m.of("changes_a_day") * m.routers;
    const double batches = std::min(1e3 / m.of("batch_ms"), l.renewals);
    const auto queued = [&](const char* which) { return m.at(which, m.nodes) / 1e3 * batches; };
    const double list_cold = list_s / m.cold_s;
    const auto both = [](double short_by) { return std::pair(short_by, short_by); };
    const auto need = [](std::string what, std::string have, std::pair<double, double> short_by,
                         std::string mechanism) {
        return Need{std::move(what), std::move(have), short_by.first, short_by.second, std::move(mechanism)};
    };
    const std::string in_force = span(m.told_s), kb_s = figure(m.of("control_kb_s")) + " KB/s";
    const std::string quarter = core(m.of("leader_core")) + " of a core";
    std::vector<Need> all{
        need("a change of `log` or `two_phase` at all routers, in " + in_force,
             "restarts, then " + span(m.at("relay.told_all", m.routers)) + " at the worst",
             std::pair(restarts / m.of("restarts_a_day"), m.at("relay.told_all", m.routers) / m.told_s),
             "versioned changes by relays"),
        need("a change of anything else without a restart, " + figure(restarts) + " times a day",
             figure(m.of("restarts_a_day")) + " restarts a day", both(restarts / m.of("restarts_a_day")),
             "**none**: it holds at the start only"),
        need(figure(m.nodes) + " connections of a router to nodes",
             figure(links) + ", a third of " + figure(m.of("sockets")) + " descriptors",
             both(m.nodes / links),
             "`limits.sockets`, and " + mb(m.at("router.link_memory", m.nodes)) + " of heap; subsets wait"),
        need(figure(l.calls_out) + " leaf calls out at a time, each on a link of its own", figure(links),
             both(l.calls_out / links), "`limits.sockets`: today's does not carry the load"),
        need("a change within a region that is cut off, in " + in_force, span(m.of("apart_s")),
             both(m.of("apart_s") / m.told_s), "**none**: stewards for each region (runner-up)"),
        need("leader: words while a drain waits, in " + quarter,
             core(queued("fleet.batch_queued_before")) + ", then " + core(queued("fleet.batch_queued")),
             std::pair(queued("fleet.batch_queued_before") / m.of("leader_core"),
                       queued("fleet.batch_queued") / m.of("leader_core")),
             "counts kept up to date"),
        need("leader: " + rate(m.member_calls(m.peak)) + " calls at the peak, in " + quarter,
             core(words_peak), both(words_peak / m.of("leader_core")), "**none**: words gathered by relays"),
        need("leader: one operator's `--wait`, in " + quarter, core(look_before) + ", then " + core(look_now),
             std::pair(look_before / m.of("leader_core"), look_now / m.of("leader_core")),
             "a great fleet's status lists exceptions"),
        need("who is out, to each router at the peak, in " + kb_s, flow(out_peak * 1e3),
             both(out_peak / m.of("control_kb_s")), "**none**: deltas behind digests"),
        need("a zone's " + figure(l.zone_nodes) + " nodes gone, by name, in " + in_force + " at " + kb_s,
             span(gone_s), both(gone_s / m.told_s), "deltas of discovery's list"),
        need("a zone's " + figure(l.zone_nodes) + " nodes back, entry by entry, in " + in_force, span(back_s),
             both(back_s / m.told_s), "**none**: discovery states each node anew"),
        need("a zone's nodes, one answer an entry, in " + core(m.of("control_core")) + " of a core",
             core(zone_core), both(zone_core / m.of("control_core")),
             "discovery's answers bring many at once"),
        need("a whole list at a cold start in " + span(m.cold_s) + " at " + kb_s, span(list_s),
             both(list_cold), "**none**: pages, or a list kept on disk"),
        need("a whole list of " + mb(list_mb), mb(m.of("list_mb")) + ", then " + mb(list_bound),
             std::pair(list_mb / m.of("list_mb"), list_mb / list_bound),
             "a bound that follows from the size"),
        need("a place for each of " + figure(m.nodes) + " nodes", "65,536, then 4.29 billion",
             std::pair(m.nodes / 65'536.0, m.nodes / 4'294'967'296.0), "32 bits in place of 16"),
        need("changes of the list at the peak, in " + core(m.of("control_core")) + " of a core",
             core(list_core), both(list_core / m.of("control_core")),
             "a change costs the module by all nodes"),
        need(figure(m.of("control_mb")) + " MB, when a whole list is read",
             mb(held_before) + ", then " + mb(held_now),
             std::pair(held_before / m.of("control_mb"), held_now / m.of("control_mb")),
             "a list is read entry by entry"),
        need("leader: a look at discovery's list each " + span(m.of("view_s")) + ", in " + quarter,
             span(view_before) + ", then " + span(view_now),
             std::pair(view_before / view_s, view_now / view_s), "it looks at what changed"),
        need("a member's word that names a zone as silent",
             bytes(m.of("body_kb") * 1e3) + " of " + bytes(silent_kb * 1e3),
             both(silent_kb / m.of("body_kb")), "**none**: 413, and the lease ends"),
        need("a node that fell silent, told in " + in_force,
             span(silent_s) + ": " + figure(m.of("silent_calls")) + " calls in a row",
             both(silent_s / m.told_s), "`OutcomeStats`; second copies meanwhile"),
    };
    std::stable_sort(all.begin(), all.end(), [](const Need& a, const Need& b) {
        const auto key = [](double v) { return std::isnan(v) ? 1.0 : v; };
        return key(a.now) > key(b.now);
    });
    Rows rows("needs", {"need", "have", "short by, before", "now", "mechanism"});
    for (const Need& n : all) rows.row({n.need, n.have, short_by(n.before), short_by(n.now), n.mechanism});
    return rows.done();
}

// What real managers took from hollow routers, beside what the size allows.
Table hollow(const Model& m) {
    Rows rows("hollow", {"of it", "at the size", "aim", "by"});
    const auto lead_mb = m.at("steward_lead.mb_per_node", m.nodes) +
                         m.at("steward_lead.mb_per_member", m.routers) -
                         m.at("steward_lead.mb_per_member", 300);
    const auto follow_mb = m.at("steward_follow.mb_per_node", m.nodes) +
                           m.at("steward_follow.mb_per_member", m.routers) -
                           m.at("steward_follow.mb_per_member", 300);
    const double router_b = m.at("router.steward_in_per_member", m.routers) +
                            m.at("router.steward_out_per_member", m.routers) +
                            m.at("router.discovery_in_per_member", m.routers) +
                            m.at("router.discovery_out_per_member", m.routers);
    rows.row({"leader: core, nothing changes", core(m.at("steward_lead.cpu_per_member", m.routers) / 1e3),
              core(m.of("leader_core")), "members"});
    rows.row({"leader: memory of the process", mb(lead_mb), "-", "nodes, and members beyond 300"});
    rows.row({"leader: descriptors", figure(m.at("steward_lead.descriptors_per_member", m.routers)), "20,000",
              "members"});
    rows.row({"leader: log", flow(m.at("steward_lead.log_per_member", m.routers)), "-", "members"});
    rows.row({"follows: core", core(m.at("steward_follow.cpu_per_member", m.routers) / 1e3), "-", "members"});
    rows.row({"follows: memory of the process", mb(follow_mb), "-", "nodes, and members beyond 300"});
    rows.row({"a router: all watches, nothing changes", flow(router_b),
              flow(m.of("control_kb_s") * 1e3 * m.of("ordinary")), "members"});
    rows.row({"a router: core, hundreds sharing a loop", core(m.at("router.cpu_per_member", m.routers) / 1e3),
              core(m.of("control_core") * m.of("ordinary")), "members"});
    return rows.done();
}

// Real relays and managers, hollow routers, four changes a second.
Table relays_measured(const Model& m) {
    Rows rows("relays-measured", {"of it", "at the size", "aim"});
    const auto at = [&m](const char* name) { return m.at(name, m.routers); };
    rows.row({"a version at 99 in 100 routers, the worst", span(at("relay.told_99")), span(m.of("aim_s"))});
    rows.row({"at all that live, a relay or the leader killed, the worst", span(at("relay.told_all")),
              span(m.told_s)});
    rows.row({"cold start of all routers, 1,000 entries", span(at("relay.cold_start")), span(m.cold_s)});
    rows.row({"leader: core", core(at("steward.changes_lead") / 1e3), core(m.of("leader_core"))});
    rows.row({"leader: memory for changes", mb(at("steward.changes_lead_memory")), "-"});
    rows.row({"follows: core", core(at("steward.changes_follow") / 1e3), "-"});
    rows.row({"a relay: core, the mean", core(at("relay.cpu") / 1e3), "-"});
    rows.row({"a relay: memory, the mean", mb(at("relay.memory")), "-"});
    rows.row({"a relay: down, up",
              flow(at("relay.down_bytes") * 1e3) + ", " + flow(at("relay.from_bytes") * 1e3), "-"});
    rows.row({"a router: core", core(at("router.changes_cpu") / 1e3), core(m.of("control_core"))});
    rows.row({"a router: in, out",
              flow(at("router.changes_in") * 1e3) + ", " + flow(at("router.changes_out") * 1e3),
              flow(m.of("control_kb_s") * 1e3)});
    return rows.done();
}

Table rejected(const Model& m) {
    const Load& l = m.load;
    Rows rows("rejected", {"shape", "its figure", "why not"});
    const double words = m.member_calls(m.peak);
    rows.row({"one leader for all members",
              rate(words) + " calls at the peak: " + core(m.lead_core(words)) + " of a core, " +
                  flow(words * (m.call_bytes() + m.answer_bytes(m.peak))),
              "one thread, one machine, one zone"});
    rows.row({"whole lists to each router",
              mb(m.at("router.list_bytes", m.nodes)) + " x " + figure(m.routers) + " = " +
                  bytes(m.at("router.list_bytes", m.nodes) * 1e6 * m.routers),
              span(m.at("router.list_bytes", m.nodes) * 1e3 / m.of("control_kb_s")) + " each at " +
                  figure(m.of("control_kb_s")) + " KB/s"});
    rows.row({"every router to every node", figure(l.connections) + " connections",
              figure(l.router_connections) + " a router, " + figure(l.node_connections) +
                  " a node, each used " + rate(l.pair_calls)});
    rows.row({"a connection for each leaf call", rate(l.attempts) + " made",
              core(m.at("router.call_made", 1) / 1e6 * l.router_calls) + " of a router's core, not " +
                  core(m.at("router.call_kept", 1) / 1e6 * l.router_calls)});
    const Slope& log = m.slopes.of("steward.log_bytes");
    rows.row({"a log entry for each renewal",
              rate(l.renewals) + " entries, " + flow(l.renewals * (log.stated.fixed + log.stated.slope)),
              figure(l.renewals * m.of("batch_ms") / 1e3) + " times as many writes to stable storage"});
    rows.row({"the whole of what is out to each, each time",
              bytes(m.answer_bytes(m.peak)) + " x " + rate(m.member_calls(m.peak)),
              flow(m.member_calls(m.peak) * m.answer_bytes(m.peak)) + " at the peak"});
    rows.row({"a restart for each change", figure(m.of("changes_a_day") * m.routers) + " restarts a day",
              rate(l.changes * m.routers) + "; each a whole list and four changes of all others' lists"});
    return rows.done();
}

// The chance that a leaf call is late where a copy may go to another holder in time, which is late with the
// same chance; of copies there are no more than the budget has.
double copied(const Model& m, double late) {
    const double share = std::min(1.0, m.of("copy_share") / late);
    return late * (1 - share) + late * late * share;
}

Table fan_out(const Model& m) {
    const double parts = m.of("parts");
    const int whole = static_cast<int>(parts), most = whole * 3 / 4;
    Rows rows("fan-out", {"a leaf call is late with", "all " + figure(parts) + " on time",
                          "p = " + figure(most) + ", all on time", "all, second copies",
                          "p = " + figure(most) + ", second copies", "all but 1", "all but 3"});
    const auto line = [&](const std::string& what, double q) {
        rows.row({what, per_cent(all_on_time(q, parts)), per_cent(all_on_time(q, most)),
                  per_cent(all_on_time(copied(m, q), parts)), per_cent(all_on_time(copied(m, q), most)),
                  per_cent(but_few_on_time(q, whole, 1)), per_cent(but_few_on_time(q, whole, 3))});
    };
    line(in_10k(m.load.late_share) + ", what may be", m.load.late_share);
    for (const double q : {1e-3, 3e-3, 1e-2, 3e-2, 0.1}) line(in_10k(q), q);
    return rows.done();
}

// Of the measured times of one leaf call, between the measured quantiles by the logarithm of what is beyond.
double leaf_ms(const Model& m, double share) {
    const std::pair<double, const char*> known[] = {{0.5, "leaf.one_50"},
                                                    {0.9, "leaf.one_90"},
                                                    {0.99, "leaf.one_99"},
                                                    {0.99858, "leaf.one_99.86"},
                                                    {0.99986, "leaf.one_99.986"}};
    const auto beyond = [](double s) { return -std::log(1 - s); };
    for (std::size_t i = 1; i < std::size(known); ++i) {
        if (share > known[i].first && i + 1 < std::size(known)) continue;
        const auto [from, a] = known[i - 1];
        const auto [to, b] = known[i];
        const double part =
            (std::min(beyond(share), beyond(to)) - beyond(from)) / (beyond(to) - beyond(from));
        return m.at(a, 1) + std::max(0.0, part) * (m.at(b, 1) - m.at(a, 1));
    }
    return 0;
}

// The most that a leaf call may be late for the share of queries that the size asks for.
template <typename Served>
double max_late(double share, Served served) {
    double low = 0, high = 1;
    for (int i = 0; i < 100; ++i) {
        const double mid = (low + high) / 2;
        (served(mid) >= share ? low : high) = mid;
    }
    return low;
}

Table leaf_times(const Model& m) {
    const double parts = m.of("parts"), share = m.of("slo_share");
    const int whole = static_cast<int>(parts), most = whole * 3 / 4;
    Rows rows("leaf-times", {"way", "a leaf call may be late with", "its quantile that decides",
                             "there by the measured times", "the query, measured"});
    const auto line = [&](const std::string& way, double late, const std::string& measured) {
        rows.row({way, in_10k(late), fmt::format("{:.3f}%", 100 * (1 - late)),
                  figure(leaf_ms(m, 1 - late)) + " ms", measured});
    };
    const auto ms_of = [&](const char* name) { return figure(m.at(name, 1)) + " ms"; };
    line("all " + figure(parts), max_late(share, [&](double q) { return all_on_time(q, parts); }),
         ms_of("leaf.all_99"));
    line("p = " + figure(most), max_late(share, [&](double q) { return all_on_time(q, most); }),
         "not measured");
    line("all, with second copies",
         max_late(share, [&](double q) { return all_on_time(copied(m, q), parts); }),
         ms_of("leaf.copied_99"));
    line("all but 1", max_late(share, [&](double q) { return but_few_on_time(q, whole, 1); }),
         "not measured");
    line("all but 3", max_late(share, [&](double q) { return but_few_on_time(q, whole, 3); }),
         "not measured");
    return rows.done();
}

Table knowing(const Model& m) {
    const Load& l = m.load;
    Rows rows("knowing", {"who looks", "calls to one node", "silent, 5 calls",
                          "late with 1 in 5, not 1 in 100", "late with 1 in 50, not 1 in 100"});
    const double odds = 100;
    const auto line = [&](const std::string& who, double a_second) {
        rows.row({who, rate(a_second), span(m.of("silent_calls") / a_second),
                  span(calls_to_tell(0.2, 0.01, odds) / a_second),
                  span(calls_to_tell(0.02, 0.01, odds) / a_second)});
    };
    line("one router alone", l.pair_calls);
    line("one router, asking one holder of each shard", l.pair_calls * m.of("copies"));
    line("one router, a zone's machine kind as one", l.router_calls / m.of("zones") / m.of("kinds"));
    line("the routers of a relay together", l.pair_calls * l.zone_routers);
    line("all routers together", l.node_calls);
    return rows.done();
}

}  // namespace

std::vector<Table> tables(const Size& size, const Slopes& slopes) {
    const Model m(size, slopes);
    return {size_table(m),     follows_table(m),   needs(m),    router_data(m),
            router_control(m), manager_leads(m),   others(m),   hollow(m),
            relay(m),          relays_measured(m), machines(m), rejected(m),
            fan_out(m),        leaf_times(m),      knowing(m),  slopes_table(m)};
}

}  // namespace tealcart::capacity
