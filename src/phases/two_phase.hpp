// One query in two phases, as a state machine without I/O.
//
//     initial -> summarizing -> fetching -> rechecking -> completing -> ended
//
// Each state but the first and last is a leg: a question put to the decision module, with shard requests and
// weights, which it answers as it does any query's (an answer, a rejection, an abort). Any state may be
// passed over. What the module decides (nodes, retries, giving up) is not decided here; what is:
// which sections are asked in which leg, how long the first may take, which weight counts, and whether an
// answer may be called whole.
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

// One section of a leg. The weights of a leg's shard requests sum to 1: pruned sections stand on neither
// side.
struct LegShardRequest {
    std::uint32_t section = 0;  // by its place in the query
    double weight = 0;
    int attempts_used = 0;  // attempts of the section's cap that are used up, or reserved
    bool answered = false;  // its rows are in already; it is there for its weight
};

struct Leg {
    enum Kind : std::uint8_t { summaries, rows, end } kind = end;
    Nanos until = 0;  // find: when it has to end
    std::vector<LegShardRequest> shard_requests;
};

enum class LegDecision : std::uint8_t { answer, reject, fail_query };

// What the answer states of its sections.
struct Coverage {
    std::uint32_t answered = 0, pruned = 0, missing = 0;
    double answered_weight = 0, pruned_weight = 0, missing_weight = 0;  // of the whole query
};

class TwoPhaseStateMachine {
  public:
    enum class State : std::uint8_t { initial, summarizing, fetching, rechecking, completing, ended };
    enum class RowCheck : std::uint8_t { consistent, contradictory };

    // What is looked up at the begin, for a section by its place.
    struct SectionLookup {
        std::function<std::optional<std::uint32_t>(std::uint32_t)> excluded_by;  // by whose remembered word
        std::function<bool(std::uint32_t)> may_give_summary;
    };

    // `max_attempts`: attempts of a section over all legs; one is reserved for the second phase.
    TwoPhaseStateMachine(const TwoPhaseConfig& config, int rows, int max_attempts,
                         const std::vector<double>& weights);

    Leg begin(Nanos now, Nanos useful_by, const SectionLookup& lookup);

    // First phase: a section's summary, and attempts for it that were sent, in any leg.
    void on_summary(std::uint32_t index, std::uint32_t node, const SectionSummary& summary);
    void count_attempt(std::uint32_t section) { ++sections_[section].attempts_used; }

    // The leg in hand has ended as the module decided. Gives the next leg; with Leg::end, `decision` and
    // `whole` hold. `audited` says, by chance, whether a section that could be pruned is asked all the same.
    Leg end_leg(LegDecision decision, Nanos now, const std::function<bool()>& audited);

    // Second phase: rows of a section, by their ranks, highest first; or a value whose rows are not
    // stated. Rows of a version older than the section's word is of are not to be taken.
    bool is_stale(std::uint32_t section, std::uint64_t version) const;
    RowCheck on_rows(std::uint32_t index, std::uint64_t version, const std::vector<double>& ranks);
    void on_rows_without_ranks(std::uint32_t section);

    const TwoPhaseConfig& config() const { return config_; }  // those it began with
    State state() const { return state_; }
    LegDecision decision() const { return decision_; }
    bool is_complete() const;
    Coverage coverage() const;
    std::vector<std::uint32_t> missing() const;
    // Nodes whose word was found wrong since last asked.
    std::vector<std::uint32_t> take_contradicted_nodes() { return std::exchange(contradicted_nodes_, {}); }
    std::uint32_t pruned_by_summary() const { return pruned_by_summary_; }
    bool rechecked() const { return rechecked_; }

  private:
    enum class Knowledge : std::uint8_t { none, cached_filter, no_matches, bounded };
    enum class Result : std::uint8_t { open, pruned, answered, missing };
    struct Section {
        double weight = 0;
        Knowledge knowledge = Knowledge::none;
        Result result = Result::open;
        int attempts_used = 0;
        std::uint32_t node = 0;  // whose word it is
        std::uint64_t version = 0;
        double max_rank = 0;
        std::vector<double> top_ranks, ranks;
    };

    static bool has_summary(const Section& section) {
        return section.knowledge == Knowledge::no_matches || section.knowledge == Knowledge::bounded;
    }
    Leg fetch(State state);
    Leg finish(LegDecision decision);
    void prune(const std::function<bool()>& audited);
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
