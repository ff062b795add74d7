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

Copy::Taken Copy::begin_anew(Taken why) {
    coming_.clear();
    after_.clear();
    coming_version_ = coming_digest_ = 0;
    coming_bytes_ = 0;
    wants_pages_ = why != Taken::taken;
    return why;
}

// The digest of what would come out is known before anything is changed.
Copy::Taken Copy::take(const Delta& delta) {
    if (delta.to <= version_) return Taken::known;
    if (delta.from > version_) {
        wants_pages_ = true;
        return Taken::gap;
    }
    std::uint64_t digest = digest_;
    const auto without = [&](const std::string& key) {
        if (const auto it = document_.find(key); it != document_.end()) digest -= digest_of(key, it->second);
    };
    for (const auto& [key, value] : delta.set) {
        without(key);
        digest += digest_of(key, value);
    }
    for (const std::string& key : delta.removed) {
        if (delta.set.contains(key)) return begin_anew(Taken::spoilt);
        without(key);
    }
    if (digest != delta.digest) {
        wants_pages_ = true;
        return Taken::spoilt;
    }
    for (const auto& [key, value] : delta.set) document_[key] = value;
    for (const std::string& key : delta.removed) document_.erase(key);
    version_ = delta.to;
    digest_ = digest;
    return begin_anew(Taken::taken);
}

Copy::Taken Copy::take(const Page& page) {
    if (page.version <= version_) return Taken::known;
    if (page.version != coming_version_ || page.digest != coming_digest_) {
        // A late one of an earlier version; but its first page may come of another relay, which is not so
        // far.
        if (page.version < coming_version_ && !page.after.empty()) return Taken::more;
        begin_anew(Taken::more);
        coming_version_ = page.version;
        coming_digest_ = page.digest;
    }
    if (page.after != after_) return Taken::more;
    if (page.entries.empty() ? !page.last : page.entries.begin()->first <= page.after)
        return begin_anew(Taken::spoilt);
    for (const auto& [key, value] : page.entries) coming_bytes_ += key.size() + value.size();
    if (coming_bytes_ > max_bytes_) return begin_anew(Taken::spoilt);
    coming_.insert(page.entries.begin(), page.entries.end());
    if (!page.entries.empty()) after_ = page.entries.rbegin()->first;
    wants_pages_ = true;
    if (!page.last) return Taken::more;
    if (digest_of(coming_) != coming_digest_) return begin_anew(Taken::spoilt);
    document_ = std::move(coming_);
    version_ = coming_version_;
    digest_ = coming_digest_;
    return begin_anew(Taken::taken);
}

}  // namespace tealcart::changes
