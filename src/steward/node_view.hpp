// The fleet's data nodes as this steward's watch on discovery tells of them, and what of that the stewards
// are yet to agree on. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet/fleet_state.hpp"
#include "wire/bodies.hpp"

namespace tealcart::steward {

class NodeView {
  public:
    // Of the deployment's terms it needs where shards lie and how long a node is cold.
    explicit NodeView(const Terms& terms)
        : places_(terms.places), width_(terms.width), shards_(terms.shards), cold_(terms.cold) {}

    void take(const TargetList& list, Nanos now);
    // What differs from the agreed state now; nothing before discovery has spoken.
    std::optional<fleet::NodesSeen> news(const fleet::FleetState& state, Nanos now) const;
    // Discovery has been silent for so long that nothing is known of any node.
    bool stale(Nanos now) const;

  private:
    fleet::Node node_of(const ListedNode& listed, Nanos now) const;

    const int places_, width_, shards_;
    const Nanos cold_;
    std::map<std::string, ListedNode> nodes_;
    Nanos heard_at_ = 0;  // 0: never
};

}  // namespace tealcart::steward
