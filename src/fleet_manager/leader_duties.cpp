#include "fleet_manager/leader_duties.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace tealcart::fleet_manager {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos compare_interval = 100 * millisecond;  // of discovery's endpoints with the agreed nodes
constexpr Nanos max_tick_interval = 250 * millisecond;
constexpr int min_ticks_per_lease = 20;

Nanos tick_interval_of(const FleetManagerConfig& config) {
    Nanos interval = std::min(max_tick_interval, config.budgets.lease / min_ticks_per_lease);
    if (config.takes_changes) interval = std::min(interval, config.changes.lease / min_ticks_per_lease);
    return interval;
}

void ignore_fleet_outcome(bool, const fleet::Effects&) {}
void ignore_change_outcome(bool, const changes::Effects&) {}

}  // namespace

LeaderDuties::LeaderDuties(const FleetManagerConfig& config, EventClock& time, const RaftNode& raft,
                           const ReplicatedState& state, EndpointView& endpoints, Proposer& proposer)
    : config_(config), time_(time), raft_(raft), state_(state), endpoints_(endpoints), proposer_(proposer),
      tick_interval_(tick_interval_of(config)) {}

void LeaderDuties::run() {
    on_leadership();
    if (!leads_) return;
    const Nanos now = time_.now();
    if (now - endpoints_compared_at_ >= compare_interval && !endpoints_pending_) propose_endpoints(now);
    if (config_.takes_changes) propose_change_limits_or_tick(now);
    if (now - proposer_.last_fleet_proposal() >= tick_interval_)
        proposer_.propose({{"", 0, fleet::Tick{}}}, ignore_fleet_outcome);
}

// Logs a change of the leader. All endpoints are compared again when this fleet manager gains or loses
// leadership, as it may have missed changes in between.
void LeaderDuties::on_leadership() {
    const std::uint64_t leader = raft_.leader();
    if (std::exchange(leader_, leader) != leader)
        log_line(leader == 0 ? "no steward leads" : "steward %llu leads",
                 static_cast<unsigned long long>(leader));
    if (std::exchange(leads_, raft_.leads()) != raft_.leads()) endpoints_.compare_all();
}

void LeaderDuties::propose_endpoints(Nanos now) {
    endpoints_compared_at_ = now;
    if (!(state_.fleet().budgets() == config_.budgets))
        proposer_.propose({{"", 0, fleet::SetBudgets{config_.budgets}}}, ignore_fleet_outcome);
    auto observed = endpoints_.differences(state_.fleet(), now);
    if (!observed) return;
    endpoints_pending_ = true;
    proposer_.propose({{"", 0, std::move(*observed)}},
                      [this](bool, const fleet::Effects&) { endpoints_pending_ = false; });
}

void LeaderDuties::propose_change_limits_or_tick(Nanos now) {
    if (!limits_pending_ && !(state_.changes().limits() == config_.changes)) {
        limits_pending_ = true;
        proposer_.propose(changes::Command{"", 0, changes::SetLimits{config_.changes}},
                          [this](bool, const changes::Effects&) { limits_pending_ = false; });
    } else if (now - proposer_.last_change_proposal() >= tick_interval_) {
        proposer_.propose(changes::Command{"", 0, changes::Tick{}}, ignore_change_outcome);
    }
}

}  // namespace tealcart::fleet_manager
