// Decides when a query is answered and when it is given up, from the shard requests that are answered and
// those that may still be.
#pragma once

#include "router/query_class.hpp"
#include "router/query_table.hpp"

namespace tealcart::router {

// The weight of a query's shard requests in the current step, summed by their state.
struct AnswerProgress {
    double answered = 0;
    double pending = 0;     // selected, and neither answered nor abandoned
    double unselected = 0;  // not selected, and not abandoned
    bool all_answered = true;
};

// What the router does with a query in this round.
enum class AnswerDecision : std::uint8_t {
    wait,
    answer_complete,
    answer_partial,
    give_up  // the needed weight is out of reach, or an answer has no value any more
};

// Answers a query as soon as it is complete, and partially at its latency objective or once no shard request
// is pending. The partial answer is given earlier by `second_step_time` if a second step follows; 0 if none.
AnswerDecision decide_answer(const Query& query, const QueryClass& query_class,
                             const AnswerProgress& progress, Nanos second_step_time, Nanos now);

}  // namespace tealcart::router
