// Ends queries: writes their response and takes back what is not sent yet.
#pragma once

#include <cstdint>
#include <string>

#include "members/member_host.hpp"
#include "service/attempt_dispatcher.hpp"
#include "service/query_table.hpp"
#include "wire/http_server.hpp"

namespace tealcart {

class QueryCompletion {
  public:
    QueryCompletion(QueryTable& queries, AttemptDispatcher& attempts)
        : queries_(queries), attempts_(attempts) {}
    void connect(ResponseWriter& writer) { writer_ = &writer; }
    void set_observer(OutcomeObserver* observer) { outcomes_ = observer; }

    // Ends a query, by the module's id, with this response; does nothing where it has ended.
    void respond(std::uint32_t id, Response response);
    // The same with status 200 and this body, or with 500 where the body is longer than the protocol allows.
    // The query must be active.
    void respond_with_results(std::uint32_t id, std::string body);

    // Ends a query without a response. From here on nothing of it is sent.
    void end(Handle handle);

  private:
    QueryTable& queries_;
    AttemptDispatcher& attempts_;
    ResponseWriter* writer_ = nullptr;
    OutcomeObserver* outcomes_ = nullptr;
};

}  // namespace tealcart
