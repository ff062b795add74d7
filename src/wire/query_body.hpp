// The JSON body of a client's query. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "phases/section_summary.hpp"
#include "router/query_router.hpp"

namespace tealcart {

// One shard that a client's query names.
struct QueryShardRequest {
    std::uint32_t shard = 0;
    double weight = 0;  // of 1 over all shard requests
    Nanos hint = 0;     // the client's guess of its cost, 0 for none
};

// The body of a client's query.
struct QueryBody {
    std::vector<QueryShardRequest> shard_requests;
    std::string text;
    SearchCriteria find;  // without rows where it is not asked for, or not read
};

// Why a body was not accepted.
struct QueryBodyError {
    std::string_view member;   // the JSON member that is wrong; empty where it is the whole body
    std::string_view message;  // for the client
};

// Reads a query over so many shards. What the query is to find is read only with `with_find`, and of no
// matter else.
std::variant<QueryBody, QueryBodyError> read_query(std::string_view body, std::uint32_t shards,
                                                   bool with_find = false);

}  // namespace tealcart
