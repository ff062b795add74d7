#include "tables/timer_queue.hpp"

namespace tealcart {

TimerQueue::Ticket TimerQueue::add(Nanos at, DueHandler& handler, Handle who, std::uint64_t what) {
    const auto position = static_cast<std::uint32_t>(heap_.size());
    const Ticket ticket = entries_.emplace(Entry{at, next_order_++, &handler, who, what, position});
    heap_.push_back(ticket);
    sift_up(position);
    return ticket;
}

void TimerQueue::drop(Ticket& ticket) {
    if (ticket == none) return;
    const std::uint32_t position = entries_.find(ticket)->position;
    entries_.release(ticket);
    ticket = none;
    const Ticket last = heap_.back();
    heap_.pop_back();
    if (position == heap_.size()) return;
    place(position, last);
    sift_up(position);
    sift_down(entries_.find(last)->position);
}

void TimerQueue::fire_due(Nanos now) {
    while (next() <= now) {
        Ticket first = heap_[0];
        const Entry due = entry_at(0);
        drop(first);
        due.handler->on_due(due.who, due.what);
    }
}

void TimerQueue::sift_up(std::uint32_t position) {
    const Ticket ticket = heap_[position];
    const Entry& entry = entry_at(position);
    while (position > 0) {
        const std::uint32_t parent = (position - 1) / 2;
        if (!is_before(entry, entry_at(parent))) break;
        place(position, heap_[parent]);
        position = parent;
    }
    place(position, ticket);
}

void TimerQueue::sift_down(std::uint32_t position) {
    const Ticket ticket = heap_[position];
    const Entry& entry = entry_at(position);
    for (;;) {
        std::uint32_t child = 2 * position + 1;
        if (child >= heap_.size()) break;
        if (child + 1 < heap_.size() && is_before(entry_at(child + 1), entry_at(child))) ++child;
        if (!is_before(entry_at(child), entry)) break;
        place(position, heap_[child]);
        position = child;
    }
    place(position, ticket);
}

}  // namespace tealcart
