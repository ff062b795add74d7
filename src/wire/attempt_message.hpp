// One attempt of a shard request as it goes into a frame to a data node.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "router/query_router.hpp"
#include "tables/slot_map.hpp"
#include "tables/timer_queue.hpp"

namespace tealcart {

// What frames hold of a query; shared, since a write may outlive the query.
struct QueryText {
    std::string id, key, text;  // the client's request id and idempotency key, and what it searches for
    std::string find;           // of a query in two phases: its conditions, encoded
};

struct AttemptMessage {
    Handle attempt;
    std::shared_ptr<const QueryText> query;
    std::uint32_t shard = 0;
    Nanos deadline = 0;                 // when its answer is no longer waited for
    Nanos send_by = TimerQueue::never;  // it is not written later than this
    // The frame's type: 'R', or of a query in two phases 'P' or 'F'. The messages of one frame have one type.
    char frame_type = 'R';
    std::uint8_t leg = 0;
    std::uint16_t rows = 0;
    bool wants_filter = false;
};

}  // namespace tealcart
