// Parses a client's HTTP request into a query, or into the error response to it.
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

// A valid request for a query. It refers to no data of the HTTP request.
struct QueryRequest {
    std::uint16_t query_class = 0;
    Nanos time_to_live = 0;  // stated by the client; counts from the arrival of the request's first byte
    QueryBody body;          // its criteria have 0 rows if the query's class does not use two phases
};

// Validates requests against the deployment's query classes.
class RequestParser {
  public:
    RequestParser(const RouterConfig& config, std::vector<std::string> query_classes);

    // `two_phase(query_class)` returns whether to read the search criteria of a query. An error is a complete
    // response with status 400, 404 or 405 and a JSON body that describes it.
    template <typename TwoPhase>
    std::variant<QueryRequest, Response> parse(const Request& request, TwoPhase two_phase) const {
        const auto query_class = find_query_class(request.path);
        if (query_class == query_classes_.size()) return error(404, "no such vertical");
        return parse_query(request, static_cast<std::uint16_t>(query_class), two_phase(query_class));
    }

    // Returns the time that the request states; 0 if it states none, or is not sent to a query class.
    Nanos time_to_live(const Request& request) const;
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
