// Counting up and down under keys, for what is kept as counts.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace tealcart::fleet {

// How many there are of something, and how many of them are out.
struct GroupCount {
    std::size_t all = 0, out = 0;
    friend bool operator==(const GroupCount&, const GroupCount&) = default;
};
using GroupCounts = std::map<std::string, GroupCount>;  // by zone, or by kind

// Whether an item is taken out of a count or added to it.
enum class CountChange : bool { decrement, increment };

template <typename Number>
void tally(Number& number, CountChange direction, Number by = 1) {
    if (direction == CountChange::increment)
        number += by;
    else
        number -= by;
}

inline void tally(GroupCount& count, CountChange direction, bool is_out) {
    tally(count.all, direction);
    if (is_out) tally(count.out, direction);
}

// Drops a group with none.
inline void tally(GroupCounts& counts, const std::string& group, CountChange direction, bool is_out) {
    const auto it = counts.try_emplace(group).first;
    tally(it->second, direction, is_out);
    if (it->second.all == 0) counts.erase(it);
}

// Gives the number now, and drops a key with none.
template <typename Key>
std::size_t tally(std::map<Key, std::size_t>& counts, const Key& key, CountChange direction) {
    const auto it = counts.try_emplace(key, 0).first;
    tally(it->second, direction);
    const std::size_t now = it->second;
    if (now == 0) counts.erase(it);
    return now;
}

}  // namespace tealcart::fleet
