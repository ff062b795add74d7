// Serves what operators ask of the fleet: drains and their return, halts, members to forget, and changes of
// the group of fleet managers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet_manager/operator_requests.hpp"
#include "fleet_manager/proposer.hpp"
#include "fleet_manager/responder.hpp"

namespace tealcart::fleet_manager {

class OperatorService {
  public:
    OperatorService(const FleetManagerConfig& config, RaftNode& raft, const ReplicatedState& state,
                    Proposer& proposer, Responder& responder)
        : config_(config), raft_(raft), state_(state), proposer_(proposer), responder_(responder) {}

    // `operation`: what follows /fleet/ in the path.
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

    // The requests that the call names, by number, target or zone.
    std::vector<std::uint64_t> requests_of(const OperatorCall& call) const;
    // The id of the fleet manager that the call names; 0 after an error was answered.
    std::uint64_t manager_to_change(Handle client, const OperatorCall& call);
    // Runs one change of the group at a time, and answers once it has ended.
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
