// The data nodes that the fleet has agreed on, and how many of them are out, by zone, kind and shard.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "fleet/commands.hpp"
#include "fleet/node.hpp"
#include "fleet/tally.hpp"

namespace tealcart::fleet {

// How many replicas of a shard there are, and how many of them are healthy.
struct ShardCount {
    std::size_t holders = 0;  // nodes
    // Times that it is listed by a node, which may list it twice: by all, and by those that are not out.
    std::size_t listed = 0, healthy = 0;
    friend bool operator==(const ShardCount&, const ShardCount&) = default;
};

// Follows from the nodes and from who is out; kept so that no command looks through all nodes.
struct NodeCounts {
    GroupCount nodes;
    GroupCounts zones, kinds;
    std::unordered_map<std::uint32_t, ShardCount> shards;
    std::set<std::uint32_t> short_shards;  // with fewer healthy holders than Budgets::halt_min_holders

    friend bool operator==(const NodeCounts&, const NodeCounts&) = default;
};

class NodeTable {
  public:
    explicit NodeTable(std::size_t min_holders) : min_holders_(min_holders) {}

    const std::map<std::string, Node>& all() const { return nodes_; }
    const Node* find(const std::string& name) const;
    const NodeCounts& counts() const { return counts_; }
    // Names of nodes that enough of the routers find unresponsive; also of nodes that are not known.
    const std::set<std::string>& unresponsive() const { return unresponsive_; }

    // Not healthy, for whatever reason. A node that is not known counts as out.
    bool is_out(const std::string& name) const;

    // A node that discovery forgets while it is out by agreement stays known as gone, so that its request and
    // what it uses up of the budgets are not lost; others are dropped.
    void observe(const EndpointsObserved& seen);
    void set_removed(const std::string& name, bool removed);  // by agreement
    void set_unresponsive(const std::string& name, bool unresponsive);
    void set_min_holders(std::size_t min_holders);

    // From a snapshot.
    void restore(std::map<std::string, Node> nodes, std::set<std::string> removed,
                 std::set<std::string> unresponsive);

    // Nodes, and shards of nodes, that were looked at since the last reset.
    std::size_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    bool is_out(const std::string& name, const Node& node) const;
    void drop(const std::string& name);
    // A node is taken out of the counts before it or what is known of it is changed, and put back after.
    void count(const std::string& name, const Node& node, CountChange direction);
    void count_shards(const Node& node, bool is_out, CountChange direction);
    template <typename Change>
    void change(const std::string& name, Change change);
    void recount();

    std::map<std::string, Node> nodes_;
    std::set<std::string> removed_;
    std::set<std::string> unresponsive_;
    std::size_t min_holders_;
    NodeCounts counts_;
    std::size_t visited_count_ = 0;
};

}  // namespace tealcart::fleet
