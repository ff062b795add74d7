#include "relay/history.hpp"

namespace tealcart::relay {

std::size_t bytes_of(const changes::Delta& delta) {
    std::size_t sum = 0;
    for (const auto& [key, value] : delta.set) sum += key.size() + value.size();
    for (const std::string& key : delta.removed) sum += key.size();
    return sum;
}

void History::took(changes::Delta delta) {
    bytes_ += bytes_of(delta);
    deltas_.push_back(std::move(delta));
    while (!deltas_.empty() && (deltas_.size() > max_deltas_ || bytes_ > max_bytes_)) {
        bytes_ -= bytes_of(deltas_.front());
        deltas_.pop_front();
    }
}

void History::forget() {
    deltas_.clear();
    bytes_ = 0;
}

std::optional<changes::Delta> History::since(std::uint64_t version) const {
    auto from = deltas_.end();
    while (from != deltas_.begin() && std::prev(from)->to > version) --from;
    if (from == deltas_.end() || from->from > version) return std::nullopt;
    changes::Delta all = *from;
    for (++from; from != deltas_.end(); ++from) {
        for (const auto& [key, value] : from->set) {
            all.removed.erase(key);
            all.set[key] = value;
        }
        for (const std::string& key : from->removed) {
            all.set.erase(key);
            all.removed.insert(key);
        }
        all.to = from->to;
        all.digest = from->digest;
    }
    return all;
}

changes::Page page_of(const changes::Copy& copy, const std::string& after, std::size_t max_bytes) {
    changes::Page page{copy.version(), copy.digest(), after, {}, false};
    std::size_t bytes = 0;
    auto it = after.empty() ? copy.document().begin() : copy.document().upper_bound(after);
    for (; it != copy.document().end(); ++it) {
        bytes += it->first.size() + it->second.size();
        if (bytes > max_bytes && !page.entries.empty()) break;
        page.entries.emplace_hint(page.entries.end(), *it);
    }
    page.last = it == copy.document().end();
    return page;
}

}  // namespace tealcart::relay
