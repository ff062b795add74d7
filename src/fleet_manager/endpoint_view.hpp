// The data nodes as discovery lists them to this fleet manager, compared with the agreed ones: what differs
// is to be committed by the leader. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/fleet_state.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart::fleet_manager {

class EndpointView {
  public:
    // Silence of discovery after which nothing is known of any node, in ns: a poll waits for 20 s at most,
    // and is retried when its answer is a second late.
    static constexpr Nanos stale_after = 45'000'000'000;

    // Of the deployment's configuration it needs where shards lie and how long a node is warming up.
    explicit EndpointView(const RouterConfig& config)
        : places_(config.places), replicas_per_shard_(config.replicas_per_shard), shards_(config.shards),
          slow_start_(config.slow_start_duration) {}

    // Discovery has answered with this list, or with these changes of it.
    void on_endpoints(const EndpointList& list, Nanos now);
    // These were committed, whoever proposed them.
    void on_committed(const fleet::EndpointsObserved& observed);
    // What differs from the agreed state now; nothing before discovery has answered once. Compares the nodes
    // that discovery or the log has named since they last were the same, and those that are warm now; all of
    // them after `compare_all`.
    std::optional<fleet::EndpointsObserved> differences(const fleet::FleetState& state, Nanos now);
    // The agreed state was replaced, or this fleet manager begins or ends to lead.
    void compare_all() { compare_all_ = true; }
    // Nodes that the last call of `differences` compared.
    std::size_t compared_count() const { return compared_count_; }
    // Discovery has been silent for longer than `stale_after`.
    bool stale(Nanos now) const;

  private:
    // Adds to `observed` what differs of this node; false where nothing does.
    bool compare(const std::string& name, const fleet::FleetState& state, Nanos now,
                 fleet::EndpointsObserved& observed);
    void collect_nodes_to_compare(const fleet::FleetState& state, Nanos now);
    fleet::Node node_of(const ListedEndpoint& listed, Nanos now) const;
    std::vector<std::uint32_t> shards_at(int place) const;
    fleet::Health health_of(const ListedEndpoint& listed, Nanos now) const;
    void mark_for_comparison(const std::string& name);

    const int places_, replicas_per_shard_, shards_;
    const Nanos slow_start_;
    std::map<std::string, ListedEndpoint> nodes_;  // as discovery lists them
    Nanos last_answer_at_ = 0;                     // 0: never
    std::set<std::string> to_compare_;
    std::set<std::pair<Nanos, std::string>> warm_up_ends_;  // when a node that is agreed to be cold is warm
    bool compare_all_ = true, discovery_was_stale_ = false;
    std::size_t compared_count_ = 0;
};

}  // namespace tealcart::fleet_manager
