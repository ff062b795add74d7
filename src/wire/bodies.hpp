// The bodies of queries and answers, and discovery's lists. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/host_port.hpp"
#include "phases/word.hpp"
#include "router/query_router.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart {

struct QueryShardRequest {
    std::uint32_t shard = 0;
    double weight = 0;  // of 1 over all shard requests
    Nanos hint = 0;
};

struct QueryBody {
    std::vector<QueryShardRequest> shard_requests;
    std::string text;
};

// Empty `wrong` if the body is one of a query over so many shards; else what is wrong with it. What the query
// is to find is read into `find` where that is given, and else of no matter.
QueryBody read_query(std::string_view body, std::uint32_t shards, std::string& wrong, Find* find = nullptr);

// What an answer in two phases states of its sections beside the values.
struct SectionsStated {
    struct Of {
        std::uint32_t sections = 0;
        double weight = 0;
    };
    Of answered, pruned, missing;
    std::vector<std::uint32_t> missing_shards;
};

// Writes an answer piece by piece.
class AnswerBody {
  public:
    explicit AnswerBody(bool whole);
    void add(std::uint32_t shard, std::string_view value);
    std::string finish();
    std::string finish(const SectionsStated& stated);

  private:
    std::string out_;
    bool first_ = true;
};

// JSON carries no other text, so a value that is none can't be handed on.
bool is_utf8(std::string_view text);

std::string write_error(std::string_view words);

// A list as discovery sends it; none if it can't be read as one. `places` bounds the cells.
std::optional<EndpointList> read_endpoint_list(std::string_view body, std::uint32_t places);

}  // namespace tealcart
