#include "relay/document_source.hpp"

#include <algorithm>

namespace tealcart::relay {
namespace {

constexpr std::size_t max_deltas = 1000;
constexpr std::size_t max_delta_bytes = 8u << 20;  // of all retained deltas together
// Bytes of a delta to a follower; beyond it the follower gets pages.
constexpr std::size_t max_delta = 256 * 1024;
constexpr std::size_t max_merged = 16;  // cached deltas, for followers at different versions

}  // namespace

PageLimiter::PageLimiter(double pages_a_second, Nanos now)
    : pages_a_second_(pages_a_second), burst_(std::max(1.0, pages_a_second)), available_(burst_),
      refilled_at_(now) {}

bool PageLimiter::try_acquire(Nanos now) {
    const double since_refill = static_cast<double>(now - refilled_at_) / 1e9;
    available_ = std::min(burst_, available_ + since_refill * pages_a_second_);
    refilled_at_ = now;
    if (available_ < 1) return false;
    available_ -= 1;
    return true;
}

DocumentSource::DocumentSource(std::size_t page_bytes, double pages_a_second, Nanos now)
    : page_bytes_(page_bytes), page_limiter_(pages_a_second, now), history_(max_deltas, max_delta_bytes) {}

DocumentSource::Applied DocumentSource::apply(const ChangesAnswer& answer) {
    using ApplyResult = changes::DocumentCopy::ApplyResult;
    ApplyResult result = ApplyResult::unchanged;
    if (answer.delta) {
        result = copy_.apply(*answer.delta);
        if (result == ApplyResult::applied) history_.append(*answer.delta);
    } else if (answer.page) {
        result = copy_.apply(*answer.page);
        if (result == ApplyResult::applied) history_.clear();
    }
    if (result == ApplyResult::corrupt) return Applied::wrong_digest;
    if (result != ApplyResult::applied) return Applied::nothing;
    merged_.clear();
    return Applied::new_version;
}

std::optional<changes::Delta> DocumentSource::delta_since(std::uint64_t version) {
    if (merged_.size() >= max_merged) merged_.clear();
    const auto [merged, is_new] = merged_.try_emplace(version);
    if (is_new) merged->second = history_.since(version);
    const auto& delta = merged->second;
    if (!delta || size_of(*delta) > max_delta) return std::nullopt;
    return delta;
}

std::optional<ChangesAnswer> DocumentSource::answer_for(const WatchPosition& position, Nanos now) {
    ChangesAnswer answer = empty_answer();
    if (position.known_version >= copy_.version()) return answer;
    if (!position.wants_pages) answer.delta = delta_since(position.known_version);
    if (answer.delta) return answer;
    if (!page_limiter_.try_acquire(now)) return std::nullopt;
    answer.page = page_of(copy_, position.wants_pages ? position.after : "", page_bytes_);
    return answer;
}

ChangesAnswer DocumentSource::empty_answer() const {
    ChangesAnswer answer;
    answer.version = copy_.version();
    return answer;
}

}  // namespace tealcart::relay
