// Ends queries: writes their responses and withdraws their unsent attempts.
#pragma once

#include <cstdint>
#include <string>

#include "members/member_host.hpp"
#include "service/attempt_dispatcher.hpp"
#include "service/query_table.hpp"
#include "wire/http_server.hpp"

namespace tealcart {

// Ends each query once, with or without a response.
class QueryCompletion {
  public:
    QueryCompletion(QueryTable& queries, AttemptDispatcher& attempts)
        : queries_(queries), attempts_(attempts) {}
    void connect(ResponseWriter& writer) { writer_ = &writer; }
    void set_observer(OutcomeObserver* observer) { outcomes_ = observer; }

    // Ends the query with this id at the router with a response. Does nothing if the query has ended.
    void respond(std::uint32_t id, Response response);
    // Responds with status 200 and this body, or with status 500 if the body is longer than the protocol
    // allows. The query must be active.
    void respond_with_results(std::uint32_t id, std::string body);

    // Ends a query without a response. None of its attempts is sent after that.
    void end(Handle handle);

  private:
    QueryTable& queries_;
    AttemptDispatcher& attempts_;
    ResponseWriter* writer_ = nullptr;
    OutcomeObserver* outcomes_ = nullptr;
};

}  // namespace tealcart
