#include "phases/section_filter_cache.hpp"

#include <algorithm>

#include "phases/term_filter.hpp"

namespace tealcart {
namespace {

// Two clocks may drift apart by a fiftieth of a lease while it lasts.
constexpr Nanos drift_divisor = 50;

}  // namespace

std::size_t SectionFilter::bytes() const {
    std::size_t sum = terms.capacity() + extents.capacity() * sizeof(Extent);
    for (const Extent& extent : extents) sum += extent.field.capacity();
    return sum;
}

SearchKeys::SearchKeys(const SearchCriteria& search_criteria) : criteria(&search_criteria) {
    for (const std::string& term : search_criteria.terms) hashes.push_back(term_hash(term));
}

SectionFilterCache::SectionFilterCache(const SectionFilterCacheConfig& config, std::uint32_t shards)
    : max_bytes_(config.max_bytes), max_lease_(config.max_lease), by_shard_(shards) {}

std::size_t SectionFilterCache::size_of(const Entry& entry) { return sizeof(Entry) + entry.filter.bytes(); }

void SectionFilterCache::erase(std::uint32_t shard) {
    if (!by_shard_[shard]) return;
    bytes_ -= size_of(**by_shard_[shard]);
    by_use_.erase(*by_shard_[shard]);
    by_shard_[shard].reset();
}

void SectionFilterCache::store(std::uint32_t shard, std::uint32_t node, const SectionSummary& summary,
                               Nanos requested_at, Nanos now) {
    if (shard >= by_shard_.size()) return;
    observe_version(shard, summary.version);
    const Nanos lease = std::min(summary.lease, max_lease_);
    const Nanos valid_until = requested_at + lease - lease / drift_divisor;
    if (!summary.has_filter || valid_until <= now) return;
    if (by_shard_[shard]) {
        Entry& entry = **by_shard_[shard];
        if (entry.version > summary.version) return;
        if (entry.version == summary.version && entry.node == node) {  // the lease is renewed
            entry.valid_until = std::max(entry.valid_until, valid_until);
            return;
        }
        erase(shard);
    }
    Entry entry{shard, node, summary.version, valid_until, summary.filter};
    const std::size_t size = size_of(entry);
    if (size > max_bytes_) return;
    while (bytes_ + size > max_bytes_) erase(by_use_.back().shard);
    by_use_.push_front(std::move(entry));
    by_shard_[shard] = by_use_.begin();
    bytes_ += size_of(by_use_.front());
}

void SectionFilterCache::observe_version(std::uint32_t shard, std::uint64_t version) {
    if (shard < by_shard_.size() && by_shard_[shard] && (*by_shard_[shard])->version < version) erase(shard);
}

std::optional<std::uint32_t> SectionFilterCache::excluded_by(std::uint32_t shard, const SearchKeys& keys,
                                                             Nanos now) {
    if (shard >= by_shard_.size() || !by_shard_[shard]) return std::nullopt;
    const EntryIterator entry = *by_shard_[shard];
    if (entry->valid_until <= now) {
        erase(shard);
        return std::nullopt;
    }
    by_use_.splice(by_use_.begin(), by_use_, entry);
    const auto is_absent = [&](std::uint64_t hash) { return !may_contain(entry->filter.terms, hash); };
    if (std::any_of(keys.hashes.begin(), keys.hashes.end(), is_absent)) return entry->node;
    for (const FieldRange& range : keys.criteria->ranges)
        for (const SectionFilter::Extent& extent : entry->filter.extents)
            if (extent.field == range.field && (extent.max < range.from || extent.min > range.to))
                return entry->node;
    return std::nullopt;
}

void SectionFilterCache::clear() {
    while (!by_use_.empty()) erase(by_use_.back().shard);
}

void SectionFilterCache::evict_node(std::uint32_t node) {
    for (auto entry = by_use_.begin(); entry != by_use_.end();) {
        const std::uint32_t shard = entry->shard;
        const bool is_from_node = entry->node == node;
        ++entry;
        if (is_from_node) erase(shard);
    }
}

}  // namespace tealcart
