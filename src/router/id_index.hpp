// Maps wide ids to small dense indices and hands freed indices out again. Holds no decisions.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tealcart {

class IdIndex {
  public:
    static constexpr std::uint32_t none = UINT32_MAX;

    std::uint32_t find(std::uint64_t id) const {
        const auto it = index_.find(id);
        return it == index_.end() ? none : it->second;
    }

    // The index of `id`, taken anew where the id is not known yet.
    std::uint32_t put(std::uint64_t id) {
        const auto [it, fresh] = index_.try_emplace(id, 0);
        if (fresh) {
            if (free_.empty()) {
                it->second = size_++;
            } else {
                it->second = free_.back();
                free_.pop_back();
            }
        }
        return it->second;
    }

    void drop(std::uint64_t id) {
        const auto it = index_.find(id);
        if (it == index_.end()) return;
        free_.push_back(it->second);
        index_.erase(it);
    }

    // Every index handed out so far lies below this.
    std::uint32_t size() const { return size_; }

  private:
    std::unordered_map<std::uint64_t, std::uint32_t> index_;
    std::vector<std::uint32_t> free_;
    std::uint32_t size_ = 0;
};

}  // namespace tealcart
