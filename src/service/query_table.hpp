// The queries that the router works on, with their shard requests, found by every id that names them.
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

// What is asked of one shard, in one leg where the query is in two phases.
struct ShardRequest {
    std::uint32_t id = 0, shard = 0;  // id: the decision module's
    double weight = 0;
    Nanos cost_hint = 0;
    bool answered = false;
    // Of a query in two phases: the leg it is of, its section, and how it stood when the leg began.
    std::uint8_t leg = 0;
    bool first_phase = false, answered_before = false;
    std::uint32_t section = 0;
    int attempts_used = 0;
    Nanos first_sent_at = 0;
    std::string value;
    std::vector<Handle> attempts;     // by attempt number
    std::vector<Handle> connections;  // they were sent on
};

// The state of a query in two phases beside its shard requests.
struct TwoPhaseQuery {
    TwoPhaseQuery(SearchCriteria conditions, const TwoPhaseConfig& config, int max_attempts,
                  const std::vector<double>& weights)
        : find(std::move(conditions)), keys(find), machine(config, find.rows, max_attempts, weights) {}

    const SearchCriteria find;
    const SearchKeys keys;
    TwoPhaseStateMachine machine;
    std::vector<QueryShardRequest> sections;
    std::uint8_t leg = 0;        // counted from 1
    std::size_t leg_begins = 0;  // place of its first shard request among the query's
    Nanos began = 0;             // when the module heard of the first leg
    Nanos first_phase_until = 0;
    std::vector<std::uint32_t> earlier_ids;  // the module's, of legs that have ended
    Nanos retry_after = 0;
};

// A client's query until its final answer and the end of its last attempt.
struct Query {
    std::uint32_t id = 0;  // the decision module's; of a query in two phases its current leg's
    std::uint16_t query_class = 0;
    bool is_retry = false;
    bool announced = false;  // the module has heard of it
    bool ended = false;      // the client has its response, or is disconnected
    Handle client;
    Nanos deadline_at = 0;
    std::shared_ptr<QueryText> text;
    std::vector<ShardRequest> shard_requests;
    std::size_t value_bytes = 0;  // of all values together
    int in_flight = 0;            // attempts that have no outcome yet
    std::unique_ptr<TwoPhaseQuery> two_phase;
};

// Owns the queries; each is released in `release_if_ended`, once it has ended and none of its attempts is in
// flight. Handles of released queries find nothing.
class QueryTable {
  public:
    struct ShardRequestPosition {
        Handle query;
        std::uint32_t index = 0;  // among the query's shard requests
    };

    // Adds a query of this client under a new id. Its text must hold a client's id that is not in use.
    Handle add(Handle client, std::shared_ptr<QueryText> text);
    // From here on the query's id finds it: the decision module is about to hear of it.
    void register_id(Handle handle) { by_id_[queries_.find(handle)->id] = handle; }
    // Gives a query in two phases a new id for its next leg.
    void renew_id(Handle handle);
    void add_shard_request(Handle handle, const QueryShardRequest& stated);

    Query* find(Handle handle) { return queries_.find(handle); }
    // By the module's id; null or no handle where it is not known, and null where it has ended.
    Query* find_active(std::uint32_t id);
    Handle handle_of(std::uint32_t id) const;
    const ShardRequestPosition* find_shard_request(std::uint32_t id) const;
    // By the client's request id, and by the client that waits for it; no handle where there is none.
    Handle find_by_request_id(std::string_view request_id) const;
    Handle find_by_client(Handle client) const;

    // The query gets no further response; what is in flight is still waited for.
    void mark_ended(Handle handle);
    void release_if_ended(Handle handle);

    // Queries and shard requests that have not ended.
    std::size_t active() const { return active_; }

  private:
    struct TextHash : std::hash<std::string_view> {
        // NOLINTNEXTLINE(readability-identifier-naming): the standard library looks for this name
        using is_transparent = void;
    };

    std::uint32_t new_id();

    SlotMap<Query> queries_;
    std::unordered_map<std::uint32_t, Handle> by_id_;
    std::unordered_map<std::uint32_t, ShardRequestPosition> shard_request_by_id_;
    std::unordered_map<std::string, Handle, TextHash, std::equal_to<>> by_request_id_;
    std::unordered_map<std::uint32_t, Handle> by_client_;  // by the client's slot
    std::size_t active_ = 0;
    std::uint32_t last_id_ = 0;
};

}  // namespace tealcart
