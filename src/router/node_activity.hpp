// Attempts that this router has in flight at each node, and when each node last responded. It makes no
// decisions.
#pragma once

#include <vector>

#include "router/endpoint_table.hpp"

namespace tealcart::router {

// Counts attempts in flight by node.
class NodeActivity {
  public:
    void add_node(NodeIndex node) { reset_node(node, in_flight_, last_heard_); }

    void record_sent(NodeIndex node) {
        if (in_flight_[node]++ == 0) busy_.push_back(node);
        ++total_in_flight_;
    }
    void record_ended(NodeIndex node) {
        if (--in_flight_[node] == 0) std::erase(busy_, node);
        --total_in_flight_;
    }
    void record_heard(NodeIndex node, Nanos now) { last_heard_[node] = now; }

    int in_flight(NodeIndex node) const { return in_flight_[node]; }
    int total_in_flight() const { return total_in_flight_; }
    // When an attempt last ended at the node, or one was last sent to it while it was idle and healthy.
    Nanos last_heard(NodeIndex node) const { return last_heard_[node]; }
    // The nodes that have attempts in flight.
    const std::vector<NodeIndex>& busy() const { return busy_; }

  private:
    std::vector<int> in_flight_;
    std::vector<Nanos> last_heard_;
    std::vector<NodeIndex> busy_;
    int total_in_flight_ = 0;
};

}  // namespace tealcart::router
