#include "changes/versioned_document.hpp"

#include <utility>

namespace tealcart::changes {
namespace {

std::size_t bytes_of(const KeptVersion& kept) { return kept.forward.bytes() + kept.back.bytes(); }

}  // namespace

void DocumentChange::append(const DocumentChange& next) {
    for (const auto& [key, value] : next.set) {
        set[key] = value;
        removed.erase(key);
    }
    for (const std::string& key : next.removed) {
        set.erase(key);
        removed.insert(key);
    }
}

std::size_t DocumentChange::bytes() const {
    std::size_t sum = 0;
    for (const auto& [key, value] : set) sum += key.size() + value.size();
    for (const std::string& key : removed) sum += key.size();
    return sum;
}

void VersionedDocument::publish(const std::string& requested_by, Nanos at, const DocumentChange& change) {
    KeptVersion kept{++version_, at, requested_by, change, {}, 0};
    apply(change, kept.back);
    kept.digest = digest_;
    kept_bytes_ += bytes_of(kept);
    kept_.push_back(std::move(kept));
}

void VersionedDocument::apply(const DocumentChange& change, DocumentChange& back) {
    const auto save_old = [&](const std::string& key) {
        const auto old = document_.find(key);
        if (old == document_.end()) {
            back.removed.insert(key);
            return;
        }
        digest_ -= digest_of(key, old->second);
        back.set.emplace(key, old->second);
    };
    for (const auto& [key, value] : change.set) {
        save_old(key);
        document_[key] = value;
        digest_ += digest_of(key, value);
    }
    for (const std::string& key : change.removed) {
        save_old(key);
        document_.erase(key);
    }
}

std::optional<DocumentChange> VersionedDocument::change_back_to(std::uint64_t version) const {
    if (version == 0 || version > version_ || kept_.empty() || version < kept_.front().version)
        return std::nullopt;
    DocumentChange back;
    for (auto it = kept_.rbegin(); it->version > version; ++it) back.append(it->back);
    // Entries that end up with their current value are no change.
    std::erase_if(back.set, [&](const auto& entry) {
        const auto current = document_.find(entry.first);
        return current != document_.end() && current->second == entry.second;
    });
    std::erase_if(back.removed, [&](const std::string& key) { return !document_.contains(key); });
    return back;
}

void VersionedDocument::trim(std::size_t max_kept, std::size_t max_kept_bytes) {
    while (kept_.size() > 1 && (kept_.size() > max_kept || kept_bytes_ > max_kept_bytes)) {
        kept_bytes_ -= bytes_of(kept_.front());
        kept_.pop_front();
    }
}

std::optional<Delta> VersionedDocument::since(std::uint64_t version) const {
    if (version > version_) return std::nullopt;
    Delta delta{version, version_, {}, {}, digest_};
    if (version == version_) return delta;
    if (kept_.empty() || version + 1 < kept_.front().version) return std::nullopt;
    DocumentChange all;
    const std::uint64_t first = version + 1 - kept_.front().version;
    for (std::uint64_t i = first; i < kept_.size(); ++i) all.append(kept_[i].forward);
    delta.set = std::move(all.set);
    delta.removed = std::move(all.removed);
    return delta;
}

Page VersionedDocument::page(const std::string& after, std::size_t max_bytes) const {
    Page page{version_, digest_, after, {}, false};
    std::size_t bytes = 0;
    auto it = document_.upper_bound(after);
    for (; it != document_.end(); ++it) {
        bytes += it->first.size() + it->second.size();
        if (bytes > max_bytes && !page.entries.empty()) break;
        page.entries.emplace_hint(page.entries.end(), *it);
    }
    page.last = it == document_.end();
    return page;
}

void VersionedDocument::restore(Document document, std::uint64_t version, std::deque<KeptVersion> kept) {
    document_ = std::move(document);
    version_ = version;
    digest_ = digest_of(document_);
    kept_ = std::move(kept);
    kept_bytes_ = 0;
    for (const KeptVersion& kept_version : kept_) kept_bytes_ += bytes_of(kept_version);
}

}  // namespace tealcart::changes
