#include "config/migration.hpp"

#include <algorithm>
#include <cstdio>

#include "config/block_reader.hpp"
#include "config/operator_config.hpp"
#include "config/units.hpp"

namespace tealcart {
namespace {

constexpr double nanos_per_ms = 1e6;

// Returns the first line of each top-level attribute and block, in ascending order.
std::vector<std::size_t> first_lines(const HclBlock& root) {
    std::vector<std::size_t> lines;
    for (const HclAttribute& attribute : root.attributes) lines.push_back(attribute.position.line);
    for (const HclBlock& block : root.blocks) lines.push_back(block.position.line);
    std::sort(lines.begin(), lines.end());
    return lines;
}

std::vector<std::string_view> split_lines(std::string_view text) {
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        if (end == std::string_view::npos) break;
        text.remove_prefix(end + 1);
    }
    return lines;
}

// Returns the reason why a two-phase block is invalid in the new deployment, or an empty string if it is
// valid.
std::string invalid_because(const HclBlock& block, const RouterConfig& config,
                            const std::vector<std::string>& query_classes) {
    if (block.labels.empty()) return "the block has no label; expected the query class's name";
    const std::string name = "query class '" + block.labels[0] + "'";
    const auto found = std::find(query_classes.begin(), query_classes.end(), block.labels[0]);
    if (found == query_classes.end()) return name + " is not in the new deployment's settings";
    const auto index = static_cast<std::size_t>(found - query_classes.begin());
    const QueryClassConfig& query_class = config.query_classes[index];
    if (query_class.effect != Effect::idempotent)
        return name + " can't run in two phases: its semantics in the new deployment are not \"repeatable\"";
    if (query_class.second_step_requests > 0)
        return name + " can't run in two phases: it has a second step in the new deployment";
    return {};
}

std::vector<HclError> find_invalid_blocks(const HclBlock& root, const RouterConfig& config,
                                          const std::vector<std::string>& query_classes) {
    std::vector<HclError> invalid;
    for (const HclBlock& block : root.blocks) {
        if (block.type != "two_phase") continue;
        std::string reason = invalid_because(block, config, query_classes);
        if (!reason.empty()) invalid.push_back({block.position, std::move(reason)});
    }
    return invalid;
}

std::string milliseconds(Nanos duration) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g ms", static_cast<double>(duration) / nanos_per_ms);
    return text;
}

std::vector<std::string> describe_settings(const RouterConfig& config) {
    const bool polled = config.discovery == Discovery::poll;
    std::vector<std::string> lines;
    lines.push_back("shard requests in one call: at most " + std::to_string(config.max_requests_per_call));
    lines.push_back("call overhead: " + milliseconds(config.call_overhead));
    lines.push_back(std::string("endpoint list: ") + (polled ? "polled" : "pushed"));
    lines.push_back("drain grace period: " + milliseconds(config.drain_grace));
    if (config.retry_budget_enabled) {
        char budget[96];
        std::snprintf(budget, sizeof budget, "retry budget: %g + %g per arrival within ",
                      config.retry_budget_base, config.retry_budget_ratio);
        lines.push_back(budget + milliseconds(config.retry_budget_window));
    }
    return lines;
}

// Returns the old text with each invalid block turned into a comment that starts with the reason.
std::string comment_out(std::string_view old_text, const HclBlock& root,
                        const std::vector<HclError>& invalid) {
    const auto lines = split_lines(old_text);
    const auto starts = first_lines(root);
    std::string out;
    std::size_t commented_until = 0;  // the first line after the last invalid block so far
    for (std::size_t line = 1; line <= lines.size(); ++line) {
        for (const HclError& block : invalid) {
            if (block.position.line != line) continue;
            out += "# Not carried over: " + block.message + ".\n";
            const auto next = std::upper_bound(starts.begin(), starts.end(), line);
            commented_until = next == starts.end() ? lines.size() + 1 : *next;
        }
        if (line < commented_until) out += "# ";
        out += lines[line - 1];
        out += '\n';
    }
    return out;
}

// Returns a `calls` block with the new settings' values as a comment, which operators may uncomment.
std::string suggested_calls_block(const RouterConfig& config) {
    return "\n# The values of the new deployment's settings. If uncommented, the block overrides the "
           "settings.\n"
           "# calls {\n#   parts = " +
           std::to_string(config.max_requests_per_call) + "\n#   cost  = \"" +
           format_duration(config.call_overhead) + "\"\n# }\n";
}

}  // namespace

OperatorFileMigration migrate(std::string_view old_text, std::string_view source, std::string_view settings) {
    read_operator_config(old_text, source);  // throws if the old file is invalid
    const HclBlock root = parse_hcl(old_text, source);
    const RouterConfig config = read_router_config(settings);
    const ConnectionConfig connections = read_connection_config(settings);

    OperatorFileMigration migration;
    migration.settings_summary = describe_settings(config);
    migration.invalid_blocks = find_invalid_blocks(root, config, connections.query_classes);
    migration.text = "# Carried over from " + std::string(source) + " by `tealcart migrate`.\n" +
                     comment_out(old_text, root, migration.invalid_blocks);
    const bool has_calls = std::any_of(root.blocks.begin(), root.blocks.end(),
                                       [](const HclBlock& block) { return block.type == "calls"; });
    if (!has_calls && (config.max_requests_per_call > 1 || config.call_overhead > 0))
        migration.text += suggested_calls_block(config);
    return migration;
}

}  // namespace tealcart
