// Tracks which data nodes are known to support two-phase queries, and whose summaries are temporarily ignored
// because one of them was wrong. No I/O.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// What is known of each listed data node: its support for the two-phase frames and whether it is trusted.
class TwoPhaseCapability {
  public:
    // Replicas of shard s are at places (s + j) mod `places` for j below `width`.
    TwoPhaseCapability(int places, int width, Nanos distrust_duration);

    // Applies a node's entry in the endpoint list. If the node `restarted` or its entry moved, what was
    // known of it is discarded.
    void update_entry(const Endpoint& entry, bool restarted);

    // Forgets all nodes that a full endpoint list does not contain.
    void keep_only(std::span<const Endpoint> entries);

    void mark_two_phase(std::uint32_t node) { set(node, Support::two_phase); }
    void mark_one_phase(std::uint32_t node) { set(node, Support::one_phase); }
    bool is_two_phase(std::uint32_t node) const { return support(node) == Support::two_phase; }
    bool is_one_phase(std::uint32_t node) const { return support(node) == Support::one_phase; }

    // Ignores the node's summaries for the configured duration.
    void distrust(std::uint32_t node, Nanos now);
    bool trusted(std::uint32_t node, Nanos now) const;

    // Returns whether a ready node with a replica of this shard may give a summary that would be used.
    bool may_give_summary(std::uint32_t shard, Nanos now) const;

    std::size_t size() const { return nodes_.size(); }

  private:
    enum class Support : std::uint8_t { unknown, one_phase, two_phase };
    struct Node {
        std::uint32_t place = 0;
        bool ready = false;
        Support support = Support::unknown;
        Nanos distrusted_until = 0;
    };

    Support support(std::uint32_t node) const;
    void set(std::uint32_t node, Support support);

    const std::uint32_t places_, width_;
    const Nanos distrust_duration_;
    std::unordered_map<std::uint32_t, Node> nodes_;
    std::vector<std::vector<std::uint32_t>> nodes_by_place_;
};

}  // namespace tealcart
