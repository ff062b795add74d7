#include "router/query_completion.hpp"

#include <algorithm>
#include <utility>

namespace tealcart::router {

void QueryCompletion::answer(Query& query, const QueryClass& query_class, bool complete, DecisionSink& sink) {
    sink.answer(query.id, complete);
    if (query.step == 2 || query_class.config.second_step_requests == 0) {
        end(query, sink);
        return;
    }
    cancel_attempts(query, sink);
    query.first_step_complete = complete;
    query.step = 2;
    query.first_step_requests = std::exchange(query.shard_requests, {});
}

void QueryCompletion::reject_or_fail(Query& query, const QueryClass& query_class, Nanos retry_after,
                                     DecisionSink& sink) {
    const bool must_not_repeat = query_class.config.effect != Effect::idempotent;
    if (must_not_repeat && queries_.any_may_have_run(query)) {
        sink.fail_query(query.id);
    } else {
        sink.reject(query.id, sends_retry_after_ ? std::min(retry_after, max_retry_after_) : 0);
    }
    late_retries_.record_rejected_or_failed(query.is_late_retry);
    end(query, sink);
}

void QueryCompletion::end(Query& query, DecisionSink& sink) {
    query.ended = true;
    cancel_attempts(query, sink);
}

void QueryCompletion::cancel_attempts(const Query& query, DecisionSink& sink) const {
    for (const ShardRequestIndex index : query.shard_requests)
        cancel_attempts(queries_.shard_request(index), sink);
}

void QueryCompletion::cancel_attempts(const ShardRequest& shard_request, DecisionSink& sink) const {
    if (!may_cancel_ || shard_request.in_flight == 0) return;
    for (std::size_t i = 0; i < shard_request.attempts.size(); ++i)
        if (shard_request.attempts[i].in_flight) sink.cancel(shard_request.id, static_cast<std::uint8_t>(i));
}

}  // namespace tealcart::router
