// Helpers to maintain counts, plain and by key.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace tealcart::fleet {

// The number of items in a group, and how many of them are out.
struct GroupCount {
    std::size_t all = 0, out = 0;
    friend bool operator==(const GroupCount&, const GroupCount&) = default;
};
using GroupCounts = std::map<std::string, GroupCount>;  // by zone, or by kind

// Whether an item is removed from a count or added to it.
enum class CountChange : bool { decrement, increment };

// Adds `by` to a number or subtracts it.
template <typename Number>
void tally(Number& number, CountChange direction, Number by = 1) {
    if (direction == CountChange::increment)
        number += by;
    else
        number -= by;
}

// Counts an item that is out or not.
inline void tally(GroupCount& count, CountChange direction, bool is_out) {
    tally(count.all, direction);
    if (is_out) tally(count.out, direction);
}

// Counts an item under its group and erases a group that becomes empty.
inline void tally(GroupCounts& counts, const std::string& group, CountChange direction, bool is_out) {
    const auto it = counts.try_emplace(group).first;
    tally(it->second, direction, is_out);
    if (it->second.all == 0) counts.erase(it);
}

// Counts an item under its key, erases a key that reaches zero, and returns the new count.
template <typename Key>
std::size_t tally(std::map<Key, std::size_t>& counts, const Key& key, CountChange direction) {
    const auto it = counts.try_emplace(key, 0).first;
    tally(it->second, direction);
    const std::size_t now = it->second;
    if (now == 0) counts.erase(it);
    return now;
}

}  // namespace tealcart::fleet
