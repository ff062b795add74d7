#include "router/pressure_detector.hpp"

#include <algorithm>

namespace tealcart::router {
namespace {

constexpr double max_bad_share = 0.05;              // largest share of bad outcomes without pressure
constexpr Nanos evaluation_interval = second;       // least time between evaluations
constexpr std::size_t tolerated_nodes_divisor = 8;  // one in eight nodes may have many bad outcomes

}  // namespace

void PressureDetector::record_outcome(NodeIndex node, bool bad) {
    ++ended_;
    if (ended_at_node_[node]++ == 0) nodes_.push_back(node);
    if (bad) ++bad_at_node_[node];
}

std::optional<PressureDetector::Evaluation> PressureDetector::evaluate(Nanos now) {
    if (now - evaluated_at_ < evaluation_interval || ended_ * max_bad_share < 1) return std::nullopt;
    Evaluation found;
    found.ended = ended_;
    found.bad = count_bad();
    found.pressure = found.bad > 1 && found.bad > max_bad_share * found.ended;
    found.has_changed = found.pressure != has_pressure_;
    has_pressure_ = found.pressure;
    evaluated_at_ = now;
    ended_ = 0;
    for (const NodeIndex node : nodes_) ended_at_node_[node] = bad_at_node_[node] = 0;
    nodes_.clear();
    return found;
}

int PressureDetector::count_bad() {
    std::sort(nodes_.begin(), nodes_.end(),
              [this](NodeIndex a, NodeIndex b) { return bad_at_node_[a] < bad_at_node_[b]; });
    const std::size_t tolerated = (nodes_.size() + tolerated_nodes_divisor - 1) / tolerated_nodes_divisor;
    int bad = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const int at_node = bad_at_node_[nodes_[i]];
        const bool is_tolerated = i + tolerated >= nodes_.size();
        bad += is_tolerated ? std::min(at_node, 1) : at_node;
    }
    return bad;
}

}  // namespace tealcart::router
