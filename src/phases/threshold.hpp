// The rank that a row must reach to be among the first N, as far as rows are known: a heap of the N highest.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace tealcart {

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

    // The rank of the Nth; while fewer are known, any row may still enter.
    double value() const { return heap_.size() < rows_ ? -HUGE_VAL : heap_.front(); }

    // A row of rank N itself may stand before others of its rank, so a tie enters.
    bool can_enter(double max_rank) const { return max_rank >= value(); }

  private:
    std::size_t rows_;
    std::vector<double> heap_;
};

}  // namespace tealcart
