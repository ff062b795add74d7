// Serves operators' requests about the fleet: drains and returns, halts, forgetting members, and changes of
// the group of fleet managers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet_manager/operator_requests.hpp"
#include "fleet_manager/proposer.hpp"
#include "fleet_manager/responder.hpp"

namespace tealcart::fleet_manager {

// Handles the HTTP requests of the `drain`, `undrain`, `halt`, `resume` and `fleet` commands.
class OperatorService {
  public:
    OperatorService(const FleetManagerConfig& config, RaftNode& raft, const ReplicatedState& state,
                    Proposer& proposer, Responder& responder)
        : config_(config), raft_(raft), state_(state), proposer_(proposer), responder_(responder) {}

    // `operation` is the part of the path after /fleet/.
    void on_call(Handle client, std::string_view operation, const std::string& body);

  private:
    using Handler = void (OperatorService::*)(Handle client, const OperatorCall& call);
    static Handler handler_of(std::string_view operation);

    void request_removals(Handle client, const OperatorCall& call);
    void undo_removals(Handle client, const OperatorCall& call);
    void halt(Handle client, const OperatorCall& call);
    void resume(Handle client, const OperatorCall& call);
    void forget_member(Handle client, const OperatorCall& call);
    void add_manager(Handle client, const OperatorCall& call);
    void remove_manager(Handle client, const OperatorCall& call);

    // The ids of the removal requests that the call selects by number, target or zone.
    std::vector<std::uint64_t> requests_of(const OperatorCall& call) const;
    // The id of the fleet manager that the call names; 0 after answering with an error.
    std::uint64_t manager_to_change(Handle client, const OperatorCall& call);
    // Marks a change of the group as in progress, as only one may run at a time. The returned callback ends
    // it and answers the client.
    RaftNode::ChangeCallback begin_manager_change(Handle client);
    void propose(Handle client, std::vector<fleet::Command> commands);

    const FleetManagerConfig& config_;
    RaftNode& raft_;
    const ReplicatedState& state_;
    Proposer& proposer_;
    Responder& responder_;
    bool group_change_in_progress_ = false;
};

}  // namespace tealcart::fleet_manager
