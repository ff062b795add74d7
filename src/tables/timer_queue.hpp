// The timers of a process in one binary heap. Each entry stores its heap position, so that a timer can be
// cancelled before it is due.
#pragma once

#include <cstdint>
#include <vector>

#include "router/query_router.hpp"
#include "tables/slot_map.hpp"

namespace tealcart {

// Receives the timers that were added for it. `owner` and `cookie` are the values passed to `add`.
class TimerHandler {
  public:
    virtual ~TimerHandler() = default;
    virtual void on_timer_due(Handle owner, std::uint64_t cookie) = 0;
};

// Timers ordered by due time. Not thread-safe.
class TimerQueue {
  public:
    using TimerId = Handle;
    static constexpr TimerId none = {};
    static constexpr Nanos never = INT64_MAX;

    // Adds a timer that is due at `at`. The handler must outlive the timer.
    TimerId add(Nanos at, TimerHandler& handler, Handle owner, std::uint64_t cookie = 0);

    // Cancels the timer and sets `timer` to `none`. Does nothing if it is `none`.
    void cancel(TimerId& timer);

    // Cancels the timer unless it is `none`, then adds a new one and stores its id in `timer`.
    void reschedule(TimerId& timer, Nanos at, TimerHandler& handler, Handle owner, std::uint64_t cookie = 0) {
        cancel(timer);
        timer = add(at, handler, owner, cookie);
    }

    // When the earliest timer is due; `never` if there is none.
    Nanos next() const { return heap_.empty() ? never : entry_at(0).at; }
    std::size_t size() const { return heap_.size(); }

    // Calls the handlers of all timers that are due by `now`, earliest first and in the order of insertion
    // among equal times. The id of a timer is no longer valid when its handler is called. A timer that a
    // handler adds fires in the same call only if it is due by `now`.
    void fire_due(Nanos now);

  private:
    struct Entry {
        Nanos at = 0;
        std::uint64_t order = 0;  // of insertion
        TimerHandler* handler = nullptr;
        Handle owner;
        std::uint64_t cookie = 0;
        std::uint32_t position = 0;  // in the heap
    };

    Entry& entry_at(std::uint32_t position) { return *entries_.find(heap_[position]); }
    const Entry& entry_at(std::uint32_t position) const { return *entries_.find(heap_[position]); }
    static bool is_before(const Entry& a, const Entry& b) {
        return a.at != b.at ? a.at < b.at : a.order < b.order;
    }
    void place(std::uint32_t position, TimerId timer) {
        heap_[position] = timer;
        entry_at(position).position = position;
    }
    void sift_up(std::uint32_t position);
    void sift_down(std::uint32_t position);

    SlotMap<Entry> entries_;
    std::vector<TimerId> heap_;
    std::uint64_t next_order_ = 0;
};

}  // namespace tealcart
