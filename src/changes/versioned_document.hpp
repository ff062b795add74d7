// The versions of the document: the latest one in full, and the changes of the most recent ones, forward and
// backward.
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

// Entries that are set and keys that are removed. No key is both.
struct DocumentChange {
    std::map<std::string, std::string> set;
    std::set<std::string> removed;

    bool empty() const { return set.empty() && removed.empty(); }
    std::size_t entries() const { return set.size() + removed.size(); }
    std::size_t bytes() const;  // of all keys and values
    // Merges the next change into this one.
    void append(const DocumentChange& next);
};

// A version whose change is kept in both directions.
struct KeptVersion {
    std::uint64_t version = 0;
    Nanos published_at = 0;
    std::string requested_by;
    DocumentChange forward, back;  // from the previous version, and back to it
    std::uint64_t digest = 0;
};

// Holds the latest version and produces deltas, pages and rollbacks.
class VersionedDocument {
  public:
    const Document& document() const { return document_; }
    std::uint64_t version() const { return version_; }             // the latest; 0 if none was published
    std::uint64_t digest() const { return digest_; }               // of the latest version
    const std::deque<KeptVersion>& kept() const { return kept_; }  // the most recent versions, without gaps

    // Creates the next version by applying the change.
    void publish(const std::string& requested_by, Nanos at, const DocumentChange& change);
    // The change from the latest version back to the content of an earlier one; nullopt if that one is not
    // kept.
    std::optional<DocumentChange> change_back_to(std::uint64_t version) const;
    // Drops the oldest versions beyond the limits. The latest version is kept, however large it is.
    void trim(std::size_t max_kept, std::size_t max_kept_bytes);

    // The delta from a follower's version to the latest one; nullopt if that version is not kept or was never
    // published.
    std::optional<Delta> since(std::uint64_t version) const;
    // A page of the latest version: the entries after this key, up to `max_bytes` but at least one entry.
    Page page(const std::string& after, std::size_t max_bytes) const;

    // Restores the versions of a snapshot.
    void restore(Document document, std::uint64_t version, std::deque<KeptVersion> kept);

  private:
    void apply(const DocumentChange& change, DocumentChange& back);

    Document document_;
    std::uint64_t version_ = 0, digest_ = 0;
    std::deque<KeptVersion> kept_;
    std::size_t kept_bytes_ = 0;
};

}  // namespace tealcart::changes
