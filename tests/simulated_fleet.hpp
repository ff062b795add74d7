// A simulation of data nodes, clients and discovery around one QueryRouter, for the digest test.
//
// Everything is derived from one seed with integers only, so that two implementations of the module that make
// the same decisions see the same events and get equal digests.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart::test {

// A sequence of pseudo-random integers that is the same on every platform (splitmix64).
class RandomNumbers {
  public:
    explicit RandomNumbers(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next();
    // Returns a number from 0 to below `bound`.
    std::uint32_t below(std::uint32_t bound) { return static_cast<std::uint32_t>(next() % bound); }
    bool one_in(std::uint32_t n) { return below(n) == 0; }

  private:
    std::uint64_t state_;
};

// A hash (FNV-1a, 64 bits) of a sequence of integers.
class Digest {
  public:
    void add(std::uint64_t number);
    std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 14695981039346656037ULL;
};

// Returns the deployment for a seed. Seeds vary every setting of RouterConfig.
RouterConfig deployment_of(std::uint64_t seed);

// Runs one router in the fleet that belongs to a seed.
class SimulatedFleet final : public RoundEvents, public DecisionSink {
  public:
    explicit SimulatedFleet(std::uint64_t seed);

    // Runs `rounds` rounds and returns the digest of all decisions.
    std::uint64_t run(int rounds);

    // The number of events and decisions of each kind, to check that the runs contain all of them.
    struct Counts {
        std::array<int, 8> outcomes{};  // by Outcome
        std::array<int, 4> lists{};     // by ListKind
        int queries = 0, attempts = 0, cancels = 0, complete_answers = 0, partial_answers = 0, rejections = 0;
        int failures = 0, watches = 0, drops = 0, timers = 0, retries = 0, later_phases = 0, second_steps = 0;
        int hedges = 0, warming_attempts = 0, logs = 0;

        Counts& operator+=(const Counts& other);
    };
    const Counts& counts() const { return counts_; }

  private:
    enum class Fault : std::uint8_t { none, slow, hung, errors, resets, overloaded, unreachable };
    struct Node {
        Endpoint endpoint;
        Fault fault = Fault::none;
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
    void digest_interface_results();

    RandomNumbers random_;
    RouterConfig config_;
    QueryRouter router_;
    Digest digest_;
    Counts counts_;
    Nanos now_ = 1'000'000'000'000;
    int round_ = 0;
    std::uint32_t next_id_ = 1, next_node_ = 500;
    std::uint32_t rounds_per_query_ = 6;  // average number of rounds per arriving query
    bool fleet_is_overloaded_ = false;
    std::map<std::uint32_t, Node> nodes_;
    std::vector<Endpoint> changed_;                             // since the last list
    Nanos full_list_at_ = 0;                                    // when a full list is due; 0 for none
    std::multimap<Nanos, std::uint64_t> due_;                   // keys of attempts_, by time of the result
    std::map<std::uint64_t, InFlight> attempts_;                // by shard request and attempt
    std::map<std::uint32_t, std::uint8_t> attempts_of_;         // number of attempts, by shard request
    std::multimap<Nanos, std::uint64_t> timers_;                // cookies
    std::map<std::uint32_t, Query> queries_;                    // queries that have not ended
    std::multimap<Nanos, std::uint32_t> second_steps_;          // queries whose second step is due
    std::vector<std::pair<Nanos, std::uint32_t>> retries_due_;  // time and timeout in milliseconds
};

}  // namespace tealcart::test
