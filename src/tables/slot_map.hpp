// A slot map: values in numbered slots, looked up by generational handles.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace tealcart {

// The slot of a value and the generation of that slot. A default-constructed handle refers to no value.
struct Handle {
    std::uint32_t slot = UINT32_MAX, generation = 0;

    friend bool operator==(const Handle&, const Handle&) = default;
};

// Handles of a released value find nothing, so that a late completion can't reach the next value in the same
// slot. The address of a value doesn't change until the value is released.
template <typename T>
class SlotMap {
  public:
    // Constructs a value from the arguments in a free slot.
    template <typename... Args>
    Handle emplace(Args&&... args) {
        std::uint32_t slot = 0;
        if (free_.empty()) {
            slot = static_cast<std::uint32_t>(cells_.size());
            cells_.emplace_back();
        } else {
            slot = free_.back();
            free_.pop_back();
        }
        Cell& cell = cells_[slot];
        cell.value.emplace(std::forward<Args>(args)...);
        ++size_;
        return {slot, cell.generation};
    }

    // Returns null if the value has been released.
    const T* find(Handle handle) const {
        if (handle.slot >= cells_.size()) return nullptr;
        const Cell& cell = cells_[handle.slot];
        return cell.generation == handle.generation && cell.value ? &*cell.value : nullptr;
    }
    T* find(Handle handle) { return const_cast<T*>(std::as_const(*this).find(handle)); }

    // Destroys the value. Does nothing if it has been released already.
    void release(Handle handle) {
        if (find(handle) == nullptr) return;
        Cell& cell = cells_[handle.slot];
        cell.value.reset();
        ++cell.generation;
        free_.push_back(handle.slot);
        --size_;
    }

    std::size_t size() const { return size_; }

    // Calls visit(handle, value) for all values in slot order. Values that `visit` adds or releases may or
    // may not be visited.
    template <typename Visit>
    void for_each(Visit&& visit) {
        for (std::uint32_t slot = 0; slot < cells_.size(); ++slot)
            if (cells_[slot].value) visit(Handle{slot, cells_[slot].generation}, *cells_[slot].value);
    }
    template <typename Visit>
    void for_each(Visit&& visit) const {
        for (std::uint32_t slot = 0; slot < cells_.size(); ++slot)
            if (cells_[slot].value) visit(Handle{slot, cells_[slot].generation}, *cells_[slot].value);
    }

  private:
    struct Cell {
        std::optional<T> value;
        std::uint32_t generation = 1;
    };

    std::deque<Cell> cells_;
    std::vector<std::uint32_t> free_;
    std::size_t size_ = 0;
};

}  // namespace tealcart
