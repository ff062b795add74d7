#include "wire/change_messages.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tealcart {
namespace {

using Json = nlohmann::json;
using changes::Delta;
using changes::MemberReport;
using changes::Page;

constexpr Nanos ms = 1'000'000;
constexpr std::int64_t year_ms = 365LL * 24 * 3600 * 1000;
constexpr std::size_t max_name = 128, max_key = 1024, max_value = 1024 * 1024, max_why = 512;
constexpr std::size_t max_names = 100'000, max_entries = 100'000;

const Json* member(const Json& in, const char* key) {
    if (!in.is_object()) return nullptr;
    const auto it = in.find(key);
    return it == in.end() || it->is_null() ? nullptr : &*it;
}

bool take_name(const Json& in, std::string& to, std::size_t longest = max_name) {
    if (!in.is_string()) return false;
    to = in.get_ref<const std::string&>();
    return !to.empty() && to.size() <= longest &&
           std::all_of(to.begin(), to.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool take_name(const Json& in, const char* key, std::string& to, bool needed) {
    const Json* value = member(in, key);
    return value == nullptr ? !needed : take_name(*value, to);
}

bool is_key(std::string_view text) { return !text.empty() && text.size() <= max_key; }

bool take_number(const Json& in, const char* key, std::uint64_t& to) {
    const Json* value = member(in, key);
    if (value == nullptr) return true;  // 0 then
    if (!value->is_number_unsigned()) return false;
    to = value->get<std::uint64_t>();
    return true;
}

bool take_span(const Json& in, const char* key, Nanos& to) {
    std::uint64_t span = 0;
    if (!take_number(in, key, span) || span > static_cast<std::uint64_t>(year_ms)) return false;
    to = static_cast<Nanos>(span) * ms;
    return true;
}

bool take_flag(const Json& in, const char* key, bool& to) {
    const Json* value = member(in, key);
    if (value == nullptr) return true;  // false then
    if (!value->is_boolean()) return false;
    to = value->get<bool>();
    return true;
}

bool take_text(const Json& in, const char* key, std::string& to, std::size_t longest) {
    const Json* value = member(in, key);
    if (value == nullptr) return true;
    if (!value->is_string()) return false;
    to = value->get_ref<const std::string&>();
    return to.size() <= longest;
}

// What is no UTF-8 is written with marks of up to three bytes in its place, so that the text is cut behind
// it.
std::string cut(const std::string& why) {
    std::string text =
        Json::parse(Json(why.substr(0, max_why)).dump(-1, ' ', false, Json::error_handler_t::replace))
            .get<std::string>();
    if (text.size() <= max_why) return text;
    std::size_t end = max_why;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80) --end;  // not within a letter
    return text.substr(0, end);
}

std::string written(const Json& out) { return out.dump(-1, ' ', false, Json::error_handler_t::replace); }

// What is 0 or empty is left out.
Json out_of(const MemberReport& w) {
    Json out = {{"name", w.name}, {"life", w.incarnation}};
    if (w.serve_on > 0) out["serve_on_ms"] = w.serve_on / ms;
    if (w.applied_version > 0) out["acts_on"] = w.applied_version;
    if (w.refused > 0) out["refused"] = w.refused;
    if (!w.why.empty()) out["why"] = cut(w.why);
    return out;
}

bool take_member(const Json& in, MemberReport& to, const char*& wrong) {
    wrong = "'name' is missing or malformed";
    if (!take_name(in, "name", to.name, true)) return false;
    wrong = "'life' is missing or no number above 0";
    if (!take_number(in, "life", to.incarnation) || to.incarnation == 0) return false;
    wrong = "'acts_on' or 'refused' is no number";
    if (!take_number(in, "acts_on", to.applied_version) || !take_number(in, "refused", to.refused))
        return false;
    wrong = "'serve_on_ms' is no number of ms up to a year";
    if (!take_span(in, "serve_on_ms", to.serve_on)) return false;
    wrong = "'why' is no text of up to 512 bytes";
    return take_text(in, "why", to.why, max_why);
}

void put(Json& out, const Watched& w) {
    out["knows"] = w.knows;
    out["digest"] = w.digest;
    out["wait_ms"] = w.wait / ms;
    if (w.wants_pages) out["pages_after"] = w.after;
}

bool take_watched(const Json& in, Watched& to, const char*& wrong) {
    wrong = "'knows' or 'digest' is no number";
    if (!take_number(in, "knows", to.knows) || !take_number(in, "digest", to.digest)) return false;
    wrong = "'wait_ms' is no number of ms up to a year";
    if (!take_span(in, "wait_ms", to.wait)) return false;
    wrong = "'pages_after' is no key";
    to.wants_pages = member(in, "pages_after") != nullptr;
    return take_text(in, "pages_after", to.after, max_key);
}

Json out_of(const std::vector<MemberReport>& all) {
    Json list = Json::array();
    for (const MemberReport& w : all) list.push_back(out_of(w));
    return list;
}

bool take_members(const Json& in, const char* key, std::vector<MemberReport>& to) {
    const Json* list = member(in, key);
    if (list == nullptr) return true;
    if (!list->is_array() || list->size() > max_names) return false;
    const char* wrong = nullptr;
    return std::all_of(list->begin(), list->end(),
                       [&](const Json& one) { return take_member(one, to.emplace_back(), wrong); });
}

using Lives = std::vector<std::pair<std::string, std::uint64_t>>;

bool take_lives(const Json& in, const char* key, Lives& to) {
    const Json* list = member(in, key);
    if (list == nullptr) return true;
    if (!list->is_array() || list->size() > max_names) return false;
    return std::all_of(list->begin(), list->end(), [&to](const Json& one) {
        auto& [name, incarnation] = to.emplace_back();
        if (!one.is_array() || one.size() != 2 || !take_name(one[0], name) || !one[1].is_number_unsigned())
            return false;
        incarnation = one[1].get<std::uint64_t>();
        return true;
    });
}

bool take_entries(const Json& in, const char* key, std::map<std::string, std::string>& to) {
    const Json* all = member(in, key);
    if (all == nullptr) return true;
    if (!all->is_object() || all->size() > max_entries) return false;
    for (const auto& [name, value] : all->items()) {
        if (!is_key(name) || !value.is_string()) return false;
        std::string& text = to[name];
        text = value.get_ref<const std::string&>();
        if (text.size() > max_value) return false;
    }
    return true;
}

bool take_delta(const Json& in, Delta& to) {
    if (!in.is_object() || !take_number(in, "from", to.from) || !take_number(in, "to", to.to) ||
        to.to < to.from || !take_number(in, "digest", to.digest) || !take_entries(in, "set", to.set))
        return false;
    const Json* removed = member(in, "removed");
    if (removed == nullptr) return true;
    if (!removed->is_array() || removed->size() > max_entries) return false;
    for (const Json& one : *removed) {
        if (!one.is_string() || !is_key(one.get_ref<const std::string&>())) return false;
        to.removed.insert(one.get<std::string>());
    }
    return true;
}

bool take_page(const Json& in, Page& to) {
    return in.is_object() && take_number(in, "version", to.version) && take_number(in, "digest", to.digest) &&
           take_text(in, "after", to.after, max_key) && take_entries(in, "entries", to.entries) &&
           take_flag(in, "last", to.last);
}

}  // namespace

std::string write_follower_call(const FollowerCall& call) {
    Json out = out_of(call.word);
    put(out, call.watched);
    if (!call.zone.empty()) out["zone"] = call.zone;
    if (call.leaves) out["leaves"] = true;
    return written(out);
}

std::optional<FollowerCall> read_follower_call(std::string_view body, std::string& wrong) {
    const Json in = Json::parse(body, nullptr, false);
    FollowerCall call;
    const auto fail = [&wrong](const char* words) {
        wrong = words;
        return std::nullopt;
    };
    const char* why = nullptr;
    if (!in.is_object()) return fail("the body is no JSON object");
    if (!take_member(in, call.word, why) || !take_watched(in, call.watched, why)) return fail(why);
    if (!take_name(in, "zone", call.zone, false)) return fail("'zone' is malformed");
    if (!take_flag(in, "leaves", call.leaves)) return fail("'leaves' is no truth value");
    return call;
}

std::string write_relay_call(const RelayCall& call) {
    const changes::RelayReport& w = call.word;
    Json out = {{"relay", w.relay}, {"life", w.incarnation}, {"number", w.number}, {"lowest", w.lowest}};
    put(out, call.watched);
    if (!w.zone.empty()) out["zone"] = w.zone;
    if (w.whole) out["whole"] = true;
    if (!w.joined.empty()) out["joined"] = out_of(w.joined);
    if (!w.left.empty()) out["left"] = w.left;
    if (!w.lost.empty()) out["lost"] = w.lost;
    if (!w.exceptions.empty()) out["exceptions"] = out_of(w.exceptions);
    return written(out);
}

std::optional<RelayCall> read_relay_call(std::string_view body, std::string& wrong) {
    const Json in = Json::parse(body, nullptr, false);
    RelayCall call;
    changes::RelayReport& w = call.word;
    const auto fail = [&wrong](const char* words) {
        wrong = words;
        return std::nullopt;
    };
    const char* why = nullptr;
    if (!in.is_object()) return fail("the body is no JSON object");
    if (!take_name(in, "relay", w.relay, true)) return fail("'relay' is missing or malformed");
    if (!take_name(in, "zone", w.zone, false)) return fail("'zone' is malformed");
    if (!take_number(in, "life", w.incarnation) || w.incarnation == 0)
        return fail("'life' is missing or no number above 0");
    if (!take_number(in, "number", w.number) || w.number == 0)
        return fail("'number' is missing or no number above 0");
    if (!take_number(in, "lowest", w.lowest)) return fail("'lowest' is no number");
    if (!take_watched(in, call.watched, why)) return fail(why);
    if (!take_flag(in, "whole", w.whole)) return fail("'whole' is no truth value");
    if (!take_members(in, "joined", w.joined)) return fail("'joined' is malformed");
    if (!take_lives(in, "left", w.left)) return fail("'left' is malformed");
    if (!take_lives(in, "lost", w.lost)) return fail("'lost' is malformed");
    if (!take_members(in, "exceptions", w.exceptions)) return fail("'exceptions' is malformed");
    return call;
}

std::string write_changes_answer(const ChangesAnswer& a) {
    Json out = {{"version", a.version}, {"lease_ms", a.lease / ms}};
    if (a.taken > 0) out["taken"] = a.taken;
    if (a.say_all) out["say_all"] = true;
    if (a.drift > 0) out["drift_ms"] = a.drift / ms;
    if (a.delta) {
        Json& delta =
            out["delta"] = {{"from", a.delta->from}, {"to", a.delta->to}, {"digest", a.delta->digest}};
        if (!a.delta->set.empty()) delta["set"] = a.delta->set;
        if (!a.delta->removed.empty()) delta["removed"] = a.delta->removed;
    }
    if (a.page)
        out["page"] = {{"version", a.page->version},
                       {"digest", a.page->digest},
                       {"after", a.page->after},
                       {"entries", a.page->entries},
                       {"last", a.page->last}};
    return written(out);
}

std::optional<ChangesAnswer> read_changes_answer(std::string_view body) {
    const Json in = Json::parse(body, nullptr, false);
    ChangesAnswer a;
    const Json *delta = member(in, "delta"), *page = member(in, "page");
    if (member(in, "version") == nullptr || !take_number(in, "version", a.version) ||
        member(in, "lease_ms") == nullptr || !take_span(in, "lease_ms", a.lease) ||
        !take_number(in, "taken", a.taken) || !take_flag(in, "say_all", a.say_all) ||
        !take_span(in, "drift_ms", a.drift) || (delta != nullptr && page != nullptr) ||
        (delta != nullptr && !take_delta(*delta, a.delta.emplace())) ||
        (page != nullptr && !take_page(*page, a.page.emplace())))
        return std::nullopt;
    return a;
}

}  // namespace tealcart
