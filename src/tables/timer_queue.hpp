// All timers of a process in one binary heap that knows where each entry lies, so that one can be dropped
// before its time.
#pragma once

#include <cstdint>
#include <vector>

#include "router/query_router.hpp"
#include "tables/slot_map.hpp"

namespace tealcart {

// Notified when one of its timers is due, with what the timer was added with.
class DueHandler {
  public:
    virtual ~DueHandler() = default;
    virtual void on_due(Handle who, std::uint64_t what) = 0;
};

class TimerQueue {
  public:
    using Ticket = Handle;
    static constexpr Ticket none = {};
    static constexpr Nanos never = INT64_MAX;

    // Adds a timer that is due at this time. The handler must outlive it.
    Ticket add(Nanos at, DueHandler& handler, Handle who, std::uint64_t what = 0);

    // Drops a timer, and sets its ticket to none. Does nothing for none.
    void drop(Ticket& ticket);

    // Drops the ticket's timer, if any, and adds a new one.
    void move(Ticket& ticket, Nanos at, DueHandler& handler, Handle who, std::uint64_t what = 0) {
        drop(ticket);
        ticket = add(at, handler, who, what);
    }

    // When the earliest timer is due.
    Nanos next() const { return heap_.empty() ? never : entry_at(0).at; }
    std::size_t size() const { return heap_.size(); }

    // Calls the handlers of all timers that are due by now, the earliest first, in the order of adding where
    // times are equal. A handler's own ticket is void when it is called. A timer that is added meanwhile
    // waits for the next call where it is due after `now`.
    void fire_due(Nanos now);

  private:
    struct Entry {
        Nanos at = 0;
        std::uint64_t order = 0;  // of adding
        DueHandler* handler = nullptr;
        Handle who;
        std::uint64_t what = 0;
        std::uint32_t position = 0;  // in the heap
    };

    Entry& entry_at(std::uint32_t position) { return *entries_.find(heap_[position]); }
    const Entry& entry_at(std::uint32_t position) const { return *entries_.find(heap_[position]); }
    static bool is_before(const Entry& a, const Entry& b) {
        return a.at != b.at ? a.at < b.at : a.order < b.order;
    }
    void place(std::uint32_t position, Ticket ticket) {
        heap_[position] = ticket;
        entry_at(position).position = position;
    }
    void sift_up(std::uint32_t position);
    void sift_down(std::uint32_t position);

    SlotMap<Entry> entries_;
    std::vector<Ticket> heap_;
    std::uint64_t next_order_ = 0;
};

}  // namespace tealcart
