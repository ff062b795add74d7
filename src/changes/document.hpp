// The document that a fleet's configuration is: entries by key, and the deltas and pages it travels in. A
// follower's copy (a relay's, a router's) takes each version over as a whole or not at all, and never goes
// backward. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tealcart::changes {

using Nanos = std::int64_t;
using Document = std::map<std::string, std::string>;

// Independent of the order of entries, so that a delta's costs what it changes. Not against forgery.
std::uint64_t digest_of(const std::string& key, const std::string& value);
std::uint64_t digest_of(const Document& document);  // wrapping sum over its entries

// What leads from one version of the document to a later one.
struct Delta {
    std::uint64_t from = 0, to = 0;  // versions
    std::map<std::string, std::string> set;
    std::set<std::string> removed;
    std::uint64_t digest = 0;  // of the document at `to`

    bool empty() const { return from == to; }
    friend bool operator==(const Delta&, const Delta&) = default;
};

// A part of the document at one version, in the order of keys.
struct Page {
    std::uint64_t version = 0, digest = 0;  // of the whole document
    std::string after;                      // entries after this key; empty: from the first
    std::map<std::string, std::string> entries;
    bool last = false;

    friend bool operator==(const Page&, const Page&) = default;
};

// A follower's copy of the document.
class DocumentCopy {
  public:
    // `max_bytes`: of keys and values that are still coming in pages; more is taken as spoilt.
    explicit DocumentCopy(std::size_t max_bytes = std::size_t{64} << 20) : max_bytes_(max_bytes) {}

    enum class ApplyResult : std::uint8_t {
        applied,     // the copy is at the delta's or the last page's version now
        incomplete,  // a page was taken, further ones are wanted: ask for those after `wants_after`
        unchanged,   // nothing new
        gap,         // it begins after the version that this copy has: ask for pages
        corrupt      // its digest is not what comes out: nothing was changed; ask for pages
    };

    // One that begins earlier than what this copy has is taken too, where it leads further.
    ApplyResult apply(const Delta& delta);
    // Pages of one version in their order; one of another version begins anew. A page that is not the next
    // one changes nothing: `more`.
    ApplyResult apply(const Page& page);

    std::uint64_t version() const { return version_; }
    std::uint64_t digest() const { return digest_; }
    const Document& document() const { return document_; }
    bool needs_pages() const { return needs_pages_; }
    const std::string& next_page_after() const { return after_; }

  private:
    ApplyResult discard_pages(ApplyResult result);

    std::size_t max_bytes_, pending_bytes_ = 0;
    std::uint64_t version_ = 0, digest_ = 0;
    Document document_;
    bool needs_pages_ = false;
    std::string after_;  // the key of the last page's last entry
    std::uint64_t pending_version_ = 0, pending_digest_ = 0;
    Document pending_document_;
};

}  // namespace tealcart::changes
