// Writes the tables of docs/CAPACITY.md and docs/capacity-slopes.md: the texts of their rows and the
// arithmetic of their figures, each of which is a size multiplied by a slope.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "capacity/capacity.hpp"

namespace tealcart::capacity {
namespace {

constexpr std::size_t max_row_length = 180;  // characters

// Builds the Markdown rows of a table. Throws if a row is too long or has another number of cells than the
// header.
class TableBuilder {
  public:
    TableBuilder(std::string name, std::vector<std::string> header)
        : table_{std::move(name), {}}, width_(header.size()) {
        add_row(std::move(header));
        add_row(std::vector<std::string>(width_, "---"));
    }
    void add_row(std::vector<std::string> cells) {
        std::string line = "|";
        for (const std::string& cell : cells) line += " " + cell + " |";
        if (cells.size() != width_ || line.size() > max_row_length)
            throw std::runtime_error(
                fmt::format("a row of table '{}' has {} cells and {} characters, expected {} cells and at "
                            "most {} characters: {}",
                            table_.name, cells.size(), line.size(), width_, max_row_length, line));
        table_.text += line + "\n";
    }
    Table finish() { return std::move(table_); }

  private:
    Table table_;
    std::size_t width_;
};

std::string format_rate(double per_second) { return format_figure(per_second) + "/s"; }
std::string format_byte_rate(double bytes_per_second) {
    const std::string text = format_bytes(bytes_per_second);
    return std::isnan(bytes_per_second) ? text : text + "/s";
}
std::string format_core_share(double cores) {
    return std::isnan(cores) ? format_figure(cores) : format_figure(100 * cores) + "%";
}
std::string format_megabytes(double value) { return format_bytes(value * 1e6); }
std::string format_per_10000(double share) { return format_figure(share * 1e4) + " in 10,000"; }
std::string format_percent(double share) { return fmt::format("{:.2f}%", 100 * share); }

// The size, its load, the slopes, and figures that several tables share. A load factor multiplies the mean
// rates of restarts and changes: 1 is the mean, `peak` the peak.
struct Model {
    const Size& size;
    const Slopes& slopes;
    const Load load;
    double routers, nodes, peak, cold_start_s, in_force_s;

    Model(const Size& given_size, const Slopes& given_slopes)
        : size(given_size), slopes(given_slopes), load(given_size), routers(given_size.value_of("routers")),
          nodes(given_size.value_of("nodes")), peak(given_size.value_of("peak")),
          cold_start_s(given_size.value_of("cold_start_s")), in_force_s(given_size.value_of("in_force_s")) {}

    double value_of(const char* name) const { return size.value_of(name); }
    double value_at(const char* name, double at_size) const { return slopes.value_at(name, at_size); }
    double entry_bytes() const { return slopes.slope_of("router.list_bytes").stated.slope * 1e6; }
    double response_head_bytes() const { return value_at("wire.head", 1); }
    // The number of targets that are drained at a time. Each answer to a member names all of them.
    double drained_targets(double load_factor) const {
        return load.restarts * load_factor * value_of("restart_s");
    }
    double report_bytes() const { return value_at("member.call_bytes", 0) + response_head_bytes(); }
    double grant_bytes(double load_factor) const {
        return value_at("member.answer_bytes", drained_targets(load_factor)) + response_head_bytes();
    }
    // Calls of all members per second: each generation ends the poll of every member, and without a
    // generation each member renews its lease.
    double member_call_rate(double load_factor) const {
        return routers *
               long_poll_rate(load.generations * load_factor, value_of("lease_s") / renewals_per_lease);
    }
    double leader_core_share(double calls) const { return value_at("steward.lead", calls) / 1e3; }
    double list_poll_rate(double load_factor) const {
        return long_poll_rate(load.list_changes * load_factor, value_of("poll_s"));
    }
    // A removed node is listed by its name only; a node that returns has a full entry.
    double zone_removal_bytes() const { return load.zone_nodes * value_at("router.gone_bytes", 1); }
    double zone_return_bytes() const { return load.zone_nodes * entry_bytes(); }
    double list_bytes_in(double load_factor) const {
        return load.list_changes * load_factor * entry_bytes() +
               list_poll_rate(load_factor) * response_head_bytes();
    }
    double one_change_ms() const {
        return value_at("router.module_change", nodes) + value_at("router.list_change", nodes) +
               value_at("router.agreed_list_change", nodes);
    }
    double full_list_ms() const {
        return value_at("router.list_read", nodes) + value_at("router.list_whole", nodes) +
               value_at("router.agreed_whole", nodes) + value_at("router.module_whole", nodes);
    }
    // A router's processor time for its reports and for the answers to them, as a share of a core.
    double reports_core_share(double load_factor) const {
        const double calls = member_call_rate(load_factor) / routers;
        return calls *
                   (value_at("member.call_write", 0) +
                    value_at("member.answer_read", drained_targets(load_factor))) /
                   1e6 +
               load.generations * load_factor * value_at("router.agreed_change", nodes) / 1e3;
    }
};

Table make_size_table(const Model& model) {
    TableBuilder builder("size", {"from", "name", "size", "what", "name", "size", "what"});
    const auto cells = [](const SizeParameter& parameter) -> std::vector<std::string> {
        return {"`" + parameter.name + "`",
                format_figure(parameter.value) + (parameter.unit.empty() ? "" : " " + parameter.unit),
                parameter.words};
    };
    const auto& parameters = model.size.parameters;
    for (std::size_t i = 0; i < parameters.size(); ++i) {
        std::vector<std::string> row{parameters[i].from};
        const bool has_second = i + 1 < parameters.size() && parameters[i + 1].from == parameters[i].from;
        for (std::string& cell : cells(parameters[i])) row.push_back(std::move(cell));
        for (std::string& cell : has_second ? cells(parameters[i + 1]) : std::vector<std::string>(3))
            row.push_back(std::move(cell));
        builder.add_row(std::move(row));
        i += has_second;
    }
    return builder.finish();
}

Table make_load_table(const Model& model) {
    const Load& load = model.load;
    TableBuilder builder("follows", {"derived figure", "figure", "how"});
    builder.add_row({"attempts of all routers", format_rate(load.attempts), "queries x parts"});
    builder.add_row(
        {"a router",
         format_rate(load.router_queries) + " queries, " + format_rate(load.router_attempts) + " attempts",
         "divided by routers; " + format_figure(load.router_attempts_in_flight) + " attempts in flight at " +
             format_figure(model.value_of("leaf_ms")) + " ms each"});
    builder.add_row({"a data node", format_rate(load.node_attempts) + " attempts", "divided by nodes"});
    builder.add_row(
        {"one router to one node",
         format_rate(load.pair_attempts) + ": one attempt in " + format_duration(1 / load.pair_attempts),
         "all that a single router observes of a node"});
    builder.add_row({"allowed share of late attempts", format_per_10000(load.max_late_share),
                     fmt::format("1 - {}^(1/{})", model.value_of("slo_share"), model.value_of("parts"))});
    builder.add_row({"configuration changes",
                     format_rate(load.changes) + ", at the peak " + format_rate(load.changes * model.peak),
                     "changes per day / 86,400 s; peak: x " + format_figure(model.peak)});
    builder.add_row({"restarts",
                     format_rate(load.restarts) + ", at the peak " + format_rate(load.restarts * model.peak),
                     "changes of discovery's list: " + format_rate(load.list_changes) + " and " +
                         format_rate(load.list_changes * model.peak)});
    builder.add_row(
        {"a zone",
         format_figure(load.zone_nodes) + " nodes and " + format_figure(load.zone_routers) + " routers",
         "sent to " + format_figure(load.other_routers) + " routers within " +
             format_duration(model.in_force_s) + ": " + format_bytes(load.zone_node_bytes) +
             " per node at most"});
    builder.add_row(
        {"control traffic of all routers", format_figure(load.control_mb_s) + " MB/s", "routers x KB/s"});
    builder.add_row({"control machines in a zone", format_figure(load.zone_machines) + " at most",
                     format_figure(model.value_of("machines")) + " divided by " +
                         format_figure(model.value_of("zones")) + " zones, rounded up"});
    return builder.finish();
}

Table make_slopes_table(const Model& model) {
    TableBuilder builder("slopes", {"slope", "fixed", "per unit of size", "off by at most", "range", "by"});
    for (const Slope& slope : model.slopes.all) {
        const std::string name = "`" + slope.name + "`";
        if (slope.name.rfind("leaf.", 0) == 0) continue;  // the table "leaf-times" has them
        if (!slope.measured()) {
            builder.add_row({name, "not measured", "-", "-", "-", slope.by});
            continue;
        }
        const bool single_point = slope.points.size() == 1;
        builder.add_row(
            {name, format_figure(slope.stated.fixed) + " " + slope.unit,
             single_point ? "-" : fmt::format("{:.3g} {} per {}", slope.stated.slope, slope.unit, slope.per),
             single_point ? "-"
                          : format_figure(slope.stated.residual) + (slope.is_nonlinear() ? ", bends" : ""),
             single_point ? "one point" : format_figure(slope.from) + " to " + format_figure(slope.to),
             slope.by});
    }
    return builder.finish();
}

const std::vector<std::string> situation_columns{
    "quantity", "mean", "peak", "zone lost", "regions disconnected", "cold start", "component"};

Table make_router_data_table(const Model& model) {
    const Load& load = model.load;
    TableBuilder builder("router-data", situation_columns);
    const double traffic_factor = model.routers / load.other_routers,
                 remaining_nodes = model.nodes - load.zone_nodes;
    const double queries = load.router_queries, calls = load.router_attempts;
    const auto add_row = [&builder](const char* resource, const std::string& mean,
                                    const std::string& zone_lost, const std::string& cold_start,
                                    const char* component) {
        builder.add_row({resource, mean, "as mean", zone_lost, "as mean", cold_start, component});
    };
    const auto module_core_share = [&](double node_count, double load_factor) {
        return format_core_share(model.value_at("router.module_load", node_count) / 100 * load_factor);
    };
    const auto connection_core_share = [&](const char* slope, double load_factor) {
        return format_core_share(model.value_at(slope, 1) / 1e6 * calls * load_factor);
    };
    add_row("queries in", format_rate(queries), format_rate(queries * traffic_factor), "from 0 to mean",
            "`HttpServer`");
    add_row("attempts out", format_rate(calls), format_rate(calls * traffic_factor), "from 0 to mean",
            "`NodeConnectionPool`");
    add_row("core: decisions", module_core_share(model.nodes, 1),
            module_core_share(remaining_nodes, traffic_factor), "as mean", "decision module");
    add_row("core: calls, connections reused", connection_core_share("router.call_kept", 1),
            connection_core_share("router.call_kept", traffic_factor), "as mean", "`NodeConnectionPool`");
    add_row("core: calls, a connection each", connection_core_share("router.call_made", 1),
            connection_core_share("router.call_made", traffic_factor), "as mean",
            "`NodeConnectionPool`, with too few descriptors");
    const auto table_memory = [&](double node_count) {
        return format_megabytes(model.value_at("router.module_memory", node_count) +
                                model.value_at("router.list_memory", node_count));
    };
    add_row("memory: tables", table_memory(model.nodes), table_memory(model.nodes), table_memory(model.nodes),
            "decision module, `NodeTable`");
    add_row("memory: heap of connections",
            format_megabytes(model.value_at("router.link_memory", model.nodes)),
            format_megabytes(model.value_at("router.link_memory", remaining_nodes)), "grows to mean",
            "impossible within 1,024 descriptors");
    add_row("descriptors for nodes", format_figure(model.nodes), format_figure(remaining_nodes),
            "grows to mean", "a third of `limits.sockets`");
    add_row("disk", "none", "none", "none", "-");
    return builder.finish();
}

Table make_router_control_table(const Model& model) {
    const Load& load = model.load;
    TableBuilder builder("router-control", situation_columns);
    const double zone_changes_per_second = load.zone_nodes / model.in_force_s;
    const auto grant_bytes_in = [&](double load_factor) {
        return model.member_call_rate(load_factor) / model.routers * model.grant_bytes(load_factor);
    };
    const auto call_bytes_out = [&](double load_factor) {
        return model.member_call_rate(load_factor) / model.routers * model.report_bytes() +
               model.list_poll_rate(load_factor) * model.response_head_bytes();
    };
    builder.add_row({"changes of the endpoint list", format_rate(load.list_changes),
                     format_rate(load.list_changes * model.peak), format_rate(zone_changes_per_second),
                     "those of its region", "one full list", "`DiscoveryWatch`"});
    builder.add_row(
        {"in: endpoint list", format_byte_rate(model.list_bytes_in(1)),
         format_byte_rate(model.list_bytes_in(model.peak)),
         format_byte_rate(model.zone_removal_bytes() / model.in_force_s) +
             "; return: " + format_byte_rate(model.zone_return_bytes() / model.in_force_s),
         "as mean",
         format_byte_rate(model.value_at("router.list_bytes", model.nodes) * 1e6 / model.cold_start_s),
         "`DiscoveryWatch`"});
    builder.add_row({"in: grants and drained targets", format_byte_rate(grant_bytes_in(1)),
                     format_byte_rate(grant_bytes_in(model.peak)), "as mean", "0, lease expired", "as mean",
                     "`ManagerWatch`: all drained targets"});
    builder.add_row({"in: configuration, with its polls", "not measured",
                     format_byte_rate(model.value_at("router.changes_in", model.routers) * 1e3), "as mean",
                     "no changes", "full document", "`ConfigFollower`, from relays"});
    builder.add_row({"out: reports and list polls", format_byte_rate(call_bytes_out(1)),
                     format_byte_rate(call_bytes_out(model.peak)), "as mean", "retries, 421",
                     format_byte_rate(call_bytes_out(1)), "`ManagerWatch`, one leader"});
    builder.add_row({"core: endpoint list",
                     format_core_share(load.list_changes * model.one_change_ms() / 1e3),
                     format_core_share(load.list_changes * model.peak * model.one_change_ms() / 1e3),
                     format_core_share(zone_changes_per_second * model.one_change_ms() / 1e3) + " one by one",
                     "as mean", format_duration(model.full_list_ms() / 1e3) + " in one step",
                     "`NodeTable`, `EndpointOverlay`, decision module"});
    builder.add_row({"core: reports", format_core_share(model.reports_core_share(1)),
                     format_core_share(model.reports_core_share(model.peak)), "as mean", "less", "as mean",
                     "`member_messages`"});
    const auto share_of_byte_limit = [&](double load_factor) {
        return (model.list_bytes_in(load_factor) + grant_bytes_in(load_factor) +
                call_bytes_out(load_factor)) /
               (model.value_of("control_kb_s") * 1e3);
    };
    const auto share_of_core_limit = [&](double load_factor) {
        return (load.list_changes * load_factor * model.one_change_ms() / 1e3 +
                model.reports_core_share(load_factor)) /
               model.value_of("control_core");
    };
    builder.add_row({"share of " + format_figure(model.value_of("control_kb_s")) + " KB/s",
                     format_core_share(share_of_byte_limit(1)),
                     format_core_share(share_of_byte_limit(model.peak)),
                     format_core_share(model.zone_removal_bytes() / model.in_force_s /
                                           model.value_of("control_kb_s") / 1e3 +
                                       share_of_byte_limit(1)) +
                         "; return: " +
                         format_core_share(model.zone_return_bytes() / model.in_force_s /
                                               model.value_of("control_kb_s") / 1e3 +
                                           share_of_byte_limit(1)),
                     "less",
                     format_core_share(model.value_at("router.list_bytes", model.nodes) * 1e3 /
                                       model.cold_start_s / model.value_of("control_kb_s")),
                     "aim: " + format_core_share(model.value_of("ordinary")) + " on an ordinary day"});
    builder.add_row(
        {"share of " + format_core_share(model.value_of("control_core")) + " of a core",
         format_core_share(share_of_core_limit(1)), format_core_share(share_of_core_limit(model.peak)),
         format_core_share(share_of_core_limit(1) + zone_changes_per_second * model.one_change_ms() / 1e3 /
                                                        model.value_of("control_core")),
         "less", "once", "aim: " + format_core_share(model.value_of("ordinary")) + " on an ordinary day"});
    const double memory_mb = model.value_at("router.agreed_memory", model.nodes) +
                             model.value_at("router.list_memory", model.nodes) +
                             model.value_at("router.module_memory", model.nodes);
    builder.add_row({"memory", format_megabytes(memory_mb), format_megabytes(memory_mb),
                     format_megabytes(memory_mb), format_megabytes(memory_mb),
                     format_megabytes(memory_mb + model.value_at("router.list_read_memory", model.nodes)),
                     "`EndpointOverlay`, `NodeTable`, decision module"});
    builder.add_row({"descriptors", "2", "2", "2", "2", "2", "two watches"});
    builder.add_row({"disk", "none", "none", "none", "none", "none", "no durable state"});
    return builder.finish();
}

Table make_leader_table(const Model& model) {
    const Load& load = model.load;
    TableBuilder builder("steward-leads", situation_columns);
    const double entries_per_second = 1e3 / model.value_of("batch_ms");
    const auto log_rate = [&](double load_factor) {
        return format_byte_rate(model.value_at("steward.lead_written", model.member_call_rate(load_factor)) *
                                1e3);
    };
    const auto calls_core_share = [&](double load_factor) {
        return model.leader_core_share(model.member_call_rate(load_factor));
    };
    const double state_mb = model.value_at("steward.state_nodes", model.nodes) +
                            model.value_at("steward.state_members", model.routers);
    const double snapshot_mb = model.value_at("steward.snapshot_nodes", model.nodes) +
                               model.value_at("steward.snapshot_members", model.routers);
    const double joins_per_second = model.routers / model.cold_start_s;
    builder.add_row({"calls from members", format_rate(model.member_call_rate(1)),
                     format_rate(model.member_call_rate(model.peak)), format_rate(model.member_call_rate(1)),
                     "of reachable members", format_rate(joins_per_second) + " joins",
                     "one leader for all members"});
    builder.add_row({"in", format_byte_rate(model.member_call_rate(1) * model.report_bytes()),
                     format_byte_rate(model.member_call_rate(model.peak) * model.report_bytes()), "as mean",
                     "less", "as mean", "`HttpServer`"});
    builder.add_row({"out", format_byte_rate(model.member_call_rate(1) * model.grant_bytes(1)),
                     format_byte_rate(model.member_call_rate(model.peak) * model.grant_bytes(model.peak)),
                     "as mean", "less", "as mean", "all drained targets to each member"});
    builder.add_row({"core: calls from members", format_core_share(calls_core_share(1)),
                     format_core_share(calls_core_share(model.peak)), "as mean", "less", "as mean",
                     "one thread"});
    builder.add_row(
        {"core: node updates",
         format_core_share(load.list_changes * model.value_at("steward.node_news", model.nodes) / 1e3),
         format_core_share(load.list_changes * model.peak * model.value_at("steward.node_news", model.nodes) /
                           1e3),
         format_duration(model.value_at("steward.zone_news", model.nodes) / 1e3) + " once", "as mean",
         format_duration(model.value_at("steward.whole_news", model.nodes) / 1e3) + " once",
         "`FleetState`, one log entry"});
    builder.add_row({"log entries", format_rate(entries_per_second), format_rate(entries_per_second),
                     format_rate(entries_per_second), "as mean", format_rate(entries_per_second),
                     "one entry every 5 ms"});
    builder.add_row(
        {"disk: log", log_rate(1), log_rate(model.peak), "as mean", "less", "as mean", "libraft"});
    const double snapshots_per_second = entries_per_second / model.value_of("snapshot_entries");
    builder.add_row({"disk: snapshots", format_byte_rate(snapshot_mb * 1e6 * snapshots_per_second), "as mean",
                     "as mean", "as mean", "as mean",
                     format_megabytes(snapshot_mb) + " every " + format_duration(1 / snapshots_per_second)});
    builder.add_row(
        {"core: snapshots",
         format_core_share(model.value_at("steward.snapshot_write", model.nodes) / 1e3 *
                           snapshots_per_second),
         "as mean", "as mean", "as mean", "as mean",
         format_duration(model.value_at("steward.snapshot_write", model.nodes) / 1e3) + " in one step"});
    builder.add_row({"memory: state", format_megabytes(state_mb), format_megabytes(state_mb),
                     format_megabytes(state_mb), format_megabytes(state_mb), format_megabytes(state_mb),
                     "`FleetState`"});
    const double connections_mb = model.value_at("router.client_memory", model.routers);
    builder.add_row({"memory: heap of connections", format_megabytes(connections_mb),
                     format_megabytes(connections_mb), format_megabytes(connections_mb), "less",
                     format_megabytes(connections_mb), "`HttpServer`"});
    const std::string descriptors = format_figure(model.routers + 2 * model.value_of("stewards"));
    builder.add_row(
        {"descriptors", descriptors, descriptors, descriptors, "less", descriptors, "at most 20,000"});
    return builder.finish();
}

Table make_other_roles_table(const Model& model) {
    const Load& load = model.load;
    TableBuilder builder("others", {"role", "quantity", "mean", "peak", "worst case", "component"});
    const double entries_per_second = 1e3 / model.value_of("batch_ms");
    const double state_mb = model.value_at("steward.state_nodes", model.nodes) +
                            model.value_at("steward.state_members", model.routers);
    builder.add_row({"fleet manager, follower", "entries applied", format_rate(entries_per_second),
                     format_rate(entries_per_second),
                     "a new follower: a snapshot of " +
                         format_megabytes(model.value_at("steward.snapshot_nodes", model.nodes)),
                     "libraft"});
    builder.add_row(
        {"", "core", format_core_share(model.value_at("steward.follow", model.member_call_rate(1)) / 1e3),
         format_core_share(model.value_at("steward.follow", model.member_call_rate(model.peak)) / 1e3),
         "at the peak", "libraft, `FleetState`"});
    builder.add_row(
        {"", "disk",
         format_byte_rate(model.value_at("steward.lead_written", model.member_call_rate(1)) * 1e3),
         format_byte_rate(model.value_at("steward.lead_written", model.member_call_rate(model.peak)) * 1e3),
         "as the leader", "libraft"});
    builder.add_row({"", "descriptors", format_figure(2 * model.value_of("stewards")), "the same", "the same",
                     "libraft, one watch"});
    builder.add_row(
        {"", "memory", format_megabytes(state_mb), format_megabytes(state_mb), "the same", "`FleetState`"});
    builder.add_row({"", "members", "421 and the leader's name", "the same",
                     "no grants for a router that reaches no leader", "none: only the leader grants leases"});
    builder.add_row({"control service", "proxies", "not part of the size", "-",
                     "1,000 proxies: a drain takes at most 143 ms",
                     "xDS; `make measure-xds`, docs/ROADMAP.md"});
    const double status_bytes = model.value_at("steward.status_bytes", model.nodes) * 1e6;
    builder.add_row({"operators' tools", "`fleet status`, `--wait`", format_bytes(status_bytes) + " per poll",
                     "the same",
                     format_duration(model.value_at("steward.status_write", model.nodes) / 1e3) +
                         " of the leader per poll",
                     "exceptions and counts by zone"});
    builder.add_row(
        {"discovery", "waiting polls", format_figure(model.routers + model.value_of("stewards")), "the same",
         format_rate(model.routers / model.value_of("poll_s")) + " repeated while nothing changes",
         "one poll per router"});
    builder.add_row(
        {"", "answers", format_rate(load.list_changes * model.routers),
         format_rate(load.list_changes * model.peak * model.routers),
         "cold start: " +
             format_bytes(model.value_at("router.list_bytes", model.nodes) * 1e6 * model.routers) + " in all",
         "one delta per change; full lists"});
    builder.add_row({"", "out", format_byte_rate(model.list_bytes_in(1) * model.routers),
                     format_byte_rate(model.list_bytes_in(model.peak) * model.routers),
                     "removal of a zone: " +
                         format_byte_rate(model.zone_removal_bytes() / model.in_force_s * load.other_routers),
                     "the platform's discovery"});
    return builder.finish();
}

// An update is a configuration change or a generation of drained targets; both have the size of a change.
Table make_relay_table(const Model& model) {
    const Load& load = model.load;
    const double relays = model.value_of("relays_a_zone") * model.value_of("zones");
    const double members_each = model.routers / relays, zone_members = load.zone_routers,
                 poll_timeout_s = model.value_of("lease_s") / renewals_per_lease;
    const double update_bytes = model.value_of("change_bytes") + model.response_head_bytes(),
                 updates_per_second = load.changes + load.generations;
    TableBuilder builder("relay", {"of a relay (calculated, not measured)", "mean", "peak",
                                   "peak, the zone's other relay lost"});
    const auto call_rate = [&](double load_factor, double members) {
        return members * long_poll_rate(updates_per_second * load_factor, poll_timeout_s);
    };
    const auto add_row = [&builder](const std::string& resource, const std::string& mean,
                                    const std::string& peak, const std::string& relay_lost = "as peak") {
        builder.add_row({resource, mean, peak, relay_lost});
    };
    add_row("routers", format_figure(members_each), format_figure(members_each), format_figure(zone_members));
    const auto bytes_down = [&](double per_second, double members) {
        return format_byte_rate(per_second * update_bytes * members);
    };
    add_row("down: configuration changes", bytes_down(load.changes, members_each),
            bytes_down(load.changes * model.peak, members_each),
            bytes_down(load.changes * model.peak, zone_members));
    add_row("down: configuration changes and drained targets", bytes_down(updates_per_second, members_each),
            bytes_down(updates_per_second * model.peak, members_each),
            bytes_down(updates_per_second * model.peak, zone_members));
    add_row("calls from routers", format_rate(call_rate(1, members_each)),
            format_rate(call_rate(model.peak, members_each)),
            format_rate(call_rate(model.peak, zone_members)));
    const auto bytes_up = [&](double load_factor, double members) {
        return format_byte_rate(call_rate(load_factor, members) * model.report_bytes());
    };
    add_row("up: reports of routers", bytes_up(1, members_each), bytes_up(model.peak, members_each),
            bytes_up(model.peak, zone_members));
    const auto core_share = [&](double load_factor, double members) {
        return format_core_share(model.leader_core_share(call_rate(load_factor, members)));
    };
    add_row("core, at the leader's cost per call", core_share(1, members_each),
            core_share(model.peak, members_each), core_share(model.peak, zone_members));
    const auto connection_heap = [&](double members) {
        return format_megabytes(model.value_at("router.client_memory", members));
    };
    add_row("memory: heap of connections (state not measured)", connection_heap(members_each),
            connection_heap(members_each), connection_heap(zone_members));
    add_row("descriptors", format_figure(members_each + 2), format_figure(members_each + 2),
            format_figure(zone_members + 2));
    add_row("disk", "none", "none", "none");
    add_row("up: combined reports to the fleet managers", format_rate(call_rate(1, 1)),
            format_rate(call_rate(model.peak, 1)));
    add_row("in, per router", format_byte_rate(updates_per_second * update_bytes),
            format_byte_rate(updates_per_second * model.peak * update_bytes));
    add_row("leader: out to " + format_figure(relays) + " relays", bytes_down(updates_per_second, relays),
            bytes_down(updates_per_second * model.peak, relays));
    add_row("leader: calls from relays", format_rate(call_rate(1, relays)),
            format_rate(call_rate(model.peak, relays)));
    add_row("leader: calls from routers without relays", format_rate(call_rate(1, model.routers)),
            format_rate(call_rate(model.peak, model.routers)));
    add_row("leader: core for calls from relays",
            format_core_share(model.leader_core_share(call_rate(1, relays))),
            format_core_share(model.leader_core_share(call_rate(model.peak, relays))));
    add_row("leader: core for calls from routers without relays",
            format_core_share(model.leader_core_share(call_rate(1, model.routers))),
            format_core_share(model.leader_core_share(call_rate(model.peak, model.routers))));
    const double day_bytes = model.value_of("changes_a_day") * model.value_of("change_bytes");
    add_row(
        "changes of a day, for a router that was disconnected", format_bytes(day_bytes),
        format_duration(day_bytes / (model.value_of("control_kb_s") * 1e3)) + " at the router's byte rate",
        "the same");
    return builder.finish();
}

Table make_machines_table(const Model& model) {
    TableBuilder builder("machines", {"role", "machines", "with one zone lost", "sufficient?"});
    const double relays = model.value_of("relays_a_zone") * model.value_of("zones"),
                 managers = model.value_of("stewards");
    const double remaining = model.value_of("machines") - relays - managers;
    builder.add_row({"relays, " + format_figure(model.value_of("relays_a_zone")) + " per zone",
                     format_figure(relays), format_figure(relays - model.value_of("relays_a_zone")),
                     "the lost zone's routers are lost too; every other zone keeps all its relays"});
    builder.add_row({"fleet managers, one per region", format_figure(managers), format_figure(managers - 1),
                     fmt::format("{} of {} remain; a majority is {}", managers - 1, managers,
                                 std::floor(managers / 2) + 1)});
    builder.add_row({"control service, operators' tools, spare", format_figure(remaining),
                     format_figure(std::max(0.0, remaining - 1)),
                     "at most " + format_figure(model.load.zone_machines) + " machines are in one zone"});
    builder.add_row({"all", format_figure(model.value_of("machines")),
                     format_figure(model.value_of("machines") - model.load.zone_machines),
                     remaining < 0 ? "NO: more machines are needed than are reserved" : "yes"});
    return builder.finish();
}

// What a deployment of this size needs, what there is, and the mechanism that closes the gap.
struct Need {
    std::string need, have;
    double before, now;  // the need as a multiple of what there is; it fits up to 1
    std::string mechanism;
};

std::string format_excess(double factor) {
    if (std::isnan(factor)) return "not measured";
    if (factor < 1e-3) return "fits";
    return factor <= 1 ? "fits: " + format_figure(factor) : "**" + format_figure(factor) + "**";
}

Table make_needs_table(const Model& model) {
    const Load& load = model.load;
    // As in src/service/service.cpp: 16 descriptors are reserved, and a third of the others is for data
    // nodes.
    constexpr double reserved_descriptors = 16, data_node_share = 3;
    const double max_connections =
        std::floor((model.value_of("sockets") - reserved_descriptors) / data_node_share);
    const double list_transfer_s =
        model.value_at("router.list_bytes", model.nodes) * 1e3 / model.value_of("control_kb_s");
    const double leader_core_at_peak = model.leader_core_share(model.member_call_rate(model.peak));
    const double grants_kb_s_at_peak =
        model.member_call_rate(model.peak) / model.routers * model.grant_bytes(model.peak) / 1e3;
    const double zone_removal_s = model.zone_removal_bytes() / (model.value_of("control_kb_s") * 1e3);
    const double zone_return_s = model.zone_return_bytes() / (model.value_of("control_kb_s") * 1e3);
    const double zone_changes_core = load.zone_nodes / model.in_force_s * model.one_change_ms() / 1e3;
    const double list_changes_core = load.list_changes * model.peak * model.one_change_ms() / 1e3;
    const double list_mb = model.value_at("router.list_bytes", model.nodes);
    const double unresponsive_s = model.value_of("silent_calls") / load.pair_attempts;
    const double table_memory = model.value_at("router.agreed_memory", model.nodes) +
                                model.value_at("router.list_memory", model.nodes) +
                                model.value_at("router.module_memory", model.nodes);
    const double memory_before = table_memory + model.value_at("router.list_read_memory_before", model.nodes);
    const double memory_now = table_memory + model.value_at("router.list_read_memory", model.nodes);
    const double comparison_s_before =
        model.value_at("steward.view_before", model.nodes * model.nodes / model.value_of("copies") / 1e3) /
        1e3;
    const double comparison_s_now = model.value_at("steward.view", model.nodes) / 1e3,
                 comparison_budget_s = model.value_of("view_s") * model.value_of("leader_core");
    const double zone_report_kb = model.value_at("member.call_bytes", load.zone_nodes) / 1e3;
    const double list_limit_mb = std::max(model.value_of("list_mb"), model.value_of("memory_mb") / 4);
    const auto status_poll_core = [&](const char* slope) {
        const double write_s = model.value_at(slope, model.nodes) / 1e3;
        return write_s / (model.value_of("look_s") + write_s);
    };
    const double status_core_before = status_poll_core("steward.status_write_before"),
                 status_core_now = status_poll_core("steward.status_write");
    const double needed_restarts = model.value_of("changes_a_day") * model.routers;
    const double batches_per_second = std::min(1e3 / model.value_of("batch_ms"), load.renewals);
    const auto batches_core = [&](const char* slope) {
        return model.value_at(slope, model.nodes) / 1e3 * batches_per_second;
    };
    const double list_excess = list_transfer_s / model.cold_start_s;
    const auto unchanged = [](double excess) { return std::pair(excess, excess); };
    const auto make_need = [](std::string need, std::string have, std::pair<double, double> excess,
                              std::string mechanism) {
        return Need{std::move(need), std::move(have), excess.first, excess.second, std::move(mechanism)};
    };
    const std::string in_force_text = format_duration(model.in_force_s),
                      byte_rate_text = format_figure(model.value_of("control_kb_s")) + " KB/s";
    const std::string leader_core_text = format_core_share(model.value_of("leader_core")) + " of a core";
    std::vector<Need> needs{
        make_need(
            "a change of `log` or `two_phase` at all routers, within " + in_force_text,
            "restarts, now " + format_duration(model.value_at("relay.told_all", model.routers)) + " at worst",
            std::pair(needed_restarts / model.value_of("restarts_a_day"),
                      model.value_at("relay.told_all", model.routers) / model.in_force_s),
            "versioned changes by relays"),
        make_need("a change of another setting without a restart, " + format_figure(needed_restarts) +
                      " times a day",
                  format_figure(model.value_of("restarts_a_day")) + " restarts a day",
                  unchanged(needed_restarts / model.value_of("restarts_a_day")),
                  "**none**: applied only at start"),
        make_need(format_figure(model.nodes) + " connections of a router to nodes",
                  format_figure(max_connections) + ", a third of " +
                      format_figure(model.value_of("sockets")) + " descriptors",
                  unchanged(model.nodes / max_connections),
                  "`limits.sockets`, and " +
                      format_megabytes(model.value_at("router.link_memory", model.nodes)) +
                      " of heap; no subsets"),
        make_need(
            format_figure(load.router_attempts_in_flight) + " attempts in flight, each on its own connection",
            format_figure(max_connections), unchanged(load.router_attempts_in_flight / max_connections),
            "`limits.sockets`: the present value is too low"),
        make_need("a change within a disconnected region, within " + in_force_text,
                  format_duration(model.value_of("apart_s")),
                  unchanged(model.value_of("apart_s") / model.in_force_s),
                  "**none**: fleet managers for each region (runner-up)"),
        make_need("leader: reports while a drain waits, in " + leader_core_text,
                  format_core_share(batches_core("fleet.batch_queued_before")) + ", now " +
                      format_core_share(batches_core("fleet.batch_queued")),
                  std::pair(batches_core("fleet.batch_queued_before") / model.value_of("leader_core"),
                            batches_core("fleet.batch_queued") / model.value_of("leader_core")),
                  "counts updated incrementally"),
        make_need("leader: " + format_rate(model.member_call_rate(model.peak)) + " calls at the peak, in " +
                      leader_core_text,
                  format_core_share(leader_core_at_peak),
                  unchanged(leader_core_at_peak / model.value_of("leader_core")),
                  "**none**: reports combined by relays"),
        make_need("leader: one operator's `--wait`, in " + leader_core_text,
                  format_core_share(status_core_before) + ", now " + format_core_share(status_core_now),
                  std::pair(status_core_before / model.value_of("leader_core"),
                            status_core_now / model.value_of("leader_core")),
                  "a large fleet's status lists only exceptions"),
        make_need("drained targets, to each router at the peak, in " + byte_rate_text,
                  format_byte_rate(grants_kb_s_at_peak * 1e3),
                  unchanged(grants_kb_s_at_peak / model.value_of("control_kb_s")),
                  "**none**: deltas, verified by digests"),
        make_need("removal of a zone's " + format_figure(load.zone_nodes) + " nodes, by name, within " +
                      in_force_text + " at " + byte_rate_text,
                  format_duration(zone_removal_s), unchanged(zone_removal_s / model.in_force_s),
                  "deltas of discovery's list"),
        make_need("return of a zone's " + format_figure(load.zone_nodes) + " nodes, entry by entry, within " +
                      in_force_text,
                  format_duration(zone_return_s), unchanged(zone_return_s / model.in_force_s),
                  "**none**: discovery sends each entry in full"),
        make_need("changes of a zone's nodes, one answer per entry, in " +
                      format_core_share(model.value_of("control_core")) + " of a core",
                  format_core_share(zone_changes_core),
                  unchanged(zone_changes_core / model.value_of("control_core")),
                  "answers of discovery that have many entries"),
        make_need("a full list at a cold start, within " + format_duration(model.cold_start_s) + " at " +
                      byte_rate_text,
                  format_duration(list_transfer_s), unchanged(list_excess),
                  "**none**: pages, or a list cached on disk"),
        make_need("a full list of " + format_megabytes(list_mb),
                  format_megabytes(model.value_of("list_mb")) + ", now " + format_megabytes(list_limit_mb),
                  std::pair(list_mb / model.value_of("list_mb"), list_mb / list_limit_mb),
                  "a size limit that follows from the memory"),
        make_need("a place for each of " + format_figure(model.nodes) + " nodes", "65,536, now 4.29 billion",
                  std::pair(model.nodes / 65'536.0, model.nodes / 4'294'967'296.0),
                  "32-bit places instead of 16-bit ones"),
        make_need("changes of the endpoint list at the peak, in " +
                      format_core_share(model.value_of("control_core")) + " of a core",
                  format_core_share(list_changes_core),
                  unchanged(list_changes_core / model.value_of("control_core")),
                  "its cost grows with the number of nodes"),
        make_need(format_figure(model.value_of("control_mb")) + " MB, while a full list is read",
                  format_megabytes(memory_before) + ", now " + format_megabytes(memory_now),
                  std::pair(memory_before / model.value_of("control_mb"),
                            memory_now / model.value_of("control_mb")),
                  "lists are read entry by entry"),
        make_need(
            "leader: comparison with discovery's list every " + format_duration(model.value_of("view_s")) +
                ", in " + leader_core_text,
            format_duration(comparison_s_before) + ", now " + format_duration(comparison_s_now),
            std::pair(comparison_s_before / comparison_budget_s, comparison_s_now / comparison_budget_s),
            "only changed nodes are compared"),
        make_need("a member's report of a zone's unresponsive nodes",
                  format_bytes(model.value_of("body_kb") * 1e3) + " of " + format_bytes(zone_report_kb * 1e3),
                  unchanged(zone_report_kb / model.value_of("body_kb")),
                  "**none**: 413, and the lease expires"),
        make_need("detection of an unresponsive node, within " + in_force_text,
                  format_duration(unresponsive_s) + ": " + format_figure(model.value_of("silent_calls")) +
                      " calls in a row",
                  unchanged(unresponsive_s / model.in_force_s), "`OutcomeStats`; hedged requests until then"),
    };
    std::stable_sort(needs.begin(), needs.end(), [](const Need& left, const Need& right) {
        const auto sort_key = [](double factor) { return std::isnan(factor) ? 1.0 : factor; };
        return sort_key(left.now) > sort_key(right.now);
    });
    TableBuilder builder("needs", {"need", "have", "short by factor, before", "now", "mechanism"});
    for (const Need& need : needs)
        builder.add_row(
            {need.need, need.have, format_excess(need.before), format_excess(need.now), need.mechanism});
    return builder.finish();
}

// The number of members in the measurements by listed nodes.
constexpr double members_of_node_measurements = 300;

// Costs of real fleet managers, measured with hollow routers, beside the aims.
Table make_hollow_routers_table(const Model& model) {
    TableBuilder builder("hollow", {"quantity", "at this size", "aim", "by"});
    const auto leader_mb = model.value_at("steward_lead.mb_per_node", model.nodes) +
                           model.value_at("steward_lead.mb_per_member", model.routers) -
                           model.value_at("steward_lead.mb_per_member", members_of_node_measurements);
    const auto follower_mb = model.value_at("steward_follow.mb_per_node", model.nodes) +
                             model.value_at("steward_follow.mb_per_member", model.routers) -
                             model.value_at("steward_follow.mb_per_member", members_of_node_measurements);
    const double router_bytes = model.value_at("router.steward_in_per_member", model.routers) +
                                model.value_at("router.steward_out_per_member", model.routers) +
                                model.value_at("router.discovery_in_per_member", model.routers) +
                                model.value_at("router.discovery_out_per_member", model.routers);
    builder.add_row({"leader: core without changes",
                     format_core_share(model.value_at("steward_lead.cpu_per_member", model.routers) / 1e3),
                     format_core_share(model.value_of("leader_core")), "members"});
    builder.add_row(
        {"leader: memory of the process", format_megabytes(leader_mb), "-", "nodes, and members beyond 300"});
    builder.add_row({"leader: descriptors",
                     format_figure(model.value_at("steward_lead.descriptors_per_member", model.routers)),
                     "20,000", "members"});
    builder.add_row({"leader: log writes",
                     format_byte_rate(model.value_at("steward_lead.log_per_member", model.routers)), "-",
                     "members"});
    builder.add_row({"follower: core",
                     format_core_share(model.value_at("steward_follow.cpu_per_member", model.routers) / 1e3),
                     "-", "members"});
    builder.add_row({"follower: memory of the process", format_megabytes(follower_mb), "-",
                     "nodes, and members beyond 300"});
    builder.add_row({"router: all watches without changes", format_byte_rate(router_bytes),
                     format_byte_rate(model.value_of("control_kb_s") * 1e3 * model.value_of("ordinary")),
                     "members"});
    builder.add_row({"router: core, with hundreds on one event loop",
                     format_core_share(model.value_at("router.cpu_per_member", model.routers) / 1e3),
                     format_core_share(model.value_of("control_core") * model.value_of("ordinary")),
                     "members"});
    return builder.finish();
}

// Costs of real relays and fleet managers, measured with hollow routers at four changes per second.
Table make_measured_relays_table(const Model& model) {
    TableBuilder builder("relays-measured", {"quantity", "at this size", "aim"});
    const auto figure_of = [&model](const char* name) { return model.value_at(name, model.routers); };
    builder.add_row({"longest time until a version is at 99 in 100 routers",
                     format_duration(figure_of("relay.told_99")), format_duration(model.value_of("aim_s"))});
    builder.add_row({"longest time until a version is at all live routers, a relay or the leader killed",
                     format_duration(figure_of("relay.told_all")), format_duration(model.in_force_s)});
    builder.add_row({"cold start of all routers, with 1,000 entries",
                     format_duration(figure_of("relay.cold_start")), format_duration(model.cold_start_s)});
    builder.add_row({"leader: core", format_core_share(figure_of("steward.changes_lead") / 1e3),
                     format_core_share(model.value_of("leader_core"))});
    builder.add_row(
        {"leader: memory for changes", format_megabytes(figure_of("steward.changes_lead_memory")), "-"});
    builder.add_row({"follower: core", format_core_share(figure_of("steward.changes_follow") / 1e3), "-"});
    builder.add_row({"relay: mean core", format_core_share(figure_of("relay.cpu") / 1e3), "-"});
    builder.add_row({"relay: mean memory", format_megabytes(figure_of("relay.memory")), "-"});
    builder.add_row({"relay: bytes to followers, from followers",
                     format_byte_rate(figure_of("relay.down_bytes") * 1e3) + ", " +
                         format_byte_rate(figure_of("relay.from_bytes") * 1e3),
                     "-"});
    builder.add_row({"router: core", format_core_share(figure_of("router.changes_cpu") / 1e3),
                     format_core_share(model.value_of("control_core"))});
    builder.add_row({"router: bytes in, out",
                     format_byte_rate(figure_of("router.changes_in") * 1e3) + ", " +
                         format_byte_rate(figure_of("router.changes_out") * 1e3),
                     format_byte_rate(model.value_of("control_kb_s") * 1e3)});
    return builder.finish();
}

Table make_rejected_table(const Model& model) {
    const Load& load = model.load;
    TableBuilder builder("rejected", {"shape", "cost at this size", "reason for rejection"});
    const double calls_per_second = model.member_call_rate(model.peak);
    builder.add_row(
        {"one leader for all members",
         format_rate(calls_per_second) + " calls at the peak: " +
             format_core_share(model.leader_core_share(calls_per_second)) + " of a core, " +
             format_byte_rate(calls_per_second * (model.report_bytes() + model.grant_bytes(model.peak))),
         "one thread, one machine, one zone"});
    builder.add_row({"full lists to each router",
                     format_megabytes(model.value_at("router.list_bytes", model.nodes)) + " x " +
                         format_figure(model.routers) + " = " +
                         format_bytes(model.value_at("router.list_bytes", model.nodes) * 1e6 * model.routers),
                     format_duration(model.value_at("router.list_bytes", model.nodes) * 1e3 /
                                     model.value_of("control_kb_s")) +
                         " each at " + format_figure(model.value_of("control_kb_s")) + " KB/s"});
    builder.add_row({"every router connected to every node", format_figure(load.connections) + " connections",
                     format_figure(load.router_connections) + " per router, " +
                         format_figure(load.node_connections) + " per node, each used " +
                         format_rate(load.pair_attempts)});
    builder.add_row(
        {"a connection for each attempt", format_rate(load.attempts) + " opened",
         format_core_share(model.value_at("router.call_made", 1) / 1e6 * load.router_attempts) +
             " of a router's core instead of " +
             format_core_share(model.value_at("router.call_kept", 1) / 1e6 * load.router_attempts)});
    const Slope& log = model.slopes.slope_of("steward.log_bytes");
    builder.add_row({"a log entry for each renewal",
                     format_rate(load.renewals) + " entries, " +
                         format_byte_rate(load.renewals * (log.stated.fixed + log.stated.slope)),
                     format_figure(load.renewals * model.value_of("batch_ms") / 1e3) +
                         " times as many writes to stable storage"});
    builder.add_row({"all drained targets in each answer",
                     format_bytes(model.grant_bytes(model.peak)) + " x " +
                         format_rate(model.member_call_rate(model.peak)),
                     format_byte_rate(model.member_call_rate(model.peak) * model.grant_bytes(model.peak)) +
                         " at the peak"});
    builder.add_row({"a restart for each change",
                     format_figure(model.value_of("changes_a_day") * model.routers) + " restarts a day",
                     format_rate(load.changes * model.routers) +
                         "; each needs a full list and four changes of all other lists"});
    return builder.finish();
}

// Returns the share of late attempts if late attempts are hedged to another replica, which is late with the
// same probability. The budget limits the share of attempts that are hedged.
double late_share_with_hedging(const Model& model, double late_share) {
    const double hedged_share = std::min(1.0, model.value_of("copy_share") / late_share);
    return late_share * (1 - hedged_share) + late_share * late_share * hedged_share;
}

Table make_fan_out_table(const Model& model) {
    const double parts = model.value_of("parts");
    const int part_count = static_cast<int>(parts), reduced_count = part_count * 3 / 4;
    TableBuilder builder("fan-out",
                         {"share of late attempts", "all " + format_figure(parts) + " on time",
                          "p = " + format_figure(reduced_count) + ", all on time", "all, hedged",
                          "p = " + format_figure(reduced_count) + ", hedged", "all but 1", "all but 3"});
    const auto add_row = [&](const std::string& label, double late_share) {
        builder.add_row(
            {label, format_percent(probability_all_on_time(late_share, parts)),
             format_percent(probability_all_on_time(late_share, reduced_count)),
             format_percent(probability_all_on_time(late_share_with_hedging(model, late_share), parts)),
             format_percent(
                 probability_all_on_time(late_share_with_hedging(model, late_share), reduced_count)),
             format_percent(probability_few_late(late_share, part_count, 1)),
             format_percent(probability_few_late(late_share, part_count, 3))});
    };
    add_row(format_per_10000(model.load.max_late_share) + ", the allowed share", model.load.max_late_share);
    for (const double late_share : {1e-3, 3e-3, 1e-2, 3e-2, 0.1})
        add_row(format_per_10000(late_share), late_share);
    return builder.finish();
}

// Returns the duration within which this share of attempts ends. Interpolates between the measured quantiles
// by the logarithm of the remaining share.
double attempt_quantile_ms(const Model& model, double share) {
    const std::pair<double, const char*> quantiles[] = {{0.5, "leaf.one_50"},
                                                        {0.9, "leaf.one_90"},
                                                        {0.99, "leaf.one_99"},
                                                        {0.99858, "leaf.one_99.86"},
                                                        {0.99986, "leaf.one_99.986"}};
    const auto log_tail = [](double quantile) { return -std::log(1 - quantile); };
    for (std::size_t i = 1; i < std::size(quantiles); ++i) {
        if (share > quantiles[i].first && i + 1 < std::size(quantiles)) continue;
        const auto [lower, lower_slope] = quantiles[i - 1];
        const auto [upper, upper_slope] = quantiles[i];
        const double fraction = (std::min(log_tail(share), log_tail(upper)) - log_tail(lower)) /
                                (log_tail(upper) - log_tail(lower));
        return model.value_at(lower_slope, 1) +
               std::max(0.0, fraction) * (model.value_at(upper_slope, 1) - model.value_at(lower_slope, 1));
    }
    return 0;
}

// Returns the largest share of late attempts at which a query is on time with at least this probability.
template <typename Probability>
double max_late_share_for(double min_probability, Probability on_time_probability) {
    double low = 0, high = 1;
    for (int i = 0; i < 100; ++i) {
        const double middle = (low + high) / 2;
        (on_time_probability(middle) >= min_probability ? low : high) = middle;
    }
    return low;
}

Table make_attempt_times_table(const Model& model) {
    const double parts = model.value_of("parts"), share = model.value_of("slo_share");
    const int part_count = static_cast<int>(parts), reduced_count = part_count * 3 / 4;
    TableBuilder builder("leaf-times",
                         {"way", "allowed share of late attempts", "deciding quantile of an attempt",
                          "measured time at this quantile", "measured time of the query"});
    const auto add_row = [&](const std::string& label, double late_share, const std::string& query_time) {
        builder.add_row({label, format_per_10000(late_share), fmt::format("{:.3f}%", 100 * (1 - late_share)),
                         format_figure(attempt_quantile_ms(model, 1 - late_share)) + " ms", query_time});
    };
    const auto query_ms = [&](const char* name) { return format_figure(model.value_at(name, 1)) + " ms"; };
    add_row("all " + format_figure(parts),
            max_late_share_for(share,
                               [&](double late_share) { return probability_all_on_time(late_share, parts); }),
            query_ms("leaf.all_99"));
    add_row("p = " + format_figure(reduced_count),
            max_late_share_for(
                share, [&](double late_share) { return probability_all_on_time(late_share, reduced_count); }),
            "not measured");
    add_row("all, hedged",
            max_late_share_for(share,
                               [&](double late_share) {
                                   return probability_all_on_time(late_share_with_hedging(model, late_share),
                                                                  parts);
                               }),
            query_ms("leaf.copied_99"));
    add_row("all but 1",
            max_late_share_for(
                share, [&](double late_share) { return probability_few_late(late_share, part_count, 1); }),
            "not measured");
    add_row("all but 3",
            max_late_share_for(
                share, [&](double late_share) { return probability_few_late(late_share, part_count, 3); }),
            "not measured");
    return builder.finish();
}

Table make_detection_times_table(const Model& model) {
    const Load& load = model.load;
    TableBuilder builder("knowing", {"observer", "attempts to one node", "unresponsive, 5 calls",
                                     "late in 1 of 5, not 1 of 100", "late in 1 of 50, not 1 of 100"});
    const double error_odds = 100;
    const auto add_row = [&](const std::string& observer, double per_second) {
        builder.add_row({observer, format_rate(per_second),
                         format_duration(model.value_of("silent_calls") / per_second),
                         format_duration(calls_to_distinguish(0.2, 0.01, error_odds) / per_second),
                         format_duration(calls_to_distinguish(0.02, 0.01, error_odds) / per_second)});
    };
    add_row("one router alone", load.pair_attempts);
    add_row("one router, using one replica of each shard", load.pair_attempts * model.value_of("copies"));
    add_row("one router, a zone's nodes of one kind together",
            load.router_attempts / model.value_of("zones") / model.value_of("kinds"));
    add_row("all routers of a relay together", load.pair_attempts * load.zone_routers);
    add_row("all routers together", load.node_attempts);
    return builder.finish();
}

}  // namespace

std::vector<Table> make_tables(const Size& size, const Slopes& slopes) {
    const Model model(size, slopes);
    return {make_size_table(model),
            make_load_table(model),
            make_needs_table(model),
            make_router_data_table(model),
            make_router_control_table(model),
            make_leader_table(model),
            make_other_roles_table(model),
            make_hollow_routers_table(model),
            make_relay_table(model),
            make_measured_relays_table(model),
            make_machines_table(model),
            make_rejected_table(model),
            make_fan_out_table(model),
            make_attempt_times_table(model),
            make_detection_times_table(model),
            make_slopes_table(model)};
}

}  // namespace tealcart::capacity
