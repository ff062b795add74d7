// Maps wide ids to small dense indices and hands freed indices out again. Holds no decisions.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tealcart::router {

class IdIndex {
  public:
    static constexpr std::uint32_t none = UINT32_MAX;

    // The index of `id`, or `none`.
    std::uint32_t find(std::uint64_t id) const {
        const auto it = index_.find(id);
        return it == index_.end() ? none : it->second;
    }

    // The index of `id`, taken anew where the id is not known yet.
    std::uint32_t insert(std::uint64_t id) {
        const auto [it, is_new] = index_.try_emplace(id, 0);
        if (is_new) it->second = take_index();
        return it->second;
    }

    // Frees the index of `id`, if it is known.
    void erase(std::uint64_t id) {
        const auto it = index_.find(id);
        if (it == index_.end()) return;
        free_.push_back(it->second);
        index_.erase(it);
    }

    // Every index handed out so far lies below this.
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
