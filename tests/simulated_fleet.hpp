// A simulated fleet of data nodes, clients and discovery around one QueryRouter, for the digest test.
//
// Everything is drawn from one seed with whole numbers only, so that two implementations of the module that
// decide alike see the same days, and the digest of their decisions is equal.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart::test {

// A stream of whole numbers that is the same on every platform (splitmix64).
class RandomNumbers {
  public:
    explicit RandomNumbers(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next();
    // From 0 up to, not including, `bound`.
    std::uint32_t below(std::uint32_t bound) { return static_cast<std::uint32_t>(next() % bound); }
    bool one_in(std::uint32_t n) { return below(n) == 0; }

  private:
    std::uint64_t state_;
};

// A hash (FNV-1a, 64 bits) of a sequence of whole numbers.
class Digest {
  public:
    void add(std::uint64_t number);
    std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 14695981039346656037ULL;
};

// The deployment that a seed stands for: every setting of RouterConfig is varied.
RouterConfig deployment_of(std::uint64_t seed);

// One router's days in the fleet of one seed.
class SimulatedFleet final : public RoundEvents, public DecisionSink {
  public:
    explicit SimulatedFleet(std::uint64_t seed);

    // Plays `rounds` rounds and returns the digest of all decisions.
    std::uint64_t run(int rounds);

    // How often each thing has happened, to see that the days hold some of everything.
    struct Counts {
        std::array<int, 8> outcomes{};  // by Outcome
        std::array<int, 4> lists{};     // by ListKind
        int queries = 0, attempts = 0, cancels = 0, complete_answers = 0, partial_answers = 0, rejections = 0;
        int failures = 0, watches = 0, drops = 0, timers = 0, retries = 0, later_phases = 0, second_steps = 0;
        int hedges = 0, cold_attempts = 0, logs = 0;

        Counts& operator+=(const Counts& other);
    };
    const Counts& counts() const { return counts_; }

  private:
    enum class Trouble : std::uint8_t { none, slow, hung, errors, resets, full, unreachable };
    struct Node {
        Endpoint endpoint;
        Trouble trouble = Trouble::none;
        int base_ms = 0;
        int in_flight = 0;
    };
    struct InFlight {
        std::uint32_t node = 0;
        Nanos sent_at = 0;
        AttemptResult result;
        bool cancelled = false;
    };
    struct Query {
        std::uint32_t id = 0, correlation_id = 0;
        std::uint16_t query_class = 0;
        int step = 1;
        std::vector<std::uint32_t> shard_requests;
    };

    void deliver(RoundEventHandler& handler) override;
    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) override;
    void cancel(std::uint32_t shard_request, std::uint8_t attempt) override;
    void answer(std::uint32_t query, bool complete) override;
    void reject(std::uint32_t query, Nanos retry_after) override;
    void fail_query(std::uint32_t query) override;
    void set_timer(std::uint64_t cookie, Nanos wait) override;
    void watch_endpoints() override;
    void log(const std::string&) override { ++counts_.logs; }

    void change_nodes();
    void deliver_lists(RoundEventHandler& handler);
    void deliver_results(RoundEventHandler& handler);
    void deliver_timers(RoundEventHandler& handler);
    void deliver_queries(RoundEventHandler& handler);
    void deliver_drops(RoundEventHandler& handler);
    void arrive(RoundEventHandler& handler, Nanos timeout, bool is_retry);
    void add_shard_requests(RoundEventHandler& handler, Query& query, std::uint32_t count, bool later_phase);
    Outcome outcome_at(const Node& node);
    Nanos latency_at(const Node& node);
    void add_interface_figures();

    RandomNumbers random_;
    RouterConfig config_;
    QueryRouter router_;
    Digest digest_;
    Counts counts_;
    Nanos now_ = 1'000'000'000'000;
    int round_ = 0;
    std::uint32_t next_id_ = 1, next_node_ = 500;
    std::uint32_t load_ = 6;  // a query comes in one of so many rounds
    bool fleet_is_full_ = false;
    std::map<std::uint32_t, Node> nodes_;
    std::vector<Endpoint> changed_;                             // since the last list
    Nanos full_list_at_ = 0;                                    // 0 for none due
    std::multimap<Nanos, std::uint64_t> due_;                   // keys of attempts_ by time of their result
    std::map<std::uint64_t, InFlight> attempts_;                // by shard request and attempt
    std::map<std::uint32_t, std::uint8_t> attempts_of_;         // of a shard request
    std::multimap<Nanos, std::uint64_t> timers_;                // cookies
    std::map<std::uint32_t, Query> queries_;                    // not yet ended
    std::multimap<Nanos, std::uint32_t> second_steps_;          // queries whose second step is due
    std::vector<std::pair<Nanos, std::uint32_t>> retries_due_;  // time and timeout in milliseconds
};

}  // namespace tealcart::test
