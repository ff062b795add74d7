#include "fleet_manager/fleet_manager_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

#include "config/block_reader.hpp"

namespace tealcart::manager {
namespace {

constexpr Nanos millisecond = 1'000'000, second = 1000 * millisecond, hour = 3600 * second;
constexpr Nanos min_lease = 500 * millisecond, year = 365 * 24 * hour;
constexpr std::int64_t unlimited = 1'000'000'000;
constexpr std::size_t max_name_length = 128;
constexpr const char* short_lease = "'lease' is under two of 'election': no leader could be found within one";

using Mistakes = std::vector<HclMistake>;

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// The id of a block `steward "ID"`; 0 where it is none.
std::uint64_t read_id(const HclBlock& block, BlockReader& in) {
    const std::string label = in.label("the steward's id");
    const char* const end = label.data() + label.size();
    std::uint64_t id = 0;
    const auto [parsed_to, error] = std::from_chars(label.data(), end, id);
    if (error != std::errc() || parsed_to != end || id == 0)
        in.wrong(block.at, "a steward's id is a whole number above 0");
    return id;
}

struct Address {
    std::string text;
    HostPort at;  // port 0: not stated, or malformed
};

Address read_address(const HclBlock& block, BlockReader& in, const char* name, bool required) {
    const std::string text = in.text(name, "");
    const auto at = read_host_port(text);
    if (!at && (required || !text.empty()))
        in.wrong(block.at, std::string("'") + name + "' is no address with a port");
    return {text, at.value_or(HostPort{})};
}

void read_manager(const HclBlock& block, Mistakes& mistakes, FleetManagerConfig& config) {
    BlockReader in(block, mistakes);
    const std::uint64_t id = read_id(block, in);
    ManagerAddresses self;
    self.raft = read_address(block, in, "raft", true).text;
    self.bind = read_address(block, in, "bind", false).text;
    self.http = read_address(block, in, "http", true).at;
    self.http_bind = read_address(block, in, "http_bind", false).at;
    if (self.http_bind.port == 0) self.http_bind = self.http;
    self.data_directory = in.text("folder", "");
    if (self.data_directory.empty()) in.wrong(block.at, "'folder' is not stated");
    for (const auto& [other_id, other] : config.managers) {
        const bool same_directory =
            other.data_directory == self.data_directory && !self.data_directory.empty();
        if (other.raft == self.raft || other.http == self.http || same_directory)
            in.wrong(block.at, "it has an address or folder of steward " + std::to_string(other_id));
    }
    in.finish();
    if (!config.managers.emplace(id, std::move(self)).second)
        in.wrong(block.at, "a second steward " + std::to_string(id));
}

// Limits of one kind: `PREFIXmost` and `PREFIXshare`.
fleet::Limit read_limit(BlockReader& in, const std::string& prefix) {
    fleet::Limit limit;
    const std::int64_t most = in.whole(prefix + "most", unlimited, 0, unlimited);
    if (most < unlimited) limit.most = static_cast<std::size_t>(most);
    limit.share = in.number(prefix + "share", 1, 0, 1);
    return limit;
}

void read_data_nodes(const HclBlock& block, Mistakes& mistakes, fleet::Budgets& budgets) {
    BlockReader in(block, mistakes);
    in.no_label();
    budgets.nodes = read_limit(in, "");
    budgets.nodes_a_zone = read_limit(in, "zone_");
    budgets.nodes_a_kind = read_limit(in, "kind_");
    budgets.min_holders = static_cast<std::size_t>(in.whole("least_holders", 1, 0, 1000));
    budgets.silent_share = in.number("silent_share", budgets.silent_share, 0.01, 1);
    in.finish();
}

void read_routers(const HclBlock& block, Mistakes& mistakes, fleet::Budgets& budgets) {
    BlockReader in(block, mistakes);
    in.no_label();
    budgets.routers = read_limit(in, "");
    budgets.routers_a_zone = read_limit(in, "zone_");
    in.finish();
}

void read_halt(const HclBlock& block, Mistakes& mistakes, fleet::Budgets& budgets) {
    BlockReader in(block, mistakes);
    in.no_label();
    budgets.halt_failed = in.number("failed", budgets.halt_failed, 0, 1);
    budgets.halt_failed_least = static_cast<std::uint64_t>(in.whole("failed_least", 100, 1, unlimited));
    budgets.halt_lost = in.number("lost", budgets.halt_lost, 0, 1);
    budgets.halt_holders = static_cast<std::size_t>(in.whole("holders", 0, 0, 1000));
    in.finish();
}

void read_changes(const HclBlock& block, Mistakes& mistakes, Nanos election, changes::Limits& limits) {
    BlockReader in(block, mistakes);
    in.no_label();
    const auto read_count = [&in](const char* name, std::size_t& to, std::int64_t max) {
        to = static_cast<std::size_t>(in.whole(name, static_cast<std::int64_t>(to), 1, max));
    };
    limits.lease = in.span("lease", limits.lease, min_lease, hour);
    limits.drift = in.span("drift", limits.drift, 0, hour);
    limits.forget = in.span("forget", limits.forget, 0, year);
    limits.halt_refused = in.number("halt_refused", limits.halt_refused, 0, 1);
    read_count("halt_refused_least", limits.halt_refused_least, unlimited);
    read_count("most_entries", limits.max_entries, 10'000);
    limits.max_entry = in.bytes("longest_entry", limits.max_entry, 16, 256 * 1024);
    read_count("most_kept", limits.max_kept, 100'000);
    read_count("most_members", limits.max_members, 1'000'000);
    read_count("most_relays", limits.max_relays, 100'000);
    if (limits.lease < 2 * election) in.wrong(block.at, short_lease);
    in.finish();
}

// What stands in the block itself; its inner blocks are read by `read_fleet`.
void read_fleet_values(const HclBlock& block, BlockReader& in, FleetManagerConfig& config) {
    fleet::Budgets& budgets = config.budgets;
    config.fleet = in.label("the fleet's name");
    if (!is_name(config.fleet)) in.wrong(block.at, "the fleet's name has blanks or over 128 letters");
    config.election = in.span("election", config.election, 100 * millisecond, 60 * second);
    budgets.lease = in.span("lease", budgets.lease, min_lease, hour);
    budgets.drift = in.span("drift", budgets.drift, 0, hour);
    budgets.forget = in.span("forget", budgets.forget, 0, year);
    budgets.wait_for_lost = in.flag("wait_for_lost", budgets.wait_for_lost);
    budgets.max_open = static_cast<std::size_t>(in.whole("most_open", 1000, 1, 1'000'000));
    if (budgets.lease < 2 * config.election) in.wrong(block.at, short_lease);
}

void read_fleet(const HclBlock& block, Mistakes& mistakes, FleetManagerConfig& config) {
    BlockReader in(block, mistakes);
    read_fleet_values(block, in, config);
    for (const HclBlock* manager : in.blocks("steward")) read_manager(*manager, mistakes, config);
    if (config.managers.empty()) in.wrong(block.at, "it names no 'steward'");
    if (const HclBlock* nodes = in.only_block("data_nodes"))
        read_data_nodes(*nodes, mistakes, config.budgets);
    if (const HclBlock* routers = in.only_block("routers")) read_routers(*routers, mistakes, config.budgets);
    if (const HclBlock* halt = in.only_block("halt")) read_halt(*halt, mistakes, config.budgets);
    if (const HclBlock* changes = in.only_block("changes")) {
        config.takes_changes = true;
        read_changes(*changes, mistakes, config.election, config.changes);
    }
    in.finish();
}

void read_log(const HclBlock& block, Mistakes& mistakes, LogConfig& log) {
    BlockReader in(block, mistakes);
    in.no_label();
    log.form = static_cast<LogForm>(in.choice("format", 0, {"text", "json"}));
    log.level = static_cast<LogLevel>(in.choice("level", 1, {"debug", "info", "warn", "error"}));
    in.finish();
}

}  // namespace

FleetManagerConfig read_fleet_manager_config(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    Mistakes mistakes;
    FleetManagerConfig config;
    config.source = source;
    BlockReader in(root, mistakes);
    if (const HclBlock* log = in.only_block("log")) read_log(*log, mistakes, config.log);
    if (const HclBlock* fleet = in.only_block("fleet"))
        read_fleet(*fleet, mistakes, config);
    else
        in.wrong(root.at, "there is no 'fleet' block");
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
