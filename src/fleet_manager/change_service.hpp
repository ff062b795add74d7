// Serves what operators ask of the fleet's configuration: versions to publish, a rollback, the way on after a
// halt, and single entries.
#pragma once

#include <string>
#include <string_view>

#include "fleet_manager/change_requests.hpp"
#include "fleet_manager/proposer.hpp"
#include "fleet_manager/responder.hpp"

namespace tealcart::fleet_manager {

class ChangeService {
  public:
    ChangeService(const FleetManagerConfig& config, const ReplicatedState& state, Proposer& proposer,
                  Responder& responder)
        : config_(config), state_(state), proposer_(proposer), responder_(responder) {}

    void publish(Handle client, const std::string& body);
    void roll_back(Handle client, const std::string& body);
    void resume(Handle client, const std::string& body);
    void show_entry(Handle client, const std::string& body);

    // 404 where the operators' file has no `changes` block.
    void not_configured(Handle client);

  private:
    // The call, where it can be served here; else it has been answered.
    std::optional<ChangeRequest> accept(Handle client, const std::string& body);
    void propose(Handle client, changes::Command command);

    const FleetManagerConfig& config_;
    const ReplicatedState& state_;
    Proposer& proposer_;
    Responder& responder_;
};

}  // namespace tealcart::fleet_manager
