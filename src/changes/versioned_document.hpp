// The document's versions: the latest one as a whole, and of the last ones what they changed, there and back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "changes/document.hpp"

namespace tealcart::changes {

// Entries that are set and keys that are removed; no key is both.
struct DocumentChange {
    std::map<std::string, std::string> set;
    std::set<std::string> removed;

    bool empty() const { return set.empty() && removed.empty(); }
    std::size_t entries() const { return set.size() + removed.size(); }
    std::size_t bytes() const;  // of keys and values
    // This change and then the next one, as one.
    void append(const DocumentChange& next);
};

// A version whose delta is kept, in both directions.
struct KeptVersion {
    std::uint64_t version = 0;
    Nanos published_at = 0;
    std::string requested_by;
    DocumentChange forward, back;  // from the version before, and to it
    std::uint64_t digest = 0;
};

class VersionedDocument {
  public:
    const Document& document() const { return document_; }
    std::uint64_t version() const { return version_; }             // the latest; 0: none was published
    std::uint64_t digest() const { return digest_; }               // of the latest
    const std::deque<KeptVersion>& kept() const { return kept_; }  // the last ones, without a gap

    // Makes the next version, with the change.
    void publish(const std::string& requested_by, Nanos at, const DocumentChange& change);
    // What leads from the latest version back to the content of an earlier one; nothing: that is not kept.
    std::optional<DocumentChange> change_back_to(std::uint64_t version) const;
    // The latest version stays, however long it is.
    void trim(std::size_t max_kept, std::size_t max_kept_bytes);

    // What leads from a copy's version to the latest; nothing: it is not kept, or was never published.
    std::optional<Delta> since(std::uint64_t version) const;
    // The latest version in pages: entries after this key, of so many bytes or one.
    Page page(const std::string& after, std::size_t max_bytes) const;

    // From a snapshot.
    void restore(Document document, std::uint64_t version, std::deque<KeptVersion> kept);

  private:
    void apply(const DocumentChange& change, DocumentChange& back);

    Document document_;
    std::uint64_t version_ = 0, digest_ = 0;
    std::deque<KeptVersion> kept_;
    std::size_t kept_bytes_ = 0;
};

}  // namespace tealcart::changes
