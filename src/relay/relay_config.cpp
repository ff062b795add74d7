#include "relay/relay_config.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "config/block_reader.hpp"

namespace tealcart::relay {
namespace {

constexpr std::size_t max_name_length = 128;

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

void read_log(const HclBlock& block, std::vector<HclMistake>& mistakes, LogConfig& log) {
    BlockReader in(block, mistakes);
    in.no_label();
    log.form = static_cast<LogForm>(in.choice("format", 0, {"text", "json"}));
    log.level = static_cast<LogLevel>(in.choice("level", 1, {"debug", "info", "warn", "error"}));
    in.finish();
}

void read_relay(const HclBlock& block, std::vector<HclMistake>& mistakes, RelayConfig& config) {
    BlockReader in(block, mistakes);
    config.name = in.label("the relay's name");
    if (!config.name.empty() && !is_name(config.name))
        in.wrong(block.at, "the relay's name has blanks or over 128 letters");
    config.zone = in.text("zone", "");
    if (!is_name(config.zone))
        in.wrong(block.at, "'zone' is not stated, or no name of up to 128 letters without blanks");
    if (const auto at = read_host_port(in.text("bind", "")))
        config.bind = *at;
    else
        in.wrong(block.at, "'bind' is no address with a port");
    for (const std::string& manager : in.texts("stewards")) {
        const auto at = read_host_port(manager);
        if (!at)
            in.wrong(block.at, "the steward '" + manager + "' is no address with a port");
        else if (std::find(config.managers.begin(), config.managers.end(), *at) != config.managers.end())
            in.wrong(block.at, "the steward '" + manager + "' stands there twice");
        else
            config.managers.push_back(*at);
    }
    if (config.managers.empty()) in.wrong(block.at, "'stewards' names none");
    config.max_followers = static_cast<std::size_t>(
        in.whole("most_followers", static_cast<std::int64_t>(config.max_followers), 1, 5000));
    config.page_bytes = in.bytes("page_bytes", config.page_bytes, 4 * 1024, 1024 * 1024);
    config.pages_a_second = in.number("pages_a_second", config.pages_a_second, 0.1, 10'000);
    in.finish();
}

}  // namespace

RelayConfig read_relay_config(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    std::vector<HclMistake> mistakes;
    RelayConfig config;
    config.source = source;
    BlockReader in(root, mistakes);
    if (const HclBlock* log = in.only_block("log")) read_log(*log, mistakes, config.log);
    if (const HclBlock* relay = in.only_block("relay"))
        read_relay(*relay, mistakes, config);
    else
        in.wrong(root.at, "there is no 'relay' block");
    in.finish();
    if (mistakes.empty()) return config;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const HclMistake& a, const HclMistake& b) {
        return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
    });
    throw HclMistakes(source, std::move(mistakes));
}

RelayConfig read_relay_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw Malformed("the relay's file " + path + " can't be read");
    return read_relay_config(text, path);
}

}  // namespace tealcart::relay
