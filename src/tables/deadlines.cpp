#include "tables/deadlines.hpp"

namespace tealcart {

Deadlines::Ticket Deadlines::add(Nanos at, DueHandler& handler, Handle who, std::uint64_t what) {
    std::uint32_t entry = 0;
    if (free_.empty()) {
        entry = static_cast<std::uint32_t>(entries_.size());
        entries_.emplace_back();
    } else {
        entry = free_.back();
        free_.pop_back();
    }
    entries_[entry] = {at, order_++, &handler, who, what, 0};
    heap_.push_back(entry);
    put(static_cast<std::uint32_t>(heap_.size() - 1), entry);
    rise(entries_[entry].place);
    return entry;
}

void Deadlines::drop(Ticket& ticket) {
    if (ticket == none) return;
    const std::uint32_t place = entries_[ticket].place;
    free_.push_back(ticket);
    ticket = none;
    const std::uint32_t last = heap_.back();
    heap_.pop_back();
    if (place == heap_.size()) return;
    put(place, last);
    rise(place);
    sink(entries_[last].place);
}

void Deadlines::tell(Nanos now) {
    while (!heap_.empty() && entries_[heap_[0]].at <= now) {
        Ticket first = heap_[0];
        const Entry due = entries_[first];
        drop(first);
        due.handler->on_due(due.who, due.what);
    }
}

void Deadlines::rise(std::uint32_t place) {
    const std::uint32_t entry = heap_[place];
    for (; place > 0 && before(entry, heap_[(place - 1) / 2]); place = (place - 1) / 2)
        put(place, heap_[(place - 1) / 2]);
    put(place, entry);
}

void Deadlines::sink(std::uint32_t place) {
    const std::uint32_t entry = heap_[place];
    for (;;) {
        std::uint32_t child = 2 * place + 1;
        if (child >= heap_.size()) break;
        if (child + 1 < heap_.size() && before(heap_[child + 1], heap_[child])) ++child;
        if (!before(heap_[child], entry)) break;
        put(place, heap_[child]);
        place = child;
    }
    put(place, entry);
}

}  // namespace tealcart
