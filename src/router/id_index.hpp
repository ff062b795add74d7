// Maps ids to small dense indices.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tealcart::router {

// Assigns each id the most recently freed index, or the next unused one.
class IdIndex {
  public:
    static constexpr std::uint32_t none = UINT32_MAX;

    // Returns the index of `id`, or `none` if the id is not known.
    std::uint32_t find(std::uint64_t id) const {
        const auto it = index_.find(id);
        return it == index_.end() ? none : it->second;
    }

    // Returns the index of `id`, and assigns one if the id is not known.
    std::uint32_t insert(std::uint64_t id) {
        const auto [it, is_new] = index_.try_emplace(id, 0);
        if (is_new) it->second = take_index();
        return it->second;
    }

    // Frees the index of `id`. Does nothing if the id is not known.
    void erase(std::uint64_t id) {
        const auto it = index_.find(id);
        if (it == index_.end()) return;
        free_.push_back(it->second);
        index_.erase(it);
    }

    // One more than the largest index that was ever assigned.
    std::uint32_t size() const { return size_; }

  private:
    std::uint32_t take_index() {
        if (free_.empty()) return size_++;
        const std::uint32_t index = free_.back();
        free_.pop_back();
        return index;
    }

    std::unordered_map<std::uint64_t, std::uint32_t> index_;
    std::vector<std::uint32_t> free_;
    std::uint32_t size_ = 0;
};

}  // namespace tealcart::router
