#include "relay/relay_config.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "config/block_reader.hpp"
#include "config/operator_config.hpp"

namespace tealcart::relay {
namespace {

constexpr std::size_t max_name_length = 128;
constexpr const char* name_form = "1 to 128 printable characters without blanks";

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// The first part of an error about a string attribute.
std::string missing_or_value(const std::string& name, const std::string& value) {
    return "'" + name + (value.empty() ? "' is missing" : "' is \"" + value + "\"");
}

void read_relay(const HclBlock& block, std::vector<HclError>& errors, RelayConfig& config) {
    BlockReader in(block, errors);
    config.name = in.label("the relay's name");
    if (!config.name.empty() && !is_name(config.name))
        in.add_error(block.position, "the relay's name is \"" + config.name + "\"; expected " + name_form);
    config.zone = in.string("zone", "");
    if (!is_name(config.zone))
        in.add_error(block.position, missing_or_value("zone", config.zone) + "; expected " + name_form);
    const std::string bind = in.string("bind", "");
    if (const auto at = parse_host_port(bind))
        config.bind = *at;
    else
        in.add_error(block.position, missing_or_value("bind", bind) + "; expected HOST:PORT");
    for (const std::string& manager : in.strings("stewards")) {
        const auto at = parse_host_port(manager);
        if (!at)
            in.add_error(block.position,
                         "the steward address '" + manager + "' is invalid; expected HOST:PORT");
        else if (std::find(config.managers.begin(), config.managers.end(), *at) != config.managers.end())
            in.add_error(block.position,
                         "the steward address '" + manager + "' is listed twice; expected once");
        else
            config.managers.push_back(*at);
    }
    if (config.managers.empty())
        in.add_error(block.position, "'stewards' has no valid address; expected at least one");
    config.max_followers = static_cast<std::size_t>(
        in.integer("most_followers", static_cast<std::int64_t>(config.max_followers), 1, 5000));
    config.page_bytes = in.byte_size("page_bytes", config.page_bytes, 4 * 1024, 1024 * 1024);
    config.pages_a_second = in.number("pages_a_second", config.pages_a_second, 0.1, 10'000);
    in.reject_unknown();
}

}  // namespace

RelayConfig read_relay_config(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    std::vector<HclError> errors;
    RelayConfig config;
    config.source = source;
    BlockReader in(root, errors);
    if (const HclBlock* log = in.single_block("log")) config.log = read_log_config(*log, errors);
    if (const HclBlock* relay = in.single_block("relay"))
        read_relay(*relay, errors, config);
    else
        in.add_error(root.position, "the 'relay' block is missing");
    in.reject_unknown();
    throw_if_errors(source, std::move(errors));
    return config;
}

RelayConfig read_relay_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ConfigError("failed to read the relay's file " + path);
    return read_relay_config(text, path);
}

}  // namespace tealcart::relay
