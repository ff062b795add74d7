#include "fleet_manager/change_service.hpp"

#include <utility>

namespace tealcart::fleet_manager {

void ChangeService::not_configured(Handle client) {
    responder_.error(client, 404, "the stewards' file has no 'changes' block");
}

std::optional<ChangeRequest> ChangeService::accept(Handle client, const std::string& body) {
    auto request = read_change_request(body);
    if (!config_.takes_changes)
        not_configured(client);
    else if (!request)
        responder_.malformed(client, request.error());
    else if (!proposer_.leads())
        responder_.not_leader(client);
    else
        return std::move(*request);
    return std::nullopt;
}

void ChangeService::publish(Handle client, const std::string& body) {
    auto request = accept(client, body);
    if (!request) return;
    changes::Publish version{std::move(request->requested_by), std::move(request->set),
                             std::move(request->removed), request->based_on};
    propose(client, {std::move(request->id), 0, std::move(version)});
}

void ChangeService::roll_back(Handle client, const std::string& body) {
    auto request = accept(client, body);
    if (!request) return;
    propose(client, {std::move(request->id), 0,
                     changes::Rollback{std::move(request->requested_by), request->rollback_version}});
}

void ChangeService::resume(Handle client, const std::string& body) {
    auto request = accept(client, body);
    if (request) propose(client, {std::move(request->id), 0, changes::Resume{}});
}

void ChangeService::show_entry(Handle client, const std::string& body) {
    const auto request = accept(client, body);
    if (!request) return;
    const auto entry = write_entry(state_.changes(), request->key);
    if (!entry) return responder_.error(client, 404, "there is no such key");
    responder_.ok(client, *entry);
}

void ChangeService::propose(Handle client, changes::Command command) {
    proposer_.propose(std::move(command), [this, client](bool committed, const changes::Effects& effects) {
        if (!committed) return responder_.not_committed(client);
        responder_.ok(client, write_effects(effects));
    });
}

}  // namespace tealcart::fleet_manager
