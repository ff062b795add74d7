// Connects two-phase queries, whose state machine is in src/phases, with the QueryRouter. Each leg is passed
// to the router as a separate query, and the router's decision on it is passed back to the state machine.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "phases/section_filter_cache.hpp"
#include "phases/two_phase.hpp"
#include "phases/two_phase_capability.hpp"
#include "service/attempt_dispatcher.hpp"
#include "service/event_queue.hpp"
#include "service/query_completion.hpp"
#include "service/query_table.hpp"
#include "service/startup_config.hpp"
#include "tables/event_clock.hpp"
#include "tables/node_table.hpp"
#include "wire/phase_frames.hpp"

namespace tealcart {

// Statistics of two-phase queries since the start.
struct TwoPhaseCounters {
    std::uint64_t queries = 0, first_phases = 0, within_budget = 0;
    std::uint64_t sections = 0, pruned_from_memory = 0, pruned = 0;
    std::uint64_t rechecked = 0, wrong_summaries = 0, stale_rows = 0;
    Nanos worst_overrun = 0;
};

// Runs the legs of two-phase queries.
class TwoPhaseCoordinator {
  public:
    TwoPhaseCoordinator(EventClock& clock, QueryTable& queries, EventQueue& events,
                        AttemptDispatcher& attempts, QueryCompletion& completion,
                        const StartupConfig& startup);

    // Sets the configurations, one for each query class, for queries that begin from now on.
    void set_config(std::vector<TwoPhaseConfig> by_query_class);
    const TwoPhaseConfig& config(std::size_t query_class) const { return configs_[query_class]; }
    // Returns whether a query with these criteria is answered in two phases.
    bool applies(std::uint16_t query_class, const SearchCriteria& criteria) const {
        return criteria.rows > 0 && criteria.rows <= config(query_class).max_rows;
    }

    // Begins a query of the table. `began` is the arrival time of its request's first byte.
    void begin(Handle handle, QueryBody body, Nanos began);
    // Ends the current leg of a query with the router's decision.
    void end_leg(std::uint32_t id, LegDecision decision, Nanos retry_after);

    // Returns the frame type for an attempt of a two-phase query, or 0 if the node does not support the
    // frame.
    char frame_type(const ShardRequest& shard_request, std::uint32_t node) const;
    // Processes a two-phase answer. Returns false if it belongs to no attempt in flight on the connection.
    bool on_answer(Handle connection, const PhaseAnswer& answer);
    // A node refused two-phase frames. Returns whether it is now considered to lack the two-phase capability.
    bool on_refused(std::uint32_t node);
    void on_endpoints(const NodeTable::Changes& changes, ListKind kind);

    const TwoPhaseCounters& counters() const { return counters_; }
    const TwoPhaseCapability& capability() const { return capability_; }
    const SectionFilterCache& section_filter_cache() const { return section_filter_cache_; }

  private:
    void begin_leg(Handle handle, const Leg& leg);
    void add_section(Handle handle, const Leg& leg, const LegShardRequest& leg_request);
    void respond(const Query& query);
    bool audited(double share);
    // Process the answer to an attempt, which is a section's summary or its rows.
    void process_summary(const ShardRequest& shard_request, Handle attempt, Query& query,
                         const PhaseAnswer& answer);
    void process_rows(Handle query, std::size_t shard_request, Handle attempt, const PhaseAnswer& answer);
    void distrust_sections(const Query& query);

    EventClock& clock_;
    QueryTable& queries_;
    EventQueue& events_;
    AttemptDispatcher& attempts_;
    QueryCompletion& completion_;
    const int max_attempts_;
    std::vector<Nanos> latency_objective_;  // by query class
    std::vector<TwoPhaseConfig> configs_;   // by query class
    // Whether some query class uses two phases or may do so later, so that the nodes' capability must be
    // tracked.
    const bool may_be_used_;
    bool caches_filters_;  // whether some two-phase query class caches section filters
    TwoPhaseCapability capability_;
    SectionFilterCache section_filter_cache_;
    TwoPhaseCounters counters_;
    std::knuth_b random_;
};

}  // namespace tealcart
