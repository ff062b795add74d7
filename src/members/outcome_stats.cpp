#include "members/outcome_stats.hpp"

namespace tealcart {
namespace {

constexpr Nanos second = 1'000'000'000;
// A node counts as unresponsive after this many consecutive failures ...
constexpr int min_failures = 5;
// ... over at least this time, the last of them no older than `max_failure_age`.
constexpr Nanos min_failing_time = 2 * second;
constexpr Nanos max_failure_age = 30 * second;

bool is_no_response(Outcome outcome) {
    return outcome == Outcome::timeout || outcome == Outcome::connect_failed || outcome == Outcome::reset;
}

}  // namespace

void OutcomeStats::record_query(Nanos now, bool failed) {
    const std::int64_t number = now / second;
    SecondCounts& current = seconds_[static_cast<std::size_t>(number) % seconds_.size()];
    if (current.number != number) current = {number, {}};
    ++current.counts.queries;
    current.counts.failed += failed;
}

void OutcomeStats::record_attempt(Nanos now, std::uint32_t node, Outcome outcome) {
    if (outcome == Outcome::not_sent || outcome == Outcome::cancelled) return;
    if (!is_no_response(outcome)) return forget(node);
    Failures& failures = failures_[node];
    if (failures.count == 0 || now - failures.last > max_failure_age) failures = {0, now, now};
    ++failures.count;
    failures.last = now;
}

OutcomeStats::Counts OutcomeStats::counts(Nanos now) const {
    Counts sum;
    for (const SecondCounts& past : seconds_) {
        const std::int64_t age = now / second - past.number;
        if (past.number < 0 || age >= static_cast<std::int64_t>(seconds_.size())) continue;
        sum.queries += past.counts.queries;
        sum.failed += past.counts.failed;
    }
    return sum;
}

std::set<std::uint32_t> OutcomeStats::unresponsive(Nanos now) const {
    std::set<std::uint32_t> nodes;
    for (const auto& [node, failures] : failures_)
        if (failures.count >= min_failures && failures.last - failures.first >= min_failing_time &&
            now - failures.last <= max_failure_age)
            nodes.insert(node);
    return nodes;
}

}  // namespace tealcart
