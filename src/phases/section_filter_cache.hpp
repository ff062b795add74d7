// A cache of sections' filters, each valid for its lease. Bounded in bytes: the least recently used one is
// evicted first. No I/O; the clock is passed in.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "phases/section_summary.hpp"
#include "phases/two_phase_config.hpp"

namespace tealcart {

// A query's terms as hashes, computed once for all sections.
struct SearchKeys {
    explicit SearchKeys(const SearchCriteria& search_criteria);

    const SearchCriteria* criteria;
    std::vector<std::uint64_t> hashes;
};

class SectionFilterCache {
  public:
    SectionFilterCache(const SectionFilterCacheConfig& config, std::uint32_t shards);

    // A summary that came from `node` to a question asked at `requested_at`. Kept where it has a filter and
    // a lease that still runs; the lease counts from the asking, which is before the node gave it, less what
    // clocks may differ.
    void store(std::uint32_t shard, std::uint32_t node, const SectionSummary& summary, Nanos requested_at,
               Nanos now);

    // Any answer that names a version: a newer one voids what is kept of an older.
    void observe_version(std::uint32_t shard, std::uint64_t version);

    // The node whose summary it is that the section can't hold what is looked for; none if it may.
    std::optional<std::uint32_t> excluded_by(std::uint32_t shard, const SearchKeys& keys, Nanos now);

    void evict_node(std::uint32_t node);
    void clear();

    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return by_use_.size(); }

  private:
    struct Entry {
        std::uint32_t shard = 0, node = 0;
        std::uint64_t version = 0;
        Nanos valid_until = 0;
        SectionFilter filter;
    };
    using EntryIterator = std::list<Entry>::iterator;

    static std::size_t size_of(const Entry& entry);
    void erase(std::uint32_t shard);

    const std::size_t max_bytes_;
    const Nanos max_lease_;
    std::list<Entry> by_use_;  // latest first
    std::vector<std::optional<EntryIterator>> by_shard_;
    std::size_t bytes_ = 0;
};

}  // namespace tealcart
