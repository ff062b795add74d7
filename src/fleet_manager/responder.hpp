// Answers that all HTTP endpoints of the fleet manager share.
#pragma once

#include <string>
#include <string_view>

#include "fleet_manager/fleet_manager_config.hpp"
#include "fleet_manager/raft_node.hpp"
#include "wire/http_server.hpp"
#include "wire/message_error.hpp"

namespace tealcart::fleet_manager {

// Writes answers to clients of the fleet manager.
class Responder {
  public:
    Responder(ResponseWriter& server, const RaftNode& raft, const FleetManagerConfig& config,
              std::uint64_t id)
        : server_(server), raft_(raft), config_(config), id_(id) {}

    void ok(Handle client, std::string body = {});
    // With a JSON body that states the reason.
    void error(Handle client, int status, std::string_view reason);
    void malformed(Handle client, const MessageError& error) { this->error(client, 400, error.reason); }
    void method_not_allowed(Handle client, std::string_view allowed);
    // 503: the command may or may not be committed later, so the caller has to retry it with the same id.
    void not_committed(Handle client);
    // 421 with the leader's address, or 503 if no leader is known.
    void not_leader(Handle client);
    // 409: a later incarnation of the caller is known.
    void superseded(Handle client, std::uint64_t last_incarnation);

    // The leader's HTTP address with port; empty if no leader is known.
    std::string leader_address() const;

  private:
    ResponseWriter& server_;
    const RaftNode& raft_;
    const FleetManagerConfig& config_;
    const std::uint64_t id_;  // id of this fleet manager
};

}  // namespace tealcart::fleet_manager
