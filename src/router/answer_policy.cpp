#include "router/answer_policy.hpp"

namespace tealcart::router {
namespace {

// A phase with a deadline collects as many answers as it can, since its end is not yet the client's answer.
// It ends when all are in, when none is pending, or at its deadline.
bool phase_is_over(const Query& query, const AnswerProgress& progress, Nanos now) {
    return query.phase_deadline_at > 0 &&
           (progress.all_answered || progress.pending <= 0 || now >= query.phase_deadline_at);
}

bool is_complete(const Query& query, const QueryClass& query_class, const AnswerProgress& progress) {
    if (query.step != 1) return progress.all_answered;
    return progress.answered >= query_class.config.complete_weight - weight_tolerance;
}

}  // namespace

AnswerDecision decide_answer(const Query& query, const QueryClass& query_class,
                             const AnswerProgress& progress, Nanos second_step_time, Nanos now) {
    using enum AnswerDecision;
    if (phase_is_over(query, progress, now)) return progress.all_answered ? answer_complete : answer_partial;
    if (is_complete(query, query_class, progress)) {
        const bool first_step_complete = query.step == 1 || query.first_step_complete;
        return first_step_complete ? answer_complete : answer_partial;
    }
    const double needed = query_class.needed_weight(query.step) - weight_tolerance;
    const bool nothing_to_wait_for = progress.pending <= 0 || now >= query.objective_at - second_step_time;
    if (query_class.allows_partial && progress.answered >= needed && nothing_to_wait_for)
        return answer_partial;
    const bool is_worthless = now >= query.objective_at && query_class.config.late_weight <= 0;
    const bool is_out_of_reach = progress.answered + progress.pending + progress.unselected < needed;
    if (now >= query.answer_deadline_at || is_worthless || is_out_of_reach) return give_up;
    return wait;
}

}  // namespace tealcart::router
