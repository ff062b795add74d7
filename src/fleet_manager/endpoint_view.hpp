// Compares the data nodes that discovery lists with those of the agreed state; the leader commits the
// differences. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/fleet_state.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart::fleet_manager {

// This fleet manager's view of the data nodes, as discovery lists them.
class EndpointView {
  public:
    // After discovery has been silent for this long (ns), the health of every node is unknown. A poll waits
    // for at most 20 s and is retried when its answer is a second late, so 45 s covers two polls.
    static constexpr Nanos stale_after = 45'000'000'000;

    // Uses the shard layout and the slow start duration of the deployment's configuration.
    explicit EndpointView(const RouterConfig& config)
        : places_(config.places), replicas_per_shard_(config.replicas_per_shard), shards_(config.shards),
          slow_start_(config.slow_start_duration) {}

    // Applies an answer of discovery: the full list, or changes of it.
    void on_endpoints(const EndpointList& list, Nanos now);
    // Marks nodes for comparison whose observation was committed, by whichever fleet manager proposed it.
    void on_committed(const fleet::EndpointsObserved& observed);
    // Returns the differences from the agreed state; nullopt if there are none, or before discovery's first
    // answer. Compares the nodes that discovery or the log has named since they last matched, and those whose
    // slow start has ended; after `compare_all`, it compares all nodes.
    std::optional<fleet::EndpointsObserved> differences(const fleet::FleetState& state, Nanos now);
    // To be called when the agreed state is replaced, or this fleet manager gains or loses leadership.
    void compare_all() { compare_all_ = true; }
    // The number of nodes that the last call of `differences` compared.
    std::size_t compared_count() const { return compared_count_; }
    // Whether discovery has been silent for longer than `stale_after`.
    bool stale(Nanos now) const;

  private:
    // Adds this node to `observed` if it differs from the agreed state; returns whether it does.
    bool compare(const std::string& name, const fleet::FleetState& state, Nanos now,
                 fleet::EndpointsObserved& observed);
    void collect_nodes_to_compare(const fleet::FleetState& state, Nanos now);
    fleet::Node node_of(const ListedEndpoint& listed, Nanos now) const;
    std::vector<std::uint32_t> shards_at(int place) const;
    fleet::Health health_of(const ListedEndpoint& listed, Nanos now) const;
    void mark_for_comparison(const std::string& name);

    const int places_, replicas_per_shard_, shards_;
    const Nanos slow_start_;
    std::map<std::string, ListedEndpoint> nodes_;  // by name, as discovery lists them
    Nanos last_answer_at_ = 0;                     // 0: discovery has not answered yet
    std::set<std::string> to_compare_;
    // When a node with agreed health `cold` ends its slow start.
    std::set<std::pair<Nanos, std::string>> warm_up_ends_;
    bool compare_all_ = true, discovery_was_stale_ = false;
    std::size_t compared_count_ = 0;
};

}  // namespace tealcart::fleet_manager
