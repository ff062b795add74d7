// The interface of the decision module: what it is told at start, what comes in, what goes out.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace tealcart {

using Nanos = std::int64_t;  // a time of the caller's clock, or a span of it

enum class Effect : std::uint8_t { repeatable, deduplicated, side_effecting };
enum class Discovery : std::uint8_t { push, ask };
enum class Availability : std::uint8_t { gone = 0, ready = 1, draining = 2 };
enum class ListKind : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };
enum class Outcome : std::uint8_t {
    error = 0,
    ok = 1,
    full = 2,
    timeout = 3,
    connect_failed = 4,
    reset = 5,
    cancelled = 6,
    moot = 7
};

// One vertical, as stated.
struct VerticalTerms {
    Effect effect = Effect::repeatable;
    Nanos slo = 0;            // an answer within this time earns its full utility
    Nanos deadline = 0;       // how long a client waits over all its tries
    Nanos repeat_window = 0;  // deduplicated: for how long repeats are dropped
    double late_utility = 0;  // share of the utility after the SLO time
    double floor = 1;         // least share of the parts' weight for an answer
    double need = 1;          // share that makes a whole answer
    int second_step = 0;      // parts of a second step; 0 for none
};

// What a deployment states when a query router starts.
struct Terms {
    std::vector<VerticalTerms> verticals;
    std::vector<double> allowances;  // per tenant, queries a second over all query routers
    double over_share_utility = 1;   // what a query over its tenant's share keeps
    int routers = 1;
    Nanos step = 0;  // rounds come at most this often
    Discovery discovery = Discovery::push;
    int places = 1;  // shard s lies at places (s + j) mod this ...
    int width = 1;   // ... for j below this
    int shards = 1;
    int call_cap = 1;  // most leaf calls of a part
    int parts_a_call =
        1;                // what one round sends to one node travels as one call of so many parts at most ...
    Nanos call_cost = 0;  // ... which costs the node this beside the work of its parts
    bool may_cancel = false;
    bool second_copies = false;
    bool retry_after = false;
    bool marks_repeats = false;  // clients mark a try that is not their first
    Nanos max_retry_after = 0;
    Nanos drain_grace = 0;
    Nanos ask_within = 0;
    double cold_from = 1;  // a node starts at this share of its capacity or more ...
    Nanos cold = 0;        // ... and is warm after this
    double tip_multiple = 1;
    Nanos fall = 0;
    bool budgeted = false;
    double budget_free = 0;
    double resend_ratio = 0;
    Nanos budget_window = 0;
};

struct NodeEntry {
    std::uint32_t node = 0;
    std::uint32_t place = 0;
    Availability availability = Availability::gone;
    Nanos started_at = 0;     // 0: long ago
    std::uint32_t group = 0;  // nodes of one zone and machine kind share a group
};

struct QueryArrival {
    std::uint32_t id = 0;
    std::uint32_t ask = 0;  // ties its parts to it
    std::uint16_t vertical = 0;
    std::uint32_t tenant = 0;
    Nanos give_up_at = 0;
    bool again = false;  // marked by the client as a repeat
    // Of a query in legs (docs/design-two-phase.md), each of which arrives as a query of its own:
    Nanos began = 0;        // a later leg: when the first arrived, from which its times count; 0 for now
    Nanos answer_with = 0;  // a leg that is answered at this time with whatever is in; 0 for none
};

struct PartArrival {
    std::uint32_t id = 0;
    std::uint32_t ask = 0;
    std::uint32_t shard = 0;
    double weight = 0;
    Nanos hint = 0;   // a guess of its cost, 0 for none
    int spent = 0;    // leaf calls that earlier legs have used up of its cap
    bool in = false;  // an earlier leg has brought it
};

struct LeafEnd {
    std::uint32_t part = 0;
    std::uint32_t node = 0;
    std::uint8_t attempt = 0;
    Outcome outcome = Outcome::moot;
    Nanos took = 0;
};

// Called by `Arrivals::play`, one call a record, in the order in which they came in.
class ArrivalHandler {
  public:
    virtual ~ArrivalHandler() = default;
    virtual void on_nodes(ListKind kind, std::span<const NodeEntry> entries) = 0;
    virtual void on_query(const QueryArrival& arrival) = 0;
    virtual void on_part(const PartArrival& arrival) = 0;
    virtual void on_leaf_end(const LeafEnd& end) = 0;
    virtual void on_dropped(std::uint32_t query) = 0;
    virtual void on_timer(std::uint64_t cookie) = 0;
};

// All that came in since the last round.
class Arrivals {
  public:
    virtual ~Arrivals() = default;
    virtual void play(ArrivalHandler& handler) = 0;
};

// Where a round's decisions are written, in their order.
class DecisionWriter {
  public:
    virtual ~DecisionWriter() = default;
    virtual void deliver(std::uint32_t part, std::uint32_t node, Nanos patience) = 0;
    virtual void cancel(std::uint32_t part, std::uint8_t attempt) = 0;
    virtual void answer(std::uint32_t query, bool whole) = 0;
    virtual void reject(std::uint32_t query, Nanos not_before) = 0;
    virtual void abort(std::uint32_t query) = 0;
    virtual void wake(std::uint64_t cookie, Nanos wait) = 0;
    virtual void listen() = 0;
    virtual void log(const std::string& line) = 0;
};

// What the module makes of a ready data node, for those who share its judgement without its queries.
struct NodeJudgement {
    std::uint32_t node = 0;
    double share = 1;  // of a warm node's load that it may be given now, by all routers together
};

// How often a part of a vertical may be sent, and for how long after the first time; 0 for no bound of its
// own.
struct RepeatTerms {
    int most_calls = 1;
    Nanos within = 0;
};

class QueryRouter {
  public:
    QueryRouter(const Terms& terms, std::uint64_t seed);
    ~QueryRouter();
    QueryRouter(QueryRouter&&) noexcept;

    // One round: plays what came in and writes all that follows from it.
    void round(Nanos now, Arrivals& arrivals, DecisionWriter& writer);

    std::vector<NodeJudgement> judge(Nanos now);
    RepeatTerms repeats(std::uint16_t vertical) const;

  private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace tealcart
