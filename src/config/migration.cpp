#include "config/migration.hpp"

#include <algorithm>
#include <cstdio>

#include "config/block_reader.hpp"
#include "config/operator_config.hpp"

namespace tealcart {
namespace {

// Where each top-level piece begins, in the order of the file.
std::vector<std::size_t> first_lines(const HclBlock& root) {
    std::vector<std::size_t> lines;
    for (const HclAttribute& a : root.attributes) lines.push_back(a.at.line);
    for (const HclBlock& b : root.blocks) lines.push_back(b.at.line);
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

// Why a two-phase block does not hold at the new deployment, or nothing where it does.
std::string why_not(const HclBlock& block, const RouterConfig& config,
                    const std::vector<std::string>& query_classes) {
    if (block.labels.empty()) return "it names no vertical";
    const auto found = std::find(query_classes.begin(), query_classes.end(), block.labels[0]);
    if (found == query_classes.end()) return "the new deployment has no vertical '" + block.labels[0] + "'";
    const QueryClassConfig& v = config.query_classes[static_cast<std::size_t>(found - query_classes.begin())];
    if (v.effect != Effect::idempotent)
        return "'" + block.labels[0] + "' is not repeatable there and can't be put in two phases";
    if (v.second_step_requests > 0) return "'" + block.labels[0] + "' has a second step there";
    return {};
}

std::string ms_text(Nanos span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g ms", static_cast<double>(span) / 1e6);
    return text;
}

}  // namespace

Migration migrate(std::string_view old_text, std::string_view source, std::string_view settings) {
    read_operator_config(old_text,
                         source);  // all that is wrong with the old file, before anything is written
    const HclBlock root = parse_hcl(old_text, source);
    const RouterConfig config = read_router_config(settings);
    const ConnectionConfig link = read_connection_config(settings);

    Migration m;
    m.stated.push_back("parts in one call: " + std::to_string(config.max_requests_per_call));
    m.stated.push_back("a call's own cost: " + ms_text(config.call_overhead));
    m.stated.push_back(std::string("the list of data nodes: ") +
                       (config.discovery == Discovery::poll ? "asked for" : "pushed"));
    m.stated.push_back("drains kept within " + ms_text(config.drain_grace));
    if (config.retry_budget_enabled) {
        char budget[96];
        std::snprintf(budget, sizeof budget, "further leaf calls: %g + %g a request within ",
                      config.retry_budget_free, config.retry_budget_ratio);
        m.stated.push_back(budget + ms_text(config.retry_budget_window));
    }

    const auto lines = split_lines(old_text);
    const auto starts = first_lines(root);
    std::vector<char> out(lines.size(), 0);  // lines left out
    for (const HclBlock& block : root.blocks) {
        if (block.type != "two_phase") continue;
        const std::string why = why_not(block, config, link.query_classes);
        if (why.empty()) continue;
        m.left.push_back({block.at, why});
        const auto next = std::upper_bound(starts.begin(), starts.end(), block.at.line);
        const std::size_t end = next == starts.end() ? lines.size() + 1 : *next;
        for (std::size_t l = block.at.line; l < end && l <= lines.size(); ++l) out[l - 1] = 1;
    }
    m.text = "# Carried over from " + std::string(source) + " by `tealcart migrate`.\n";
    for (std::size_t l = 0; l < lines.size(); ++l) {
        for (const HclMistake& left : m.left)
            if (left.at.line == l + 1) m.text += "# Not carried over: " + left.words + ".\n";
        m.text += out[l] ? "# " : "";
        m.text += lines[l];
        m.text += '\n';
    }
    const bool has_calls =
        std::any_of(root.blocks.begin(), root.blocks.end(), [](auto& b) { return b.type == "calls"; });
    if (!has_calls && (config.max_requests_per_call > 1 || config.call_overhead > 0))
        m.text +=
            "\n# As the new deployment's settings state; stated here, they hold whatever the settings say.\n"
            "# calls {\n#   parts = " +
            std::to_string(config.max_requests_per_call) + "\n#   cost  = \"" +
            write_span(config.call_overhead) + "\"\n# }\n";
    return m;
}

}  // namespace tealcart
