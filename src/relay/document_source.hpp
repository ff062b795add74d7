// A relay's copy of the document, and the answers that followers get from it. No I/O; times are in ns of the
// caller's clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "changes/document.hpp"
#include "relay/delta_history.hpp"
#include "router/query_router.hpp"
#include "wire/change_messages.hpp"

namespace tealcart::relay {

// A token bucket that limits the pages to all followers together.
class PageLimiter {
  public:
    PageLimiter(double pages_a_second, Nanos now);

    // Takes one token; returns false if there is none.
    bool try_acquire(Nanos now);

  private:
    const double pages_a_second_, burst_;
    double available_;
    Nanos refilled_at_;
};

// Applies the answers of fleet managers to the copy, and computes the answers for followers.
class DocumentSource {
  public:
    DocumentSource(std::size_t page_bytes, double pages_a_second, Nanos now);

    // The result of applying an answer.
    enum class Applied : std::uint8_t { new_version, nothing, wrong_digest };
    // Applies the delta or the page of a fleet manager's answer.
    Applied apply(const ChangesAnswer& answer);
    // The answer for a follower at this position, without its lease; nullopt if it needs a page that the rate
    // limit delays.
    std::optional<ChangesAnswer> answer_for(const WatchPosition& position, Nanos now);
    // An answer without any part of the document.
    ChangesAnswer empty_answer() const;

    const changes::DocumentCopy& copy() const { return copy_; }

  private:
    // A delta to the latest version, if there is one that is not too long.
    std::optional<changes::Delta> delta_since(std::uint64_t version);

    const std::size_t page_bytes_;
    PageLimiter page_limiter_;
    changes::DocumentCopy copy_;
    DeltaHistory history_;
    // Cache of merged deltas to the latest version, by the version that they begin at.
    std::map<std::uint64_t, std::optional<changes::Delta>> merged_;
};

}  // namespace tealcart::relay
