#include "wire/change_messages.hpp"

#include <map>
#include <set>
#include <utility>

#include "wire/json_fields.hpp"

namespace tealcart {
namespace {

using Json = nlohmann::json;
using changes::Delta;
using changes::MemberReport;
using changes::Page;

using Presence = JsonFields::Presence;
using Incarnation = std::pair<std::string, std::uint64_t>;  // name and incarnation of a member

constexpr Nanos millisecond = 1'000'000;
constexpr std::size_t max_key = 1024, max_value = 1024 * 1024, max_why = 512;  // bytes
constexpr std::size_t max_entries = 100'000;

bool is_key(std::string_view text) { return !text.empty() && text.size() <= max_key; }

std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

// Truncates the text to `max_why` bytes. Invalid UTF-8 is replaced first, since each replacement character
// has three bytes.
std::string truncated(const std::string& why) {
    std::string text = Json::parse(dump(Json(why.substr(0, max_why)))).get<std::string>();
    if (text.size() <= max_why) return text;
    std::size_t end = max_why;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80)
        --end;  // moves out of a multi-byte character
    return text.substr(0, end);
}

Json write_report(const MemberReport& report) {
    Json out = {{"name", report.name}, {"life", report.incarnation}};
    if (report.lease_grace > 0) out["serve_on_ms"] = report.lease_grace / millisecond;
    if (report.applied_version > 0) out["acts_on"] = report.applied_version;
    if (report.refused_version > 0) out["refused"] = report.refused_version;
    if (!report.refusal_reason.empty()) out["why"] = truncated(report.refusal_reason);
    return out;
}

Json write_reports(const std::vector<MemberReport>& reports) {
    Json list = Json::array();
    for (const MemberReport& report : reports) list.push_back(write_report(report));
    return list;
}

void read_report(JsonFields& in, MemberReport& to) {
    in.name("name", to.name, Presence::required, "'name' is missing or malformed");
    in.positive_number("life", to.incarnation, "'life' is missing or no number above 0");
    in.number("acts_on", to.applied_version, "'acts_on' or 'refused' is no number");
    in.number("refused", to.refused_version, "'acts_on' or 'refused' is no number");
    in.duration("serve_on_ms", to.lease_grace, "'serve_on_ms' is no number of ms up to a year");
    in.text("why", to.refusal_reason, max_why, "'why' is no text of up to 512 bytes");
}

bool read_report_item(const Json& item, MemberReport& to) {
    JsonFields in(item);
    read_report(in, to);
    return in.ok();
}

bool read_incarnation(const Json& item, Incarnation& to) {
    if (!item.is_array() || item.size() != 2) return false;
    auto name = name_of(item[0]);
    if (!name || !item[1].is_number_unsigned()) return false;
    to = {std::move(*name), item[1].get<std::uint64_t>()};
    return true;
}

void write_position(Json& out, const WatchPosition& position) {
    out["knows"] = position.known_version;
    out["digest"] = position.digest;
    out["wait_ms"] = position.wait / millisecond;
    if (position.wants_pages) out["pages_after"] = position.after;
}

void read_position(JsonFields& in, WatchPosition& to) {
    in.number("knows", to.known_version, "'knows' or 'digest' is no number");
    in.number("digest", to.digest, "'knows' or 'digest' is no number");
    in.duration("wait_ms", to.wait, "'wait_ms' is no number of ms up to a year");
    to.wants_pages = in.find("pages_after") != nullptr;
    in.text("pages_after", to.after, max_key, "'pages_after' is no key");
}

// Returns false if the value is not an object of strings or exceeds a limit.
bool read_entries(const Json* entries, std::map<std::string, std::string>& to) {
    if (entries == nullptr) return true;
    if (!entries->is_object() || entries->size() > max_entries) return false;
    for (const auto& [key, value] : entries->items()) {
        if (!is_key(key) || !value.is_string()) return false;
        const auto& text = value.get_ref<const std::string&>();
        if (text.size() > max_value) return false;
        to[key] = text;
    }
    return true;
}

bool read_keys(const Json* keys, std::set<std::string>& to) {
    if (keys == nullptr) return true;
    if (!keys->is_array() || keys->size() > max_entries) return false;
    for (const Json& key : *keys) {
        if (!key.is_string() || !is_key(key.get_ref<const std::string&>())) return false;
        to.insert(key.get<std::string>());
    }
    return true;
}

bool read_delta(const Json& json, Delta& to) {
    JsonFields in(json);
    in.number("from", to.from, "'from' is no number");
    in.number("to", to.to, "'to' is no number");
    in.number("digest", to.digest, "'digest' is no number");
    return in.ok() && to.to >= to.from && read_entries(in.find("set"), to.set) &&
           read_keys(in.find("removed"), to.removed);
}

bool read_page(const Json& json, Page& to) {
    JsonFields in(json);
    in.number("version", to.version, "'version' is no number");
    in.number("digest", to.digest, "'digest' is no number");
    in.text("after", to.after, max_key, "'after' is no key");
    in.flag("last", to.last, "'last' is no truth value");
    return in.ok() && read_entries(in.find("entries"), to.entries);
}

Json write_delta(const Delta& delta) {
    Json out = {{"from", delta.from}, {"to", delta.to}, {"digest", delta.digest}};
    if (!delta.set.empty()) out["set"] = delta.set;
    if (!delta.removed.empty()) out["removed"] = delta.removed;
    return out;
}

Json write_page(const Page& page) {
    return {{"version", page.version},
            {"digest", page.digest},
            {"after", page.after},
            {"entries", page.entries},
            {"last", page.last}};
}

}  // namespace

std::string write_follower_call(const FollowerCall& call) {
    Json out = write_report(call.report);
    write_position(out, call.position);
    if (!call.zone.empty()) out["zone"] = call.zone;
    if (call.leaving) out["leaves"] = true;
    return dump(out);
}

ReadResult<FollowerCall> read_follower_call(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json);
    FollowerCall call;
    read_report(in, call.report);
    read_position(in, call.position);
    in.name("zone", call.zone, Presence::optional, "'zone' is malformed");
    in.flag("leaves", call.leaving, "'leaves' is no truth value");
    return std::move(in).result(std::move(call));
}

std::string write_relay_call(const RelayCall& call) {
    const changes::RelayReport& report = call.report;
    Json out = {{"relay", report.relay},
                {"life", report.incarnation},
                {"number", report.number},
                {"lowest", report.lowest}};
    write_position(out, call.position);
    if (!report.zone.empty()) out["zone"] = report.zone;
    if (report.full) out["whole"] = true;
    if (!report.joined.empty()) out["joined"] = write_reports(report.joined);
    if (!report.left.empty()) out["left"] = report.left;
    if (!report.lost.empty()) out["lost"] = report.lost;
    if (!report.exceptions.empty()) out["exceptions"] = write_reports(report.exceptions);
    return dump(out);
}

ReadResult<RelayCall> read_relay_call(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json);
    RelayCall call;
    changes::RelayReport& report = call.report;
    in.name("relay", report.relay, Presence::required, "'relay' is missing or malformed");
    in.name("zone", report.zone, Presence::optional, "'zone' is malformed");
    in.positive_number("life", report.incarnation, "'life' is missing or no number above 0");
    in.positive_number("number", report.number, "'number' is missing or no number above 0");
    in.number("lowest", report.lowest, "'lowest' is no number");
    read_position(in, call.position);
    in.flag("whole", report.full, "'whole' is no truth value");
    in.list("joined", report.joined, read_report_item, "'joined' is malformed");
    in.list("left", report.left, read_incarnation, "'left' is malformed");
    in.list("lost", report.lost, read_incarnation, "'lost' is malformed");
    in.list("exceptions", report.exceptions, read_report_item, "'exceptions' is malformed");
    return std::move(in).result(std::move(call));
}

std::string write_changes_answer(const ChangesAnswer& answer) {
    Json out = {{"version", answer.version}, {"lease_ms", answer.lease / millisecond}};
    if (answer.acknowledged_report > 0) out["taken"] = answer.acknowledged_report;
    if (answer.full_report_required) out["say_all"] = true;
    if (answer.drift > 0) out["drift_ms"] = answer.drift / millisecond;
    if (answer.delta) out["delta"] = write_delta(*answer.delta);
    if (answer.page) out["page"] = write_page(*answer.page);
    return dump(out);
}

ReadResult<ChangesAnswer> read_changes_answer(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    JsonFields in(json);
    ChangesAnswer answer;
    for (const char* required : {"version", "lease_ms"})
        if (in.find(required) == nullptr) in.fail(required, "a field is missing");
    in.number("version", answer.version, "'version' is no number");
    in.duration("lease_ms", answer.lease, "'lease_ms' is no number of ms up to a year");
    in.number("taken", answer.acknowledged_report, "'taken' is no number");
    in.flag("say_all", answer.full_report_required, "'say_all' is no truth value");
    in.duration("drift_ms", answer.drift, "'drift_ms' is no number of ms up to a year");
    const Json *delta = in.find("delta"), *page = in.find("page");
    if (delta != nullptr && page != nullptr) in.fail("page", "there are both 'delta' and 'page'");
    if (delta != nullptr && !read_delta(*delta, answer.delta.emplace()))
        in.fail("delta", "'delta' is malformed");
    if (page != nullptr && !read_page(*page, answer.page.emplace())) in.fail("page", "'page' is malformed");
    return std::move(in).result(std::move(answer));
}

}  // namespace tealcart
