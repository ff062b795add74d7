// Carries out the decisions of the QueryRouter in a round. Makes no decisions itself.
#pragma once

#include <cstdint>
#include <string>

#include "router/query_router.hpp"
#include "service/attempt_dispatcher.hpp"
#include "service/event_queue.hpp"
#include "service/query_completion.hpp"
#include "service/query_table.hpp"
#include "service/two_phase_coordinator.hpp"
#include "tables/event_clock.hpp"

namespace tealcart {

// Passes decisions on to the attempts, to the completion of queries and to two-phase queries.
class DecisionExecutor final : public DecisionSink, public TimerHandler {
  public:
    DecisionExecutor(EventClock& clock, QueryTable& queries, EventQueue& events, AttemptDispatcher& attempts,
                     QueryCompletion& completion, TwoPhaseCoordinator& two_phase)
        : clock_(clock), queries_(queries), events_(events), attempts_(attempts), completion_(completion),
          two_phase_(two_phase) {}

    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) override;
    void cancel(std::uint32_t shard_request, std::uint8_t attempt) override;
    void answer(std::uint32_t query, bool complete) override;
    void reject(std::uint32_t query, Nanos retry_after) override;
    void fail_query(std::uint32_t query) override;
    void set_timer(std::uint64_t cookie, Nanos wait) override;
    void watch_endpoints() override {}  // the service always watches discovery
    void log(const std::string& line) override;

    // A timer that the router has set is due.
    void on_timer_due(Handle, std::uint64_t cookie) override { events_.push(RouterTimerFired{cookie}); }

  private:
    EventClock& clock_;
    QueryTable& queries_;
    EventQueue& events_;
    AttemptDispatcher& attempts_;
    QueryCompletion& completion_;
    TwoPhaseCoordinator& two_phase_;
};

}  // namespace tealcart
