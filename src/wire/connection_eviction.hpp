// Chooses the client connection that is given up when connections or memory run out.
#pragma once

#include <vector>

#include "tables/slot_map.hpp"
#include "wire/http_connection.hpp"

namespace tealcart {

// Returns up to `count` of the least valuable connections, to make room for waiting clients: first lingering
// connections, then idle ones, then those with an incomplete request, then those whose client has stopped
// reading its response, and the oldest of each kind first. No other connection with unread bytes or a
// complete request is chosen, and none whose client has only just connected.
std::vector<Handle> choose_for_room(const SlotMap<HttpConnection>& connections, std::size_t count, Nanos now);

// Returns whether the connection may still be chosen.
bool may_be_evicted(const HttpConnection& connection, Nanos now);

// Returns the connection whose client keeps the most memory in use for the longest time without progress: in
// an incomplete request that is charged, or a response that the client does not read. Never returns `except`.
// Returns no handle if there is none.
Handle choose_for_memory(const SlotMap<HttpConnection>& connections, Handle except, Nanos now);

}  // namespace tealcart
