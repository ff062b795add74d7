#include "fleet_manager/operator_service.hpp"

#include <set>
#include <utility>

namespace tealcart::fleet_manager {
namespace {

// The id of a command that a request causes. It is derived from the request's id, so a retry is idempotent.
std::string command_id(const OperatorCall& call, const std::string& part) { return call.id + "/" + part; }

std::string command_id(const OperatorCall& call, const fleet::Target& target) {
    return command_id(call, (target.router ? "router/" : "node/") + target.name);
}

// The command id of a request that causes exactly one command.
std::string only_command_id(const OperatorCall& call) { return command_id(call, "0"); }

}  // namespace

OperatorService::Handler OperatorService::handler_of(std::string_view operation) {
    static constexpr std::pair<std::string_view, Handler> handlers[] = {
        {"ask", &OperatorService::request_removals},
        {"undo", &OperatorService::undo_removals},
        {"halt", &OperatorService::halt},
        {"resume", &OperatorService::resume},
        {"forget", &OperatorService::forget_member},
        {"stewards/add", &OperatorService::add_manager},
        {"stewards/remove", &OperatorService::remove_manager}};
    for (const auto& [name, handler] : handlers)
        if (name == operation) return handler;
    return nullptr;
}

void OperatorService::on_call(Handle client, std::string_view operation, const std::string& body) {
    const auto call = read_operator_call(body);
    if (!call) return responder_.malformed(client, call.error());
    if (!proposer_.leads()) return responder_.not_leader(client);
    const Handler handler = handler_of(operation);
    if (handler == nullptr) return responder_.error(client, 404, "no such path");
    (this->*handler)(client, *call);
}

void OperatorService::request_removals(Handle client, const OperatorCall& call) {
    std::vector<fleet::Target> targets = call.targets;
    if (!call.zone.empty())
        for (const auto& [name, node] : state_.fleet().nodes())
            if (node.zone == call.zone) targets.push_back({false, name});
    if (targets.empty()) return responder_.error(client, 404, "no such target is known");
    std::vector<fleet::Command> commands;
    for (const fleet::Target& target : targets)
        commands.push_back({command_id(call, target), 0, fleet::RequestRemoval{call.requested_by, target}});
    propose(client, std::move(commands));
}

std::vector<std::uint64_t> OperatorService::requests_of(const OperatorCall& call) const {
    const auto& nodes = state_.fleet().nodes();
    const std::set<fleet::Target> targets(call.targets.begin(), call.targets.end());
    const auto in_zone = [&](const fleet::Target& target) {
        if (call.zone.empty() || target.router) return false;
        const auto node = nodes.find(target.name);
        return node != nodes.end() && node->second.zone == call.zone;
    };
    std::vector<std::uint64_t> ids = call.requests;
    for (const auto& [id, request] : state_.fleet().requests())
        if (in_zone(request.target) || targets.contains(request.target)) ids.push_back(id);
    return ids;
}

void OperatorService::undo_removals(Handle client, const OperatorCall& call) {
    const std::vector<std::uint64_t> ids = requests_of(call);
    if (ids.empty()) return responder_.error(client, 404, "no request for it is open");
    std::vector<fleet::Command> commands;
    for (const std::uint64_t id : ids)
        commands.push_back({command_id(call, std::to_string(id)), 0, fleet::UndoRemoval{id}});
    propose(client, std::move(commands));
}

void OperatorService::halt(Handle client, const OperatorCall& call) {
    const std::string reason = call.reason.empty() ? "by " + call.requested_by : call.reason;
    propose(client, {{only_command_id(call), 0, fleet::Halt{reason}}});
}

void OperatorService::resume(Handle client, const OperatorCall& call) {
    propose(client, {{only_command_id(call), 0, fleet::Resume{}}});
}

void OperatorService::forget_member(Handle client, const OperatorCall& call) {
    // Both states may know the member; the answer reports the effects on the fleet state.
    if (config_.takes_changes)
        proposer_.propose(changes::Command{command_id(call, "changes"), 0, changes::Forget{call.name}},
                          [](bool, const changes::Effects&) {});
    propose(client, {{only_command_id(call), 0, fleet::Forget{call.name}}});
}

std::uint64_t OperatorService::manager_to_change(Handle client, const OperatorCall& call) {
    if (group_change_in_progress_) {
        responder_.error(client, 409, "another change of the stewards is under way");
        return 0;
    }
    const std::uint64_t id = call.requests.empty() ? 0 : call.requests.front();
    if (id == 0) responder_.error(client, 400, "'requests' names no steward's id");
    return id;
}

RaftNode::ChangeCallback OperatorService::begin_manager_change(Handle client) {
    group_change_in_progress_ = true;
    return [this, client](const std::string& error) {
        group_change_in_progress_ = false;
        if (!error.empty()) return responder_.error(client, 409, error);
        responder_.ok(client, "{}");
    };
}

void OperatorService::add_manager(Handle client, const OperatorCall& call) {
    const std::uint64_t id = manager_to_change(client, call);
    if (id == 0) return;
    if (!parse_host_port(call.name)) return responder_.error(client, 400, "'name' is no address with a port");
    raft_.add({id, call.name}, begin_manager_change(client));
}

void OperatorService::remove_manager(Handle client, const OperatorCall& call) {
    const std::uint64_t id = manager_to_change(client, call);
    if (id != 0) raft_.remove(id, begin_manager_change(client));
}

void OperatorService::propose(Handle client, std::vector<fleet::Command> commands) {
    proposer_.propose(std::move(commands), [this, client](bool committed, const fleet::Effects& effects) {
        if (!committed) return responder_.not_committed(client);
        responder_.ok(client, write_effects(effects));
    });
}

}  // namespace tealcart::fleet_manager
