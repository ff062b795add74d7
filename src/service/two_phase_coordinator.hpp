// Queries in two phases, between their state machine (src/phases) and the decision module: each leg is handed
// to the module as a query of its own, and what the module decides of it is handed back.
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

// What came of queries in two phases since the start.
struct TwoPhaseCounters {
    std::uint64_t queries = 0, first_phases = 0, within_budget = 0;
    std::uint64_t sections = 0, pruned_from_memory = 0, pruned = 0;
    std::uint64_t rechecked = 0, wrong_summaries = 0, stale_rows = 0;
    Nanos worst_overrun = 0;
};

class TwoPhaseCoordinator {
  public:
    TwoPhaseCoordinator(EventClock& clock, QueryTable& queries, EventQueue& events,
                        AttemptDispatcher& attempts, QueryCompletion& completion,
                        const StartupConfig& startup);

    // From here on queries begin by these, one for each query class; those in progress keep theirs.
    void set_config(std::vector<TwoPhaseConfig> by_query_class);
    const TwoPhaseConfig& config(std::size_t query_class) const { return by_query_class_[query_class]; }
    // Whether a query that looks for this is to be answered in two phases.
    bool applies(std::uint16_t query_class, const SearchCriteria& find) const {
        return find.rows > 0 && find.rows <= config(query_class).max_rows;
    }

    // Begins a query that is in the table; `began` is when its request began to come in.
    void begin(Handle handle, QueryBody body, Nanos began);
    // The module has decided on the current leg of this query.
    void end_leg(std::uint32_t id, LegDecision verdict, Nanos retry_after);

    // The type of the frame that an attempt of a query in two phases goes into; 0 where the node would not
    // understand it.
    char frame_type(const ShardRequest& shard_request, std::uint32_t node) const;
    // An answer in two phases came. Returns false if no attempt that is in flight there awaits it.
    bool on_answer(Handle connection, const PhaseAnswer& answer);
    // Returns whether the node is now taken for one without the two-phase capability.
    bool on_refused(std::uint32_t node);
    void on_endpoints(const NodeTable::Changes& changes, ListKind kind);

    const TwoPhaseCounters& counters() const { return counters_; }
    const TwoPhaseCapability& capability() const { return capability_; }
    const SectionFilterCache& section_filter_cache() const { return section_filter_cache_; }

  private:
    void begin_leg(Handle handle, const Leg& leg);
    void add_section(Handle handle, const Leg& leg, const LegShardRequest& stated);
    void respond(const Query& query);
    bool audited(double share);
    // An answer to one attempt: a section's summary, or its rows.
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
    std::vector<TwoPhaseConfig> by_query_class_;
    // Some query class is in two phases, or may come to be: the nodes' capability is kept.
    const bool may_be_used_;
    bool remembers_sections_;  // some query class that is in two phases does
    TwoPhaseCapability capability_;
    SectionFilterCache section_filter_cache_;
    TwoPhaseCounters counters_;
    std::knuth_b random_;
};

}  // namespace tealcart
