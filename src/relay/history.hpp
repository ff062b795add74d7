// What a relay can hand on of the document: the deltas that led to what it has, as far as they are kept, and
// its pages. No I/O.
#pragma once

#include <deque>
#include <optional>

#include "changes/document.hpp"

namespace tealcart::relay {

std::size_t bytes_of(const changes::Delta& delta);  // of its keys and values

class History {
  public:
    History(std::size_t max_deltas, std::size_t max_bytes) : max_deltas_(max_deltas), max_bytes_(max_bytes) {}

    // The copy took it: it begins where the last ended, or before.
    void took(changes::Delta delta);
    // The copy came by pages: nothing leads to it.
    void forget();
    // What leads a copy at this version to the last delta's. It may begin earlier: each delta states what
    // entries are, not how they differ.
    std::optional<changes::Delta> since(std::uint64_t version) const;

  private:
    const std::size_t max_deltas_, max_bytes_;
    std::deque<changes::Delta> deltas_;
    std::size_t bytes_ = 0;
};

// Entries behind this key, up to so many bytes of keys and values, and one at least.
changes::Page page_of(const changes::Copy& copy, const std::string& after, std::size_t max_bytes);

}  // namespace tealcart::relay
