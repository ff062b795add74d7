// The state machine of one two-phase query, without I/O.
//
//     initial -> summarizing -> fetching -> rechecking -> completing -> ended
//
// Each state but the first and the last is a leg: a set of weighted shard requests that is passed to the
// decision module as a query of its own and ends like any query, with an answer, a rejection or a failure.
// Any state may be skipped. The decision module chooses nodes, retries and when to give up. The state machine
// chooses the sections of each leg, the time limit of the first leg and the weights, and decides whether the
// response is complete.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "phases/budget.hpp"
#include "phases/section_summary.hpp"
#include "phases/threshold.hpp"
#include "phases/two_phase_config.hpp"

namespace tealcart {

// The request for one section in a leg. The weights of a leg's shard requests add up to 1; pruned sections
// have no request and no weight in it.
struct LegShardRequest {
    std::uint32_t section = 0;  // index in the query
    double weight = 0;
    int attempts_used = 0;  // attempts of the section's limit that are used up or reserved
    bool answered = false;  // its rows have arrived; only its weight counts
};

// A set of shard requests that the decision module handles as one query; `end` means that none is left.
struct Leg {
    enum Kind : std::uint8_t { summaries, rows, end } kind = end;
    Nanos until = 0;  // for summaries: the deadline of the leg
    std::vector<LegShardRequest> shard_requests;
};

// How the decision module ended a leg.
enum class LegDecision : std::uint8_t { answer, reject, fail_query };

// The sections of a query by their results, as the response reports them.
struct Coverage {
    std::uint32_t answered = 0, pruned = 0, missing = 0;
    double answered_weight = 0, pruned_weight = 0, missing_weight = 0;  // of the query's total weight
};

// Executes one query; sections are addressed by their index in the query.
class TwoPhaseStateMachine {
  public:
    enum class State : std::uint8_t { initial, summarizing, fetching, rechecking, completing, ended };
    enum class RowCheck : std::uint8_t { consistent, contradictory };

    // Lookups that `begin` makes for each section.
    struct SectionLookup {
        // Returns the node whose cached filter excludes the section, if there is one.
        std::function<std::optional<std::uint32_t>(std::uint32_t)> excluded_by;
        // Returns whether a node may give a summary of the section.
        std::function<bool(std::uint32_t)> may_give_summary;
    };

    // `max_attempts` limits the attempts of a section over all legs; one is reserved for the second phase.
    TwoPhaseStateMachine(const TwoPhaseConfig& config, int rows, int max_attempts,
                         const std::vector<double>& weights);

    // Returns the first leg.
    Leg begin(Nanos now, Nanos useful_by, const SectionLookup& lookup);

    // Takes a section's summary in the first phase. Attempts are counted in any leg.
    void on_summary(std::uint32_t index, std::uint32_t node, const SectionSummary& summary);
    void count_attempt(std::uint32_t section) { ++sections_[section].attempts_used; }

    // Ends the current leg as the decision module decided and returns the next one. After `Leg::end`,
    // `decision` and `is_complete` are final. `is_audited` draws whether a section that could be pruned is
    // queried anyway.
    Leg end_leg(LegDecision decision, Nanos now, const std::function<bool()>& is_audited);

    // Second phase: takes the ranks of a section's rows, highest first, or a value that states no ranks. Rows
    // of a version older than that of the section's summary are stale and must not be passed in.
    bool is_stale(std::uint32_t section, std::uint64_t version) const;
    RowCheck on_rows(std::uint32_t index, std::uint64_t version, const std::vector<double>& ranks);
    void on_rows_without_ranks(std::uint32_t section);

    const TwoPhaseConfig& config() const { return config_; }  // as of the start of the query
    State state() const { return state_; }
    LegDecision decision() const { return decision_; }
    bool is_complete() const;
    Coverage coverage() const;
    std::vector<std::uint32_t> missing() const;
    // Returns the nodes whose summaries were contradicted by rows since the last call.
    std::vector<std::uint32_t> take_contradicted_nodes() { return std::exchange(contradicted_nodes_, {}); }
    std::uint32_t pruned_by_summary() const { return pruned_by_summary_; }
    bool rechecked() const { return rechecked_; }

  private:
    // What is known of a section: nothing, that a cached filter excludes it, that its summary has no matches,
    // or that its summary bounds the ranks of its rows.
    enum class Knowledge : std::uint8_t { none, cached_filter, no_matches, bounded };
    enum class Result : std::uint8_t { open, pruned, answered, missing };
    // The state of one section in the query.
    struct Section {
        double weight = 0;
        Knowledge knowledge = Knowledge::none;
        Result result = Result::open;
        int attempts_used = 0;
        std::uint32_t node = 0;  // that gave the summary or the filter
        std::uint64_t version = 0;
        double max_rank = 0;
        std::vector<double> top_ranks, ranks;
    };

    static bool has_summary(const Section& section) {
        return section.knowledge == Knowledge::no_matches || section.knowledge == Knowledge::bounded;
    }
    Leg fetch(State state);
    Leg finish(LegDecision decision);
    void prune(const std::function<bool()>& is_audited);
    std::vector<std::uint32_t> doubtful_sections() const;
    void record_contradiction(std::uint32_t node);

    const TwoPhaseConfig config_;
    const int rows_, max_attempts_;
    std::vector<Section> sections_;
    std::vector<std::uint32_t> contradicted_nodes_, all_contradicted_nodes_;
    State state_ = State::initial;
    LegDecision decision_ = LegDecision::reject;
    Nanos useful_by_ = 0;
    std::uint32_t pruned_by_summary_ = 0;
    bool rechecked_ = false;
};

}  // namespace tealcart
