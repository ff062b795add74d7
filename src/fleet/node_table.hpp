// The data nodes of the replicated state, and how many of them are out by zone, machine kind and shard.
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
    std::size_t holders = 0;  // the number of nodes that hold the shard
    // How often nodes list the shard (a node may list it twice): all nodes, and those that are not out.
    std::size_t listed = 0, healthy = 0;
    friend bool operator==(const ShardCount&, const ShardCount&) = default;
};

// Derived from the nodes and from what is out. The counts are maintained incrementally so that no command has
// to scan all nodes.
struct NodeCounts {
    GroupCount nodes;
    GroupCounts zones, kinds;
    std::unordered_map<std::uint32_t, ShardCount> shards;
    std::set<std::uint32_t> short_shards;  // shards with fewer healthy holders than Budgets::halt_min_holders

    friend bool operator==(const NodeCounts&, const NodeCounts&) = default;
};

// Holds the nodes and keeps NodeCounts up to date.
class NodeTable {
  public:
    explicit NodeTable(std::size_t min_holders) : min_holders_(min_holders) {}

    const std::map<std::string, Node>& all() const { return nodes_; }
    const Node* find(const std::string& name) const;
    const NodeCounts& counts() const { return counts_; }
    // The names of nodes that enough routers report as unresponsive. They may include unknown nodes.
    const std::set<std::string>& unresponsive() const { return unresponsive_; }

    // Whether the node is not healthy, for whatever reason. An unknown node counts as out.
    bool is_out(const std::string& name) const;

    // Takes over what discovery lists. A node that disappears from discovery while it is removed by agreement
    // is kept as gone, so that its request and its share of the budgets are not lost; any other is dropped.
    void observe(const EndpointsObserved& seen);
    // Marks a node as removed by agreement, or as returned.
    void set_removed(const std::string& name, bool removed);
    void set_unresponsive(const std::string& name, bool unresponsive);
    void set_min_holders(std::size_t min_holders);

    // Restores the state of a snapshot.
    void restore(std::map<std::string, Node> nodes, std::set<std::string> removed,
                 std::set<std::string> unresponsive);

    // The number of nodes, and shards of nodes, visited since the last reset.
    std::size_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    bool is_out(const std::string& name, const Node& node) const;
    void drop(const std::string& name);
    // Subtracts a node from the counts before a change, or adds it after the change.
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
