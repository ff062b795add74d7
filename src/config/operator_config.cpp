#include "config/operator_config.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "config/block_reader.hpp"
#include "config/host_port.hpp"
#include "config/units.hpp"

namespace tealcart {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos second = 1000 * millisecond;
constexpr Nanos hour = 3600 * second;
constexpr Nanos day = 24 * hour;
constexpr std::size_t max_name_length = 128;

// Reads a name, which has to be printable and without blanks since it is shown in status output and metrics.
// An empty name means that none is given.
std::string read_name(BlockReader& in, const HclBlock& block, const char* attribute) {
    std::string name = in.string(attribute, "");
    const bool printable = std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 0x7f; });
    if (name.size() > max_name_length || !printable)
        in.add_error(block.position, std::string("'") + attribute + "' is \"" + name + "\"; expected up to " +
                                         std::to_string(max_name_length) +
                                         " printable characters without blanks");
    return name;
}

std::vector<HostPort> read_addresses(BlockReader& in, const HclBlock& block, const char* attribute,
                                     const char* what) {
    std::vector<HostPort> addresses;
    for (const std::string& text : in.strings(attribute)) {
        if (const auto address = parse_host_port(text))
            addresses.push_back(*address);
        else
            in.add_error(block.position, std::string("the ") + what + " address '" + text +
                                             "' is invalid; expected HOST:PORT");
    }
    return addresses;
}

TwoPhaseBlock read_two_phase(const HclBlock& block, std::vector<HclError>& errors) {
    BlockReader in(block, errors);
    TwoPhaseBlock read;
    read.position = block.position;
    read.query_class = in.label("the query class's name");
    TwoPhaseConfig& config = read.config;
    config.enabled = true;
    config.first_phase_share = in.number("share", config.first_phase_share, 0.01, 0.9);
    config.min_first_phase = in.duration("least", config.min_first_phase, millisecond, hour);
    config.max_first_phase = in.duration("most", config.max_first_phase, millisecond, hour);
    config.response_reserve = in.duration("keep", config.response_reserve, 0, hour);
    config.max_rows = static_cast<int>(in.integer("most_rows", config.max_rows, 1, max_summary_ranks));
    config.audit_share = in.number("audit", config.audit_share, 0, 1);
    config.cache_filters = in.boolean("remember", config.cache_filters);
    if (config.min_first_phase > config.max_first_phase)
        in.add_error(block.position, "'least' is " + format_duration(config.min_first_phase) +
                                         "; expected at most 'most', which is " +
                                         format_duration(config.max_first_phase));
    in.reject_unknown();
    return read;
}

SectionFilterCacheConfig read_section_memory(const HclBlock& block, std::vector<HclError>& errors) {
    constexpr std::uint64_t min_bytes = 4096;
    constexpr std::uint64_t max_bytes = 1ULL << 30;
    BlockReader in(block, errors);
    in.expect_no_label();
    SectionFilterCacheConfig config;
    config.max_bytes = in.byte_size("bytes", config.max_bytes, min_bytes, max_bytes);
    config.max_lease = in.duration("longest_lease", config.max_lease, millisecond, hour);
    config.distrust_duration = in.duration("distrust", config.distrust_duration, second, day);
    in.reject_unknown();
    return config;
}

CallOverheadConfig read_calls(const HclBlock& block, std::vector<HclError>& errors) {
    constexpr int max_shard_requests = 1024;
    BlockReader in(block, errors);
    in.expect_no_label();
    CallOverheadConfig config;
    config.is_set = true;
    config.shard_requests =
        static_cast<int>(in.integer("parts", config.shard_requests, 1, max_shard_requests));
    config.cost = in.duration("cost", config.cost, 0, 60 * second);
    in.reject_unknown();
    return config;
}

ControlConfig read_control(const HclBlock& block, std::vector<HclError>& errors) {
    constexpr std::int64_t max_count = 1'000'000;
    BlockReader in(block, errors);
    in.expect_no_label();
    ControlConfig config;
    config.enabled = true;
    config.listen = in.string("listen", config.listen);
    if (!parse_host_port(config.listen))
        in.add_error(block.position, "'listen' is \"" + config.listen + "\"; expected HOST:PORT");
    config.node_limit = static_cast<int>(in.integer("node_limit", config.node_limit, 1, max_count));
    config.panic_threshold = in.number("panic", config.panic_threshold, 0, 1);
    config.panic_window = in.duration("panic_window", config.panic_window, second, hour);
    config.panic_hold = in.duration("panic_hold", config.panic_hold, second, day);
    config.ramp_step = in.duration("ramp_step", config.ramp_step, 10 * millisecond, 60 * second);
    config.ack_wait = in.duration("ack_wait", config.ack_wait, 10 * millisecond, 60 * second);
    config.leave_grace = in.duration("leave_grace", config.leave_grace, 0, hour);
    config.yield_after = in.duration("yield_after", config.yield_after, 0, hour);
    config.max_proxies = static_cast<int>(in.integer("most_proxies", config.max_proxies, 1, max_count));
    in.reject_unknown();
    return config;
}

MemberConfig read_member(const HclBlock& block, std::vector<HclError>& errors) {
    BlockReader in(block, errors);
    in.expect_no_label();
    MemberConfig config;
    config.name = read_name(in, block, "name");
    config.zone = read_name(in, block, "zone");
    config.managers = read_addresses(in, block, "stewards", "steward");
    config.relays = read_addresses(in, block, "relays", "relay");
    config.enabled = !config.managers.empty();
    if (config.managers.empty() && config.relays.empty())
        in.add_error(block.position, "'stewards' and 'relays' have no valid address; expected at least one");
    config.lease_grace = in.duration("serve_on", config.lease_grace, 0, 365 * day);
    config.stop_after_grace = in.choice("then", 0, {"leave", "stop"}) == 1;
    config.startup_wait = in.duration("first_word", config.startup_wait, 0, hour);
    config.config_startup_wait = in.duration("config_first_word", config.config_startup_wait, 0, hour);
    in.reject_unknown();
    return config;
}

std::vector<TwoPhaseBlock> read_two_phase_blocks(BlockReader& in, std::vector<HclError>& errors) {
    std::vector<TwoPhaseBlock> read;
    for (const HclBlock* block : in.blocks("two_phase")) {
        TwoPhaseBlock two_phase = read_two_phase(*block, errors);
        const auto same = [&two_phase](const TwoPhaseBlock& other) {
            return other.query_class == two_phase.query_class;
        };
        if (!two_phase.query_class.empty() && std::any_of(read.begin(), read.end(), same))
            in.add_error(block->position, "there is more than one 'two_phase' block for '" +
                                              two_phase.query_class + "'; expected at most one");
        read.push_back(std::move(two_phase));
    }
    return read;
}

}  // namespace

LogConfig read_log_config(const HclBlock& block, std::vector<HclError>& errors) {
    BlockReader in(block, errors);
    in.expect_no_label();
    LogConfig config;
    config.format = static_cast<LogFormat>(in.choice("format", 0, {"text", "json"}));
    config.level = static_cast<LogLevel>(in.choice("level", 1, {"debug", "info", "warn", "error"}));
    in.reject_unknown();
    return config;
}

OperatorConfig read_operator_config(std::string_view text, std::string_view source) {
    OperatorConfig config = read_operator_config(parse_hcl(text, source), source);
    config.text = text;
    return config;
}

OperatorConfig read_operator_config(const HclBlock& root, std::string_view source) {
    std::vector<HclError> errors;
    BlockReader in(root, errors);
    OperatorConfig config;
    config.source = source;
    if (const HclBlock* block = in.single_block("log")) config.log = read_log_config(*block, errors);
    if (const HclBlock* block = in.single_block("section_memory"))
        config.memory = read_section_memory(*block, errors);
    if (const HclBlock* block = in.single_block("control")) config.control = read_control(*block, errors);
    if (const HclBlock* block = in.single_block("member")) config.member = read_member(*block, errors);
    if (const HclBlock* block = in.single_block("calls")) config.calls = read_calls(*block, errors);
    config.phases = read_two_phase_blocks(in, errors);
    in.reject_unknown();
    throw_if_errors(source, std::move(errors));
    return config;
}

OperatorConfig read_operator_file(const std::string& path) {
    std::ifstream file(path);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ConfigError("failed to read the operators' file " + path);
    return read_operator_config(text, path);
}

void apply_call_config(const CallOverheadConfig& calls, RouterConfig& config, ConnectionConfig& connections) {
    if (!calls.is_set) return;
    config.max_requests_per_call = calls.shard_requests;
    connections.max_requests_per_call = calls.shard_requests;
    config.call_overhead = calls.cost;
}

std::optional<std::size_t> two_phase_query_class(const TwoPhaseBlock& block, const RouterConfig& config,
                                                 const std::vector<std::string>& query_classes,
                                                 std::vector<HclError>& errors) {
    const auto found = std::find(query_classes.begin(), query_classes.end(), block.query_class);
    if (found == query_classes.end()) {
        errors.push_back({block.position, "query class '" + block.query_class + "' is not in the settings"});
        return std::nullopt;
    }
    const auto index = static_cast<std::size_t>(found - query_classes.begin());
    const QueryClassConfig& query_class = config.query_classes[index];
    const std::string name = "'" + block.query_class + "'";
    if (query_class.effect != Effect::idempotent) {
        errors.push_back(
            {block.position,
             "query class " + name +
                 " can't run in two phases: its semantics in the settings are not \"repeatable\""});
        return std::nullopt;
    }
    if (query_class.second_step_requests > 0) {
        errors.push_back(
            {block.position, "query class " + name + " can't run in two phases: it has a second step"});
        return std::nullopt;
    }
    return index;
}

std::vector<TwoPhaseConfig> two_phase_by_query_class(const OperatorConfig& operators,
                                                     const RouterConfig& config,
                                                     const std::vector<std::string>& query_classes) {
    std::vector<TwoPhaseConfig> by_query_class(query_classes.size());
    std::vector<HclError> errors;
    for (const TwoPhaseBlock& block : operators.phases)
        if (const auto index = two_phase_query_class(block, config, query_classes, errors))
            by_query_class[*index] = block.config;
    throw_if_errors(operators.source, std::move(errors));
    return by_query_class;
}

}  // namespace tealcart
