// One query in two phases, as a state machine without I/O.
//
//     begun -> finding -> fetching -> rechecking -> judging -> ended
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
#include "phases/threshold.hpp"
#include "phases/two_phase_config.hpp"
#include "phases/word.hpp"

namespace tealcart {

// One section of a leg. The weights of a leg's shard requests sum to 1: pruned sections stand on neither
// side.
struct LegShardRequest {
    std::uint32_t section = 0;  // by its place in the query
    double weight = 0;
    int spent = 0;    // attempts of the section's cap that are used up, or reserved
    bool in = false;  // its rows are in already; it is there for its weight
};

struct Leg {
    enum Kind : std::uint8_t { find, fetch, end } kind = end;
    Nanos until = 0;  // find: when it has to end
    std::vector<LegShardRequest> shard_requests;
};

enum class Verdict : std::uint8_t { answer, reject, fail_query };

// What the answer states of its sections.
struct Covered {
    std::uint32_t answered = 0, pruned = 0, missing = 0;
    double answered_weight = 0, pruned_weight = 0, missing_weight = 0;  // of the whole query
};

class TwoPhase {
  public:
    enum class State : std::uint8_t { begun, finding, fetching, rechecking, judging, ended };
    enum class Rows : std::uint8_t { good, wrong };

    // What is looked up at the begin, for a section by its place.
    struct Outlook {
        std::function<std::optional<std::uint32_t>(std::uint32_t)> ruled_out;  // by whose remembered word
        std::function<bool(std::uint32_t)> worth_asking;
    };

    // `max_attempts`: attempts of a section over all legs; one is reserved for the second phase.
    TwoPhase(const TwoPhaseConfig& config, int rows, int max_attempts, const std::vector<double>& weights);

    Leg begin(Nanos now, Nanos useful_by, const Outlook& outlook);

    // First phase: a section's summary, and attempts for it that were sent, in any leg.
    void hear(std::uint32_t section, std::uint32_t node, const SectionWord& word);
    void spend(std::uint32_t section) { ++sections_[section].spent; }

    // The leg in hand has ended as the module decided. Gives the next leg; with Leg::end, `verdict` and
    // `whole` hold. `audited` says, by chance, whether a section that could be pruned is asked all the same.
    Leg end_leg(Verdict verdict, Nanos now, const std::function<bool()>& audited);

    // Second phase: rows of a section, by their ranks, highest first; or a value whose rows are not told.
    // Rows of a version older than the section's word is of are not to be taken.
    bool is_stale(std::uint32_t section, std::uint64_t version) const;
    Rows take_rows(std::uint32_t section, std::uint64_t version, const std::vector<double>& ranks);
    void take_untold(std::uint32_t section);

    const TwoPhaseConfig& config() const { return config_; }  // those it began with
    State state() const { return state_; }
    Verdict verdict() const { return verdict_; }
    bool whole() const;
    Covered covered() const;
    std::vector<std::uint32_t> missing() const;
    // Nodes whose word was found wrong since last asked.
    std::vector<std::uint32_t> take_wrong() { return std::exchange(wrong_, {}); }
    std::uint32_t pruned_in_first() const { return pruned_in_first_; }
    bool rechecked() const { return rechecked_; }

  private:
    enum class Known : std::uint8_t { unheard, remembered, nothing, bounded };
    enum class Fate : std::uint8_t { open, pruned, answered, missing };
    struct Section {
        double weight = 0;
        Known known = Known::unheard;
        Fate fate = Fate::open;
        int spent = 0;
        std::uint32_t node = 0;  // whose word it is
        std::uint64_t version = 0;
        double upper = 0;
        std::vector<double> lower, ranks;
    };

    static bool spoken(const Section& s) { return s.known == Known::nothing || s.known == Known::bounded; }
    Leg fetch(State state);
    Leg finish(Verdict verdict);
    void prune(const std::function<bool()>& audited);
    std::vector<std::uint32_t> unconfirmed() const;
    void note_wrong(std::uint32_t node);

    const TwoPhaseConfig config_;
    const int rows_, call_cap_;
    std::vector<Section> sections_;
    std::vector<std::uint32_t> wrong_, ever_wrong_;
    State state_ = State::begun;
    Verdict verdict_ = Verdict::reject;
    Nanos useful_by_ = 0;
    std::uint32_t pruned_in_first_ = 0;
    bool rechecked_ = false;
};

}  // namespace tealcart
