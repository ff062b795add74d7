// The latest deltas that led to a relay's copy of the document, and pages of the copy for followers that are
// too far behind for a delta. No I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "changes/document.hpp"

namespace tealcart::relay {

// The size of the delta's keys and values in bytes.
std::size_t size_of(const changes::Delta& delta);

// Retains a bounded number of consecutive deltas.
class DeltaHistory {
  public:
    // The oldest deltas are dropped when there are more deltas or bytes than this.
    DeltaHistory(std::size_t max_deltas, std::size_t max_bytes)
        : max_deltas_(max_deltas), max_bytes_(max_bytes) {}

    // Adds a delta that the copy applied. It begins where the previous one ends, or earlier.
    void append(changes::Delta delta);
    // Drops all deltas, as the copy was replaced by pages.
    void clear();
    // Merges the deltas that lead from this version to the latest one; nullopt if some of them are not
    // retained. The result may begin earlier, which is safe as a delta states the values of entries and not
    // their differences.
    std::optional<changes::Delta> since(std::uint64_t version) const;

  private:
    const std::size_t max_deltas_, max_bytes_;
    std::deque<changes::Delta> deltas_;
    std::size_t bytes_ = 0;
};

// A page of the entries after the key `after`: up to `max_bytes` of keys and values, but at least one entry.
changes::Page page_of(const changes::DocumentCopy& copy, const std::string& after, std::size_t max_bytes);

}  // namespace tealcart::relay
