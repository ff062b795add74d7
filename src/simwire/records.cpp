#include "simwire/records.hpp"

#include <cmath>

namespace tealcart::simwire {
namespace {

constexpr std::size_t endpoint_bytes = 22;
constexpr std::size_t load_value_bytes = 4;

// Bits of the options field of a `demand` record.
constexpr std::uint16_t has_cost_hint = 1;
constexpr std::uint16_t is_marked_retry = 2;

// Skips fields of a fixed total size and then a field that starts with its number of elements.
template <typename Count>
void skip_counted(ByteReader& reader, std::size_t fixed_bytes, std::size_t element_bytes) {
    reader.take_bytes(fixed_bytes);
    reader.take_bytes(std::size_t{reader.take<Count>()} * element_bytes);
}

// Skips the fields of a record. Throws if a count exceeds the rest of the batch.
void skip_fields(std::uint8_t code, ByteReader& reader) {
    switch (static_cast<EventCode>(code)) {
        case EventCode::dropped:
            reader.take_bytes(8);
            return;
        case EventCode::inbox:
            return skip_counted<std::uint16_t>(reader, 6, 1);
        case EventCode::init:
            return skip_counted<std::uint32_t>(reader, 12, 1);
        case EventCode::demand:
            reader.take_bytes(52);
            return;
        case EventCode::inventory:
            return skip_counted<std::uint32_t>(reader, 1, endpoint_bytes);
        case EventCode::sampled:
            return skip_counted<std::uint8_t>(reader, 18, load_value_bytes);
        case EventCode::backends_changed:
            reader.take_bytes(10);
            return;
        case EventCode::headers:
            reader.take_bytes(21);
            return;
        case EventCode::kill:
            reader.take_bytes(4);
            return;
        case EventCode::attempt_end:
            return skip_counted<std::uint8_t>(reader, 24, load_value_bytes);
        case EventCode::wakeup:
            reader.take_bytes(12);
            return;
    }
    throw WireError("unknown record code " + std::to_string(code) + "; expected 1 to 11");
}

Endpoint read_endpoint(ByteReader& reader) {
    Endpoint endpoint;
    endpoint.node = reader.take<std::uint32_t>();
    const std::uint32_t zone = reader.take<std::uint16_t>();
    const auto machine_kind = reader.take<std::uint8_t>();
    endpoint.group = zone << 8 | machine_kind;
    endpoint.place = reader.take<std::uint16_t>();
    const auto lifecycle = reader.take<std::uint8_t>();
    if (lifecycle > static_cast<std::uint8_t>(Lifecycle::draining))
        throw WireError("unknown availability " + std::to_string(lifecycle) + " of node " +
                        std::to_string(endpoint.node) + "; expected 0 to 2");
    endpoint.lifecycle = static_cast<Lifecycle>(lifecycle);
    reader.take<float>();  // the node's size is not used by the decisions
    endpoint.started_at = reader.take_time("started_at");
    return endpoint;
}

Outcome read_outcome(ByteReader& reader) {
    const auto code = reader.take<std::uint16_t>();
    if (code > static_cast<std::uint16_t>(Outcome::not_sent))
        throw WireError("unknown outcome " + std::to_string(code) + "; expected 0 to 7");
    return static_cast<Outcome>(code);
}

// Converts an integer that the wire carries as a float.
std::uint32_t to_integer(float value, const char* name) {
    constexpr float max_value = 4e9F;
    if (!(value >= 0 && value < max_value) || value != std::floor(value))
        throw WireError("field " + std::string(name) + " is " + std::to_string(value) +
                        "; expected an integer from 0 to below 4e9");
    return static_cast<std::uint32_t>(value);
}

}  // namespace

std::size_t record_size(std::string_view batch) {
    if (batch.empty()) throw WireError("batch ends before its last record");
    ByteReader reader(batch);
    const auto code = reader.take<std::uint8_t>();
    skip_fields(code, reader);
    return reader.position();
}

EventCode code_of(std::string_view record) {
    return static_cast<EventCode>(static_cast<std::uint8_t>(record.front()));
}

ByteReader fields_of(std::string_view record) { return ByteReader(record.substr(1)); }

ListPage read_list_page(ByteReader fields) {
    ListPage page;
    page.page = fields.take<std::uint8_t>();
    page.entries.resize(fields.take<std::uint32_t>());
    for (Endpoint& entry : page.entries) entry = read_endpoint(fields);
    return page;
}

ListEvent read_list_event(ByteReader& fields) {
    const auto kind = fields.take<std::uint8_t>();
    const auto page = fields.take<std::uint8_t>();
    if (kind > static_cast<std::uint8_t>(ListKind::failed))
        throw WireError("unknown kind of list " + std::to_string(kind) + "; expected 0 to 3");
    return {static_cast<ListKind>(kind), page};
}

AttemptResult read_attempt_result(ByteReader& fields) {
    AttemptResult result;
    result.shard_request = fields.take<std::uint32_t>();
    result.latency = fields.take_time("rtt");
    result.node = fields.take<std::uint32_t>();
    result.outcome = read_outcome(fields);
    fields.take<std::uint8_t>();  // whether the shard request is still open is known to the decisions
    result.attempt = fields.take<std::uint8_t>();
    return result;
}

void deliver_arrival(ByteReader& fields, const Deployment& deployment, RoundEventHandler& handler) {
    const auto id = fields.take<std::uint32_t>();
    const auto query_class = fields.take<std::uint16_t>();
    const auto tenant = fields.take<std::uint32_t>();
    fields.take<std::uint64_t>();  // the affinity key is not used by the decisions
    const Nanos deadline_at = fields.take_time("give_up_at");
    const Nanos cost_hint = fields.take_time("hint");
    const auto correlation_id = to_integer(fields.take<float>(), "ask_no");
    const auto shard_or_query = fields.take<float>();  // negative for the query itself
    const auto weight = fields.take<float>();
    const auto options = fields.take<std::uint16_t>();
    if (query_class >= deployment.query_classes)
        throw WireError("demand " + std::to_string(id) + " has class " + std::to_string(query_class) +
                        "; expected less than " + std::to_string(deployment.query_classes) +
                        ", the number of services in the settings");
    if (shard_or_query < 0) {
        const bool is_retry = (options & is_marked_retry) != 0;
        handler.on_query({id, correlation_id, query_class, tenant, deadline_at, is_retry});
        return;
    }
    const auto shard = to_integer(shard_or_query, "slice");
    if (shard >= deployment.shards)
        throw WireError("demand " + std::to_string(id) + " has shard " + std::to_string(shard) +
                        "; expected less than extra.ranges (" + std::to_string(deployment.shards) + ")");
    if (!std::isfinite(weight))
        throw WireError("field heft of demand " + std::to_string(id) + " is " + std::to_string(weight) +
                        "; expected a finite number");
    const bool hinted = (options & has_cost_hint) != 0;
    handler.on_shard_request({id, correlation_id, shard, weight, hinted ? cost_hint : 0});
}

// The codes of written records, under the names that the wire format gives them.
enum class ActionWriter::ActionCode : std::uint8_t {
    reply_now = 65,
    schedule = 66,
    record = 67,
    deliver = 68,
    listen = 69,
    abort_attempt = 74,
    overload_reply = 76,
    surrender = 77
};

void ActionWriter::send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos timeout) {
    begin(ActionCode::deliver, shard_request);
    append(out_, node);
    append(out_, to_milliseconds(timeout));
}

void ActionWriter::cancel(std::uint32_t shard_request, std::uint8_t attempt) {
    begin(ActionCode::abort_attempt, shard_request);
    append(out_, attempt);
}

void ActionWriter::answer(std::uint32_t query, bool complete) {
    begin(ActionCode::reply_now, query);
    append(out_, static_cast<std::uint8_t>(complete));
}

void ActionWriter::reject(std::uint32_t query, Nanos retry_after) {
    begin(ActionCode::overload_reply, query);
    append(out_, to_milliseconds(retry_after));
}

void ActionWriter::fail_query(std::uint32_t query) { begin(ActionCode::surrender, query); }

void ActionWriter::set_timer(std::uint64_t cookie, Nanos wait) {
    begin(ActionCode::schedule);
    append(out_, cookie);
    append(out_, to_milliseconds(wait));
}

void ActionWriter::watch_endpoints() {
    begin(ActionCode::listen);
    append(out_, std::uint8_t{1});  // 1 opens the subscription
}

void ActionWriter::log(const std::string& line) {
    begin(ActionCode::record);
    append(out_, static_cast<std::uint16_t>(line.size()));
    out_ += line;
}

void ActionWriter::begin(ActionCode code) {
    ++count_;
    append(out_, static_cast<std::uint8_t>(code));
    append(out_, router_);
}

void ActionWriter::begin(ActionCode code, std::uint32_t id) {
    begin(code);
    append(out_, id);
}

}  // namespace tealcart::simwire
