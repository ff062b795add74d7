// The document that holds a fleet's configuration as entries by key, and the deltas and pages in which it is
// transferred. The copy of a follower (a relay or a router) applies each version as a whole or not at all,
// and never goes back to an earlier one. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tealcart::changes {

using Nanos = std::int64_t;
using Document = std::map<std::string, std::string>;

// A digest that does not depend on the order of the entries, so that the cost of updating it is that of the
// changed entries only. It protects against corruption, not against forgery.
std::uint64_t digest_of(const std::string& key, const std::string& value);
std::uint64_t digest_of(const Document& document);  // the sum over its entries, modulo 2^64

// The changes that lead from one version of the document to a later one.
struct Delta {
    std::uint64_t from = 0, to = 0;  // versions
    std::map<std::string, std::string> set;
    std::set<std::string> removed;
    std::uint64_t digest = 0;  // of the document at `to`

    bool empty() const { return from == to; }
    friend bool operator==(const Delta&, const Delta&) = default;
};

// A part of the document at one version, in key order.
struct Page {
    std::uint64_t version = 0, digest = 0;  // of the whole document
    std::string after;  // the page holds entries after this key; empty: from the first one
    std::map<std::string, std::string> entries;
    bool last = false;

    friend bool operator==(const Page&, const Page&) = default;
};

// A follower's copy of the document.
class DocumentCopy {
  public:
    // `max_bytes`: the maximum size of the keys and values of a document that is received in pages. A larger
    // one is rejected as corrupt.
    explicit DocumentCopy(std::size_t max_bytes = std::size_t{64} << 20) : max_bytes_(max_bytes) {}

    // The outcome of applying a delta or a page.
    enum class ApplyResult : std::uint8_t {
        applied,     // the copy is now at the version of the delta or of the last page
        incomplete,  // further pages are needed: request those after next_page_after()
        unchanged,   // the copy already has this version
        gap,         // the delta begins after the version of this copy: request pages
        corrupt  // the content is inconsistent or does not match its digest; nothing changed: request pages
    };

    // A delta that begins before the version of this copy is applied too, provided that it leads to a later
    // version.
    ApplyResult apply(const Delta& delta);
    // Pages of one version have to arrive in order; a page of another version restarts the transfer. A page
    // that is not the next one changes nothing and yields `incomplete`.
    ApplyResult apply(const Page& page);

    std::uint64_t version() const { return version_; }
    std::uint64_t digest() const { return digest_; }
    const Document& document() const { return document_; }
    bool needs_pages() const { return needs_pages_; }
    const std::string& next_page_after() const { return after_; }

  private:
    // Drops the pages received so far and returns `result`.
    ApplyResult discard_pages(ApplyResult result);

    std::size_t max_bytes_, pending_bytes_ = 0;
    std::uint64_t version_ = 0, digest_ = 0;
    Document document_;
    bool needs_pages_ = false;
    std::string after_;  // the last key of the last page that was received
    std::uint64_t pending_version_ = 0, pending_digest_ = 0;
    Document pending_document_;
};

}  // namespace tealcart::changes
