// The relays that report to the fleet managers, and their leases.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "changes/effects.hpp"
#include "changes/limits.hpp"
#include "changes/reports.hpp"

namespace tealcart::changes {

constexpr Nanos distant_past = INT64_MIN / 4;

// A relay, as last reported.
struct Relay {
    std::string zone;
    std::uint64_t incarnation = 0, number = 0;  // number: of the last report that was applied
    Nanos lease_until = distant_past;
    bool live = false;  // its lease is not over, and it has reported all its members
};

class RelayTable {
  public:
    explicit RelayTable(const Limits& limits) : limits_(limits) {}

    const std::map<std::string, Relay>& all() const { return relays_; }
    const Relay* find(const std::string& name) const;

    // Why a report is not applied, as far as it is the relay's; nothing: it is.
    std::optional<StaleReason> stale_reason(const RelayReport& report) const;
    // Renews the lease. Gives whether the relay is new, its lease was over, or another incarnation reports
    // now.
    bool renew(const RelayReport& report);

    void set_now(Nanos now) { now_ = now; }
    void set_limits(const Limits& limits) { limits_ = limits; }
    void extend_leases(Nanos interruption);
    // Relays whose lease has certainly ended since the last call, in the order of its end.
    std::vector<std::pair<std::string, Relay>> expire_leases();
    // Relays that are remembered no more.
    std::vector<std::string> drop_forgotten();

    // From a snapshot.
    void restore(std::map<std::string, Relay> relays);

    std::size_t live_leases() const { return live_leases_.size(); }

  private:
    using Ends = std::set<std::pair<Nanos, std::string>>;

    Limits limits_;
    Nanos now_ = 0;
    std::map<std::string, Relay> relays_;
    Ends live_leases_, expired_leases_;  // by Relay::lease_until
};

}  // namespace tealcart::changes
