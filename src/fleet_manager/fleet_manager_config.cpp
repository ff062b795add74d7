#include "fleet_manager/fleet_manager_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

#include "config/block_reader.hpp"

namespace tealcart::manager {
namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms, hour = 3600 * second;
constexpr std::int64_t any_number = 1'000'000'000;

fleet::Limit read_limit(BlockReader& in, const std::string& before) {
    fleet::Limit limit;
    const std::int64_t most = in.whole(before + "most", any_number, 0, any_number);
    if (most < any_number) limit.max_count = static_cast<std::size_t>(most);
    limit.max_share = in.number(before + "share", 1, 0, 1);
    return limit;
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

void read_manager(const HclBlock& block, std::vector<HclMistake>& mistakes, FleetManagerConfig& config) {
    BlockReader in(block, mistakes);
    const std::string label = in.label("the steward's id");
    std::uint64_t id = 0;
    const auto [end, ec] = std::from_chars(label.data(), label.data() + label.size(), id);
    if (ec != std::errc() || end != label.data() + label.size() || id == 0)
        in.wrong(block.at, "a steward's id is a whole number above 0");
    OneManager s;
    const auto address = [&](const char* name, bool needed) {
        const std::string text = in.text(name, "");
        const auto at = read_host_port(text);
        if (!at && (needed || !text.empty()))
            in.wrong(block.at, std::string("'") + name + "' is no address with a port");
        return std::pair(text, at.value_or(HostPort{}));
    };
    s.raft = address("raft", true).first;
    s.bind = address("bind", false).first;
    s.http = address("http", true).second;
    s.http_bind = address("http_bind", false).second;
    if (s.http_bind.port == 0) s.http_bind = s.http;
    s.folder = in.text("folder", "");
    if (s.folder.empty()) in.wrong(block.at, "'folder' is not stated");
    for (const auto& [other, of] : config.managers)
        if (of.raft == s.raft || of.http == s.http || (of.folder == s.folder && !s.folder.empty()))
            in.wrong(block.at, "it has an address or folder of steward " + std::to_string(other));
    in.finish();
    if (!config.managers.emplace(id, std::move(s)).second)
        in.wrong(block.at, "a second steward " + std::to_string(id));
}

}  // namespace

FleetManagerConfig read_fleet_manager_config(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    std::vector<HclMistake> mistakes;
    FleetManagerConfig config;
    config.source = source;
    BlockReader in(root, mistakes);
    if (const HclBlock* log = in.only_block("log")) {
        BlockReader of(*log, mistakes);
        of.no_label();
        config.log.form = static_cast<LogForm>(of.choice("format", 0, {"text", "json"}));
        config.log.level = static_cast<LogLevel>(of.choice("level", 1, {"debug", "info", "warn", "error"}));
        of.finish();
    }
    const HclBlock* fleet = in.only_block("fleet");
    if (fleet == nullptr) {
        in.wrong(root.at, "there is no 'fleet' block");
    } else {
        BlockReader of(*fleet, mistakes);
        fleet::Budgets& b = config.budgets;
        config.fleet = of.label("the fleet's name");
        if (!is_name(config.fleet)) of.wrong(fleet->at, "the fleet's name has blanks or over 128 letters");
        config.election = of.span("election", config.election, 100 * ms, 60 * second);
        b.lease = of.span("lease", b.lease, 500 * ms, hour);
        b.drift = of.span("drift", b.drift, 0, hour);
        b.forget_after = of.span("forget", b.forget_after, 0, 365 * 24 * hour);
        b.wait_for_lost = of.flag("wait_for_lost", b.wait_for_lost);
        b.max_open_requests = static_cast<std::size_t>(of.whole("most_open", 1000, 1, 1'000'000));
        if (b.lease < 2 * config.election)
            of.wrong(fleet->at, "'lease' is under two of 'election': no leader could be found within one");
        for (const HclBlock* manager : of.blocks("steward")) read_manager(*manager, mistakes, config);
        if (config.managers.empty()) of.wrong(fleet->at, "it names no 'steward'");
        if (const HclBlock* nodes = of.only_block("data_nodes")) {
            BlockReader n(*nodes, mistakes);
            n.no_label();
            b.nodes = read_limit(n, "");
            b.nodes_per_zone = read_limit(n, "zone_");
            b.nodes_per_kind = read_limit(n, "kind_");
            b.min_holders = static_cast<std::size_t>(n.whole("least_holders", 1, 0, 1000));
            b.unresponsive_share = n.number("silent_share", b.unresponsive_share, 0.01, 1);
            n.finish();
        }
        if (const HclBlock* routers = of.only_block("routers")) {
            BlockReader r(*routers, mistakes);
            r.no_label();
            b.routers = read_limit(r, "");
            b.routers_per_zone = read_limit(r, "zone_");
            r.finish();
        }
        if (const HclBlock* halt = of.only_block("halt")) {
            BlockReader h(*halt, mistakes);
            h.no_label();
            b.halt_failed_share = h.number("failed", b.halt_failed_share, 0, 1);
            b.halt_failed_min_queries =
                static_cast<std::uint64_t>(h.whole("failed_least", 100, 1, any_number));
            b.halt_lost_share = h.number("lost", b.halt_lost_share, 0, 1);
            b.halt_min_holders = static_cast<std::size_t>(h.whole("holders", 0, 0, 1000));
            h.finish();
        }
        if (const HclBlock* block = of.only_block("changes")) {
            BlockReader c(*block, mistakes);
            c.no_label();
            changes::Limits& l = config.changes;
            const auto count = [&c](const char* name, std::size_t& to, std::int64_t most) {
                to = static_cast<std::size_t>(c.whole(name, static_cast<std::int64_t>(to), 1, most));
            };
            config.takes_changes = true;
            l.lease = c.span("lease", l.lease, 500 * ms, hour);
            l.drift = c.span("drift", l.drift, 0, hour);
            l.forget_after = c.span("forget", l.forget_after, 0, 365 * 24 * hour);
            l.halt_refused_share = c.number("halt_refused", l.halt_refused_share, 0, 1);
            count("halt_refused_least", l.halt_min_refusals, any_number);
            count("most_entries", l.max_entries, 10'000);
            l.max_entry_bytes = c.bytes("longest_entry", l.max_entry_bytes, 16, 256 * 1024);
            count("most_kept", l.max_kept, 100'000);
            count("most_members", l.max_members, 1'000'000);
            count("most_relays", l.max_relays, 100'000);
            if (l.lease < 2 * config.election)
                c.wrong(block->at, "'lease' is under two of 'election': no leader could be found within one");
            c.finish();
        }
        of.finish();
    }
    in.finish();
    if (mistakes.empty()) return config;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const HclMistake& a, const HclMistake& b) {
        return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
    });
    throw HclMistakes(source, std::move(mistakes));
}

FleetManagerConfig read_fleet_manager_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw Malformed("the stewards' file " + path + " can't be read");
    return read_fleet_manager_config(text, path);
}

}  // namespace tealcart::manager
