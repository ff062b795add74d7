// Serves the calls of relays: long polls that report on all their followers and wait for the next version of
// the configuration.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet_manager/proposer.hpp"
#include "fleet_manager/responder.hpp"
#include "tables/event_clock.hpp"
#include "wire/change_messages.hpp"

namespace tealcart::fleet_manager {

// Commits reports in batches and answers each call when there is a later version.
class RelayService final : private TimerHandler {
  public:
    RelayService(EventClock& time, const ReplicatedState& state, Proposer& proposer, Responder& responder)
        : time_(time), state_(state), proposer_(proposer), responder_(responder) {}

    void on_call(Handle client, const std::string& body);
    void on_client_disconnected(Handle client) { waiting_.erase(client.slot); }
    // Answers calls for which there is a later version, and calls whose wait has ended.
    void answer_waiting();

    std::size_t waiting() const { return waiting_.size(); }

  private:
    // A call whose report was applied, and which waits for a later version.
    struct WaitingCall {
        Handle client;
        WatchPosition position;
        std::uint64_t report_number = 0;
        Nanos until = 0;
    };
    // Calls whose reports are committed as one log entry.
    struct Batch {
        changes::ReportBatch reports;
        std::vector<std::pair<Handle, RelayCall>> calls;
    };

    void on_timer_due(Handle, std::uint64_t) override;
    void propose_batch();
    void on_report_committed(Handle client, const RelayCall& call, const changes::Effects& effects);
    // Answers that the relay's next report must be a full one.
    void request_full_report(Handle client);
    void answer(const WaitingCall& waiting);

    EventClock& time_;
    const ReplicatedState& state_;
    Proposer& proposer_;
    Responder& responder_;
    std::map<std::uint32_t, WaitingCall> waiting_;  // by the client's slot
    Batch batch_;
    TimerQueue::TimerId batch_due_ = TimerQueue::none;
};

}  // namespace tealcart::fleet_manager
