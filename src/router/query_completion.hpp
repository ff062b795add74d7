// How a query's answer, rejection or failure goes out, and what is cancelled with it.
#pragma once

#include "router/decision_sink.hpp"
#include "router/late_retry_detector.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

class QueryCompletion {
  public:
    // The references outlive the object.
    QueryCompletion(const RouterConfig& config, QueryTable& queries, LateRetryDetector& late_retries)
        : may_cancel_(config.may_cancel), sends_retry_after_(config.sends_retry_after),
          max_retry_after_(config.max_retry_after), queries_(queries), late_retries_(late_retries) {}

    // The longest that a client is told to wait before it comes again.
    Nanos max_retry_after() const { return max_retry_after_; }

    // Ends the query's step, and the query where no second step follows.
    void answer(Query& query, const QueryClass& query_class, bool complete, DecisionSink& sink);
    // Ends the query without an answer: by a rejection only if nothing may have run that must not run again.
    // `retry_after`: how long the client should wait before it comes again.
    void reject_or_fail(Query& query, const QueryClass& query_class, Nanos retry_after, DecisionSink& sink);
    // Ends the query without a word to its client.
    void end(Query& query, DecisionSink& sink);
    // Cancels what is in flight of a shard request that needs no answer any more, where that is allowed.
    void cancel_attempts(const ShardRequest& shard_request, DecisionSink& sink) const;

  private:
    void cancel_attempts(const Query& query, DecisionSink& sink) const;

    bool may_cancel_, sends_retry_after_;
    Nanos max_retry_after_;
    QueryTable& queries_;
    LateRetryDetector& late_retries_;
};

}  // namespace tealcart::router
