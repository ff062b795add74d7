// Bounds the bytes that one owner of buffers may hold, and accounts for them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace tealcart {

// The limit and the current sum of the bytes of all charges. Not thread-safe.
class MemoryBudget {
  public:
    explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
    MemoryBudget(const MemoryBudget&) = delete;

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }
    // The largest sum since the last call of `take_peak`.
    std::size_t take_peak() { return std::exchange(peak_, used_); }
    // Returns whether this many further bytes stay within the limit.
    bool fits(std::size_t bytes) const { return used_ <= limit_ && bytes <= limit_ - used_; }

  private:
    friend class MemoryCharge;
    void replace(std::size_t before, std::size_t after) {
        used_ += after - before;
        peak_ = std::max(peak_, used_);
    }

    const std::size_t limit_;
    std::size_t used_ = 0, peak_ = 0;
};

// The bytes that one object holds of a budget; given back by the destructor. A default-constructed charge
// belongs to no budget and counts nothing. The budget must outlive it.
class MemoryCharge {
  public:
    MemoryCharge() = default;
    explicit MemoryCharge(MemoryBudget& budget, std::size_t bytes = 0) : budget_(&budget) { resize(bytes); }
    // A copy holds as many bytes again.
    MemoryCharge(const MemoryCharge& other) : budget_(other.budget_) { resize(other.bytes_); }
    MemoryCharge(MemoryCharge&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    MemoryCharge& operator=(MemoryCharge other) noexcept {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    ~MemoryCharge() { resize(0); }

    // Sets the number of bytes. It may exceed the budget's limit: whoever wants to stay below asks `fits`
    // first.
    void resize(std::size_t bytes) {
        if (budget_ == nullptr) return;
        budget_->replace(bytes_, bytes);
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

  private:
    MemoryBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

}  // namespace tealcart
