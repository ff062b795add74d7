#include "changes/document.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tealcart::changes {

std::uint64_t digest_of(const std::string& key, const std::string& value) {
    return XXH3_64bits_withSeed(value.data(), value.size(), XXH3_64bits(key.data(), key.size()));
}

std::uint64_t digest_of(const Document& document) {
    std::uint64_t sum = 0;
    for (const auto& [key, value] : document) sum += digest_of(key, value);
    return sum;
}

DocumentCopy::ApplyResult DocumentCopy::discard_pages(ApplyResult result) {
    pending_document_.clear();
    after_.clear();
    pending_version_ = pending_digest_ = 0;
    pending_bytes_ = 0;
    needs_pages_ = result != ApplyResult::applied;
    return result;
}

// The digest of the result is computed and checked before anything is changed.
DocumentCopy::ApplyResult DocumentCopy::apply(const Delta& delta) {
    if (delta.to <= version_) return ApplyResult::unchanged;
    if (delta.from > version_) {
        needs_pages_ = true;
        return ApplyResult::gap;
    }
    std::uint64_t digest = digest_;
    const auto subtract_old = [&](const std::string& key) {
        if (const auto it = document_.find(key); it != document_.end()) digest -= digest_of(key, it->second);
    };
    for (const auto& [key, value] : delta.set) {
        subtract_old(key);
        digest += digest_of(key, value);
    }
    for (const std::string& key : delta.removed) {
        if (delta.set.contains(key)) return discard_pages(ApplyResult::corrupt);
        subtract_old(key);
    }
    if (digest != delta.digest) {
        needs_pages_ = true;
        return ApplyResult::corrupt;
    }
    for (const auto& [key, value] : delta.set) document_[key] = value;
    for (const std::string& key : delta.removed) document_.erase(key);
    version_ = delta.to;
    digest_ = digest;
    return discard_pages(ApplyResult::applied);
}

DocumentCopy::ApplyResult DocumentCopy::apply(const Page& page) {
    if (page.version <= version_) return ApplyResult::unchanged;
    if (page.version != pending_version_ || page.digest != pending_digest_) {
        // Ignore a late page of an earlier version. A first page is accepted nevertheless: it may come from
        // another relay that has not received the later version yet.
        if (page.version < pending_version_ && !page.after.empty()) return ApplyResult::incomplete;
        discard_pages(ApplyResult::incomplete);
        pending_version_ = page.version;
        pending_digest_ = page.digest;
    }
    if (page.after != after_) return ApplyResult::incomplete;
    if (page.entries.empty() ? !page.last : page.entries.begin()->first <= page.after)
        return discard_pages(ApplyResult::corrupt);
    for (const auto& [key, value] : page.entries) pending_bytes_ += key.size() + value.size();
    if (pending_bytes_ > max_bytes_) return discard_pages(ApplyResult::corrupt);
    pending_document_.insert(page.entries.begin(), page.entries.end());
    if (!page.entries.empty()) after_ = page.entries.rbegin()->first;
    needs_pages_ = true;
    if (!page.last) return ApplyResult::incomplete;
    if (digest_of(pending_document_) != pending_digest_) return discard_pages(ApplyResult::corrupt);
    document_ = std::move(pending_document_);
    version_ = pending_version_;
    digest_ = pending_digest_;
    return discard_pages(ApplyResult::applied);
}

}  // namespace tealcart::changes
