#include "changes/codec_parts.hpp"

namespace tealcart::changes {

using nlohmann::json;

json json_of(const Limits& limits) {
    return {limits.lease,
            limits.drift,
            limits.forget_after,
            limits.halt_refused_share,
            limits.halt_min_refusals,
            limits.max_entries,
            limits.max_entry_bytes,
            limits.max_kept,
            limits.max_kept_bytes,
            limits.max_members,
            limits.max_relays,
            limits.max_deduplicated};
}

Limits read_limits(const json& in) {
    Limits limits;
    limits.lease = in.at(0);
    limits.drift = in.at(1);
    limits.forget_after = in.at(2);
    limits.halt_refused_share = in.at(3);
    limits.halt_min_refusals = in.at(4);
    limits.max_entries = in.at(5);
    limits.max_entry_bytes = in.at(6);
    limits.max_kept = in.at(7);
    limits.max_kept_bytes = in.at(8);
    limits.max_members = in.at(9);
    limits.max_relays = in.at(10);
    limits.max_deduplicated = in.at(11);
    return limits;
}

json json_of_entries(const std::map<std::string, std::string>& entries) {
    json all = json::object();
    for (const auto& [key, value] : entries) all[key] = value;
    return all;
}

std::map<std::string, std::string> read_entries(const json& in) {
    std::map<std::string, std::string> entries;
    for (const auto& [key, value] : in.items()) entries.emplace(key, value);
    return entries;
}

}  // namespace tealcart::changes
