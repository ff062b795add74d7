// The queries in progress and their shard requests, with an index for each of their ids.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "phases/section_filter_cache.hpp"
#include "phases/two_phase.hpp"
#include "router/query_router.hpp"
#include "tables/slot_map.hpp"
#include "wire/attempt_message.hpp"
#include "wire/query_body.hpp"

namespace tealcart {

// A request to one shard; in a two-phase query, of one leg.
struct ShardRequest {
    std::uint32_t id = 0, shard = 0;  // the id is the one at the router
    double weight = 0;
    Nanos cost_hint = 0;
    bool answered = false;
    // Only for two-phase queries: its leg, its section, and the section's state when the leg began.
    std::uint8_t leg = 0;
    bool first_phase = false, answered_before = false;
    std::uint32_t section = 0;
    int attempts_used = 0;
    Nanos first_sent_at = 0;
    std::string value;
    std::vector<Handle> attempts;     // by attempt number
    std::vector<Handle> connections;  // that attempts were sent on
};

// The state of a two-phase query besides its shard requests.
struct TwoPhaseQuery {
    TwoPhaseQuery(SearchCriteria search_criteria, const TwoPhaseConfig& config, int max_attempts,
                  const std::vector<double>& weights)
        : criteria(std::move(search_criteria)), keys(criteria),
          machine(config, criteria.rows, max_attempts, weights) {}

    const SearchCriteria criteria;
    const SearchKeys keys;
    TwoPhaseStateMachine machine;
    std::vector<QueryShardRequest> sections;
    std::uint8_t leg = 0;        // counted from 1
    std::size_t leg_begins = 0;  // index of its first shard request in the query
    Nanos began = 0;             // when the router learned of the first leg
    Nanos first_phase_until = 0;
    std::vector<std::uint32_t> earlier_ids;  // ids at the router of legs that have ended
    Nanos retry_after = 0;
};

// A client's query, until it has its response and its last attempt has ended.
struct Query {
    std::uint32_t id = 0;  // the id at the router; in a two-phase query, that of the current leg
    std::uint16_t query_class = 0;
    bool is_retry = false;
    bool announced = false;  // the router has learned of the query
    bool ended = false;      // the client has its response or has disconnected
    Handle client;
    Nanos deadline_at = 0;
    std::shared_ptr<QueryText> text;
    std::vector<ShardRequest> shard_requests;
    std::size_t value_bytes = 0;  // total size of all values
    MemoryCharge charge;          // for the shard requests and their values
    int in_flight = 0;            // number of attempts without an outcome
    std::unique_ptr<TwoPhaseQuery> two_phase;
};

// Owns the queries. `release_if_ended` releases a query once it has ended and none of its attempts is in
// flight. Lookups with the handle of a released query find nothing.
//
// The bytes of texts, shard requests and values are bounded, also those of queries that have ended: their
// attempts in flight and the frames that are being written keep them. Of the bound, new queries with a large
// text may use half, and other new queries three quarters, so that neither the values of queries in progress
// nor ordinary queries are kept out by a few large ones.
class QueryTable {
  public:
    // `max_bytes` bounds what all queries hold.
    explicit QueryTable(std::size_t max_bytes = SIZE_MAX) : memory_(max_bytes) {}

    // Returns whether there is memory for a further query with a text of this size.
    bool has_memory_for(std::size_t text_bytes, std::size_t shard_requests) const;
    // Adds the value of a shard request to what its query holds. Returns false if there is no memory for it.
    bool charge_value(Query& query, std::size_t bytes);
    MemoryBudget& memory() { return memory_; }

    // Locates a shard request.
    struct ShardRequestPosition {
        Handle query;
        std::uint32_t index = 0;  // among the query's shard requests
    };

    // Adds a query of this client under a new id. The request id in its text must not be in use.
    Handle add(Handle client, std::shared_ptr<QueryText> text);
    // Makes the query available under its id, before the router learns of it.
    void register_id(Handle handle) { by_id_[queries_.find(handle)->id] = handle; }
    // Assigns a two-phase query a new id for its next leg.
    void assign_new_id(Handle handle);
    void add_shard_request(Handle handle, const QueryShardRequest& requested);

    Query* find(Handle handle) { return queries_.find(handle); }
    // Look up a query by its id at the router. They return null or no handle if the id is unknown;
    // find_active also returns null if the query has ended.
    Query* find_active(std::uint32_t id);
    Handle handle_of(std::uint32_t id) const;
    const ShardRequestPosition* find_shard_request(std::uint32_t id) const;
    // Look up a query by its request id or by its client. They return no handle if there is none.
    Handle find_by_request_id(std::string_view request_id) const;
    Handle find_by_client(Handle client) const;

    // Marks the query as ended, so that it gets no further response. Its attempts in flight still end
    // normally.
    void mark_ended(Handle handle);
    void release_if_ended(Handle handle);

    // Returns the total number of queries and shard requests that have not ended.
    std::size_t active() const { return active_; }

  private:
    struct TextHash : std::hash<std::string_view> {
        // NOLINTNEXTLINE(readability-identifier-naming): the standard library looks for this name
        using is_transparent = void;
    };

    // A shard request with its attempts and index entries, here and at the router.
    static constexpr std::size_t bytes_per_shard_request = 512;
    static constexpr std::size_t min_large_text_bytes = 1024;

    std::uint32_t new_id();

    MemoryBudget memory_;
    SlotMap<Query> queries_;
    std::unordered_map<std::uint32_t, Handle> by_id_;
    std::unordered_map<std::uint32_t, ShardRequestPosition> shard_request_by_id_;
    std::unordered_map<std::string, Handle, TextHash, std::equal_to<>> by_request_id_;
    std::unordered_map<std::uint32_t, Handle> by_client_;  // by the client's slot
    std::size_t active_ = 0;
    std::uint32_t last_id_ = 0;
};

}  // namespace tealcart
