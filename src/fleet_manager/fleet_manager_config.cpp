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
    const std::int64_t most = in.integer(before + "most", any_number, 0, any_number);
    if (most < any_number) limit.most = static_cast<std::size_t>(most);
    limit.share = in.number(before + "share", 1, 0, 1);
    return limit;
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

void read_manager(const HclBlock& block, std::vector<HclError>& mistakes, FleetManagerConfig& config) {
    BlockReader in(block, mistakes);
    const std::string label = in.label("the steward's id");
    std::uint64_t id = 0;
    const auto [end, ec] = std::from_chars(label.data(), label.data() + label.size(), id);
    if (ec != std::errc() || end != label.data() + label.size() || id == 0)
        in.add_error(block.position, "a steward's id is a whole number above 0");
    ManagerAddresses s;
    const auto address = [&](const char* name, bool needed) {
        const std::string text = in.string(name, "");
        const auto at = parse_host_port(text);
        if (!at && (needed || !text.empty()))
            in.add_error(block.position, std::string("'") + name + "' is no address with a port");
        return std::pair(text, at.value_or(HostPort{}));
    };
    s.raft = address("raft", true).first;
    s.bind = address("bind", false).first;
    s.http = address("http", true).second;
    s.http_bind = address("http_bind", false).second;
    if (s.http_bind.port == 0) s.http_bind = s.http;
    s.folder = in.string("folder", "");
    if (s.folder.empty()) in.add_error(block.position, "'folder' is not stated");
    for (const auto& [other, of] : config.managers)
        if (of.raft == s.raft || of.http == s.http || (of.folder == s.folder && !s.folder.empty()))
            in.add_error(block.position, "it has an address or folder of steward " + std::to_string(other));
    in.reject_unknown();
    if (!config.managers.emplace(id, std::move(s)).second)
        in.add_error(block.position, "a second steward " + std::to_string(id));
}

}  // namespace

FleetManagerConfig read_fleet_manager_config(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    std::vector<HclError> mistakes;
    FleetManagerConfig config;
    config.source = source;
    BlockReader in(root, mistakes);
    if (const HclBlock* log = in.single_block("log")) {
        BlockReader of(*log, mistakes);
        of.expect_no_label();
        config.log.form = static_cast<LogForm>(of.choice("format", 0, {"text", "json"}));
        config.log.level = static_cast<LogLevel>(of.choice("level", 1, {"debug", "info", "warn", "error"}));
        of.reject_unknown();
    }
    const HclBlock* fleet = in.single_block("fleet");
    if (fleet == nullptr) {
        in.add_error(root.position, "there is no 'fleet' block");
    } else {
        BlockReader of(*fleet, mistakes);
        fleet::Budgets& b = config.budgets;
        config.fleet = of.label("the fleet's name");
        if (!is_name(config.fleet))
            of.add_error(fleet->position, "the fleet's name has blanks or over 128 letters");
        config.election = of.duration("election", config.election, 100 * ms, 60 * second);
        b.lease = of.duration("lease", b.lease, 500 * ms, hour);
        b.drift = of.duration("drift", b.drift, 0, hour);
        b.forget = of.duration("forget", b.forget, 0, 365 * 24 * hour);
        b.wait_for_lost = of.boolean("wait_for_lost", b.wait_for_lost);
        b.max_open = static_cast<std::size_t>(of.integer("most_open", 1000, 1, 1'000'000));
        if (b.lease < 2 * config.election)
            of.add_error(fleet->position,
                         "'lease' is under two of 'election': no leader could be found within one");
        for (const HclBlock* manager : of.blocks("steward")) read_manager(*manager, mistakes, config);
        if (config.managers.empty()) of.add_error(fleet->position, "it names no 'steward'");
        if (const HclBlock* nodes = of.single_block("data_nodes")) {
            BlockReader n(*nodes, mistakes);
            n.expect_no_label();
            b.nodes = read_limit(n, "");
            b.nodes_a_zone = read_limit(n, "zone_");
            b.nodes_a_kind = read_limit(n, "kind_");
            b.min_holders = static_cast<std::size_t>(n.integer("least_holders", 1, 0, 1000));
            b.silent_share = n.number("silent_share", b.silent_share, 0.01, 1);
            n.reject_unknown();
        }
        if (const HclBlock* routers = of.single_block("routers")) {
            BlockReader r(*routers, mistakes);
            r.expect_no_label();
            b.routers = read_limit(r, "");
            b.routers_a_zone = read_limit(r, "zone_");
            r.reject_unknown();
        }
        if (const HclBlock* halt = of.single_block("halt")) {
            BlockReader h(*halt, mistakes);
            h.expect_no_label();
            b.halt_failed = h.number("failed", b.halt_failed, 0, 1);
            b.halt_failed_least = static_cast<std::uint64_t>(h.integer("failed_least", 100, 1, any_number));
            b.halt_lost = h.number("lost", b.halt_lost, 0, 1);
            b.halt_holders = static_cast<std::size_t>(h.integer("holders", 0, 0, 1000));
            h.reject_unknown();
        }
        if (const HclBlock* block = of.single_block("changes")) {
            BlockReader c(*block, mistakes);
            c.expect_no_label();
            changes::Limits& l = config.changes;
            const auto count = [&c](const char* name, std::size_t& to, std::int64_t most) {
                to = static_cast<std::size_t>(c.integer(name, static_cast<std::int64_t>(to), 1, most));
            };
            config.takes_changes = true;
            l.lease = c.duration("lease", l.lease, 500 * ms, hour);
            l.drift = c.duration("drift", l.drift, 0, hour);
            l.forget = c.duration("forget", l.forget, 0, 365 * 24 * hour);
            l.halt_refused = c.number("halt_refused", l.halt_refused, 0, 1);
            count("halt_refused_least", l.halt_refused_least, any_number);
            count("most_entries", l.max_entries, 10'000);
            l.max_entry = c.byte_size("longest_entry", l.max_entry, 16, 256 * 1024);
            count("most_kept", l.max_kept, 100'000);
            count("most_members", l.max_members, 1'000'000);
            count("most_relays", l.max_relays, 100'000);
            if (l.lease < 2 * config.election)
                c.add_error(block->position,
                            "'lease' is under two of 'election': no leader could be found within one");
            c.reject_unknown();
        }
        of.reject_unknown();
    }
    in.reject_unknown();
    if (mistakes.empty()) return config;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const HclError& a, const HclError& b) {
        return std::pair(a.position.line, a.position.column) < std::pair(b.position.line, b.position.column);
    });
    throw HclErrors(source, std::move(mistakes));
}

FleetManagerConfig read_fleet_manager_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ConfigError("the stewards' file " + path + " can't be read");
    return read_fleet_manager_config(text, path);
}

}  // namespace tealcart::manager
