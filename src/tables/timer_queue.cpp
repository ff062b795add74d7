#include "tables/timer_queue.hpp"

namespace tealcart {

TimerQueue::TimerId TimerQueue::add(Nanos at, TimerHandler& handler, Handle owner, std::uint64_t cookie) {
    const auto position = static_cast<std::uint32_t>(heap_.size());
    const TimerId timer = entries_.emplace(Entry{at, next_order_++, &handler, owner, cookie, position});
    heap_.push_back(timer);
    sift_up(position);
    return timer;
}

void TimerQueue::cancel(TimerId& timer) {
    if (timer == none) return;
    const std::uint32_t position = entries_.find(timer)->position;
    entries_.release(timer);
    timer = none;
    const TimerId last = heap_.back();
    heap_.pop_back();
    if (position == heap_.size()) return;
    place(position, last);
    sift_up(position);
    sift_down(entries_.find(last)->position);
}

void TimerQueue::fire_due(Nanos now) {
    while (next() <= now) {
        TimerId first = heap_[0];
        const Entry due = entry_at(0);
        cancel(first);
        due.handler->on_timer_due(due.owner, due.cookie);
    }
}

void TimerQueue::sift_up(std::uint32_t position) {
    const TimerId timer = heap_[position];
    const Entry& entry = entry_at(position);
    while (position > 0) {
        const std::uint32_t parent = (position - 1) / 2;
        if (!is_before(entry, entry_at(parent))) break;
        place(position, heap_[parent]);
        position = parent;
    }
    place(position, timer);
}

void TimerQueue::sift_down(std::uint32_t position) {
    const TimerId timer = heap_[position];
    const Entry& entry = entry_at(position);
    for (;;) {
        std::uint32_t child = 2 * position + 1;
        if (child >= heap_.size()) break;
        if (child + 1 < heap_.size() && is_before(entry_at(child + 1), entry_at(child))) ++child;
        if (!is_before(entry_at(child), entry)) break;
        place(position, heap_[child]);
        position = child;
    }
    place(position, timer);
}

}  // namespace tealcart
