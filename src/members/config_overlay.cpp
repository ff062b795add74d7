#include "members/config_overlay.hpp"

#include <algorithm>

namespace tealcart {
namespace {

bool at_start_only(const std::string& type) {
    return type == "member" || type == "calls" || type == "section_memory" || type == "control";
}

}  // namespace

std::variant<ConfigOverlay::Settings, ConfigOverlay::Rejection> ConfigOverlay::read(
    const changes::Document& document) const {
    Settings settings = started_;
    std::string why;
    const auto wrong = [&why](std::string words) {
        std::replace(words.begin(), words.end(), '\n', ';');
        if (why.size() < max_why) why.append(why.empty() ? "" : "; ").append(words);
    };
    for (const auto& [key, value] : document) {
        const std::size_t dot = key.find('.');
        const std::string type = key.substr(0, dot);
        if (at_start_only(type)) {
            wrong("block " + type + " holds at the start only");
            continue;
        }
        try {
            HclBlock root;
            HclBlock& block = root.blocks.emplace_back(parse_hcl(value, key));
            block.type = type;
            if (dot != std::string::npos) block.labels = {key.substr(dot + 1)};
            const OperatorConfig stated = read_operator_config(root, key);
            if (type == "log") settings.log = stated.log;
            std::vector<HclMistake> mistakes;
            for (const StatedPhases& s : stated.phases)
                if (const auto v = two_phase_query_class(s, config_, query_classes_, mistakes))
                    settings.phases[*v] = s.config;
            if (!mistakes.empty()) throw HclMistakes(key, std::move(mistakes));
        } catch (const HclMistakes& e) {
            wrong(e.what());
        }
    }
    if (why.empty()) return settings;
    if (why.size() > max_why) why.resize(max_why);
    return Rejection{std::move(why)};
}

std::size_t ConfigOverlay::on_applied(const changes::Document& document) {
    std::size_t changed = 0;
    std::map<std::string, std::uint64_t> digests;
    for (const auto& [key, value] : document) {
        const std::uint64_t digest = changes::digest_of(key, value);
        const auto before = digests_.find(key);
        changed += before == digests_.end() || before->second != digest;
        digests.emplace_hint(digests.end(), key, digest);
    }
    for (const auto& [key, digest] : digests_) changed += !digests.contains(key);
    digests_ = std::move(digests);
    return changed;
}

}  // namespace tealcart
