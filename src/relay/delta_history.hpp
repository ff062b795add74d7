// The latest deltas that led to a relay's copy of the document, and pages of the copy for followers that are
// further behind. No I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "changes/document.hpp"

namespace tealcart::relay {

// Bytes of its keys and values.
std::size_t size_of(const changes::Delta& delta);

class DeltaHistory {
  public:
    // Of more deltas or bytes, the oldest are dropped.
    DeltaHistory(std::size_t max_deltas, std::size_t max_bytes)
        : max_deltas_(max_deltas), max_bytes_(max_bytes) {}

    // The copy applied this delta, which begins at the end of the last one, or before.
    void append(changes::Delta delta);
    // The copy was replaced by pages, to which no delta leads.
    void clear();
    // The merged deltas that lead a copy at this version to the last delta's; nothing where they are not all
    // kept. It may begin earlier: a delta states what entries are, not how they differ.
    std::optional<changes::Delta> since(std::uint64_t version) const;

  private:
    const std::size_t max_deltas_, max_bytes_;
    std::deque<changes::Delta> deltas_;
    std::size_t bytes_ = 0;
};

// Entries after the key `after`, up to so many bytes of keys and values, but one at least.
changes::Page page_of(const changes::DocumentCopy& copy, const std::string& after, std::size_t max_bytes);

}  // namespace tealcart::relay
