// The fleet's data nodes as this manager's watch on discovery tells of them, and what of that the managers
// are yet to agree on. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/fleet_state.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart::manager {

class EndpointView {
  public:
    // Of the deployment's config it needs where shards lie and how long a node is cold.
    explicit EndpointView(const RouterConfig& config)
        : places_(config.places), width_(config.replicas_per_shard), shards_(config.shards),
          cold_(config.slow_start_duration) {}

    void take(const EndpointList& list, Nanos now);
    // What differs from the agreed state now; nothing before discovery has spoken. Looks at nodes that were
    // told of by discovery or in the log since they were last the same, that are warm now, or at all.
    std::optional<fleet::EndpointsObserved> news(const fleet::FleetState& state, Nanos now);
    // This was agreed, whoever proposed it.
    void agreed(const fleet::EndpointsObserved& seen);
    // The agreed state is another, or this manager begins to lead.
    void look_at_all() { all_ = true; }
    std::size_t looked_at() const { return looked_at_; }  // nodes, by the last call for news
    // Discovery has been silent for so long that nothing is known of any node.
    bool stale(Nanos now) const;

  private:
    fleet::Node node_of(const ListedEndpoint& listed, Nanos now) const;
    void look_at(const std::string& name);

    const int places_, width_, shards_;
    const Nanos cold_;
    std::map<std::string, ListedEndpoint> nodes_;
    Nanos heard_at_ = 0;  // 0: never
    std::set<std::string> look_at_;
    std::set<std::pair<Nanos, std::string>> cold_ends_;  // when a node that is agreed to be cold is warm
    bool all_ = true, was_stale_ = false;
    std::size_t looked_at_ = 0;
};

}  // namespace tealcart::manager
