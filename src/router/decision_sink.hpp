// Where a round of the decision module writes its decisions.
#pragma once

#include <cstdint>
#include <string>

#include "router/nanos.hpp"

namespace tealcart {

// One call a decision, in their order.
class DecisionSink {
  public:
    virtual ~DecisionSink() = default;
    // `timeout`: how long the attempt may take.
    virtual void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) = 0;
    virtual void cancel(std::uint32_t shard_request, std::uint8_t attempt) = 0;
    // Ends the query, or its first step where its class has a second.
    virtual void answer(std::uint32_t query, bool complete) = 0;
    // `retry_after`: for how long (nanoseconds) the client is asked to wait; 0 where nothing is said.
    virtual void reject(std::uint32_t query, Nanos retry_after) = 0;
    // Ends a query that may have had an effect, so that a rejection would be wrong.
    virtual void fail_query(std::uint32_t query) = 0;
    virtual void set_timer(std::uint64_t cookie, Nanos wait) = 0;
    virtual void watch_endpoints() = 0;
    virtual void log(const std::string& line) = 0;
};

}  // namespace tealcart
