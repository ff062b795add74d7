#include "changes/applied_index.hpp"

#include <algorithm>

namespace tealcart::changes {

std::uint64_t AppliedIndex::lowest_of(const std::string& relay) const {
    const auto it = relays_.find(relay);
    return it == relays_.end() ? 0 : it->second.lowest;
}

void AppliedIndex::set_lowest(const std::string& relay, std::uint64_t lowest) {
    Relay& entry = relays_[relay];
    entry.lowest = lowest;
    update_minimum(relay, entry);
}

void AppliedIndex::insert_by_relay(const std::string& relay, const std::string& member,
                                   std::uint64_t reported_version, bool exception) {
    Relay& entry = relays_[relay];
    (exception ? entry.exceptions : entry.plain).emplace(reported_version, member);
    update_minimum(relay, entry);
}

void AppliedIndex::erase_by_relay(const std::string& relay, const std::string& member,
                                  std::uint64_t reported_version, bool exception) {
    Relay& entry = relays_[relay];
    (exception ? entry.exceptions : entry.plain).erase({reported_version, member});
    update_minimum(relay, entry);
}

std::vector<std::string> AppliedIndex::members_of(const std::string& relay) const {
    std::vector<std::string> names;
    const auto it = relays_.find(relay);
    if (it == relays_.end()) return names;
    for (const ByVersion* members : {&it->second.plain, &it->second.exceptions})
        for (const auto& [reported_version, name] : *members) names.push_back(name);
    return names;
}

std::optional<std::uint64_t> AppliedIndex::lowest() const {
    std::optional<std::uint64_t> lowest;
    for (const ByVersion* versions : {&relay_minima_, &individual_members_}) {
        if (versions->empty()) continue;
        lowest = std::min(lowest.value_or(UINT64_MAX), versions->begin()->first);
    }
    return lowest;
}

void AppliedIndex::clear_members() {
    relay_minima_.clear();
    individual_members_.clear();
    for (auto& [name, relay] : relays_) {
        relay.plain.clear();
        relay.exceptions.clear();
        relay.minimum.reset();
    }
}

void AppliedIndex::update_minimum(const std::string& name, Relay& relay) {
    std::optional<std::uint64_t> minimum;
    if (!relay.plain.empty()) minimum = std::max(relay.lowest, relay.plain.begin()->first);
    if (!relay.exceptions.empty())
        minimum = std::min(minimum.value_or(UINT64_MAX), relay.exceptions.begin()->first);
    if (minimum == relay.minimum) return;
    if (relay.minimum) relay_minima_.erase({*relay.minimum, name});
    if (minimum) relay_minima_.emplace(*minimum, name);
    relay.minimum = minimum;
}

}  // namespace tealcart::changes
