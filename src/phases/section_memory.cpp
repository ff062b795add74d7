#include "phases/section_memory.hpp"

#include <algorithm>

#include "phases/term_filter.hpp"

namespace tealcart {
namespace {

constexpr Nanos drift_share = 50;  // of a lease, that two clocks may drift apart meanwhile: a fiftieth

}  // namespace

std::size_t SectionFilter::bytes() const {
    std::size_t sum = terms.capacity() + extents.capacity() * sizeof(Extent);
    for (const Extent& e : extents) sum += e.field.capacity();
    return sum;
}

FindKeys::FindKeys(const Find& f) : find(&f) {
    for (const std::string& term : f.terms) hashes.push_back(term_hash(term));
}

SectionMemory::SectionMemory(const SectionMemoryConfig& terms, std::uint32_t shards)
    : max_bytes_(terms.bytes), max_lease_(terms.max_lease), of_(shards) {}

std::size_t SectionMemory::size_of(const Kept& kept) { return sizeof(Kept) + kept.filter.bytes(); }

void SectionMemory::drop(std::uint32_t shard) {
    if (!of_[shard]) return;
    bytes_ -= size_of(**of_[shard]);
    by_use_.erase(*of_[shard]);
    of_[shard].reset();
}

void SectionMemory::learn(std::uint32_t shard, std::uint32_t node, const SectionWord& word, Nanos asked_at,
                          Nanos now) {
    if (shard >= of_.size()) return;
    hear_version(shard, word.version);
    const Nanos lease = std::min(word.lease, max_lease_);
    const Nanos until = asked_at + lease - lease / drift_share;
    if (!word.has_filter || until <= now) return;
    if (of_[shard]) {
        Kept& kept = **of_[shard];
        if (kept.version > word.version) return;
        if (kept.version == word.version && kept.node == node) {  // the same word, for longer
            kept.until = std::max(kept.until, until);
            return;
        }
        drop(shard);
    }
    Kept kept{shard, node, word.version, until, word.filter};
    const std::size_t size = size_of(kept);
    if (size > max_bytes_) return;
    while (bytes_ + size > max_bytes_) drop(by_use_.back().shard);
    by_use_.push_front(std::move(kept));
    of_[shard] = by_use_.begin();
    bytes_ += size_of(by_use_.front());
}

void SectionMemory::hear_version(std::uint32_t shard, std::uint64_t version) {
    if (shard < of_.size() && of_[shard] && (*of_[shard])->version < version) drop(shard);
}

std::optional<std::uint32_t> SectionMemory::rules_out(std::uint32_t shard, const FindKeys& keys, Nanos now) {
    if (shard >= of_.size() || !of_[shard]) return std::nullopt;
    const Place at = *of_[shard];
    if (at->until <= now) {
        drop(shard);
        return std::nullopt;
    }
    by_use_.splice(by_use_.begin(), by_use_, at);
    const auto none_of = [&](std::uint64_t hash) { return !may_hold(at->filter.terms, hash); };
    if (std::any_of(keys.hashes.begin(), keys.hashes.end(), none_of)) return at->node;
    for (const FieldRange& range : keys.find->ranges)
        for (const SectionFilter::Extent& e : at->filter.extents)
            if (e.field == range.field && (e.most < range.from || e.least > range.to)) return at->node;
    return std::nullopt;
}

void SectionMemory::forget_all() {
    while (!by_use_.empty()) drop(by_use_.back().shard);
}

void SectionMemory::forget_words_of(std::uint32_t node) {
    for (auto at = by_use_.begin(); at != by_use_.end();) {
        const std::uint32_t shard = at->shard;
        const bool theirs = at->node == node;
        ++at;
        if (theirs) drop(shard);
    }
}

}  // namespace tealcart
