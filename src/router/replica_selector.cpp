#include "router/replica_selector.hpp"

#include <algorithm>
#include <cmath>

namespace tealcart::router {
namespace {

constexpr double max_slowness = 1.2;  // multiple of the best replica's latency; slower ones are skipped

}  // namespace

// The replicas that a shard request may be sent to.
struct ReplicaSelector::Candidates {
    std::vector<NodeIndex> nodes;  // ordered by place and id
    bool any_healthy = false;      // at least one is neither ejected nor being probed
    double best = HUGE_VAL;        // least expected time until served among eligible nodes
};

ReplicaSelector::ReplicaSelector(const RouterConfig& config, const EndpointTable& endpoints,
                                 const LatencyEstimator& latency, const OutlierDetector& outliers,
                                 SlowStart& slow_start, std::knuth_b& random)
    : endpoints_(endpoints), latency_(latency), outliers_(outliers), slow_start_(slow_start),
      max_requests_per_call_(config.max_requests_per_call),
      call_overhead_(static_cast<double>(config.call_overhead)),
      turns_(static_cast<std::size_t>(config.shards)) {
    for (std::uint32_t& turn : turns_) turn = static_cast<std::uint32_t>(random());
}

void ReplicaSelector::begin_round() {
    for (const NodeIndex node : called_this_round_) sent_this_round_[node] = 0;
    called_this_round_.clear();
}

void ReplicaSelector::record_sent(NodeIndex node) {
    if (sent_this_round_[node]++ == 0) called_this_round_.push_back(node);
}

NodeIndex ReplicaSelector::select(const ShardRequest& shard_request, Nanos now) {
    Candidates candidates = find_candidates(shard_request, now);
    std::vector<NodeIndex>& nodes = candidates.nodes;
    // The number of replicas that slow start assumes the choice is among. A retry takes any replica that is
    // left.
    std::ptrdiff_t eligible = 0;
    if (!shard_request.attempts.empty()) {
        eligible = 1;
    } else if (nodes.size() > 1) {
        eligible = std::count_if(nodes.begin(), nodes.end(),
                                 [&](NodeIndex node) { return is_near(candidates, node, now); });
    }
    const auto refused = [&](NodeIndex node) { return !slow_start_.admits(node, eligible, now); };
    if (std::erase_if(nodes, refused) > 0) judge(candidates, now);

    std::uint32_t& turn = turns_[shard_request.shard];
    const std::size_t first = first_in_turn(candidates, turn, now);
    if (first == nodes.size()) return no_node;
    const NodeIndex chosen = nodes[(turn + first) % nodes.size()];
    turn += static_cast<std::uint32_t>(first) + 1;
    return chosen;
}

ReplicaSelector::Best ReplicaSelector::best_replica(std::uint32_t shard, Nanos now) const {
    Best best{no_node, HUGE_VAL};
    endpoints_.for_each_ready_replica(shard, [&](NodeIndex node) {
        const auto ejected_for = static_cast<double>(outliers_.remaining_ejection(node, now));
        const double answer_in = latency_.expected_latency(node, now) + ejected_for;
        if (answer_in < best.answer_in) best = {node, answer_in};
    });
    return best;
}

ReplicaSelector::Candidates ReplicaSelector::find_candidates(const ShardRequest& shard_request,
                                                             Nanos now) const {
    Candidates candidates;
    const std::vector<Attempt>& attempts = shard_request.attempts;
    endpoints_.for_each_ready_replica(shard_request.shard, [&](NodeIndex node) {
        const auto is_at_node = [node](const Attempt& attempt) { return attempt.node == node; };
        if (std::none_of(attempts.begin(), attempts.end(), is_at_node)) candidates.nodes.push_back(node);
    });
    judge(candidates, now);
    return candidates;
}

void ReplicaSelector::judge(Candidates& candidates, Nanos now) const {
    const std::vector<NodeIndex>& nodes = candidates.nodes;
    candidates.any_healthy = std::any_of(nodes.begin(), nodes.end(), [&](NodeIndex node) {
        return !outliers_.is_ejected_or_probing(node, now);
    });
    candidates.best = HUGE_VAL;
    for (const NodeIndex node : nodes) {
        if (!is_eligible(candidates, node, now)) continue;
        candidates.best = std::min(candidates.best, latency_.expected_until_served(node, now));
    }
}

bool ReplicaSelector::is_eligible(const Candidates& candidates, NodeIndex node, Nanos now) const {
    return !candidates.any_healthy || !outliers_.is_ejected_or_probing(node, now);
}

bool ReplicaSelector::is_near(const Candidates& candidates, NodeIndex node, Nanos now) const {
    return is_eligible(candidates, node, now) &&
           latency_.expected_until_served(node, now) <= max_slowness * candidates.best;
}

bool ReplicaSelector::joins_call(const Candidates& candidates, NodeIndex node, Nanos now) const {
    if (call_overhead_ <= 0) return false;
    const int sent = sent_this_round_[node];
    if (sent == 0 || sent >= max_requests_per_call_) return false;
    return latency_.expected_until_served(node, now) <= max_slowness * candidates.best + call_overhead_;
}

// Returns the offset of the chosen candidate from the round-robin position, or the number of candidates if
// none may be chosen.
std::size_t ReplicaSelector::first_in_turn(const Candidates& candidates, std::uint32_t turn,
                                           Nanos now) const {
    const std::vector<NodeIndex>& nodes = candidates.nodes;
    std::size_t first = nodes.size();
    for (std::size_t j = 0; j < nodes.size(); ++j) {
        const NodeIndex node = nodes[(turn + j) % nodes.size()];
        if (!is_eligible(candidates, node, now)) continue;
        if (joins_call(candidates, node, now)) return j;
        if (first == nodes.size() && is_near(candidates, node, now)) first = j;
        if (call_overhead_ <= 0 && first < nodes.size()) break;
    }
    return first;
}

}  // namespace tealcart::router
