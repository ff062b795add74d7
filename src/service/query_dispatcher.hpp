// Connects the sockets with the QueryRouter. It receives requests, answers of data nodes and endpoint lists,
// delivers them to the router once per round, and has the router's decisions carried out.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "members/member_host.hpp"
#include "router/query_router.hpp"
#include "service/attempt_dispatcher.hpp"
#include "service/decision_executor.hpp"
#include "service/event_queue.hpp"
#include "service/query_completion.hpp"
#include "service/query_table.hpp"
#include "service/request_parser.hpp"
#include "service/startup_config.hpp"
#include "service/two_phase_coordinator.hpp"
#include "tables/event_clock.hpp"
#include "tables/node_table.hpp"
#include "wire/attempt_sender.hpp"
#include "wire/http_server.hpp"

namespace tealcart {

// Why queries got no response from the router's decisions; numbers since the start.
struct RefusalCounters {
    std::uint64_t id_in_use = 0;     // status 409
    std::uint64_t too_many = 0;      // status 503: limits.most_held
    std::uint64_t no_memory = 0;     // status 503: the memory of queries
    std::uint64_t crowded = 0;       // status 503: the connections of clients
    std::uint64_t cut_off = 0;       // status 503: cut off from the fleet
    std::uint64_t invalid = 0;       // status 4xx: not a query
    std::uint64_t clients_left = 0;  // the client disconnected before its response

    friend bool operator==(const RefusalCounters&, const RefusalCounters&) = default;
};

// Owns the queries, their attempts and the table of nodes. The connections belong to the AttemptSender and
// the ResponseWriter.
class QueryDispatcher final : public RequestHandler, public ConnectionObserver, public MemberHost {
  public:
    QueryDispatcher(EventClock& clock, const StartupConfig& startup);
    // Must be called once before anything else.
    void connect(ResponseWriter& writer, AttemptSender& sender);

    // RequestHandler
    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_disconnected(Handle client) override;
    Nanos time_to_live(const Request& request) const override { return parser_.time_to_live(request); }
    // ConnectionObserver
    bool on_node_answer(Handle connection, const NodeAnswer& answer) override;
    bool on_phase_answer(Handle connection, const PhaseAnswer& answer) override;
    bool on_two_phase_refused(std::uint32_t node) override;
    void on_attempt_lost(Handle attempt, Outcome outcome) override;
    // MemberHost
    void on_endpoint_list(const EndpointList& list) override;
    void observe_outcomes(OutcomeObserver* observer) override;
    void set_serving_state(ServingStateSource source, const MemberServingState& state) override;
    bool any_attempt_to(const std::function<bool(const std::string&)>& matches) const override;
    const std::string& node_name(std::uint32_t node) const override { return nodes_.name(node); }
    std::size_t unfinished_count() const override { return queries_.active(); }
    // Returns when the next round is due: TimerQueue::never before `begin` and while no event is pending.
    Nanos next_round() const override;

    // Applies an endpoint list that does not come from the watch on discovery.
    void apply_list(const EndpointList& list, ListKind kind);
    void run_round();
    // From now on the dispatcher is ready and runs rounds. Earlier events wait until then.
    void begin() { begun_ = true; }
    bool begun() const { return begun_; }
    // From now on the dispatcher reports that it is not ready, but continues to serve queries.
    void begin_stop() { stopping_ = true; }
    // Sets the two-phase configurations, one for each query class, for queries that begin from now on. Must
    // be called between two rounds.
    void set_two_phase_config(std::vector<TwoPhaseConfig> by_query_class);

    std::size_t attempts_in_flight() const { return attempts_.in_flight(); }
    const RefusalCounters& refusals() const { return refusals_; }
    // The memory of the queries' texts, shard requests and values.
    MemoryBudget& memory() { return queries_.memory(); }
    const NodeTable& nodes() const { return nodes_; }
    const TwoPhaseCounters& two_phase_counters() const { return two_phase_.counters(); }
    const TwoPhaseCapability& two_phase_capability() const { return two_phase_.capability(); }
    const SectionFilterCache& section_filter_cache() const { return two_phase_.section_filter_cache(); }

  private:
    // Why a valid query is not begun.
    struct Refusal {
        int status = 0;
        const char* reason = "";
    };

    Response health_response(const Request& request) const;
    std::optional<Refusal> refusal_of(const Request& request, const QueryBody& body);
    void begin_query(Handle client, Request& request, QueryRequest query_request, Nanos began);

    EventClock& clock_;
    const RequestParser parser_;
    const Nanos round_interval_;
    const std::size_t max_active_;  // limit for the sum of queries and shard requests
    ResponseWriter* writer_ = nullptr;
    AttemptSender* sender_ = nullptr;
    bool begun_ = false, stopping_ = false;
    std::array<MemberServingState, 2> serving_states_;  // by ServingStateSource
    MemberServingState serving_state_;                  // the strictest combination of them
    RefusalCounters refusals_;

    NodeTable nodes_;
    QueryTable queries_;
    EventQueue events_;
    AttemptDispatcher attempts_;
    QueryCompletion completion_;
    TwoPhaseCoordinator two_phase_;
    DecisionExecutor executor_;
    QueryRouter router_;
};

}  // namespace tealcart
