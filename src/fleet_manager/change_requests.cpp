#include "fleet_manager/change_requests.hpp"

#include <algorithm>

#include "wire/json_fields.hpp"

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

constexpr Nanos millisecond = 1'000'000;
constexpr std::size_t max_history = 20, max_named = 20, max_keys = 10'000;  // listed on a status page
constexpr std::size_t max_key = 1024;                                       // bytes
// Limits of an answer to a relay, in bytes of keys and values.
constexpr std::size_t max_delta = 256 * 1024, max_page = 64 * 1024;

bool is_not_control_character(char c) { return static_cast<unsigned char>(c) >= ' '; }

bool is_key(const std::string& text) { return !text.empty() && text.size() <= max_key; }

std::size_t size_of(const changes::Delta& delta) {
    std::size_t bytes = 0;
    for (const auto& [key, value] : delta.set) bytes += key.size() + value.size();
    for (const std::string& key : delta.removed) bytes += key.size();
    return bytes;
}

std::string dump(const OrderedJson& json) {
    return json.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
}

void read_entries(JsonFields& in, std::map<std::string, std::string>& entries_by_key) {
    constexpr const char* reason = "'set' is no object of texts by key";
    const Json* entries = in.find("set");
    if (entries == nullptr) return;
    if (!entries->is_object()) return in.fail("set", reason);
    for (const auto& [key, value] : entries->items()) {
        if (!is_key(key) || !value.is_string()) return in.fail("set", reason);
        entries_by_key[key] = value.get<std::string>();
    }
}

void read_removed(JsonFields& in, std::set<std::string>& removed) {
    constexpr const char* reason = "'removed' is no list of keys";
    const Json* keys = in.find("removed");
    if (keys == nullptr) return;
    if (!keys->is_array()) return in.fail("removed", reason);
    for (const Json& key : *keys) {
        if (!key.is_string() || !is_key(key.get<std::string>())) return in.fail("removed", reason);
        removed.insert(key.get<std::string>());
    }
}

OrderedJson write_rollout(const changes::RolloutProgress& progress) {
    const auto first_names = [](std::vector<std::string> names) {
        names.resize(std::min(names.size(), max_named));
        return names;
    };
    return {{"live", progress.live},
            {"acting", progress.applied},
            {"behind", first_names(progress.behind)},
            {"refusing", first_names(progress.refusing)},
            {"unheard", first_names(progress.unacknowledged)}};
}

OrderedJson write_history(const changes::ChangeState& state) {
    OrderedJson list = OrderedJson::array();
    for (const auto& published : state.history(max_history))
        list.push_back({{"version", published.version},
                        {"at_ms", published.published_at / millisecond},
                        {"asker", published.requested_by},
                        {"entries", published.entries},
                        {"in_force", published.applied_everywhere}});
    return list;
}

OrderedJson write_keys(const changes::ChangeState& state) {
    OrderedJson list = OrderedJson::array();
    for (const auto& [key, value] : state.document()) {
        if (list.size() >= max_keys) break;
        list.push_back({key, value.size()});
    }
    return list;
}

}  // namespace

ReadResult<ChangeRequest> read_change_request(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json, JsonFields::Nulls::values);
    ChangeRequest request;
    in.text("id", request.id, max_name_bytes, "'id' is missing or malformed", is_not_control_character);
    if (request.id.empty()) in.fail("id", "'id' is missing or malformed");
    in.text("asker", request.requested_by, max_name_bytes, "'asker' is malformed", is_not_control_character);
    in.text("key", request.key, max_key, "'key' is malformed", is_not_control_character);
    read_entries(in, request.set);
    read_removed(in, request.removed);
    if (const Json* based_on = in.find("based_on"); based_on != nullptr && !based_on->is_null())
        in.number("based_on", request.based_on.emplace(), "'based_on' is no version");
    in.number("to", request.rollback_version, "'to' is no version");
    return std::move(in).result(std::move(request));
}

const char* name_of(changes::EffectCode code) {
    static const char* const names[] = {"published", "refused", "in force", "member refuses", "halted",
                                        "resumed",   "over",    "stale",    "forgotten"};
    return names[static_cast<int>(code)];
}

std::string write_effects(const changes::Effects& effects) {
    OrderedJson list = OrderedJson::array();
    for (const changes::Effect& effect : effects) {
        const changes::EffectRecord record = changes::record_of(effect);
        OrderedJson item = {{"what", name_of(record.code)}, {"version", record.version}};
        if (!record.reason.empty()) item["why"] = record.reason;
        if (!record.names.empty()) item["names"] = record.names;
        list.push_back(std::move(item));
    }
    return dump({{"effects", list}});
}

std::string write_changes(const changes::ChangeState& state, const ManagerChangeStatus& manager) {
    const Nanos held_for = std::max<Nanos>(0, state.hold_until() - state.now());
    return dump({{"fleet", manager.fleet},
                 {"steward", manager.id},
                 {"leader", manager.leader},
                 {"leader_at", manager.leader_address},
                 {"version", state.version()},
                 {"digest", state.digest()},
                 {"in_force", state.applied_everywhere()},
                 {"halted", state.halted()},
                 {"halted_for", state.halt_reason()},
                 {"halted_version", state.halted_version()},
                 {"held_for_ms", held_for / millisecond},
                 {"members", state.members()},
                 {"relays_waiting", manager.waiting},
                 {"reach", write_rollout(state.progress(state.version(), max_named))},
                 {"history", write_history(state)},
                 {"keys", write_keys(state)}});
}

std::optional<std::string> write_entry(const changes::ChangeState& state, const std::string& key) {
    const auto entry = state.document().find(key);
    if (entry == state.document().end()) return std::nullopt;
    return dump({{"version", state.version()}, {"key", key}, {"value", entry->second}});
}

void add_document_update(const changes::ChangeState& state, const WatchPosition& position,
                         ChangesAnswer& answer) {
    answer.version = state.version();
    if (position.known_version >= state.version()) return;
    if (!position.wants_pages) {
        auto delta = state.since(position.known_version);
        if (delta && size_of(*delta) <= max_delta) {
            answer.delta = std::move(delta);
            return;
        }
    }
    answer.page = state.page(position.wants_pages ? position.after : "", max_page);
}

}  // namespace tealcart::fleet_manager
