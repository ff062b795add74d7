#include "fleet_manager/fleet_manager_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

#include "config/block_reader.hpp"
#include "config/operator_config.hpp"
#include "config/units.hpp"

namespace tealcart::fleet_manager {
namespace {

constexpr Nanos millisecond = 1'000'000, second = 1000 * millisecond, hour = 3600 * second;
constexpr Nanos min_lease = 500 * millisecond, year = 365 * 24 * hour;
constexpr std::int64_t unlimited = 1'000'000'000;
constexpr std::size_t max_name_length = 128;

using Errors = std::vector<HclError>;

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// The error for a lease that is shorter than two election timeouts.
std::string short_lease_error(Nanos lease, Nanos election) {
    return "'lease' is " + format_duration(lease) + "; expected at least " + format_duration(2 * election) +
           ", twice 'election', so that a leader can be elected within one lease";
}

// Reads the id of a block `steward "ID"`; 0 if it is not a valid id.
std::uint64_t read_id(const HclBlock& block, BlockReader& in) {
    const std::string label = in.label("the fleet manager's id");
    const char* const end = label.data() + label.size();
    std::uint64_t id = 0;
    const auto [parsed_to, error] = std::from_chars(label.data(), end, id);
    if (error != std::errc() || parsed_to != end || id == 0)
        in.add_error(block.position, "the label of a 'steward' block is \"" + label +
                                         "\"; expected an id: an integer above 0");
    return id;
}

// An address of the file, as text and parsed.
struct Address {
    std::string text;
    HostPort at;  // port 0: missing or malformed
};

Address read_address(const HclBlock& block, BlockReader& in, const char* name, bool required) {
    const std::string text = in.string(name, "");
    const auto at = parse_host_port(text);
    if (!at && (required || !text.empty()))
        in.add_error(block.position, std::string("'") + name +
                                         (text.empty() ? "' is missing" : "' is \"" + text + "\"") +
                                         "; expected HOST:PORT");
    return {text, at.value_or(HostPort{})};
}

void read_manager(const HclBlock& block, Errors& errors, FleetManagerConfig& config) {
    BlockReader in(block, errors);
    const std::uint64_t id = read_id(block, in);
    ManagerAddresses self;
    self.raft = read_address(block, in, "raft", true).text;
    self.bind = read_address(block, in, "bind", false).text;
    self.http = read_address(block, in, "http", true).at;
    self.http_bind = read_address(block, in, "http_bind", false).at;
    if (self.http_bind.port == 0) self.http_bind = self.http;
    self.data_directory = in.string("folder", "");
    if (self.data_directory.empty())
        in.add_error(block.position, "'folder' is missing; expected the path of the data directory");
    for (const auto& [other_id, other] : config.managers) {
        const bool same_directory =
            other.data_directory == self.data_directory && !self.data_directory.empty();
        const char* const shared = other.raft == self.raft   ? "raft"
                                   : other.http == self.http ? "http"
                                   : same_directory          ? "folder"
                                                             : nullptr;
        if (shared != nullptr)
            in.add_error(block.position, std::string("'") + shared + "' is the same as that of steward " +
                                             std::to_string(other_id) + "; expected a different value");
    }
    in.reject_unknown();
    if (!config.managers.emplace(id, std::move(self)).second)
        in.add_error(block.position, "there is more than one 'steward' block with the id " +
                                         std::to_string(id) + "; expected at most one");
}

// Reads the limits of one group of targets: `PREFIXmost` and `PREFIXshare`.
fleet::Limit read_limit(BlockReader& in, const std::string& prefix) {
    fleet::Limit limit;
    const std::int64_t most = in.integer(prefix + "most", unlimited, 0, unlimited);
    if (most < unlimited) limit.max_count = static_cast<std::size_t>(most);
    limit.max_share = in.number(prefix + "share", 1, 0, 1);
    return limit;
}

void read_data_nodes(const HclBlock& block, Errors& errors, fleet::Budgets& budgets) {
    BlockReader in(block, errors);
    in.expect_no_label();
    budgets.nodes = read_limit(in, "");
    budgets.nodes_per_zone = read_limit(in, "zone_");
    budgets.nodes_per_kind = read_limit(in, "kind_");
    budgets.min_holders = static_cast<std::size_t>(in.integer("least_holders", 1, 0, 1000));
    budgets.unresponsive_share = in.number("silent_share", budgets.unresponsive_share, 0.01, 1);
    in.reject_unknown();
}

void read_routers(const HclBlock& block, Errors& errors, fleet::Budgets& budgets) {
    BlockReader in(block, errors);
    in.expect_no_label();
    budgets.routers = read_limit(in, "");
    budgets.routers_per_zone = read_limit(in, "zone_");
    in.reject_unknown();
}

void read_halt(const HclBlock& block, Errors& errors, fleet::Budgets& budgets) {
    BlockReader in(block, errors);
    in.expect_no_label();
    budgets.halt_failed_share = in.number("failed", budgets.halt_failed_share, 0, 1);
    budgets.halt_failed_min_queries =
        static_cast<std::uint64_t>(in.integer("failed_least", 100, 1, unlimited));
    budgets.halt_lost_share = in.number("lost", budgets.halt_lost_share, 0, 1);
    budgets.halt_min_holders = static_cast<std::size_t>(in.integer("holders", 0, 0, 1000));
    in.reject_unknown();
}

void read_changes(const HclBlock& block, Errors& errors, Nanos election, changes::Limits& limits) {
    BlockReader in(block, errors);
    in.expect_no_label();
    const auto read_count = [&in](const char* name, std::size_t& to, std::int64_t max) {
        to = static_cast<std::size_t>(in.integer(name, static_cast<std::int64_t>(to), 1, max));
    };
    limits.lease = in.duration("lease", limits.lease, min_lease, hour);
    limits.drift = in.duration("drift", limits.drift, 0, hour);
    limits.forget_after = in.duration("forget", limits.forget_after, 0, year);
    limits.halt_refused_share = in.number("halt_refused", limits.halt_refused_share, 0, 1);
    read_count("halt_refused_least", limits.halt_min_refusals, unlimited);
    read_count("most_entries", limits.max_entries, 10'000);
    limits.max_entry_bytes = in.byte_size("longest_entry", limits.max_entry_bytes, 16, 256 * 1024);
    read_count("most_kept", limits.max_kept, 100'000);
    read_count("most_members", limits.max_members, 1'000'000);
    read_count("most_relays", limits.max_relays, 100'000);
    if (limits.lease < 2 * election) in.add_error(block.position, short_lease_error(limits.lease, election));
    in.reject_unknown();
}

// Reads the attributes of the block; `read_fleet` reads its inner blocks.
void read_fleet_values(const HclBlock& block, BlockReader& in, FleetManagerConfig& config) {
    fleet::Budgets& budgets = config.budgets;
    config.fleet = in.label("the fleet's name");
    if (!is_name(config.fleet))
        in.add_error(block.position, "the fleet's name is \"" + config.fleet + "\"; expected 1 to " +
                                         std::to_string(max_name_length) +
                                         " printable characters without blanks");
    config.election = in.duration("election", config.election, 100 * millisecond, 60 * second);
    budgets.lease = in.duration("lease", budgets.lease, min_lease, hour);
    budgets.drift = in.duration("drift", budgets.drift, 0, hour);
    budgets.forget_after = in.duration("forget", budgets.forget_after, 0, year);
    budgets.wait_for_lost = in.boolean("wait_for_lost", budgets.wait_for_lost);
    budgets.max_open_requests = static_cast<std::size_t>(in.integer("most_open", 1000, 1, 1'000'000));
    if (budgets.lease < 2 * config.election)
        in.add_error(block.position, short_lease_error(budgets.lease, config.election));
}

void read_fleet(const HclBlock& block, Errors& errors, FleetManagerConfig& config) {
    BlockReader in(block, errors);
    read_fleet_values(block, in, config);
    for (const HclBlock* manager : in.blocks("steward")) read_manager(*manager, errors, config);
    if (config.managers.empty())
        in.add_error(block.position, "the 'fleet' block has no 'steward' block; expected at least one");
    if (const HclBlock* nodes = in.single_block("data_nodes"))
        read_data_nodes(*nodes, errors, config.budgets);
    if (const HclBlock* routers = in.single_block("routers")) read_routers(*routers, errors, config.budgets);
    if (const HclBlock* halt = in.single_block("halt")) read_halt(*halt, errors, config.budgets);
    if (const HclBlock* changes = in.single_block("changes")) {
        config.takes_changes = true;
        read_changes(*changes, errors, config.election, config.changes);
    }
    in.reject_unknown();
}

}  // namespace

FleetManagerConfig read_fleet_manager_config(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    Errors errors;
    FleetManagerConfig config;
    config.source = source;
    BlockReader in(root, errors);
    if (const HclBlock* log = in.single_block("log")) config.log = read_log_config(*log, errors);
    if (const HclBlock* fleet = in.single_block("fleet"))
        read_fleet(*fleet, errors, config);
    else
        in.add_error(root.position, "the 'fleet' block is missing");
    in.reject_unknown();
    throw_if_errors(source, std::move(errors));
    return config;
}

FleetManagerConfig read_fleet_manager_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ConfigError("failed to read the fleet managers' file " + path);
    return read_fleet_manager_config(text, path);
}

}  // namespace tealcart::fleet_manager
