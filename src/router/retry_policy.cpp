#include "router/retry_policy.hpp"

#include <algorithm>

namespace tealcart::router {
namespace {

constexpr Nanos caution_after_reset = 5 * second;
constexpr int max_resets = 2;                // resets before an unanswered query is suspected
constexpr int max_resets_one_at_a_time = 1;  // the same for a query that is sent one shard request at a time

}  // namespace

bool RetryPolicy::may_retry(const QueryClassConfig& config, const ShardRequest& shard_request,
                            Nanos now) const {
    const int attempts = shard_request.attempts_used + static_cast<int>(shard_request.attempts.size());
    if (attempts >= max_attempts_) return false;
    if (config.effect == Effect::idempotent) return true;
    return std::all_of(shard_request.attempts.begin(), shard_request.attempts.end(),
                       [&](const Attempt& attempt) {
                           if (!attempt.may_have_run) return true;
                           if (config.effect == Effect::not_idempotent) return false;
                           return now <= attempt.sent_at + config.idempotency_window - margin_;
                       });
}

RetryLimits RetryPolicy::limits(const QueryClassConfig& config) const {
    switch (config.effect) {
        case Effect::idempotent:
            return {max_attempts_, 0};
        case Effect::idempotent_with_key:
            return {max_attempts_, config.idempotency_window - margin_};
        case Effect::not_idempotent:
            break;
    }
    return {};
}

bool RetryPolicy::sends_one_at_a_time(bool is_retry, Nanos now) const {
    return is_retry && last_reset_at_ > 0 && now - last_reset_at_ < caution_after_reset;
}

bool RetryPolicy::is_suspected_poison(const Query& query) const {
    const int allowed = query.one_at_a_time ? max_resets_one_at_a_time : max_resets;
    return !query.any_answered && query.resets >= allowed;
}

}  // namespace tealcart::router
