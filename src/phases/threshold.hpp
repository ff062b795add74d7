// The rank that a row must reach to be among the N highest-ranked rows known so far.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace tealcart {

// Keeps the N highest ranks in a min-heap.
class TopRankThreshold {
  public:
    explicit TopRankThreshold(int rows) : rows_(static_cast<std::size_t>(std::max(rows, 1))) {}

    void add(double rank) {
        if (heap_.size() < rows_) {
            heap_.push_back(rank);
            std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
        } else if (rank > heap_.front()) {
            std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
            heap_.back() = rank;
            std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
        }
    }

    // Returns the Nth highest rank, or minus infinity while fewer than N are known, since any row can enter.
    double value() const { return heap_.size() < rows_ ? -HUGE_VAL : heap_.front(); }

    // A tie with the Nth rank can enter, because rows of equal rank have a further order that is not known
    // here.
    bool can_enter(double max_rank) const { return max_rank >= value(); }

  private:
    std::size_t rows_;
    std::vector<double> heap_;
};

}  // namespace tealcart
