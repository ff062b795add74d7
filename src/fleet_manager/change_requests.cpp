#include "fleet_manager/change_requests.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tealcart::manager {
namespace {

using Json = nlohmann::ordered_json;
constexpr Nanos ms = 1'000'000;
constexpr std::size_t max_history = 20, max_named = 20, max_keys = 10'000;
constexpr std::size_t max_key = 1024;
constexpr std::size_t max_delta = 256 * 1024, page_bytes = 64 * 1024;  // of keys and values, to relays

bool take_text(const Json& in, const char* key, std::string& to, std::size_t longest) {
    const auto it = in.find(key);
    if (it == in.end()) return true;
    if (!it->is_string()) return false;
    to = it->get<std::string>();
    return to.size() <= longest &&
           std::all_of(to.begin(), to.end(), [](char c) { return static_cast<unsigned char>(c) >= ' '; });
}

bool is_key(const std::string& text) { return !text.empty() && text.size() <= max_key; }

std::size_t bytes_of(const changes::Delta& delta) {
    std::size_t sum = 0;
    for (const auto& [key, value] : delta.set) sum += key.size() + value.size();
    for (const std::string& key : delta.removed) sum += key.size();
    return sum;
}

std::string written(const Json& out) { return out.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace

std::optional<ChangeRequest> read_change_request(std::string_view body, std::string& wrong) {
    const Json in = Json::parse(body, nullptr, false);
    const auto fail = [&wrong](const char* words) {
        wrong = words;
        return std::nullopt;
    };
    if (!in.is_object()) return fail("the body is no JSON object");
    ChangeRequest r;
    if (!take_text(in, "id", r.id, 128) || r.id.empty()) return fail("'id' is missing or malformed");
    if (!take_text(in, "asker", r.asker, 128)) return fail("'asker' is malformed");
    if (!take_text(in, "key", r.key, max_key)) return fail("'key' is malformed");
    if (const auto set = in.find("set"); set != in.end()) {
        if (!set->is_object()) return fail("'set' is no object of texts by key");
        for (const auto& [key, value] : set->items()) {
            if (!is_key(key) || !value.is_string()) return fail("'set' is no object of texts by key");
            r.set[key] = value.get<std::string>();
        }
    }
    if (const auto removed = in.find("removed"); removed != in.end()) {
        if (!removed->is_array()) return fail("'removed' is no list of keys");
        for (const Json& key : *removed) {
            if (!key.is_string() || !is_key(key.get<std::string>()))
                return fail("'removed' is no list of keys");
            r.removed.insert(key.get<std::string>());
        }
    }
    if (const auto based = in.find("based_on"); based != in.end() && !based->is_null()) {
        if (!based->is_number_unsigned()) return fail("'based_on' is no version");
        r.based_on = based->get<std::uint64_t>();
    }
    if (const auto to = in.find("to"); to != in.end()) {
        if (!to->is_number_unsigned()) return fail("'to' is no version");
        r.to = to->get<std::uint64_t>();
    }
    return r;
}

const char* word_of(changes::EffectCode code) {
    static const char* const words[] = {"published", "refused", "in force", "member refuses", "halted",
                                        "resumed",   "over",    "stale",    "forgotten"};
    return words[static_cast<int>(code)];
}

std::string write_effects(const changes::Effects& effects) {
    Json list = Json::array();
    for (const changes::Effect& effect : effects) {
        const changes::EffectRecord e = changes::record_of(effect);
        Json one = {{"what", word_of(e.code)}, {"version", e.version}};
        if (!e.reason.empty()) one["why"] = e.reason;
        if (!e.names.empty()) one["names"] = e.names;
        list.push_back(std::move(one));
    }
    return written({{"effects", list}});
}

std::string write_changes(const changes::ChangeState& state, const ChangeFigures& figures) {
    const changes::RolloutProgress progress = state.progress(state.version(), max_named);
    Json history = Json::array(), keys = Json::array();
    for (const auto& p : state.history(max_history))
        history.push_back({{"version", p.version},
                           {"at_ms", p.at / ms},
                           {"asker", p.asker},
                           {"entries", p.entries},
                           {"in_force", p.applied_everywhere}});
    for (const auto& [key, value] : state.document()) {
        if (keys.size() >= max_keys) break;
        keys.push_back({key, value.size()});
    }
    const auto some = [](std::vector<std::string> names) {
        names.resize(std::min(names.size(), max_named));
        return names;
    };
    Json out = {{"fleet", figures.fleet},
                {"steward", figures.id},
                {"leader", figures.leader},
                {"leader_at", figures.leader_address},
                {"version", state.version()},
                {"digest", state.digest()},
                {"in_force", state.applied_everywhere()},
                {"halted", state.halted()},
                {"halted_for", state.halted_for()},
                {"halted_version", state.halted_version()},
                {"held_for_ms", std::max<Nanos>(0, state.hold_until() - state.now()) / ms},
                {"members", state.members()},
                {"relays_waiting", figures.waiting}};
    out["reach"] = {{"live", progress.live},
                    {"acting", progress.applied},
                    {"behind", some(progress.behind)},
                    {"refusing", some(progress.refusing)},
                    {"unheard", some(progress.unacknowledged)}};
    out["history"] = std::move(history);
    out["keys"] = std::move(keys);
    return written(out);
}

std::optional<std::string> write_entry(const changes::ChangeState& state, const std::string& key) {
    const auto it = state.document().find(key);
    if (it == state.document().end()) return std::nullopt;
    return written({{"version", state.version()}, {"key", key}, {"value", it->second}});
}

void put_news(const changes::ChangeState& state, const Watched& watched, ChangesAnswer& answer) {
    answer.version = state.version();
    if (watched.knows >= state.version()) return;
    if (!watched.wants_pages) {
        auto delta = state.since(watched.knows);
        if (delta && bytes_of(*delta) <= max_delta) {
            answer.delta = std::move(delta);
            return;
        }
    }
    answer.page = state.page(watched.wants_pages ? watched.after : "", page_bytes);
}

}  // namespace tealcart::manager
