#include "relay/delta_history.hpp"

#include <iterator>
#include <utility>

namespace tealcart::relay {
namespace {

// Applies `next`, which begins where `merged` ends, to `merged`.
void merge(changes::Delta& merged, const changes::Delta& next) {
    for (const auto& [key, value] : next.set) {
        merged.removed.erase(key);
        merged.set[key] = value;
    }
    for (const std::string& key : next.removed) {
        merged.set.erase(key);
        merged.removed.insert(key);
    }
    merged.to = next.to;
    merged.digest = next.digest;
}

}  // namespace

std::size_t size_of(const changes::Delta& delta) {
    std::size_t bytes = 0;
    for (const auto& [key, value] : delta.set) bytes += key.size() + value.size();
    for (const std::string& key : delta.removed) bytes += key.size();
    return bytes;
}

void DeltaHistory::append(changes::Delta delta) {
    bytes_ += size_of(delta);
    deltas_.push_back(std::move(delta));
    while (!deltas_.empty() && (deltas_.size() > max_deltas_ || bytes_ > max_bytes_)) {
        bytes_ -= size_of(deltas_.front());
        deltas_.pop_front();
    }
}

void DeltaHistory::clear() {
    deltas_.clear();
    bytes_ = 0;
}

std::optional<changes::Delta> DeltaHistory::since(std::uint64_t version) const {
    auto first = deltas_.end();
    while (first != deltas_.begin() && std::prev(first)->to > version) --first;
    if (first == deltas_.end() || first->from > version) return std::nullopt;
    changes::Delta merged = *first;
    for (auto next = std::next(first); next != deltas_.end(); ++next) merge(merged, *next);
    return merged;
}

changes::Page page_of(const changes::DocumentCopy& copy, const std::string& after, std::size_t max_bytes) {
    const changes::Document& document = copy.document();
    changes::Page page{copy.version(), copy.digest(), after, {}, false};
    std::size_t bytes = 0;
    auto entry = after.empty() ? document.begin() : document.upper_bound(after);
    for (; entry != document.end(); ++entry) {
        bytes += entry->first.size() + entry->second.size();
        if (bytes > max_bytes && !page.entries.empty()) break;
        page.entries.emplace_hint(page.entries.end(), *entry);
    }
    page.last = entry == document.end();
    return page;
}

}  // namespace tealcart::relay
