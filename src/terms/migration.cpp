#include "terms/migration.hpp"

#include <algorithm>
#include <cstdio>

#include "terms/block_reader.hpp"
#include "terms/operator_terms.hpp"

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
std::string why_not(const HclBlock& block, const Terms& terms, const std::vector<std::string>& verticals) {
    if (block.labels.empty()) return "it names no vertical";
    const auto found = std::find(verticals.begin(), verticals.end(), block.labels[0]);
    if (found == verticals.end()) return "the new deployment has no vertical '" + block.labels[0] + "'";
    const VerticalTerms& v = terms.verticals[static_cast<std::size_t>(found - verticals.begin())];
    if (v.effect != Effect::repeatable)
        return "'" + block.labels[0] + "' is not repeatable there and can't be put in two phases";
    if (v.second_step > 0) return "'" + block.labels[0] + "' has a second step there";
    return {};
}

std::string ms_text(Nanos span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g ms", static_cast<double>(span) / 1e6);
    return text;
}

}  // namespace

Migration migrate(std::string_view old_text, std::string_view source, std::string_view settings) {
    read_operator_terms(old_text, source);  // all that is wrong with the old file, before anything is written
    const HclBlock root = parse_hcl(old_text, source);
    const Terms terms = read_terms(settings);
    const LinkTerms link = read_link_terms(settings);

    Migration m;
    m.stated.push_back("parts in one call: " + std::to_string(terms.parts_a_call));
    m.stated.push_back("a call's own cost: " + ms_text(terms.call_cost));
    m.stated.push_back(std::string("the list of data nodes: ") +
                       (terms.discovery == Discovery::ask ? "asked for" : "pushed"));
    m.stated.push_back("drains kept within " + ms_text(terms.drain_grace));
    if (terms.budgeted) {
        char budget[96];
        std::snprintf(budget, sizeof budget, "further leaf calls: %g + %g a request within ",
                      terms.budget_free, terms.resend_ratio);
        m.stated.push_back(budget + ms_text(terms.budget_window));
    }

    const auto lines = split_lines(old_text);
    const auto starts = first_lines(root);
    std::vector<char> out(lines.size(), 0);  // lines left out
    for (const HclBlock& block : root.blocks) {
        if (block.type != "two_phase") continue;
        const std::string why = why_not(block, terms, link.verticals);
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
    if (!has_calls && (terms.parts_a_call > 1 || terms.call_cost > 0))
        m.text +=
            "\n# As the new deployment's settings state; stated here, they hold whatever the settings say.\n"
            "# calls {\n#   parts = " +
            std::to_string(terms.parts_a_call) + "\n#   cost  = \"" + write_span(terms.call_cost) +
            "\"\n# }\n";
    return m;
}

}  // namespace tealcart
