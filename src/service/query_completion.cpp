#include "service/query_completion.hpp"

#include "log/log.hpp"
#include "wire/response_body.hpp"

namespace tealcart {

void QueryCompletion::respond(std::uint32_t id, Response response) {
    const Query* query = queries_.find_active(id);
    if (query == nullptr) return;
    if (outcomes_ != nullptr) outcomes_->on_query_end(response.status);
    writer_->answer(query->client, std::move(response));
    end(queries_.handle_of(id));
}

void QueryCompletion::respond_with_results(std::uint32_t id, std::string body) {
    if (body.size() > max_body_bytes) {
        log_query(
            LogLevel::warn, queries_.find_active(id)->text->id,
            "the response has %zu bytes, over the limit of %zu bytes; the query is answered with status 500",
            body.size(), max_body_bytes);
        return respond(id, {500, write_error("the answer is too long"), 0});
    }
    respond(id, {200, std::move(body), 0});
}

void QueryCompletion::end(Handle handle) {
    queries_.mark_ended(handle);
    Query& query = *queries_.find(handle);
    ++query.in_flight;  // keeps the query while its attempts end
    attempts_.withdraw_unsent(query, 0);
    --query.in_flight;
    queries_.release_if_ended(handle);
}

}  // namespace tealcart
