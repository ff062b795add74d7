// The leader's periodic work: it commits the passage of time, the endpoints that discovery lists, and the
// budgets and limits of its own file.
#pragma once

#include "fleet_manager/endpoint_view.hpp"
#include "fleet_manager/proposer.hpp"

namespace tealcart::fleet_manager {

// Proposes the commands that no request causes. Does nothing on a fleet manager that does not lead.
class LeaderDuties {
  public:
    LeaderDuties(const FleetManagerConfig& config, EventClock& time, const RaftNode& raft,
                 const ReplicatedState& state, EndpointView& endpoints, Proposer& proposer);

    // To be called in each turn of the event loop, at least once per `tick_interval`.
    void run();
    // The longest time by which the agreed state's clock lags behind.
    Nanos tick_interval() const { return tick_interval_; }

  private:
    void on_leadership();
    void propose_endpoints(Nanos now);
    void propose_change_limits_or_tick(Nanos now);

    const FleetManagerConfig& config_;
    EventClock& time_;
    const RaftNode& raft_;
    const ReplicatedState& state_;
    EndpointView& endpoints_;
    Proposer& proposer_;
    const Nanos tick_interval_;
    std::uint64_t leader_ = 0;  // the leader that was logged last; 0: none
    bool leads_ = false;
    Nanos endpoints_compared_at_ = 0;
    bool endpoints_pending_ = false, limits_pending_ = false;  // proposed and not committed yet
};

}  // namespace tealcart::fleet_manager
