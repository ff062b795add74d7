// A cache of sections' filters, each valid for its lease. Bounded in bytes: the least recently used one is
// evicted first. No I/O; the clock is passed in.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "phases/two_phase_config.hpp"
#include "phases/word.hpp"

namespace tealcart {

// A query's terms as hashes, computed once for all sections.
struct FindKeys {
    explicit FindKeys(const Find& find);

    const Find* find;
    std::vector<std::uint64_t> hashes;
};

class SectionMemory {
  public:
    SectionMemory(const SectionMemoryConfig& terms, std::uint32_t shards);

    // A word that came from `node` to a question asked at `asked_at`. Kept where it has a filter and a lease
    // that still runs; the lease counts from the asking, which is before the node gave it, less what clocks
    // may differ.
    void learn(std::uint32_t shard, std::uint32_t node, const SectionWord& word, Nanos asked_at, Nanos now);

    // Any answer that names a version: a newer one voids what is kept of an older.
    void hear_version(std::uint32_t shard, std::uint64_t version);

    // The node whose word it is that the section can't hold what is looked for; none if it may.
    std::optional<std::uint32_t> rules_out(std::uint32_t shard, const FindKeys& keys, Nanos now);

    void forget_words_of(std::uint32_t node);
    void forget_all();

    std::size_t bytes() const { return bytes_; }
    std::size_t sections() const { return by_use_.size(); }

  private:
    struct Kept {
        std::uint32_t shard = 0, node = 0;
        std::uint64_t version = 0;
        Nanos until = 0;
        SectionFilter filter;
    };
    using Place = std::list<Kept>::iterator;

    static std::size_t size_of(const Kept& kept);
    void drop(std::uint32_t shard);

    const std::size_t max_bytes_;
    const Nanos max_lease_;
    std::list<Kept> by_use_;  // latest first
    std::vector<std::optional<Place>> of_;
    std::size_t bytes_ = 0;
};

}  // namespace tealcart
