// The replicated log's state machine: the state that all fleet managers agree on, which is the fleet's
// members and drains, and the changes of its configuration.
#pragma once

#include "changes/change_state.hpp"
#include "fleet/fleet_state.hpp"
#include "fleet_manager/endpoint_view.hpp"
#include "fleet_manager/fleet_manager_config.hpp"
#include "fleet_manager/raft_node.hpp"

namespace tealcart::fleet_manager {

// Both states, and the effects of the last commands on them.
class ReplicatedState final : public StateMachine {
  public:
    // `endpoints` is notified of committed observations of data nodes.
    ReplicatedState(const FleetManagerConfig& config, EndpointView& endpoints)
        : config_(config), endpoints_(endpoints), fleet_(config.budgets), changes_(config.changes) {}

    const fleet::FleetState& fleet() const { return fleet_; }
    const changes::ChangeState& changes() const { return changes_; }
    // The effects of the last applied command on each state.
    const fleet::Effects& fleet_effects() const { return fleet_effects_; }
    const changes::Effects& change_effects() const { return change_effects_; }

    void apply(const std::uint8_t* bytes, std::size_t size) override;
    std::vector<std::uint8_t> save() const override;
    void load(const std::vector<std::uint8_t>& bytes) override;

  private:
    void apply_to_fleet(const fleet::Command& command);
    void apply_to_changes(const changes::Command& command);

    const FleetManagerConfig& config_;
    EndpointView& endpoints_;
    fleet::FleetState fleet_;
    changes::ChangeState changes_;
    fleet::Effects fleet_effects_;
    changes::Effects change_effects_;
};

}  // namespace tealcart::fleet_manager
