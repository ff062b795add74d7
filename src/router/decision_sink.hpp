// The output interface of the decision module.
#pragma once

#include <cstdint>
#include <string>

#include "router/nanos.hpp"

namespace tealcart {

// Receives the decisions of a round, one call per decision, in the order in which they were made.
class DecisionSink {
  public:
    virtual ~DecisionSink() = default;
    // Sends an attempt that may take up to `timeout` (nanoseconds).
    virtual void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) = 0;
    virtual void cancel(std::uint32_t shard_request, std::uint8_t attempt) = 0;
    // Ends the query, or only its first step if its query class has a second one.
    virtual void answer(std::uint32_t query, bool complete) = 0;
    // `retry_after` is how long the client is asked to wait (nanoseconds), or 0 to leave that out.
    virtual void reject(std::uint32_t query, Nanos retry_after) = 0;
    // Ends a query without an answer. Used in place of a rejection if the query may have had an effect.
    virtual void fail_query(std::uint32_t query) = 0;
    virtual void set_timer(std::uint64_t cookie, Nanos wait) = 0;
    virtual void watch_endpoints() = 0;
    virtual void log(const std::string& line) = 0;
};

}  // namespace tealcart
