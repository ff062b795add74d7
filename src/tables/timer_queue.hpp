// All deadlines of the service in one ordered structure: a binary heap that knows where each entry lies, so
// that one can be dropped before its time.
#pragma once

#include <cstdint>
#include <vector>

#include "router/query_router.hpp"
#include "tables/slot_map.hpp"

namespace tealcart {

// Whoever hangs deadlines in is told when one is due.
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

    Ticket add(Nanos at, DueHandler& handler, Handle who, std::uint64_t what = 0);

    // Drops a deadline that is no longer wanted; the ticket is void from then on.
    void drop(Ticket& ticket);

    // Drops the ticket's deadline, if any, and hangs a new one in.
    void move(Ticket& ticket, Nanos at, DueHandler& handler, Handle who, std::uint64_t what = 0) {
        drop(ticket);
        ticket = add(at, handler, who, what);
    }

    Nanos next() const { return heap_.empty() ? never : at(0).at; }
    std::size_t size() const { return heap_.size(); }

    // Tells the handlers of all that is due by now, the earliest first, in the order of adding where times
    // are equal. A handler's own ticket is void when it is told. What is added meanwhile waits for the next
    // call when it is due after `now`.
    void tell(Nanos now);

  private:
    struct Entry {
        Nanos at = 0;
        std::uint64_t order = 0;
        DueHandler* handler = nullptr;
        Handle who;
        std::uint64_t what = 0;
        std::uint32_t place = 0;
    };

    Entry& at(std::uint32_t place) { return *entries_.find(heap_[place]); }
    const Entry& at(std::uint32_t place) const { return *entries_.find(heap_[place]); }
    static bool before(const Entry& a, const Entry& b) {
        return a.at != b.at ? a.at < b.at : a.order < b.order;
    }
    void put(std::uint32_t place, Ticket entry) {
        heap_[place] = entry;
        at(place).place = place;
    }
    void rise(std::uint32_t place);
    void sink(std::uint32_t place);

    SlotMap<Entry> entries_;
    std::vector<Ticket> heap_;
    std::uint64_t order_ = 0;
};

}  // namespace tealcart
