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

// A time before any other. Spans can be added to it and subtracted from it without overflow.
constexpr Nanos distant_past = INT64_MIN / 4;

// A relay, as of its last applied report.
struct Relay {
    std::string zone;
    std::uint64_t incarnation = 0, number = 0;  // number: of the last applied report
    Nanos lease_until = distant_past;
    bool live = false;  // its lease has not expired, and it has reported all its members
};

// Holds the relays, and renews and expires their leases.
class RelayTable {
  public:
    explicit RelayTable(const Limits& limits) : limits_(limits) {}

    const std::map<std::string, Relay>& all() const { return relays_; }
    const Relay* find(const std::string& name) const;

    // Why a report is stale, judged by the relay alone; nullopt if it is not.
    std::optional<StaleReason> stale_reason(const RelayReport& report) const;
    // Renews the relay's lease. Returns whether the relay is new, its lease had expired, or another
    // incarnation reports now.
    bool renew(const RelayReport& report);

    void set_now(Nanos now) { now_ = now; }
    void set_limits(const Limits& limits) { limits_ = limits; }
    void extend_leases(Nanos interruption);
    // The relays whose lease has expired (drift included) since the last call, in the order of expiry.
    std::vector<std::pair<std::string, Relay>> expire_leases();
    // Removes relays that have been expired for Limits::forget_after, and returns their names.
    std::vector<std::string> drop_forgotten();

    // Restores the relays of a snapshot.
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
