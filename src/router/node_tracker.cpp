#include "router/node_tracker.hpp"

namespace tealcart::router {
namespace {

constexpr int rounds_between_silence_checks = 4;

}  // namespace

NodeTracker::NodeTracker(const RouterConfig& config, std::knuth_b& random)
    : endpoints_(config.places, config.replicas_per_shard), latency_(activity_),
      outliers_(endpoints_, activity_, latency_, rounds_between_silence_checks * config.round_interval),
      slow_start_(config, endpoints_, activity_, latency_, random),
      selector_(config, endpoints_, latency_, outliers_, slow_start_, random) {}

void NodeTracker::begin(Nanos now) {
    slow_start_.begin(now);
    pressure_.begin(now);
}

void NodeTracker::apply_list(ListKind kind, std::span<const Endpoint> entries, Nanos now) {
    if (kind != ListKind::delta) endpoints_.unlist_all();
    for (const Endpoint& entry : entries) update_endpoint(entry, now);
    endpoints_.forget_unlisted([&](NodeIndex node) {
        return activity_.in_flight(node) > 0 || pressure_.counts_node(node) ||
               slow_start_.warm_fraction(node, now) < 1;
    });
}

void NodeTracker::update_endpoint(const Endpoint& entry, Nanos now) {
    const auto [node, is_new] = endpoints_.register_node(entry.node);
    if (is_new) add_node(node);
    endpoints_.unlist(node);
    if (entry.lifecycle == Lifecycle::removed) return;
    latency_.set_group(node, entry.group);
    const bool is_new_process = endpoints_.list(node, entry);
    if (!is_new_process) return;
    latency_.restart_node(node, slow_start_.warm_fraction(node, now), now);
    outliers_.restart_node(node);
}

void NodeTracker::add_node(NodeIndex node) {
    activity_.add_node(node);
    latency_.add_node(node);
    outliers_.add_node(node);
    slow_start_.add_node(node);
    selector_.add_node(node);
    pressure_.add_node(node);
}

NodeIndex NodeTracker::send(ShardRequest& shard_request, Nanos now) {
    const NodeIndex node = selector_.select(shard_request, now);
    if (node == no_node) return no_node;
    const int in_flight_ahead = activity_.in_flight(node);
    // The silence of an idle node is measured from its first new attempt. A node with failures has to respond
    // first.
    if (in_flight_ahead == 0 && !outliers_.has_failures(node)) activity_.record_heard(node, now);
    shard_request.attempts.push_back({node, now, in_flight_ahead});
    ++shard_request.in_flight;
    activity_.record_sent(node);
    selector_.record_sent(node);
    slow_start_.record_attempt(node, now);
    return node;
}

Nanos NodeTracker::record_result(const ShardRequest& shard_request, const Attempt& attempt,
                                 const AttemptResult& result, Nanos now, DecisionSink& sink) {
    using enum Outcome;
    const Outcome outcome = result.outcome;
    const NodeIndex node = attempt.node;
    Nanos retry_after = 0;
    activity_.record_ended(node);
    if (outcome != not_sent && outcome != cancelled) {
        activity_.record_heard(node, now);
        const bool is_bad = outcome == overloaded || outcome == timeout;
        pressure_.record_outcome(node, is_bad && !shard_request.overdue);
    }
    if (outcome == ok) {
        latency_.record_success(node, result.latency, shard_request.cost, attempt.in_flight_ahead, now);
        outliers_.record_success(node, result.latency, sink);
    } else if (outcome == cancelled) {
        latency_.record_cancelled(node, result.latency, attempt.in_flight_ahead, now);
    } else if (outcome == overloaded) {
        retry_after = outliers_.record_overloaded(node, now);
    }
    const bool failed = has_failed(attempt, result, now);
    if (failed) outliers_.record_failure(node, now, sink);
    if (failed || outcome == ok) latency_.record_outcome(node, failed, now);
    return retry_after;
}

bool NodeTracker::has_failed(const Attempt& attempt, const AttemptResult& result, Nanos now) const {
    switch (result.outcome) {
        case Outcome::ok:
        case Outcome::overloaded:
        case Outcome::not_sent:
            return false;
        case Outcome::cancelled:
            break;
        default:
            return true;
    }
    // An attempt that was cancelled after a long wait without any response from its node counts as timed out.
    // Otherwise a hung node would appear healthy, since its attempts are always cancelled.
    return activity_.last_heard(attempt.node) <= attempt.sent_at &&
           static_cast<double>(result.latency) > suspicious_silence * latency_.fleet_latency(now);
}

void NodeTracker::record_overdue(const ShardRequest& shard_request) {
    for (const Attempt& attempt : shard_request.attempts)
        if (attempt.in_flight) pressure_.record_outcome(attempt.node, true);
}

}  // namespace tealcart::router
