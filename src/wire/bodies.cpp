#include "wire/bodies.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace tealcart {
namespace {

using Json = nlohmann::json;

// Stated weights are rounded: by the page a sum may miss its value by so much.
constexpr double sum_slack = 1e-4;

const Json* member(const Json& in, const char* key) {
    if (!in.is_object()) return nullptr;
    const auto it = in.find(key);
    return it == in.end() ? nullptr : &*it;
}

std::optional<std::string> text_of(const Json& in, const char* key) {
    const Json* value = member(in, key);
    if (value == nullptr || !value->is_string()) return std::nullopt;
    return value->get<std::string>();
}

// A number that is finite and not below 0.
std::optional<double> amount_of(const Json& in, const char* key) {
    const Json* value = member(in, key);
    if (value == nullptr || !value->is_number()) return std::nullopt;
    const double number = value->get<double>();
    if (!std::isfinite(number) || number < 0) return std::nullopt;
    return number;
}

std::optional<std::uint32_t> index_of(const Json& in, const char* key, std::uint32_t below) {
    const Json* value = member(in, key);
    if (value == nullptr || !value->is_number_unsigned()) return std::nullopt;
    const auto number = value->get<std::uint64_t>();
    if (number >= below) return std::nullopt;
    return static_cast<std::uint32_t>(number);
}

// A list's text as it is parsed, entry by entry, with no tree of it: of a key that comes twice the last value
// counts, and what is of no use is passed over.
class ListSax final : public nlohmann::json_sax<Json> {
  public:
    explicit ListSax(std::uint32_t places) : places_(places) {}

    // After a text that is JSON.
    std::optional<EndpointList> list() {
        if (!has_generation_ || !has_whole_ || !named_) return std::nullopt;
        return EndpointList{generation_, whole_, std::move(nodes_), left_out_};
    }

    bool null() override { return put({}); }
    bool boolean(bool value) override { return put({Value::truth, value, 0, 0, nullptr}); }
    bool number_integer(number_integer_t) override { return put({}); }  // below 0: others come unsigned
    bool number_unsigned(number_unsigned_t value) override {
        return put({Value::whole, false, value, static_cast<double>(value), nullptr});
    }
    bool number_float(number_float_t value, const string_t&) override {
        return put({Value::fraction, false, 0, value, nullptr});
    }
    bool string(string_t& value) override { return put({Value::text, false, 0, 0, &value}); }
    bool binary(binary_t&) override { return false; }  // not in JSON
    bool key(string_t& name) override {
        if (depth_ == 1) key_ = find(list_keys, name);
        if (in_entry_ && depth_ == 3) key_ = find(entry_keys, name);
        return true;
    }
    bool start_object(std::size_t) override {
        if (depth_ == 2 && in_list_) {
            entry_.clear();
            in_entry_ = true;
        } else {
            put({});
        }
        ++depth_;
        return true;
    }
    bool end_object() override {
        if (--depth_ == 2 && std::exchange(in_entry_, false)) {
            if (auto node = read_node())
                nodes_.push_back(std::move(*node));
            else
                ++left_out_;
        }
        return true;
    }
    bool start_array(std::size_t) override {
        if (depth_ == 0) return false;  // no object: no list
        put({});
        in_list_ = in_list_ || (depth_ == 1 && key_ == instances);
        named_ = named_ || (depth_ == 1 && key_ == instances);
        ++depth_;
        return true;
    }
    bool end_array() override {
        if (--depth_ == 1) in_list_ = false;
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

  private:
    enum Key { id, address, zone, kind, state, place, started, generation, reset, instances, other };
    struct Value {
        enum Type { nothing, truth, whole, fraction, text } type = nothing;
        bool yes = false;
        std::uint64_t count = 0;
        double number = 0;  // finite: the parser takes no other
        std::string* words = nullptr;
    };
    struct Named {
        std::string_view name;
        Key key;
    };
    static constexpr Named list_keys[] = {
        {"generation", generation}, {"reset", reset}, {"instances", instances}};
    static constexpr Named entry_keys[] = {{"instanceId", id},      {"hostPort", address}, {"zone", zone},
                                           {"machineType", kind},   {"lifecycle", state},  {"cell", place},
                                           {"startedAtMs", started}};
    struct Entry {
        std::array<std::string, state + 1> texts;
        std::array<bool, started + 1> has{};
        std::uint64_t cell = 0;
        double since = 0;

        void clear() { has = {}; }
    };

    template <std::size_t n>
    static Key find(const Named (&keys)[n], const std::string& name) {
        for (const Named& known : keys)
            if (known.name == name) return known.key;
        return other;
    }

    // A value: what came before for its key counts no more.
    bool put(const Value& value) {
        if (depth_ == 1) {
            if (key_ == generation) has_generation_ = value.type == Value::whole, generation_ = value.count;
            if (key_ == reset) has_whole_ = value.type == Value::truth, whole_ = value.yes;
            if (key_ == instances) nodes_.clear(), left_out_ = 0, named_ = false;
        } else if (depth_ == 2 && in_list_) {
            ++left_out_;
        } else if (depth_ == 3 && in_entry_ && key_ <= started) {
            bool& has = entry_.has[key_];
            if (key_ == place) {
                has = value.type == Value::whole && value.count < places_;
                entry_.cell = value.count;
            } else if (key_ == started) {
                has = (value.type == Value::whole || value.type == Value::fraction) && value.number >= 0;
                entry_.since = value.number;
            } else {
                has = value.type == Value::text;
                if (has) std::swap(entry_.texts[key_], *value.words);
            }
        }
        return true;
    }

    std::optional<ListedEndpoint> read_node() {
        const Entry& in = entry_;
        const auto text = [&in](Key of) { return in.has[of] ? in.texts[of] : std::string(); };
        if (text(id).empty() || !in.has[state]) return std::nullopt;
        ListedEndpoint node{text(id),
                            text(address),
                            text(zone),
                            text(kind),
                            in.has[place] ? static_cast<std::uint32_t>(in.cell) : 0,
                            Lifecycle::removed,
                            0};
        if (in.texts[state] == "removed") return node;
        if (in.texts[state] == "draining")
            node.lifecycle = Lifecycle::draining;
        else if (in.texts[state] == "up")
            node.lifecycle = Lifecycle::ready;
        else
            return std::nullopt;
        if (!in.has[place] || !in.has[address] || !parse_host_port(node.address) || !in.has[zone] ||
            !in.has[kind])
            return std::nullopt;
        if (in.has[started] && in.since < 9e12) node.started_at = static_cast<Nanos>(in.since) * 1'000'000;
        return node;
    }

    const std::uint32_t places_;
    std::uint64_t generation_ = 0;
    bool has_generation_ = false, whole_ = false, has_whole_ = false;
    std::vector<ListedEndpoint> nodes_;
    int left_out_ = 0;
    Entry entry_;
    std::size_t depth_ = 0;
    Key key_ = other;
    bool named_ = false, in_list_ = false, in_entry_ = false;  // named_: the instances, as an array
};

// A term or a field's name as frames carry it.
bool is_name(const std::string& text, std::size_t longest) {
    return !text.empty() && text.size() <= longest && std::none_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20;
    });
}

// ReportBatch for what is wrong, or none.
const char* read_find_of(const Json& in, Find& find) {
    constexpr std::size_t most = 16;
    const auto rows = index_of(in, "rows", 1 << 20);
    if (!rows || *rows == 0) return "'rows' of 'find' is missing or no count";
    find.rows = static_cast<int>(*rows);
    if (const Json* terms = member(in, "terms")) {
        if (!terms->is_array() || terms->size() > most) return "'terms' of 'find' is no list of at most 16";
        for (const Json& term : *terms) {
            if (!term.is_string()) return "a term of 'find' is no string";
            find.terms.push_back(term.get<std::string>());
            if (!is_name(find.terms.back(), 256))
                return "a term of 'find' is empty, too long or holds control characters";
        }
    }
    const Json* ranges = member(in, "ranges");
    if (ranges == nullptr) return nullptr;
    if (!ranges->is_array() || ranges->size() > most) return "'ranges' of 'find' is no list of at most 16";
    for (const Json& stated : *ranges) {
        FieldRange range{text_of(stated, "field").value_or(""), -HUGE_VAL, HUGE_VAL};
        if (!is_name(range.field, 64)) return "a range of 'find' names no field";
        for (const auto& [key, end] : {std::pair("from", &range.from), std::pair("to", &range.to)}) {
            const Json* value = member(stated, key);
            if (value != nullptr && !value->is_number()) return "an end of a range of 'find' is no number";
            *end = value != nullptr ? value->get<double>() : std::copysign(1.7e308, *end);
            if (!std::isfinite(*end)) return "an end of a range of 'find' is out of range";
        }
        find.ranges.push_back(std::move(range));
    }
    return nullptr;
}

}  // namespace

QueryBody read_query(std::string_view body, std::uint32_t shards, std::string& wrong, Find* find) {
    QueryBody query;
    wrong.clear();
    const auto fail = [&](const char* words) {
        wrong = words;
        return QueryBody{};
    };
    const Json in = Json::parse(body, nullptr, false);
    if (in.is_discarded()) return fail("the body is not JSON");
    const auto text = text_of(in, "text");
    if (!text) return fail("'text' is missing or no string");
    query.text = *text;
    if (const Json* stated = find != nullptr ? member(in, "find") : nullptr)
        if (const char* words = read_find_of(*stated, *find)) return fail(words);
    const Json* segments = member(in, "segments");
    if (segments == nullptr || !segments->is_array() || segments->empty())
        return fail("'segments' is missing, empty or no list");
    std::vector<bool> named(shards);
    double sum = 0;
    for (const Json& segment : *segments) {
        const auto shard = index_of(segment, "segment", shards);
        const auto weight = amount_of(segment, "boost");
        if (!shard) return fail("a 'segment' is missing or names no shard");
        if (named[*shard]) return fail("a shard is named twice");
        if (!weight) return fail("a 'boost' is missing, negative or no number");
        named[*shard] = true;
        QueryShardRequest shard_request{*shard, *weight, 0};
        if (member(segment, "work") != nullptr) {
            const auto work = amount_of(segment, "work");
            if (!work) return fail("a 'work' is negative or no number");
            shard_request.hint = std::llround(std::min(*work, 1e12) * 1e3);
        }
        if (member(segment, "affinity") != nullptr && !text_of(segment, "affinity"))
            return fail("an 'affinity' is no string");
        sum += *weight;
        query.shard_requests.push_back(shard_request);
    }
    if (!(std::abs(sum - 1) <= sum_slack)) return fail("the parts' 'boost's don't sum to 1");
    for (QueryShardRequest& shard_request : query.shard_requests) shard_request.weight /= sum;
    return query;
}

AnswerBody::AnswerBody(bool whole)
    : out_(whole ? R"({"all_in":true,"matches":[)" : R"({"all_in":false,"matches":[)") {}

// The value's bytes as they are, escaped as far as JSON needs it.
void AnswerBody::add(std::uint32_t shard, std::string_view value) {
    if (!first_) out_ += ',';
    first_ = false;
    out_ += "{\"segment\":";
    out_ += std::to_string(shard);
    out_ += ",\"payload\":\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out_ += '\\';
            out_ += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            constexpr char digits[] = "0123456789abcdef";
            out_ += "\\u00";
            out_ += digits[c >> 4];
            out_ += digits[c & 15];
        } else {
            out_ += c;
        }
    }
    out_ += "\"}";
}

std::string AnswerBody::finish() { return std::move(out_ += "]}"); }

std::string AnswerBody::finish(const SectionsStated& stated) {
    const auto put = [this](const char* name, const SectionsStated::Of& of) {
        char weight[32];
        const auto end = std::to_chars(weight, weight + sizeof weight, of.weight).ptr;
        out_.append(name).append("{\"sections\":").append(std::to_string(of.sections));
        out_.append(",\"weight\":").append(weight, end);
    };
    put("],\"answered\":", stated.answered);
    put("},\"pruned\":", stated.pruned);
    put("},\"missing\":", stated.missing);
    out_ += ",\"segments\":[";
    for (std::size_t i = 0; i < stated.missing_shards.size(); ++i)
        out_.append(i > 0 ? "," : "").append(std::to_string(stated.missing_shards[i]));
    return std::move(out_ += "]}}");
}

bool is_utf8(std::string_view text) {
    AnswerBody body(true);
    body.add(0, text);
    return Json::accept(body.finish());
}

std::string write_error(std::string_view words) {
    std::string out = "{\"error\":\"";
    return out.append(words).append("\"}");
}

std::optional<EndpointList> read_endpoint_list(std::string_view body, std::uint32_t places) {
    ListSax sax(places);
    if (!Json::sax_parse(body, &sax)) return std::nullopt;
    return sax.list();
}

}  // namespace tealcart
