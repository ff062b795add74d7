#include "fleet_manager/member_service.hpp"

#include <memory>

#include "fleet_manager/batching.hpp"
#include "fleet_manager/operator_requests.hpp"

namespace tealcart::fleet_manager {

void MemberService::on_call(Handle client, const std::string& body) {
    auto call = read_member_call(body);
    if (!call) return responder_.malformed(client, call.error());
    if (!proposer_.leads()) return responder_.not_leader(client);
    if (const std::uint64_t later = later_incarnation(*call); later > 0)
        return responder_.superseded(client, later);
    if (call->leaving) return leave(client, *call);
    const fleet::Join join = join_of(*call);
    if (!is_joined(join)) batch_.reports.joins.push_back(join);
    batch_.reports.renewals.push_back(renew_of(*call));
    batch_.calls.emplace_back(client, std::move(*call));
    if (batch_.calls.size() >= max_batch_calls) return propose_batch();
    if (batch_due_ == TimerQueue::none)
        batch_due_ = time_.timers.add(time_.now() + batch_window, *this, Handle{}, 0);
}

void MemberService::leave(Handle client, const MemberCall& call) {
    proposer_.propose({{"", 0, fleet::Leave{call.name, call.incarnation}}},
                      [this, client](bool committed, const fleet::Effects&) {
                          if (!committed) return responder_.error(client, 503, "not agreed");
                          responder_.ok(client, write_member_answer(answer_of(state_.fleet())));
                      });
}

bool MemberService::is_joined(const fleet::Join& join) const {
    const auto known = state_.fleet().members().find(join.name);
    if (known == state_.fleet().members().end()) return false;
    const fleet::Member& member = known->second;
    return member.incarnation == join.incarnation && member.version == join.version &&
           member.digest == join.digest && member.zone == join.zone &&
           member.lease_grace == join.lease_grace && member.role == join.role;
}

std::uint64_t MemberService::later_incarnation(const MemberCall& call) const {
    const auto known = state_.fleet().members().find(call.name);
    if (known == state_.fleet().members().end()) return 0;
    return known->second.incarnation > call.incarnation ? known->second.incarnation : 0;
}

void MemberService::on_timer_due(Handle, std::uint64_t) {
    batch_due_ = TimerQueue::none;
    propose_batch();
}

void MemberService::propose_batch() {
    time_.timers.cancel(batch_due_);
    if (batch_.calls.empty()) return;
    const auto batch = std::make_shared<Batch>(std::exchange(batch_, {}));
    proposer_.propose({{"", 0, std::move(batch->reports)}},
                      [this, batch](bool committed, const fleet::Effects&) {
                          if (committed) return on_batch_committed(*batch);
                          for (const auto& [client, call] : batch->calls) responder_.not_leader(client);
                      });
}

void MemberService::on_batch_committed(const Batch& batch) {
    for (const auto& [client, call] : batch.calls) {
        if (const std::uint64_t later = later_incarnation(call); later > 0)
            responder_.superseded(client, later);
        else
            waiting_[client.slot] = {client, call.known_generation, time_.now() + call.wait};
    }
}

void MemberService::answer_waiting() {
    const Nanos now = time_.now();
    const std::uint64_t generation = state_.fleet().generation();
    std::string body;  // written once, as it is the same for all
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const WaitingCall& waiting = it->second;
        // A member may know a later generation from a leader that was ahead. It waits like a member that is
        // up to date.
        if (generation <= waiting.known_generation && now < waiting.until) {
            ++it;
            continue;
        }
        if (body.empty()) body = write_member_answer(answer_of(state_.fleet()));
        const Handle client = waiting.client;
        it = waiting_.erase(it);
        responder_.ok(client, body);
    }
}

}  // namespace tealcart::fleet_manager
