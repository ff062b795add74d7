// One fleet manager: serves members, relays and operators over HTTP/1.1, and replicates the state that the
// group agrees on. The leader proposes commands, and every fleet manager applies them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "fleet_manager/change_service.hpp"
#include "fleet_manager/endpoint_view.hpp"
#include "fleet_manager/fleet_manager_config.hpp"
#include "fleet_manager/leader_duties.hpp"
#include "fleet_manager/member_service.hpp"
#include "fleet_manager/operator_service.hpp"
#include "fleet_manager/proposer.hpp"
#include "fleet_manager/raft_node.hpp"
#include "fleet_manager/relay_service.hpp"
#include "fleet_manager/replicated_state.hpp"
#include "fleet_manager/responder.hpp"
#include "service/startup_config.hpp"
#include "wire/discovery_watch.hpp"
#include "wire/event_loop.hpp"
#include "wire/http_server.hpp"

namespace tealcart::fleet_manager {

// Wires the services of a fleet manager together and runs them in one event loop.
class FleetManager final : private RequestHandler, private EndpointListObserver {
  public:
    // Starts to listen and joins the group. `clock_error` is added to the time that commands carry, for tests
    // of clock skew. Throws std::runtime_error if the log cannot be read, and boost::system::system_error if
    // the address cannot be bound.
    FleetManager(boost::asio::io_context& io, const FleetManagerConfig& config, std::uint64_t id,
                 const StartupConfig& startup, Nanos clock_error);
    ~FleetManager() override { raft_.close(); }  // ends proposals, whose callbacks use the services

    // Runs until SIGTERM or SIGINT. Throws std::runtime_error when the log can no longer be written.
    void run();

  private:
    using Handler = void (FleetManager::*)(Handle client, const Request& request);
    struct Route {
        std::string_view method, path;
        Handler handler;
    };
    static const Route* find_route(std::string_view path);

    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_disconnected(Handle client) override;
    void on_endpoint_list(const EndpointList& list) override { endpoints_.on_endpoints(list, time_.now()); }

    void show_ready(Handle client, const Request& request);
    void show_status(Handle client, const Request& request);
    void show_changes(Handle client, const Request& request);
    void on_member(Handle client, const Request& request);
    void on_relay(Handle client, const Request& request);
    void on_publish(Handle client, const Request& request);
    void on_rollback(Handle client, const Request& request);
    void on_changes_resume(Handle client, const Request& request);
    void on_entry(Handle client, const Request& request);

    boost::asio::signal_set signals_;
    const FleetManagerConfig config_;
    const std::uint64_t id_;
    EventClock time_;
    EventLoop event_loop_;
    EndpointView endpoints_;
    ReplicatedState state_;
    HttpServer server_;
    DiscoveryWatch discovery_;
    RaftNode raft_;
    Responder responder_;
    Proposer proposer_;
    MemberService members_;
    RelayService relays_;
    OperatorService operators_;
    ChangeService changes_;
    LeaderDuties leader_duties_;
    bool stopping_ = false;
};

}  // namespace tealcart::fleet_manager
