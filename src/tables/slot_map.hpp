// A table of numbered slots. A handle holds the slot and the life it was taken for: once given back, old
// handles find nothing, so that a completion of an old life can't touch a new one.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace tealcart {

struct Handle {
    std::uint32_t slot = UINT32_MAX, life = 0;

    friend bool operator==(const Handle&, const Handle&) = default;
};

template <typename T>
class SlotMap {
  public:
    template <typename... Args>
    Handle take(Args&&... args) {
        std::uint32_t slot = 0;
        if (free_.empty()) {
            slot = static_cast<std::uint32_t>(cells_.size());
            cells_.emplace_back();
        } else {
            slot = free_.back();
            free_.pop_back();
        }
        cells_[slot].value.emplace(std::forward<Args>(args)...);
        ++used_;
        return {slot, cells_[slot].life};
    }

    // Null where the handle's life is over. The address stays the same while it lasts.
    const T* find(Handle h) const {
        if (h.slot >= cells_.size() || cells_[h.slot].life != h.life || !cells_[h.slot].value) return nullptr;
        return &*cells_[h.slot].value;
    }
    T* find(Handle h) { return const_cast<T*>(std::as_const(*this).find(h)); }

    void give_back(Handle h) {
        if (find(h) == nullptr) return;
        cells_[h.slot].value.reset();
        ++cells_[h.slot].life;
        free_.push_back(h.slot);
        --used_;
    }

    std::size_t used() const { return used_; }

    // Calls see(handle, value) for all in use; what it gives back or takes meanwhile may be seen or not.
    template <typename See>
    void each(See&& see) {
        for (std::uint32_t slot = 0; slot < cells_.size(); ++slot)
            if (cells_[slot].value) see(Handle{slot, cells_[slot].life}, *cells_[slot].value);
    }
    template <typename See>
    void each(See&& see) const {
        for (std::uint32_t slot = 0; slot < cells_.size(); ++slot)
            if (cells_[slot].value) see(Handle{slot, cells_[slot].life}, *cells_[slot].value);
    }

  private:
    struct Cell {
        std::optional<T> value;
        std::uint32_t life = 1;
    };

    std::deque<Cell> cells_;
    std::vector<std::uint32_t> free_;
    std::size_t used_ = 0;
};

}  // namespace tealcart
