// Which data nodes support queries in two phases, as far as is known, and whose summaries are not used for a
// while because one was wrong. No I/O.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// Which data nodes speak the two-phase frames, and whose summaries are distrusted for now.
class TwoPhaseCapability {
  public:
    // Shard s lies at places (s + j) mod `places` for j below `width`.
    TwoPhaseCapability(int places, int width, Nanos distrust_duration);

    // What the list says of a node now. `restarted`: its entry moved or started again, so what was known is
    // void.
    void update_entry(const Endpoint& entry, bool restarted);

    // A whole list: what it does not name is gone.
    void keep_only(std::span<const Endpoint> entries);

    void mark_two_phase(std::uint32_t node) { set(node, Support::two_phase); }
    void mark_one_phase(std::uint32_t node) { set(node, Support::one_phase); }
    bool is_two_phase(std::uint32_t node) const { return support(node) == Support::two_phase; }
    bool is_one_phase(std::uint32_t node) const { return support(node) == Support::one_phase; }

    void distrust(std::uint32_t node, Nanos now);
    bool trusted(std::uint32_t node, Nanos now) const;

    // Whether some holder that is ready may give a word on this shard that would be used.
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
