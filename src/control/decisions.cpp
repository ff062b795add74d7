#include "control/decisions.hpp"

#include <algorithm>
#include <cmath>

#include "config/host_port.hpp"
#include "config/units.hpp"

namespace tealcart {
namespace {

constexpr double warm_weight = 100;
// The weight of a node that warms up moves in steps of this size, so that proxies aren't sent every small
// change.
constexpr double weight_step = 5;

// An endpoint list as the only event of a round.
class ListEvent final : public RoundEvents {
  public:
    ListEvent(ListKind kind, std::vector<Endpoint> entries) : kind_(kind), entries_(std::move(entries)) {}
    void deliver(RoundEventHandler& handler) override { handler.on_endpoints(kind_, entries_); }

  private:
    ListKind kind_;
    std::vector<Endpoint> entries_;
};

// Discards all decisions: the module gets endpoint lists and computes capacity shares, but it has no
// queries here.
class NullDecisionSink final : public DecisionSink {
  public:
    void send_attempt(std::uint32_t, std::uint32_t, Nanos) override {}
    void cancel(std::uint32_t, std::uint8_t) override {}
    void answer(std::uint32_t, bool) override {}
    void reject(std::uint32_t, Nanos) override {}
    void fail_query(std::uint32_t) override {}
    void set_timer(std::uint64_t, Nanos) override {}
    void watch_endpoints() override {}
    void log(const std::string&) override {}
};

}  // namespace

DecisionEngine::DecisionEngine(const RouterConfig& config, const std::vector<std::string>& query_classes,
                               const ControlConfig& control, std::uint64_t seed)
    : query_classes_(query_classes), config_(config.query_classes), control_(control),
      places_(static_cast<std::uint32_t>(config.places)),
      width_(static_cast<std::uint32_t>(config.replicas_per_shard)), drain_grace_(config.drain_grace),
      router_(config, seed) {}

std::size_t DecisionEngine::ready() const {
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& entry) {
        const Node& node = entry.second;
        return node.missing_since == 0 && node.listed.lifecycle == Lifecycle::ready;
    }));
}

std::vector<std::string> DecisionEngine::removed_by(const EndpointList& list) const {
    std::map<std::string, Lifecycle> listed;
    for (const ListedEndpoint& entry : list.nodes) listed[entry.id] = entry.lifecycle;
    std::vector<std::string> removed;
    for (const auto& [id, node] : nodes_) {
        const auto found = listed.find(id);
        const bool is_removed = found == listed.end() ? list.full : found->second == Lifecycle::removed;
        if (is_removed && node.missing_since == 0) removed.push_back(id);
    }
    return removed;
}

void DecisionEngine::update_node(const ListedEndpoint& entry) {
    const auto [found, is_new] = nodes_.try_emplace(entry.id);
    Node& node = found->second;
    if (is_new) node.number = next_number_++;
    const bool restarted = is_new || node.listed.started_at != entry.started_at;
    node.listed = entry;
    node.missing_since = 0;
    const bool is_draining = entry.lifecycle == Lifecycle::draining;
    if (!is_draining || restarted) node.draining_since = 0;
    if (is_draining && node.draining_since == 0) node.draining_since = now_;
}

// Drains are applied whatever else a list contains. Removals are not applied if they take away too much of
// the fleet at once. This guards against a discovery service that has lost its own list.
void DecisionEngine::apply_list(const EndpointList& list, Nanos now) {
    now_ = std::max(now_, now);
    list_received_at_ = now_;
    generation_ = list.generation;
    const std::vector<std::string> removed = removed_by(list);
    // The last of several entries with one id is used. New nodes are numbered in the order of their ids.
    std::map<std::string, const ListedEndpoint*> listed;
    for (const ListedEndpoint& entry : list.nodes) listed[entry.id] = &entry;
    for (const auto& [id, entry] : listed)
        if (entry->lifecycle != Lifecycle::removed) update_node(*entry);
    while (!max_ready_.empty() && max_ready_.front().first < now_ - control_.panic_window)
        max_ready_.pop_front();
    remove_or_panic(removed);
    while (!max_ready_.empty() && max_ready_.back().second <= ready()) max_ready_.pop_back();
    max_ready_.emplace_back(now_, ready());
    update_module(now_);
}

void DecisionEngine::remove_or_panic(const std::vector<std::string>& removed) {
    std::size_t removed_ready = 0;
    for (const std::string& id : removed)
        if (nodes_[id].listed.lifecycle == Lifecycle::ready) ++removed_ready;
    const std::size_t before = ready();
    const std::size_t max_in_window = std::max(before, max_ready_.empty() ? 0 : max_ready_.front().second);
    const std::size_t left = before - removed_ready;
    const bool too_few =
        static_cast<double>(left) < control_.panic_threshold * static_cast<double>(max_in_window);
    if (removed_ready > 0 && too_few) {
        if (panic_until_ == 0) {
            panic_until_ = now_ + control_.panic_hold;
            log_lines_.push_back("endpoint list " + std::to_string(generation_) + " leaves " +
                                 std::to_string(left) + " of " + std::to_string(max_in_window) +
                                 " ready data nodes; its removals are not applied for up to " +
                                 format_duration(control_.panic_hold));
        }
        for (const std::string& id : removed) nodes_[id].missing_since = now_;
        return;
    }
    for (const std::string& id : removed) nodes_.erase(id);
    if (panic_until_ == 0 || too_few) return;
    panic_until_ = 0;
    log_lines_.push_back("endpoint list " + std::to_string(generation_) +
                         " has enough ready data nodes again; the removals are applied and " +
                         std::to_string(left) + " data nodes are ready");
    forget_missing();
}

void DecisionEngine::forget_missing() {
    std::erase_if(nodes_, [](const auto& entry) { return entry.second.missing_since > 0; });
}

void DecisionEngine::update_module(Nanos now) {
    std::vector<Endpoint> entries;
    for (const auto& [id, node] : nodes_)
        entries.push_back({node.number, node.listed.place, node.listed.lifecycle, node.listed.started_at, 0});
    ListEvent event(ListKind::full, std::move(entries));
    NullDecisionSink none;
    router_.round(now, event, none);
}

void DecisionEngine::end_expired_panic() {
    if (panic_until_ == 0 || now_ < panic_until_) return;
    panic_until_ = 0;
    log_lines_.push_back("the removed data nodes did not return within " +
                         format_duration(control_.panic_hold) + "; the removals are applied and " +
                         std::to_string(ready()) + " data nodes are ready");
    forget_missing();
    max_ready_.clear();
    update_module(now_);
}

void DecisionEngine::update_shares() {
    capacity_share_.clear();
    bool any_ramping = false;
    for (const NodeCapacityShare& capacity : router_.capacity_shares(now_)) {
        capacity_share_[capacity.node] = capacity.share;
        any_ramping |= capacity.share < 1;
    }
    next_change_ = any_ramping ? now_ + control_.ramp_step : INT64_MAX;
    if (panic_until_ > 0) next_change_ = std::min(next_change_, panic_until_);
}

// Rounds down so that a node never gets more than its share. The result is at least 1, since xDS does not
// allow a weight of 0.
std::uint32_t DecisionEngine::weight_of(double share) {
    const double weight = warm_weight * share;
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(weight / weight_step) * weight_step));
}

void DecisionEngine::add_to_pools(const std::string& id, const Node& node, std::vector<Pool>& pools) {
    const bool is_draining = node.draining_since > 0;
    const Nanos drained_at = node.draining_since + drain_grace_;
    if (is_draining && now_ >= drained_at) return;
    if (is_draining) next_change_ = std::min(next_change_, drained_at);
    const auto address = parse_host_port(node.listed.address);
    if (!address) return;
    const auto found = capacity_share_.find(node.number);
    const double share = found == capacity_share_.end() ? 1 : found->second;
    PoolEndpoint endpoint;
    endpoint.id = id;
    endpoint.host = address->host;
    endpoint.zone = node.listed.zone;
    endpoint.port = address->port;
    endpoint.state = is_draining ? EndpointState::draining : EndpointState::healthy;
    endpoint.weight = is_draining ? 1 : weight_of(share);
    const double limit = is_draining ? 0 : std::max(1.0, control_.node_limit * share);
    for (std::uint32_t replica = 0; replica < width_; ++replica) {
        Pool& pool = pools[(node.listed.place % places_ + places_ - replica) % places_];
        pool.endpoints.push_back(endpoint);
        pool.limit += static_cast<std::uint32_t>(limit);
    }
}

std::vector<QueryClassRoute> DecisionEngine::routes() const {
    std::vector<QueryClassRoute> routes;
    for (std::size_t i = 0; i < query_classes_.size(); ++i) {
        const RetryLimits limits = router_.retry_limits(static_cast<std::uint16_t>(i));
        routes.push_back({query_classes_[i], config_[i].deadline, config_[i].latency_objective,
                          limits.max_attempts, limits.window});
    }
    return routes;
}

Decisions DecisionEngine::decide(Nanos now) {
    now_ = std::max(now_, now);
    end_expired_panic();
    update_shares();
    Decisions decisions;
    decisions.generation = generation_;
    decisions.pools.resize(places_);
    for (const auto& [id, node] : nodes_) add_to_pools(id, node, decisions.pools);
    decisions.query_classes = routes();
    return decisions;
}

}  // namespace tealcart
