// When a query is answered, and when it is given up, by what has come in and what may still come.
#pragma once

#include "router/query_class.hpp"
#include "router/query_table.hpp"

namespace tealcart::router {

// Weight of a query's shard requests in the current step, by what has become of them.
struct AnswerProgress {
    double answered = 0;
    double pending = 0;     // selected, and neither answered nor lost
    double unselected = 0;  // not selected, and not lost
    bool all_answered = true;
};

// What is to become of a query in this round.
enum class AnswerDecision : std::uint8_t {
    wait,
    answer_complete,
    answer_partial,
    give_up  // what is needed can't come any more, or is worth nothing by now
};

// A query is answered as soon as it is complete; in part at its latency objective, or as soon as nothing more
// is coming. `second_step_time`: how much sooner, where a second step follows.
AnswerDecision decide_answer(const Query& query, const QueryClass& query_class,
                             const AnswerProgress& progress, Nanos second_step_time, Nanos now);

}  // namespace tealcart::router
