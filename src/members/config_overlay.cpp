#include "members/config_overlay.hpp"

#include <algorithm>

namespace tealcart {
namespace {

bool is_fixed_at_start(const std::string& type) {
    return type == "member" || type == "calls" || type == "section_memory" || type == "control";
}

}  // namespace

void ConfigOverlay::apply(const std::string& key, const std::string& value, Settings& settings) const {
    const std::size_t dot = key.find('.');
    const std::string type = key.substr(0, dot);
    HclBlock root;
    HclBlock& block = root.blocks.emplace_back(parse_hcl(value, key));
    block.type = type;
    if (dot != std::string::npos) block.labels = {key.substr(dot + 1)};
    const OperatorConfig parsed = read_operator_config(root, key);
    if (type == "log") settings.log = parsed.log;
    std::vector<HclError> errors;
    for (const TwoPhaseBlock& phases : parsed.phases)
        if (const auto query_class = two_phase_query_class(phases, config_, query_classes_, errors))
            settings.phases[*query_class] = phases.config;
    if (!errors.empty()) throw HclErrors(key, std::move(errors));
}

std::variant<ConfigOverlay::Settings, ConfigOverlay::Rejection> ConfigOverlay::read(
    const changes::Document& document) const {
    Settings settings = startup_settings_;
    std::string reason;
    const auto reject = [&reason](std::string mistakes) {
        std::replace(mistakes.begin(), mistakes.end(), '\n', ';');
        if (reason.size() < max_reason) reason.append(reason.empty() ? "" : "; ").append(mistakes);
    };
    for (const auto& [key, value] : document) {
        const std::string type = key.substr(0, key.find('.'));
        if (is_fixed_at_start(type)) {
            reject("block " + type + " holds at the start only");
            continue;
        }
        try {
            apply(key, value, settings);
        } catch (const HclErrors& errors) {
            reject(errors.what());
        }
    }
    if (reason.empty()) return settings;
    if (reason.size() > max_reason) reason.resize(max_reason);
    return Rejection{std::move(reason)};
}

std::size_t ConfigOverlay::on_applied(const changes::Document& document) {
    std::size_t changed = 0;
    std::map<std::string, std::uint64_t> digests;
    for (const auto& [key, value] : document) {
        const std::uint64_t digest = changes::digest_of(key, value);
        const auto previous = digests_.find(key);
        changed += previous == digests_.end() || previous->second != digest;
        digests.emplace_hint(digests.end(), key, digest);
    }
    for (const auto& [key, digest] : digests_) changed += !digests.contains(key);
    digests_ = std::move(digests);
    return changed;
}

}  // namespace tealcart
