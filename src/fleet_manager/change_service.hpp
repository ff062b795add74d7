// Serves operators' requests about the fleet's configuration: publish a version, roll back, resume after a
// halt, and show one entry.
#pragma once

#include <string>
#include <string_view>

#include "fleet_manager/change_requests.hpp"
#include "fleet_manager/proposer.hpp"
#include "fleet_manager/responder.hpp"

namespace tealcart::fleet_manager {

// Handles the HTTP requests of the `config` commands.
class ChangeService {
  public:
    ChangeService(const FleetManagerConfig& config, const ReplicatedState& state, Proposer& proposer,
                  Responder& responder)
        : config_(config), state_(state), proposer_(proposer), responder_(responder) {}

    void publish(Handle client, const std::string& body);
    void roll_back(Handle client, const std::string& body);
    void resume(Handle client, const std::string& body);
    void show_entry(Handle client, const std::string& body);

    // Answers 404, as the operators' file has no `changes` block.
    void not_configured(Handle client);

  private:
    // Returns the request if this fleet manager can serve it; otherwise answers it with an error.
    std::optional<ChangeRequest> accept(Handle client, const std::string& body);
    void propose(Handle client, changes::Command command);

    const FleetManagerConfig& config_;
    const ReplicatedState& state_;
    Proposer& proposer_;
    Responder& responder_;
};

}  // namespace tealcart::fleet_manager
