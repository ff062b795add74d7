#include "fleet_manager/responder.hpp"

#include "wire/member_messages.hpp"
#include "wire/response_body.hpp"

namespace tealcart::fleet_manager {

void Responder::ok(Handle client, std::string body) { server_.answer(client, {200, std::move(body), 0}); }

void Responder::error(Handle client, int status, std::string_view reason) {
    server_.answer(client, {status, write_error(reason), 0});
}

void Responder::method_not_allowed(Handle client, std::string_view allowed) {
    server_.answer(client, {405, write_error(std::string(allowed) + " only"), 0, allowed});
}

void Responder::not_committed(Handle client) {
    error(client, 503, "not agreed: ask again, under the same id");
}

void Responder::not_leader(Handle client) {
    const std::string leader = leader_address();
    if (leader.empty() || raft_.leader() == id_) return error(client, 503, "no steward leads now");
    server_.answer(client, {421, write_not_leader(leader), 0});
}

void Responder::superseded(Handle client, std::uint64_t last_incarnation) {
    server_.answer(client, {409, write_superseded(last_incarnation), 0});
}

std::string Responder::leader_address() const {
    const auto leader = config_.managers.find(raft_.leader());
    if (leader == config_.managers.end()) return {};
    const HostPort& http = leader->second.http;
    return http.host + ":" + std::to_string(http.port);
}

}  // namespace tealcart::fleet_manager
