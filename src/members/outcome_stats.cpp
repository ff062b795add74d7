#include "members/outcome_stats.hpp"

namespace tealcart {
namespace {

constexpr Nanos second = 1'000'000'000;
constexpr int silent_calls = 5;           // so many in a row ...
constexpr Nanos silent_for = 2 * second;  // ... over at least this time ...
constexpr Nanos stale = 30 * second;      // ... and none longer ago

}  // namespace

void OutcomeStats::record_query(Nanos now, bool failed) {
    const std::int64_t at = now / second;
    Second& s = seconds_[static_cast<std::size_t>(at) % seconds_.size()];
    if (s.at != at) s = {at, {}};
    ++s.counts.queries;
    s.counts.failed += failed;
}

void OutcomeStats::record_attempt(Nanos now, std::uint32_t node, Outcome outcome) {
    if (outcome == Outcome::not_sent || outcome == Outcome::cancelled) return;
    const bool bad =
        outcome == Outcome::timeout || outcome == Outcome::connect_failed || outcome == Outcome::reset;
    if (!bad) return void(nodes_.erase(node));
    Node& n = nodes_[node];
    if (n.bad == 0 || now - n.last > stale) n = {0, now, now};
    ++n.bad;
    n.last = now;
}

OutcomeStats::Counts OutcomeStats::counts(Nanos now) const {
    Counts sum;
    for (const Second& s : seconds_) {
        if (s.at < 0 || now / second - s.at >= static_cast<std::int64_t>(seconds_.size())) continue;
        sum.queries += s.counts.queries;
        sum.failed += s.counts.failed;
    }
    return sum;
}

std::set<std::uint32_t> OutcomeStats::silent(Nanos now) const {
    std::set<std::uint32_t> found;
    for (const auto& [node, n] : nodes_)
        if (n.bad >= silent_calls && n.last - n.since >= silent_for && now - n.last <= stale)
            found.insert(node);
    return found;
}

}  // namespace tealcart
