#include "wire/endpoint_list_codec.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/host_port.hpp"

namespace tealcart {
namespace {

using Json = nlohmann::json;

constexpr double max_start_ms = 9e12;  // since the Unix epoch; a later time would overflow in nanoseconds
constexpr Nanos millisecond = 1'000'000;

// Parses a list entry by entry from SAX events, without building a tree of the document. If a key occurs
// twice, its last value counts. Unknown keys are ignored.
class EndpointListParser final : public nlohmann::json_sax<Json> {
  public:
    explicit EndpointListParser(std::uint32_t places) : places_(places) {}

    // Returns the list. Must be called only after the whole text was parsed as JSON.
    std::optional<EndpointList> list() {
        if (!has_generation_ || !has_full_ || !has_instances_) return std::nullopt;
        return EndpointList{generation_, full_, std::move(nodes_), left_out_};
    }

    bool null() override { return put({}); }
    bool boolean(bool value) override { return put({Value::flag, value, 0, 0, nullptr}); }
    bool number_integer(number_integer_t) override {
        return put({});
    }  // negative: other integers arrive as unsigned
    bool number_unsigned(number_unsigned_t value) override {
        return put({Value::integer, false, value, static_cast<double>(value), nullptr});
    }
    bool number_float(number_float_t value, const string_t&) override {
        return put({Value::fraction, false, 0, value, nullptr});
    }
    bool string(string_t& value) override { return put({Value::text, false, 0, 0, &value}); }
    bool binary(binary_t&) override { return false; }  // JSON has no binary values
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
        if (depth_ == 0) return false;  // the list must be an object
        put({});
        in_list_ = in_list_ || (depth_ == 1 && key_ == instances);
        has_instances_ = has_instances_ || (depth_ == 1 && key_ == instances);
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
    enum Key { id, address, zone, kind, lifecycle, place, started, generation, reset, instances, other };
    struct Value {
        enum Type { nothing, flag, integer, fraction, text } type = nothing;
        bool truth = false;
        std::uint64_t count = 0;
        double number = 0;  // finite, since the parser accepts no other
        std::string* characters = nullptr;
    };
    struct Named {
        std::string_view name;
        Key key;
    };
    static constexpr Named list_keys[] = {
        {"generation", generation}, {"reset", reset}, {"instances", instances}};
    static constexpr Named entry_keys[] = {{"instanceId", id},      {"hostPort", address},    {"zone", zone},
                                           {"machineType", kind},   {"lifecycle", lifecycle}, {"cell", place},
                                           {"startedAtMs", started}};
    struct Entry {
        std::array<std::string, lifecycle + 1> texts;
        std::array<bool, started + 1> has{};
        std::uint64_t place_index = 0;
        double started_ms = 0;

        void clear() { has = {}; }
    };

    template <std::size_t n>
    static Key find(const Named (&keys)[n], const std::string& name) {
        for (const Named& known : keys)
            if (known.name == name) return known.key;
        return other;
    }

    // Stores a value, which replaces an earlier one of the same key.
    bool put(const Value& value) {
        if (depth_ == 1)
            put_in_list(value);
        else if (depth_ == 2 && in_list_)
            ++left_out_;
        else if (depth_ == 3 && in_entry_ && key_ <= started)
            put_in_entry(value);
        return true;
    }

    void put_in_list(const Value& value) {
        if (key_ == generation) {
            has_generation_ = value.type == Value::integer;
            generation_ = value.count;
        } else if (key_ == reset) {
            has_full_ = value.type == Value::flag;
            full_ = value.truth;
        } else if (key_ == instances) {
            nodes_.clear();
            left_out_ = 0;
            has_instances_ = false;
        }
    }

    void put_in_entry(const Value& value) {
        bool& has = entry_.has[key_];
        if (key_ == place) {
            has = value.type == Value::integer && value.count < places_;
            entry_.place_index = value.count;
        } else if (key_ == started) {
            has = (value.type == Value::integer || value.type == Value::fraction) && value.number >= 0;
            entry_.started_ms = value.number;
        } else {
            has = value.type == Value::text;
            if (has) std::swap(entry_.texts[key_], *value.characters);
        }
    }

    std::optional<ListedEndpoint> read_node() {
        const Entry& in = entry_;
        const auto text = [&in](Key of) { return in.has[of] ? in.texts[of] : std::string(); };
        if (text(id).empty() || !in.has[lifecycle]) return std::nullopt;
        ListedEndpoint node{text(id),
                            text(address),
                            text(zone),
                            text(kind),
                            in.has[place] ? static_cast<std::uint32_t>(in.place_index) : 0,
                            Lifecycle::removed,
                            0};
        if (in.texts[lifecycle] == "removed") return node;
        if (in.texts[lifecycle] == "draining")
            node.lifecycle = Lifecycle::draining;
        else if (in.texts[lifecycle] == "up")
            node.lifecycle = Lifecycle::ready;
        else
            return std::nullopt;
        if (!in.has[place] || !in.has[address] || !parse_host_port(node.address) || !in.has[zone] ||
            !in.has[kind])
            return std::nullopt;
        if (in.has[started] && in.started_ms < max_start_ms)
            node.started_at = static_cast<Nanos>(in.started_ms) * millisecond;
        return node;
    }

    const std::uint32_t places_;
    std::uint64_t generation_ = 0;
    bool has_generation_ = false, full_ = false, has_full_ = false;
    std::vector<ListedEndpoint> nodes_;
    int left_out_ = 0;
    Entry entry_;
    std::size_t depth_ = 0;
    Key key_ = other;
    bool has_instances_ = false;  // 'instances' was present and an array
    bool in_list_ = false, in_entry_ = false;
};

}  // namespace

std::optional<EndpointList> read_endpoint_list(std::string_view body, std::uint32_t places) {
    EndpointListParser parser(places);
    if (!Json::sax_parse(body, &parser)) return std::nullopt;
    return parser.list();
}

}  // namespace tealcart
