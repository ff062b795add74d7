#include "fleet_manager/fleet_manager.hpp"

#include <algorithm>
#include <csignal>

#include "fleet_manager/status_page.hpp"
#include "log/log.hpp"

namespace tealcart::fleet_manager {
namespace {

constexpr Nanos second = 1'000'000'000;
constexpr std::size_t max_clients = 20'000;
constexpr std::size_t max_change_body = 2 * 1024 * 1024;  // bytes of a full relay report or a publication
constexpr Nanos client_stall = 5 * second;  // a client that reads nothing for this long is closed
constexpr std::string_view operations_prefix = "/fleet/";

RaftConfig raft_config(const FleetManagerConfig& config, std::uint64_t id) {
    const ManagerAddresses& self = config.managers.at(id);
    return {id, self.raft, self.bind, self.data_directory, config.election};
}

}  // namespace

FleetManager::FleetManager(boost::asio::io_context& io, const FleetManagerConfig& config, std::uint64_t id,
                           const StartupConfig& startup, Nanos clock_error)
    : signals_(io, SIGTERM, SIGINT), config_(config), id_(id), event_loop_(io, time_),
      endpoints_(startup.config), state_(config_, endpoints_),
      server_(io, time_, *this,
              {max_clients, client_stall, config.takes_changes ? max_change_body : max_body_bytes}),
      discovery_(io, time_, *this, startup.discovery, startup.config.discovery,
                 static_cast<std::uint32_t>(startup.config.places), startup.seed,
                 startup.endpoint_list_limit),
      raft_(io, raft_config(config_, id), state_), responder_(server_, raft_, config_, id),
      proposer_(time_, raft_, state_, clock_error), members_(time_, state_, proposer_, responder_),
      relays_(time_, state_, proposer_, responder_),
      operators_(config_, raft_, state_, proposer_, responder_),
      changes_(config_, state_, proposer_, responder_),
      leader_duties_(config_, time_, raft_, state_, endpoints_, proposer_) {
    const ManagerAddresses& self = config_.managers.at(id);
    raft_.start();
    server_.listen(self.http_bind.host, self.http_bind.port);
    discovery_.start(0);  // from generation 0: the view starts empty, whatever list the configuration has
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) stopping_ = true;
    });
    log_line("steward %llu of fleet %s serves members and operators at %s:%u; generation %llu",
             static_cast<unsigned long long>(id), config_.fleet.c_str(), self.http.host.c_str(),
             server_.port(), static_cast<unsigned long long>(state_.fleet().generation()));
}

void FleetManager::run() {
    Nanos max_sleep = 0;
    while (!stopping_) {
        const Nanos sleep = std::min(max_sleep, leader_duties_.tick_interval());
        event_loop_.run_once(std::min(time_.timers.next(), time_.now() + sleep));
        leader_duties_.run();
        max_sleep = raft_.run_ready_events();
        members_.answer_waiting();
        relays_.answer_waiting();
    }
    log_line("stopping the fleet manager");
    server_.close_all();
    discovery_.stop();
    raft_.close();
}

void FleetManager::on_client_disconnected(Handle client) {
    members_.on_client_disconnected(client);
    relays_.on_client_disconnected(client);
}

const FleetManager::Route* FleetManager::find_route(std::string_view path) {
    static constexpr Route routes[] = {{"GET", "/-/ready", &FleetManager::show_ready},
                                       {"GET", "/fleet/status", &FleetManager::show_status},
                                       {"GET", "/fleet/changes", &FleetManager::show_changes},
                                       {"POST", member_path, &FleetManager::on_member},
                                       {"POST", relay_path, &FleetManager::on_relay},
                                       {"POST", "/fleet/publish", &FleetManager::on_publish},
                                       {"POST", "/fleet/back", &FleetManager::on_rollback},
                                       {"POST", "/fleet/changes-resume", &FleetManager::on_changes_resume},
                                       {"POST", "/fleet/entry", &FleetManager::on_entry}};
    const auto* const route =
        std::find_if(std::begin(routes), std::end(routes), [&](const Route& r) { return r.path == path; });
    return route == std::end(routes) ? nullptr : route;
}

void FleetManager::on_request(Handle client, Request& request, Nanos) {
    const std::string_view path = request.path;
    if (!config_.takes_changes && (path == "/fleet/changes" || path == relay_path))
        return changes_.not_configured(client);
    if (const Route* route = find_route(path)) {
        if (request.method != route->method) return responder_.method_not_allowed(client, route->method);
        return (this->*route->handler)(client, request);
    }
    if (!path.starts_with(operations_prefix)) return responder_.error(client, 404, "no such path");
    if (request.method != "POST") return responder_.method_not_allowed(client, "POST");
    operators_.on_call(client, path.substr(operations_prefix.size()), request.body);
}

void FleetManager::show_ready(Handle client, const Request&) {
    if (raft_.leader() == 0) return responder_.error(client, 503, "no steward leads now");
    responder_.ok(client);
}

void FleetManager::show_status(Handle client, const Request& request) {
    ManagerStatus status;
    status.id = id_;
    status.leader = raft_.leader();
    status.applied = raft_.applied();
    status.fleet = config_.fleet;
    status.leader_address = responder_.leader_address();
    status.discovery_silent = endpoints_.stale(time_.now()) ? EndpointView::stale_after : 0;
    responder_.ok(client, write_status(state_.fleet(), status, request.query == "all=1"));
}

void FleetManager::show_changes(Handle client, const Request&) {
    const ManagerChangeStatus status{id_, raft_.leader(), config_.fleet, responder_.leader_address(),
                                     relays_.waiting()};
    responder_.ok(client, write_changes(state_.changes(), status));
}

void FleetManager::on_member(Handle client, const Request& request) {
    members_.on_call(client, request.body);
}

void FleetManager::on_relay(Handle client, const Request& request) { relays_.on_call(client, request.body); }

void FleetManager::on_publish(Handle client, const Request& request) {
    changes_.publish(client, request.body);
}

void FleetManager::on_rollback(Handle client, const Request& request) {
    changes_.roll_back(client, request.body);
}

void FleetManager::on_changes_resume(Handle client, const Request& request) {
    changes_.resume(client, request.body);
}

void FleetManager::on_entry(Handle client, const Request& request) {
    changes_.show_entry(client, request.body);
}

}  // namespace tealcart::fleet_manager
