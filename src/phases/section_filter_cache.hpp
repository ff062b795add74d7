// A cache of sections' filters, each valid for its lease. Its size in bytes is bounded: the least recently
// used filter is evicted first. It does no I/O, and the caller passes the time in.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "phases/section_summary.hpp"
#include "phases/two_phase_config.hpp"

namespace tealcart {

// The search criteria of a query with the hashes of its terms, computed once for all sections.
struct SearchKeys {
    explicit SearchKeys(const SearchCriteria& search_criteria);

    const SearchCriteria* criteria;
    std::vector<std::uint64_t> hashes;
};

// Holds at most one filter for each shard. Not thread-safe.
class SectionFilterCache {
  public:
    SectionFilterCache(const SectionFilterCacheConfig& config, std::uint32_t shards);

    // Stores the filter of a summary from `node` to a request sent at `requested_at`, if it has a filter and
    // a lease that has not expired. The lease counts from the request, which was sent before the node granted
    // it, and is shortened by what the two clocks may drift apart.
    void store(std::uint32_t shard, std::uint32_t node, const SectionSummary& summary, Nanos requested_at,
               Nanos now);

    // Takes note of the version in any answer: the filter of an older version is dropped.
    void observe_version(std::uint32_t shard, std::uint64_t version);

    // Returns the node whose filter shows that the section has no matching row, or nothing if it may have
    // one.
    std::optional<std::uint32_t> excluded_by(std::uint32_t shard, const SearchKeys& keys, Nanos now);

    // Drops all filters that came from this node.
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
    std::list<Entry> by_use_;  // most recently used first
    std::vector<std::optional<EntryIterator>> by_shard_;
    std::size_t bytes_ = 0;
};

}  // namespace tealcart
