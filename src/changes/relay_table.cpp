#include "changes/relay_table.hpp"

#include <algorithm>

#include "replicated/state_clock.hpp"

namespace tealcart::changes {

using replicated::saturating_add;

const Relay* RelayTable::find(const std::string& name) const {
    const auto it = relays_.find(name);
    return it == relays_.end() ? nullptr : &it->second;
}

std::optional<StaleReason> RelayTable::stale_reason(const RelayReport& report) const {
    const Relay* relay = find(report.relay);
    if (relay == nullptr) {
        if (!report.full) return StaleReason::unknown_relay;
        if (relays_.size() >= limits_.max_relays) return StaleReason::too_many_relays;
        return std::nullopt;
    }
    if (report.incarnation < relay->incarnation) return StaleReason::earlier_incarnation;
    if (report.incarnation == relay->incarnation && report.number <= relay->number)
        return StaleReason::overtaken;
    if (report.full) return std::nullopt;
    if (report.incarnation > relay->incarnation) return StaleReason::new_incarnation;
    if (!relay->live) return StaleReason::lease_expired;
    return std::nullopt;
}

bool RelayTable::renew(const RelayReport& report) {
    Relay& relay = relays_[report.relay];
    (relay.live ? live_leases_ : expired_leases_).erase({relay.lease_until, report.relay});
    const bool starts_anew = !relay.live || report.incarnation != relay.incarnation;
    if (starts_anew) relay.lease_until = distant_past;
    relay.zone = report.zone;
    relay.incarnation = report.incarnation;
    relay.number = report.number;
    relay.live = true;
    relay.lease_until = std::max(relay.lease_until, saturating_add(now_, limits_.lease));
    live_leases_.emplace(relay.lease_until, report.relay);
    return starts_anew;
}

void RelayTable::extend_leases(Nanos interruption) {
    Ends extended;
    for (const auto& [until, name] : live_leases_) {
        Relay& relay = relays_.at(name);
        relay.lease_until = saturating_add(until, interruption);
        extended.emplace_hint(extended.end(), relay.lease_until, name);
    }
    live_leases_ = std::move(extended);
}

std::vector<std::pair<std::string, Relay>> RelayTable::expire_leases() {
    std::vector<std::pair<std::string, Relay>> expired;
    while (!live_leases_.empty() && now_ > saturating_add(live_leases_.begin()->first, limits_.drift)) {
        const auto end = live_leases_.begin();
        Relay& relay = relays_.at(end->second);
        relay.live = false;
        expired.emplace_back(end->second, relay);
        expired_leases_.insert(live_leases_.extract(end));
    }
    return expired;
}

std::vector<std::string> RelayTable::drop_forgotten() {
    const auto is_forgotten = [this](Nanos lease_until) {
        return now_ > saturating_add(saturating_add(lease_until, limits_.forget_after), limits_.drift);
    };
    std::vector<std::string> dropped;
    while (!expired_leases_.empty() && is_forgotten(expired_leases_.begin()->first)) {
        dropped.push_back(expired_leases_.begin()->second);
        relays_.erase(dropped.back());
        expired_leases_.erase(expired_leases_.begin());
    }
    return dropped;
}

void RelayTable::restore(std::map<std::string, Relay> relays) {
    relays_ = std::move(relays);
    live_leases_.clear();
    expired_leases_.clear();
    for (const auto& [name, relay] : relays_)
        (relay.live ? live_leases_ : expired_leases_).emplace(relay.lease_until, name);
}

}  // namespace tealcart::changes
