#include "relay/relay_terms.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "terms/block_reader.hpp"

namespace tealcart::relay {
namespace {

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

void read_relay(const HclBlock& block, std::vector<HclMistake>& mistakes, RelayTerms& terms) {
    BlockReader in(block, mistakes);
    terms.name = in.label("the relay's name");
    if (!terms.name.empty() && !is_name(terms.name))
        in.wrong(block.at, "the relay's name has blanks or over 128 letters");
    terms.zone = in.text("zone", "");
    if (!is_name(terms.zone))
        in.wrong(block.at, "'zone' is not stated, or no name of up to 128 letters without blanks");
    if (const auto at = read_host_port(in.text("bind", "")))
        terms.bind = *at;
    else
        in.wrong(block.at, "'bind' is no address with a port");
    for (const std::string& steward : in.texts("stewards")) {
        const auto at = read_host_port(steward);
        if (!at)
            in.wrong(block.at, "the steward '" + steward + "' is no address with a port");
        else if (std::find(terms.stewards.begin(), terms.stewards.end(), *at) != terms.stewards.end())
            in.wrong(block.at, "the steward '" + steward + "' stands there twice");
        else
            terms.stewards.push_back(*at);
    }
    if (terms.stewards.empty()) in.wrong(block.at, "'stewards' names none");
    terms.most_followers = static_cast<std::size_t>(
        in.whole("most_followers", static_cast<std::int64_t>(terms.most_followers), 1, 5000));
    terms.page_bytes = in.bytes("page_bytes", terms.page_bytes, 4 * 1024, 1024 * 1024);
    terms.pages_a_second = in.number("pages_a_second", terms.pages_a_second, 0.1, 10'000);
    in.finish();
}

}  // namespace

RelayTerms read_relay_terms(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    std::vector<HclMistake> mistakes;
    RelayTerms terms;
    terms.source = source;
    BlockReader in(root, mistakes);
    if (const HclBlock* log = in.only_block("log")) {
        BlockReader of(*log, mistakes);
        of.no_label();
        terms.log.form = static_cast<LogForm>(of.choice("format", 0, {"text", "json"}));
        terms.log.level = static_cast<LogLevel>(of.choice("level", 1, {"debug", "info", "warn", "error"}));
        of.finish();
    }
    if (const HclBlock* relay = in.only_block("relay"))
        read_relay(*relay, mistakes, terms);
    else
        in.wrong(root.at, "there is no 'relay' block");
    in.finish();
    if (mistakes.empty()) return terms;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const HclMistake& a, const HclMistake& b) {
        return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
    });
    throw HclMistakes(source, std::move(mistakes));
}

RelayTerms read_relay_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw Malformed("the relay's file " + path + " can't be read");
    return read_relay_terms(text, path);
}

}  // namespace tealcart::relay
