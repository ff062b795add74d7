// Serves the calls of members (query routers): long polls that renew leases and report the applied
// generation.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet_manager/proposer.hpp"
#include "fleet_manager/responder.hpp"
#include "tables/event_clock.hpp"
#include "wire/member_messages.hpp"

namespace tealcart::fleet_manager {

// Commits reports in batches and answers each call when there is a later generation.
class MemberService final : private TimerHandler {
  public:
    MemberService(EventClock& time, const ReplicatedState& state, Proposer& proposer, Responder& responder)
        : time_(time), state_(state), proposer_(proposer), responder_(responder) {}

    void on_call(Handle client, const std::string& body);
    void on_client_disconnected(Handle client) { waiting_.erase(client.slot); }
    // Answers calls for which there is a later generation, and calls whose wait has ended.
    void answer_waiting();

    std::size_t waiting() const { return waiting_.size(); }

  private:
    // A call whose report is committed, and which waits for a later generation.
    struct WaitingCall {
        Handle client;
        std::uint64_t known_generation = 0;
        Nanos until = 0;
    };
    // Calls whose reports are committed as one log entry.
    struct Batch {
        fleet::ReportBatch reports;
        std::vector<std::pair<Handle, MemberCall>> calls;
    };

    void on_timer_due(Handle, std::uint64_t) override;
    void leave(Handle client, const MemberCall& call);
    bool is_joined(const fleet::Join& join) const;
    // The known incarnation of the caller's name if it is later than the caller's own, otherwise 0.
    std::uint64_t later_incarnation(const MemberCall& call) const;
    void propose_batch();
    void on_batch_committed(const Batch& batch);

    EventClock& time_;
    const ReplicatedState& state_;
    Proposer& proposer_;
    Responder& responder_;
    std::map<std::uint32_t, WaitingCall> waiting_;  // by the client's slot
    Batch batch_;
    TimerQueue::TimerId batch_due_ = TimerQueue::none;
};

}  // namespace tealcart::fleet_manager
