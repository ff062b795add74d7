// The records of the simulator's wire format: event records that are read and action records that are
// written. Only this module knows their codes and layouts; docs/glossary.md maps records to events. All
// readers throw WireError.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "router/query_router.hpp"
#include "simwire/byte_codec.hpp"

namespace tealcart::simwire {

// The codes of received records, under the names that the wire format gives them.
enum class EventCode : std::uint8_t {
    dropped = 1,
    inbox = 2,
    init = 3,
    demand = 4,
    inventory = 5,
    sampled = 6,
    backends_changed = 7,
    headers = 8,
    kill = 9,
    attempt_end = 10,
    wakeup = 11
};

// Returns the size in bytes of the record at the front of `batch`, including its code. Throws if the code is
// unknown or the record is longer than the batch.
std::size_t record_size(std::string_view batch);

// Return the code of a complete record, and a reader of the fields after it.
EventCode code_of(std::string_view record);
ByteReader fields_of(std::string_view record);

// An `inventory` record: a list page whose entries later records refer to.
struct ListPage {
    std::uint8_t page = 0;
    std::vector<Endpoint> entries;
};
ListPage read_list_page(ByteReader fields);

// The readers below start after the router's id.

// A `backends_changed` record. The page is unused for ListKind::failed.
struct ListEvent {
    ListKind kind = ListKind::delta;
    std::uint8_t page = 0;
};
ListEvent read_list_event(ByteReader& fields);

AttemptResult read_attempt_result(ByteReader& fields);

// The sizes from a router's settings against which arrivals are checked.
struct Deployment {
    std::size_t places = 0;
    std::size_t query_classes = 0;
    std::size_t shards = 0;
};
// Reads a `demand` record, which is a query or one of its shard requests, and passes it to `handler`.
void deliver_arrival(ByteReader& fields, const Deployment& deployment, RoundEventHandler& handler);

// Writes the decisions of one router as action records.
class ActionWriter final : public DecisionSink {
  public:
    // Appends records to `out` and adds their number to `count`. Both must outlive the writer.
    ActionWriter(std::uint32_t router, std::string& out, std::uint32_t& count)
        : router_(router), out_(out), count_(count) {}

    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) override;
    void cancel(std::uint32_t shard_request, std::uint8_t attempt) override;
    void answer(std::uint32_t query, bool complete) override;
    void reject(std::uint32_t query, Nanos retry_after) override;
    void fail_query(std::uint32_t query) override;
    void set_timer(std::uint64_t cookie, Nanos wait) override;
    void watch_endpoints() override;
    void log(const std::string& line) override;

  private:
    enum class ActionCode : std::uint8_t;
    void begin(ActionCode code);
    void begin(ActionCode code, std::uint32_t id);

    const std::uint32_t router_;
    std::string& out_;
    std::uint32_t& count_;
};

}  // namespace tealcart::simwire
