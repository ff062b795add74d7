// A relay's copy of the document, and what its followers are given of it. No I/O; times are of the caller's
// clock, in ns.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "changes/document.hpp"
#include "relay/delta_history.hpp"
#include "router/query_router.hpp"
#include "wire/change_messages.hpp"

namespace tealcart::relay {

// A token bucket over all followers.
class PageLimiter {
  public:
    PageLimiter(double pages_a_second, Nanos now);

    // Takes one page out of the bucket; false where there is none.
    bool try_acquire(Nanos now);

  private:
    const double pages_a_second_, burst_;
    double available_;
    Nanos refilled_at_;
};

class DocumentSource {
  public:
    DocumentSource(std::size_t page_bytes, double pages_a_second, Nanos now);

    enum class Applied : std::uint8_t { new_version, nothing, wrong_digest };
    // Applies the delta or the page that a fleet manager has answered with.
    Applied apply(const ChangesAnswer& answer);
    // What a follower at this position is to be told, without its lease; nothing where the page that it needs
    // has to wait for those of others.
    std::optional<ChangesAnswer> answer_for(const WatchPosition& position, Nanos now);
    // The answer that has no part of the document.
    ChangesAnswer empty_answer() const;

    const changes::DocumentCopy& copy() const { return copy_; }

  private:
    // A delta to the latest version, where one is kept that is not too long.
    std::optional<changes::Delta> delta_since(std::uint64_t version);

    const std::size_t page_bytes_;
    PageLimiter page_limiter_;
    changes::DocumentCopy copy_;
    DeltaHistory history_;
    // Deltas to the latest version that were merged before, by the version that they begin at.
    std::map<std::uint64_t, std::optional<changes::Delta>> merged_;
};

}  // namespace tealcart::relay
