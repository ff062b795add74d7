// Ends queries with an answer, a rejection or a failure, and cancels their attempts.
#pragma once

#include "router/decision_sink.hpp"
#include "router/late_retry_detector.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

// Writes the decisions that end a query or a step of it.
class QueryCompletion {
  public:
    // The referenced objects must outlive this one.
    QueryCompletion(const RouterConfig& config, QueryTable& queries, LateRetryDetector& late_retries)
        : may_cancel_(config.may_cancel), sends_retry_after_(config.sends_retry_after),
          max_retry_after_(config.max_retry_after), queries_(queries), late_retries_(late_retries) {}

    // The longest time that a client is told to wait before it retries.
    Nanos max_retry_after() const { return max_retry_after_; }

    // Answers the current step of the query, and ends the query unless a second step follows.
    void answer(Query& query, const QueryClass& query_class, bool complete, DecisionSink& sink);
    // Ends the query without an answer. A query that must not run twice is rejected only if no attempt of it
    // may have run, and fails otherwise. `retry_after` is how long the client should wait before it retries.
    void reject_or_fail(Query& query, const QueryClass& query_class, Nanos retry_after, DecisionSink& sink);
    // Ends the query without a reply to its client.
    void end(Query& query, DecisionSink& sink);
    // Cancels the attempts in flight of a shard request that needs no further answer, if cancelling is
    // allowed.
    void cancel_attempts(const ShardRequest& shard_request, DecisionSink& sink) const;

  private:
    void cancel_attempts(const Query& query, DecisionSink& sink) const;

    bool may_cancel_, sends_retry_after_;
    Nanos max_retry_after_;
    QueryTable& queries_;
    LateRetryDetector& late_retries_;
};

}  // namespace tealcart::router
