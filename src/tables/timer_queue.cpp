#include "tables/timer_queue.hpp"

namespace tealcart {

TimerQueue::Ticket TimerQueue::add(Nanos at, DueHandler& handler, Handle who, std::uint64_t what) {
    const auto place = static_cast<std::uint32_t>(heap_.size());
    const Ticket ticket = entries_.take(Entry{at, order_++, &handler, who, what, place});
    heap_.push_back(ticket);
    rise(place);
    return ticket;
}

void TimerQueue::drop(Ticket& ticket) {
    if (ticket == none) return;
    const std::uint32_t place = entries_.find(ticket)->place;
    entries_.give_back(ticket);
    ticket = none;
    const Ticket last = heap_.back();
    heap_.pop_back();
    if (place == heap_.size()) return;
    put(place, last);
    rise(place);
    sink(entries_.find(last)->place);
}

void TimerQueue::tell(Nanos now) {
    while (next() <= now) {
        Ticket first = heap_[0];
        const Entry due = at(0);
        drop(first);
        due.handler->on_due(due.who, due.what);
    }
}

void TimerQueue::rise(std::uint32_t place) {
    const Ticket entry = heap_[place];
    const Entry& own = at(place);
    for (; place > 0 && before(own, at((place - 1) / 2)); place = (place - 1) / 2)
        put(place, heap_[(place - 1) / 2]);
    put(place, entry);
}

void TimerQueue::sink(std::uint32_t place) {
    const Ticket entry = heap_[place];
    const Entry& own = at(place);
    for (;;) {
        std::uint32_t child = 2 * place + 1;
        if (child >= heap_.size()) break;
        if (child + 1 < heap_.size() && before(at(child + 1), at(child))) ++child;
        if (!before(at(child), own)) break;
        put(place, heap_[child]);
        place = child;
    }
    put(place, entry);
}

}  // namespace tealcart
