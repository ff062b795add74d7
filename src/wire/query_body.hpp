// Parses the JSON body of a client's query. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "phases/section_summary.hpp"
#include "router/query_router.hpp"

namespace tealcart {

// A shard that a client's query names.
struct QueryShardRequest {
    std::uint32_t shard = 0;
    double weight = 0;  // share of the query's total weight, which is 1
    Nanos hint = 0;     // the client's estimate of the cost; 0 for none
};

// The body of a client's query.
struct QueryBody {
    std::vector<QueryShardRequest> shard_requests;
    std::string text;
    SearchCriteria criteria;  // has 0 rows if it is absent or was not read
};

// Describes why a body was rejected.
struct QueryBodyError {
    std::string_view member;   // the invalid JSON member; empty if the body as a whole is invalid
    std::string_view message;  // sent to the client
};

// Parses a query of a deployment with `shards` shards. The member 'find' is read only if `with_criteria` is
// set, and may otherwise have any content.
std::variant<QueryBody, QueryBodyError> read_query(std::string_view body, std::uint32_t shards,
                                                   bool with_criteria = false);

}  // namespace tealcart
