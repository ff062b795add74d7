// The records of the simulator's wire: event records in, action records out. The only place that knows their
// codes and layouts; docs/glossary.md lists which record is which event. All readers throw WireError.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "router/query_router.hpp"
#include "simwire/byte_codec.hpp"

namespace tealcart::simwire {

// Codes of received records, by the wire's own names.
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

// The size in bytes of the record at the front of `batch`, its code included. Throws where the code is
// unknown or a counted field is longer than the batch.
std::size_t record_size(std::string_view batch);

// The code of a complete record, and a reader of the fields behind it.
EventCode code_of(std::string_view record);
ByteReader fields_of(std::string_view record);

// `inventory`: a list page, with entries that later records refer to.
struct ListPage {
    std::uint8_t page = 0;
    std::vector<Endpoint> entries;
};
ListPage read_list_page(ByteReader fields);

// The readers below begin behind the router's id.

// `backends_changed`: the page means nothing for ListKind::failed.
struct ListEvent {
    ListKind kind = ListKind::delta;
    std::uint8_t page = 0;
};
ListEvent read_list_event(ByteReader& fields);

AttemptResult read_attempt_result(ByteReader& fields);

// What a router was started with, against which arrivals are checked.
struct Deployment {
    std::size_t places = 0;
    std::size_t query_classes = 0;
    std::size_t shards = 0;
};
// `demand`: a query, or a shard request of one; handed to the matching method of `handler`.
void deliver_arrival(ByteReader& fields, const Deployment& deployment, RoundEventHandler& handler);

// Writes the decisions of one router as action records.
class ActionWriter final : public DecisionSink {
  public:
    // Appends to `out` and counts the records in `count`; both must outlive the writer.
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
