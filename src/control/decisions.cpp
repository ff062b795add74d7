#include "control/decisions.hpp"

#include <algorithm>
#include <cmath>

#include "config/host_port.hpp"

namespace tealcart {
namespace {

constexpr double warm_weight = 100;
constexpr double weight_step =
    5;  // a ramp climbs by so much at a time, so that proxies aren't told of every instant

class ListNews final : public RoundEvents {
  public:
    ListNews(ListKind kind, std::vector<Endpoint> entries) : kind_(kind), entries_(std::move(entries)) {}
    void play(RoundEventHandler& handler) override { handler.on_nodes(kind_, entries_); }

  private:
    ListKind kind_;
    std::vector<Endpoint> entries_;
};

// The module hears of lists here and is asked for its judgement; it has no queries to decide on.
class NoQueries final : public DecisionSink {
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

Decider::Decider(const RouterConfig& config, const std::vector<std::string>& query_classes,
                 const ControlConfig& control, std::uint64_t seed)
    : query_classes_(query_classes), config_(config.query_classes), control_(control),
      places_(static_cast<std::uint32_t>(config.places)),
      width_(static_cast<std::uint32_t>(config.replicas_per_shard)), drain_grace_(config.drain_grace),
      module_(config, seed) {}

std::size_t Decider::ready() const {
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& n) {
        return n.second.gone_since == 0 && n.second.listed.lifecycle == Lifecycle::ready;
    }));
}

// Drains are kept whatever else a list says. What goes is not believed where too much of the fleet goes at
// once: guards against a discovery that has lost its own list.
void Decider::take(const EndpointList& list, Nanos now) {
    now_ = std::max(now_, now);
    heard_at_ = now_;
    generation_ = list.generation;
    std::map<std::string, const ListedEndpoint*> named;
    for (const ListedEndpoint& entry : list.nodes) named[entry.id] = &entry;
    std::vector<std::string> gone;
    for (auto& [id, node] : nodes_) {
        const auto at = named.find(id);
        const bool goes = at == named.end() ? list.full : at->second->lifecycle == Lifecycle::removed;
        if (goes && node.gone_since == 0) gone.push_back(id);
    }
    for (const auto& [id, entry] : named) {
        if (entry->lifecycle == Lifecycle::removed) continue;
        const auto [at, fresh] = nodes_.try_emplace(id);
        Node& node = at->second;
        if (fresh) node.number = next_number_++;
        const bool anew = fresh || node.listed.started_at != entry->started_at;
        node.listed = *entry;
        node.gone_since = 0;
        const bool drains = entry->lifecycle == Lifecycle::draining;
        if (!drains || anew) node.drains_since = 0;
        if (drains && node.drains_since == 0) node.drains_since = now_;
    }
    while (!max_ready_.empty() && max_ready_.front().first < now_ - control_.panic_window)
        max_ready_.pop_front();
    std::size_t going = 0;
    for (const std::string& id : gone) going += nodes_[id].listed.lifecycle == Lifecycle::ready;
    const std::size_t before = ready(),
                      most = std::max(before, max_ready_.empty() ? 0 : max_ready_.front().second);
    const std::size_t left = before - going;
    if (going > 0 && static_cast<double>(left) < control_.panic * static_cast<double>(most)) {
        if (panic_until_ == 0) {
            panic_until_ = now_ + control_.panic_hold;
            lines_.push_back("list " + std::to_string(generation_) + " leaves " + std::to_string(left) +
                             " of " + std::to_string(most) +
                             " data nodes: not believed for a while, what went stays");
        }
        for (const std::string& id : gone) nodes_[id].gone_since = now_;
    } else {
        for (const std::string& id : gone) nodes_.erase(id);
        if (panic_until_ > 0 && static_cast<double>(left) >= control_.panic * static_cast<double>(most)) {
            panic_until_ = 0;
            lines_.push_back("list " + std::to_string(generation_) +
                             " is believed again: " + std::to_string(left) + " data nodes");
            std::erase_if(nodes_, [](const auto& n) { return n.second.gone_since > 0; });
        }
    }
    while (!max_ready_.empty() && max_ready_.back().second <= ready()) max_ready_.pop_back();
    max_ready_.emplace_back(now_, ready());
    capacity_shares(now_);
}

// Which nodes are cold, and by how much, is the module's to say.
void Decider::capacity_shares(Nanos now) {
    std::vector<Endpoint> entries;
    for (const auto& [id, node] : nodes_)
        entries.push_back({node.number, node.listed.place, node.listed.lifecycle, node.listed.started_at, 0});
    ListNews news(ListKind::full, std::move(entries));
    NoQueries none;
    module_.round(now, news, none);
}

Decisions Decider::decide(Nanos now) {
    now_ = std::max(now_, now);
    if (panic_until_ > 0 && now_ >= panic_until_) {
        panic_until_ = 0;
        lines_.push_back("what went from the list stays away: " + std::to_string(ready()) +
                         " data nodes are left");
        std::erase_if(nodes_, [](const auto& n) { return n.second.gone_since > 0; });
        max_ready_.clear();
        capacity_shares(now_);
    }
    share_.clear();
    bool ramps = false;
    for (const NodeCapacityShare& j : module_.capacity_shares(now_)) {
        share_[j.node] = j.share;
        ramps |= j.share < 1;
    }
    next_change_ = ramps ? now_ + control_.ramp_step : INT64_MAX;
    if (panic_until_ > 0) next_change_ = std::min(next_change_, panic_until_);

    Decisions made;
    made.generation = generation_;
    made.pools.resize(places_);
    for (const auto& [id, node] : nodes_) {
        const bool drains = node.drains_since > 0;
        if (drains && now_ >= node.drains_since + drain_grace_) continue;  // what it had is over
        if (drains) next_change_ = std::min(next_change_, node.drains_since + drain_grace_);
        const auto to = parse_host_port(node.listed.address);
        if (!to) continue;
        const auto share = share_.find(node.number);
        const double of_warm = drains ? 0 : share == share_.end() ? 1 : share->second;
        PoolEndpoint endpoint{id,
                              to->host,
                              node.listed.zone,
                              to->port,
                              drains ? EndpointState::draining : EndpointState::healthy,
                              1};
        if (!drains) {
            // Rounded down, so that a node is never told to take more than it may.
            const double weight = warm_weight * of_warm;
            endpoint.weight =
                static_cast<std::uint32_t>(std::max(1.0, std::floor(weight / weight_step) * weight_step));
        }
        for (std::uint32_t j = 0; j < width_; ++j) {
            Pool& pool = made.pools[(node.listed.place % places_ + places_ - j) % places_];
            pool.endpoints.push_back(endpoint);
            if (!drains)
                pool.limit += static_cast<std::uint32_t>(std::max(1.0, control_.node_limit * of_warm));
        }
    }
    for (std::size_t v = 0; v < query_classes_.size(); ++v) {
        const RetryLimits retry_limits = module_.retry_limits(static_cast<std::uint16_t>(v));
        made.query_classes.push_back({query_classes_[v], config_[v].deadline, config_[v].latency_objective,
                                      retry_limits.max_attempts, retry_limits.within});
    }
    return made;
}

}  // namespace tealcart
