// An attempt of a shard request in the form in which it is put into a frame to a data node.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "router/query_router.hpp"
#include "tables/memory_budget.hpp"
#include "tables/slot_map.hpp"
#include "tables/timer_queue.hpp"

namespace tealcart {

// The parts of a query that frames contain. They are shared, since a write may outlive the query.
struct QueryText {
    std::string id, key, text;  // the client's request id, its idempotency key and the text to search for
    std::string criteria;       // the encoded search criteria of a two-phase query
    MemoryCharge charge = {};   // for their bytes
};

// An attempt that is queued on a connection to a data node.
struct AttemptMessage {
    Handle attempt;
    std::shared_ptr<const QueryText> query;
    std::uint32_t shard = 0;
    Nanos deadline = 0;                 // the router waits for the answer until then
    Nanos send_by = TimerQueue::never;  // the attempt is not written later than this
    // Type of the frame: 'R', or 'P' or 'F' for a two-phase query. All messages of a frame have the same
    // type.
    char frame_type = 'R';
    std::uint8_t leg = 0;
    std::uint16_t rows = 0;
    bool wants_filter = false;
};

}  // namespace tealcart
