#include "fleet_manager/operator_requests.hpp"

#include "wire/json_fields.hpp"

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

constexpr std::size_t max_reason_bytes = 512;  // the reason of a halt
constexpr std::size_t max_items = 1000;        // targets or requests in one call

bool is_printable_ascii(char c) { return c >= ' ' && c < 0x7f; }

bool read_target(const Json& item, fleet::Target& target) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_string() || !item[1].is_string()) return false;
    const auto& kind = item[0].get_ref<const std::string&>();
    const auto& name = item[1].get_ref<const std::string&>();
    if ((kind != "node" && kind != "router") || name.size() > max_name_bytes) return false;
    target = {kind == "router", name};
    return true;
}

bool read_number(const Json& item, std::uint64_t& number) {
    if (!item.is_number_unsigned()) return false;
    number = item.get<std::uint64_t>();
    return true;
}

// Fails with `list_reason` if the value is not a list of at most `max_items`, and with `item_reason` if an
// item is malformed.
template <class Item, class ReadItem>
void read_items(JsonFields& in, const char* key, std::vector<Item>& parsed, ReadItem read_item,
                const char* list_reason, const char* item_reason) {
    const Json* items = in.find(key);
    if (items == nullptr) return;
    if (!items->is_array() || items->size() > max_items) return in.fail(key, list_reason);
    in.list(key, parsed, read_item, item_reason);
}

}  // namespace

const char* name_of(fleet::EffectCode code) {
    static const char* const names[] = {"asked",  "refused", "granted", "done",  "returned", "ended",
                                        "halted", "resumed", "over",    "stale", "forgotten"};
    return names[static_cast<int>(code)];
}

ReadResult<OperatorCall> read_operator_call(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json, JsonFields::Nulls::values);
    OperatorCall call;
    in.text("id", call.id, max_name_bytes, "'id' is missing or malformed", is_printable_ascii);
    if (call.id.empty()) in.fail("id", "'id' is missing or malformed");
    in.text("asker", call.requested_by, max_name_bytes, "'asker' is malformed", is_printable_ascii);
    in.text("why", call.reason, max_reason_bytes, "'why' is malformed", is_printable_ascii);
    in.text("zone", call.zone, max_name_bytes, "'zone' is malformed", is_printable_ascii);
    in.text("name", call.name, max_name_bytes, "'name' is malformed", is_printable_ascii);
    read_items(in, "targets", call.targets, read_target, "'targets' is no list of up to 1000",
               "a target is no [\"node\" or \"router\", NAME]");
    read_items(in, "requests", call.requests, read_number, "'requests' is no list of up to 1000",
               "a request is no number");
    return std::move(in).result(std::move(call));
}

std::string write_effects(const fleet::Effects& effects) {
    OrderedJson list = OrderedJson::array();
    for (const fleet::Effect& effect : effects) {
        const fleet::EffectRecord record = fleet::record_of(effect);
        OrderedJson item = {{"what", name_of(record.code)}};
        if (record.request > 0) item["request"] = record.request;
        if (record.fence > 0) item["fence"] = record.fence;
        item["generation"] = record.generation;
        if (!record.subject.empty()) item["about"] = record.subject;
        if (!record.reason.empty()) item["why"] = record.reason;
        list.push_back(std::move(item));
    }
    return OrderedJson{{"effects", list}}.dump();
}

fleet::Join join_of(const MemberCall& call) {
    const fleet::Role role = call.role == "router" ? fleet::Role::router : fleet::Role::control;
    return {call.name, role, call.zone, call.version, call.digest, call.incarnation, call.lease_grace};
}

fleet::Renew renew_of(const MemberCall& call) {
    fleet::Renew renewal{call.name,
                         call.incarnation,
                         {call.applied_generation,
                          {},
                          {call.unresponsive_nodes.begin(), call.unresponsive_nodes.end()},
                          call.queries,
                          call.failed}};
    for (const TargetName& target : call.in_flight)
        renewal.report.in_flight.insert({target.router, target.name});
    return renewal;
}

MemberAnswer answer_of(const fleet::FleetState& state) {
    MemberAnswer answer{state.generation(), state.budgets().lease, {}, state.halted()};
    for (const auto& [target, request] : state.removed_targets())
        answer.drained.push_back({target.router, target.name});
    return answer;
}

}  // namespace tealcart::fleet_manager
