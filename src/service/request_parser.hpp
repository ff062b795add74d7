// Turns a client's HTTP request into a query, or into the response that refuses it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "router/query_router.hpp"
#include "wire/http_server.hpp"
#include "wire/query_body.hpp"

namespace tealcart {

// A well-formed request for a query. The request's id, key and body have been moved or copied out of it.
struct QueryRequest {
    std::uint16_t query_class = 0;
    Nanos time_to_live = 0;  // as the client states it, from when its request began to come in
    QueryBody body;          // its find is without rows where the query's class is not in two phases
};

// Knows the query classes of the deployment and which of them need an idempotency key.
class RequestParser {
  public:
    RequestParser(const RouterConfig& config, std::vector<std::string> query_classes);

    // `two_phase(query_class)` says whether a query's conditions are to be read. Errors are complete
    // responses: 404, 405 or 400, with a JSON body that names what is wrong.
    template <typename TwoPhase>
    std::variant<QueryRequest, Response> parse(const Request& request, TwoPhase two_phase) const {
        const auto query_class = find_query_class(request.path);
        if (query_class == query_classes_.size()) return error(404, "no such vertical");
        return parse_query(request, static_cast<std::uint16_t>(query_class), two_phase(query_class));
    }

    bool needs_key(std::uint16_t query_class) const { return needs_key_[query_class]; }

    static Response error(int status, std::string_view message);
    static Response method_not_allowed(std::string_view message, std::string_view allowed);

  private:
    std::size_t find_query_class(std::string_view path) const;
    std::variant<QueryRequest, Response> parse_query(const Request& request, std::uint16_t query_class,
                                                     bool two_phase) const;

    const std::vector<std::string> query_classes_;
    const std::uint32_t shards_;
    std::vector<bool> needs_key_;  // by query class
};

}  // namespace tealcart
